//! Messages between placers and nodes: which attempts there are, and what is known of each.

use std::collections::BTreeSet;

use reedring_node_protocol::{
    AttemptId, Idempotency, InFlightState, InFlightTask, Message, Task, TaskEnd,
};

use super::observed::{Attempt, ClosedAs};
use super::outcome::AcceptedBy;
use super::settings::{Class, duration};
use super::{Checker, LinkKey, Rule};
use crate::trace::Frame;

fn link_key(frame: &Frame) -> LinkKey {
    (frame.place.clone(), frame.peer.clone())
}

impl Checker {
    /// A placer wrote a message to a node.
    pub(super) fn message_to_node(&mut self, frame: &Frame, message: Message) {
        self.config_message_to_node(frame, &message);
        match message {
            Message::Offer {
                attempt,
                task,
                within_ms,
                ..
            } => self.offer_sent(frame, attempt, *task, within_ms),
            Message::Stop { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.stopped = true;
                }
            }
            _ => {}
        }
    }

    fn offer_sent(&mut self, frame: &Frame, id: AttemptId, task: Task, within_ms: u32) {
        self.report.offers += 1;
        let attempt = self.offered_attempt(frame, &task, within_ms);
        self.check_duplicate(frame, id, &attempt);
        self.check_class_spread(frame, &attempt);
        self.check_constraint(frame, id, &attempt);
        self.check_drain(frame, &frame.place, &frame.peer, Some(attempt.frame));
        let of_job = self.attempts_by_job.entry(task.job).or_default();
        of_job.push(id);
        let on_link = self.open_attempts.entry(link_key(frame)).or_default();
        on_link.insert(id);
        let service = (frame.place.clone(), task.class, task.service);
        let of_service = self.attempts_by_service.entry(service).or_default();
        of_service.push(id);
        self.attempts.insert(id, attempt);
    }

    fn offered_attempt(&self, frame: &Frame, task: &Task, within_ms: u32) -> Attempt {
        let expires_us = match within_ms {
            0 => u64::MAX,
            ms => frame.time_us + u64::from(ms) * 1_000,
        };
        let placer = self.placers.get(&frame.place);
        let settings = placer.map(|placer| placer.settings.clone());
        let settings = settings.unwrap_or_default();
        let class = settings.class(&task.class);
        let window_us = class.and_then(|class| duration(class.window.as_ref()));
        Attempt {
            frame: frame.number,
            job: task.job.clone(),
            class: task.class.clone(),
            service: task.service.clone(),
            native: settings.native(&task.payload),
            node: frame.peer.clone(),
            placer: frame.place.clone(),
            repeat: class.map_or(task.idempotency, Class::repeat),
            group: class.map_or(task.deduplication_scope, Class::group),
            window_us: window_us.unwrap_or(0),
            sent_us: frame.time_us,
            expires_us,
            accepted: false,
            forgotten: false,
            node_died: false,
            stopped: false,
            unlinked: false,
            closed: None,
            closed_us: u64::MAX,
        }
    }

    /// A placer read a message from a node.
    pub(super) fn message_from_node(&mut self, frame: &Frame, message: Message) {
        match message {
            Message::Welcome {
                incarnation: life, ..
            } => self.handshake(frame, life),
            Message::InFlight { tasks: held, last } => self.running_reported(frame, held, last),
            Message::Accepted { attempt, .. } => {
                self.attempt_accepted(frame, attempt, AcceptedBy::Answer);
            }
            Message::Rejected { attempt, .. } => self.close(attempt, ClosedAs::NeverRan),
            Message::Ended {
                attempt, end, ran, ..
            } => self.attempt_ended(attempt, &end, ran),
            _ => {}
        }
    }

    /// A node that was restarted runs nothing of what it was given before.
    fn handshake(&mut self, frame: &Frame, incarnation: u64) {
        let link = link_key(frame);
        let before = self.node_incarnations.insert(link.clone(), incarnation);
        if before.is_some_and(|before| before != incarnation) {
            for id in self.open_attempts_on(&link) {
                self.close(id, ClosedAs::Ended);
            }
        }
        self.unlinked_since.remove(&link);
        self.reported_running.insert(link, BTreeSet::new());
    }

    /// A node reports what it runs, in one message or several; what the last has not named it does not run.
    fn running_reported(&mut self, frame: &Frame, held: Vec<InFlightTask>, last: bool) {
        let link = link_key(frame);
        for report in held {
            let reported = self.reported_running.entry(link.clone()).or_default();
            reported.insert(report.attempt);
            if let Some(attempt) = self.attempts.get_mut(&report.attempt) {
                attempt.unlinked = false;
                attempt.forgotten = false;
            }
            let by_report = AcceptedBy::Report(&report.task.job);
            match report.state {
                InFlightState::Queued => {}
                InFlightState::Ended { end, ran } => {
                    if ran {
                        // It was accepted while its placer was away.
                        self.attempt_accepted(frame, report.attempt, by_report);
                    }
                    self.attempt_ended(report.attempt, &end, ran);
                }
                _ => self.attempt_accepted(frame, report.attempt, by_report),
            }
        }
        if last {
            self.close_unreported(&link);
        }
    }

    fn close_unreported(&mut self, link: &LinkKey) {
        let reported = self.reported_running.remove(link).unwrap_or_default();
        for id in self.open_attempts_on(link) {
            if reported.contains(&id) {
                continue;
            }
            let closed_as = if self.attempts[&id].accepted {
                ClosedAs::Ended
            } else {
                ClosedAs::NeverRan
            };
            self.close(id, closed_as);
        }
    }

    fn attempt_ended(&mut self, id: AttemptId, end: &TaskEnd, ran: bool) {
        let accepted = self
            .attempts
            .get(&id)
            .is_some_and(|attempt| attempt.accepted);
        let never_ran = !ran || *end == TaskEnd::Unknown && !accepted;
        let closed_as = if never_ran {
            ClosedAs::NeverRan
        } else {
            ClosedAs::Ended
        };
        self.close(id, closed_as);
    }

    /// A node read a message from a placer.
    pub(super) fn message_read_by_node(&mut self, frame: &Frame, message: Message) {
        self.offer_read_by_version(frame, &message);
        let Message::Offer {
            attempt,
            task,
            stamp,
            ..
        } = message
        else {
            return;
        };
        if task.idempotency == Idempotency::NonIdempotent {
            self.non_idempotent_offers.insert(attempt, task.job);
        }
        if let Some(placer) = self.incarnations.get(&attempt.incarnation).cloned() {
            let sent = self.attempts.get(&attempt).map(|attempt| attempt.frame);
            self.check_drain(frame, &placer, &frame.place, sent);
            // An offer that is rejected for its version costs a node that is warming up nothing.
            if !self.versions.is_rejected(&frame.place, stamp.as_ref()) {
                self.check_slow_start(frame, &placer);
            }
        }
    }

    /// A node wrote a message to a placer.
    pub(super) fn message_written_by_node(&mut self, frame: &Frame, message: Message) {
        self.config_message_from_node(frame, &message);
        match message {
            Message::Accepted { attempt, .. } => self.check_accepted_twice(frame, attempt),
            Message::Ended {
                attempt,
                ran: false,
                ..
            } => {
                for accepted in self.accepted_non_idempotent.values_mut() {
                    accepted.retain(|(id, _)| *id != attempt);
                }
            }
            _ => {}
        }
    }

    /// Rule 2 where it matters most: a non-idempotent job that two nodes accepted, or one node twice.
    fn check_accepted_twice(&mut self, frame: &Frame, attempt: AttemptId) {
        let sent = self.attempts.get(&attempt);
        // A placer in a process of its own may have left no trace: then the offer tells what it was.
        let job = match sent {
            Some(sent) => (sent.repeat == Idempotency::NonIdempotent).then(|| sent.job.clone()),
            None => self.non_idempotent_offers.get(&attempt).cloned(),
        };
        let Some(job) = job else { return };
        let may_run_again = sent.is_some_and(|sent| {
            let placer = self.placers.get(&sent.placer);
            placer.is_some_and(|placer| placer.settings.retry_policy(&sent.class).after_end)
        });
        let accepted = self.accepted_non_idempotent.entry(job.clone()).or_default();
        if accepted.iter().all(|(id, _)| *id != attempt) {
            accepted.push((attempt, frame.number));
        }
        if accepted.len() > 1 && !may_run_again {
            let frames = accepted.iter().map(|(_, number)| *number).collect();
            let text = format!("unsafe job {job} was accepted twice");
            self.breach(Rule::NoSecondRun, frames, text);
        }
    }
}
