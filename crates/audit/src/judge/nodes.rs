//! What placers send to nodes and hear of them: the ledger of attempts that the rules go by.

use std::collections::BTreeSet;

use reedring_node_protocol::{AttemptId, End, HeldState, Message, Repeat};

use super::known::{Attempt, Closed};
use super::told::{Class, time};
use super::{Judge, Rule};
use crate::trace::Frame;

impl Judge {
    pub(super) fn node_hears(&mut self, frame: &Frame, message: Message) {
        self.plan_sent(frame, &message);
        match message {
            Message::Offer {
                attempt: id,
                task,
                within_ms,
                ..
            } => {
                self.report.offers += 1;
                let late_us = match within_ms {
                    0 => u64::MAX,
                    ms => frame.time_us + u64::from(ms) * 1_000,
                };
                let told = self
                    .placers
                    .get(&frame.place)
                    .map(|placer| placer.told.clone())
                    .unwrap_or_default();
                let class = told.class(&task.class);
                let attempt = Attempt {
                    frame: frame.number,
                    job: task.job.clone(),
                    class: task.class.clone(),
                    service: task.service.clone(),
                    native: told.native(&task.payload),
                    node: frame.peer.clone(),
                    placer: frame.place.clone(),
                    repeat: class.map_or(task.repeat, Class::repeat),
                    group: class.map_or(task.group, Class::group),
                    window_us: class.map_or(0, |class| time(class.window.as_ref()).unwrap_or(0)),
                    sent_us: frame.time_us,
                    late_us,
                    accepted: false,
                    forgotten: false,
                    dead: false,
                    stopped: false,
                    unlinked: false,
                    closed: None,
                    closed_us: u64::MAX,
                };
                self.sent(frame, id, &attempt);
                self.spread(frame, &attempt);
                self.constraint(frame, id, &attempt);
                self.drain(
                    frame,
                    &frame.place.clone(),
                    &frame.peer.clone(),
                    Some(attempt.frame),
                );
                self.by_job.entry(task.job).or_default().push(id);
                self.by_node
                    .entry((frame.place.clone(), frame.peer.clone()))
                    .or_default()
                    .insert(id);
                let service = (frame.place.clone(), task.class, task.service);
                self.of_service.entry(service).or_default().push(id);
                self.attempts.insert(id, attempt);
            }
            Message::Stop { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.stopped = true;
                }
            }
            _ => {}
        }
    }

    pub(super) fn node_says(&mut self, frame: &Frame, message: Message) {
        let pair = (frame.place.clone(), frame.peer.clone());
        match message {
            Message::Welcome { life, .. } => {
                if self
                    .node_life
                    .insert(pair.clone(), life)
                    .is_some_and(|before| before != life)
                {
                    for id in self.at(&pair.0, &pair.1) {
                        self.close(id, Closed::Ended);
                    }
                }
                self.unlinked.remove(&pair);
                self.holds.insert(pair, BTreeSet::new());
            }
            Message::Holds { held, last } => {
                for one in held {
                    self.holds
                        .entry(pair.clone())
                        .or_default()
                        .insert(one.attempt);
                    if let Some(attempt) = self.attempts.get_mut(&one.attempt) {
                        attempt.unlinked = false;
                        attempt.forgotten = false;
                    }
                    match one.state {
                        HeldState::Waiting => {}
                        HeldState::Ended { end, ran } => {
                            if ran {
                                // Accepted, and told of only now: its placer was away.
                                self.accepted(frame, one.attempt, Some(&one.task.job));
                            }
                            self.over(one.attempt, &end, ran);
                        }
                        _ => self.accepted(frame, one.attempt, Some(&one.task.job)),
                    }
                }
                if last {
                    let held = self.holds.remove(&pair).unwrap_or_default();
                    for id in self.at(&pair.0, &pair.1) {
                        let accepted = self.attempts[&id].accepted;
                        if !held.contains(&id) {
                            self.close(
                                id,
                                if accepted {
                                    Closed::Ended
                                } else {
                                    Closed::NeverRan
                                },
                            );
                        }
                    }
                }
            }
            Message::Accepted { attempt, .. } => self.accepted(frame, attempt, None),
            Message::Refused { attempt, .. } => self.close(attempt, Closed::NeverRan),
            Message::Ended {
                attempt, end, ran, ..
            } => self.over(attempt, &end, ran),
            _ => {}
        }
    }

    pub(super) fn over(&mut self, id: AttemptId, end: &End, ran: bool) {
        let never =
            !ran || *end == End::Unknown && !self.attempts.get(&id).is_some_and(|a| a.accepted);
        self.close(
            id,
            if never {
                Closed::NeverRan
            } else {
                Closed::Ended
            },
        );
    }

    pub(super) fn node_read(&mut self, frame: &Frame, message: Message) {
        self.plan_read(frame, &message);
        let Message::Offer {
            attempt,
            task,
            stamp,
            ..
        } = message
        else {
            return;
        };
        if task.repeat == Repeat::Unsafe {
            self.unsafe_read.insert(attempt, task.job);
        }
        if let Some(placer) = self.lives.get(&attempt.life).cloned() {
            let sent = self.attempts.get(&attempt).map(|attempt| attempt.frame);
            self.drain(frame, &placer, &frame.place.clone(), sent);
            // What is turned away at the door costs a cold node nothing.
            if !self.versions.turned_away(&frame.place, stamp.as_ref()) {
                self.cold(frame, &placer);
            }
        }
    }

    /// Rule 2 where it counts: an unsafe task that two nodes, or one twice, took and ran.
    pub(super) fn node_wrote(&mut self, frame: &Frame, message: Message) {
        self.plan_told(frame, &message);
        match message {
            Message::Accepted { attempt, .. } => {
                let sent = self.attempts.get(&attempt);
                // A placer in a process of its own may have left no trace: then the offer says what it was.
                let job = match sent {
                    Some(sent) => (sent.repeat == Repeat::Unsafe).then(|| sent.job.clone()),
                    None => self.unsafe_read.get(&attempt).cloned(),
                };
                let Some(job) = job else { return };
                let placer =
                    sent.and_then(|sent| Some((self.placers.get(&sent.placer)?, &sent.class)));
                let may_again =
                    placer.is_some_and(|(placer, class)| placer.told.comes_again(class).0);
                let runs = self.ran.entry(job.clone()).or_default();
                if runs.iter().all(|(id, _)| *id != attempt) {
                    runs.push((attempt, frame.number));
                }
                if runs.len() > 1 && !may_again {
                    let frames = runs.iter().map(|(_, number)| *number).collect();
                    self.breach(
                        Rule::NoSecondRun,
                        frames,
                        format!("unsafe job {job} was taken twice"),
                    );
                }
            }
            Message::Ended {
                attempt,
                ran: false,
                ..
            } => {
                self.ran
                    .values_mut()
                    .for_each(|runs| runs.retain(|(id, _)| *id != attempt));
            }
            _ => {}
        }
    }
}
