//! Nodes' reports on attempts, and the changes that they cause in jobs.

use reedring::{AttemptId, Event as ModuleEvent, Micros, Note, Outcome as AttemptOutcome, Reason};
use reedring_drmaa::End;
use reedring_drmaa::info::signal_name;
use reedring_node_protocol::{self as wire, Message, TaskSignalKind};
use reedring_state::{Ending, Outcome};

use super::{AttemptEnd, JobLifecycle};
use crate::decide::{self, AttemptState, Loss};
use crate::event::Event;
use crate::ids::{JobNumber, NodeNumber};
use crate::ledger::Phase;
use crate::timers::Timer;

impl JobLifecycle<'_> {
    /// The open attempt that a node reports on; `None` where the attempt is closed or was offered to another node.
    fn reported_attempt(&self, node: NodeNumber, attempt: wire::AttemptId) -> Option<AttemptId> {
        let id = self.ledger.find_by_wire_id(attempt)?;
        self.ledger
            .attempt(id)
            .filter(|attempt| attempt.node == node)
            .map(|_| id)
    }

    /// Handles that a node accepted an offer.
    pub fn accept_reported(
        &mut self,
        now: Micros,
        node: NodeNumber,
        attempt: wire::AttemptId,
        report: Vec<f64>,
    ) {
        match self.reported_attempt(node, attempt) {
            Some(id) => self.attempt_accepted(now, id, report),
            // The attempt is closed. The answer to this stop will say whether the task ran.
            None => self.send(now, node, Message::Stop { attempt }),
        }
    }

    /// Handles that a node rejected an offer.
    pub fn rejection_reported(
        &mut self,
        now: Micros,
        node: NodeNumber,
        attempt: wire::AttemptId,
        reason: wire::RejectionReason,
        report: Vec<f64>,
    ) {
        self.attempt_resolved(now, attempt);
        self.nodes.count_rejection(node, reason);
        if let Some(id) = self.reported_attempt(node, attempt) {
            self.attempt_rejected(now, id, reason, report);
        }
    }

    /// Handles a node's signal on a task: it runs, is suspended or resumed, or uses so much.
    pub fn signal_reported(
        &mut self,
        now: Micros,
        node: NodeNumber,
        attempt: wire::AttemptId,
        kind: TaskSignalKind,
        amount: f64,
    ) {
        if let Some(id) = self.reported_attempt(node, attempt) {
            self.attempt_signaled(now, id, kind, amount);
        }
    }

    /// Handles and acknowledges a node's report that an attempt has ended.
    pub fn end_reported(
        &mut self,
        now: Micros,
        node: NodeNumber,
        attempt: wire::AttemptId,
        end: wire::TaskEnd,
        ran: bool,
        report: Vec<f64>,
    ) {
        self.send(now, node, Message::Ack { attempt });
        self.attempt_resolved(now, attempt);
        if let Some(id) = self.reported_attempt(node, attempt) {
            self.attempt_ended(now, id, end, ran, report);
        }
    }

    // ---- Accepted ----

    /// Handles the acceptance of an open attempt: its request is closed and its job is placed.
    pub(super) fn attempt_accepted(&mut self, now: Micros, id: AttemptId, report: Vec<f64>) {
        let Some(attempt) = self.ledger.attempt_mut(id) else {
            return;
        };
        attempt.accepted = true;
        if attempt.state != AttemptState::Offered {
            // The acceptance was sent before the node read the stop; the answer to the stop says how the attempt ended.
            return;
        }
        attempt.state = AttemptState::Accepted;
        let announced = std::mem::replace(&mut attempt.announced, true);
        let (job, machine, node, sent) = (attempt.job, attempt.machine, attempt.node, attempt.sent);
        let took_us = now.saturating_sub(sent);
        self.offer_answered(now, node, sent);
        self.ledger.close_request(id.request);
        self.constraints.request_closed(id.request);
        self.blocks.request_closed(id.request);
        if announced {
            self.cx.notify_module(ModuleEvent::Placed {
                attempt: id,
                machine,
                took_us,
            });
        } else if let Some(task) = self.module_task(job, id.request) {
            // A former incarnation made the offer, so the decision module does not know the attempt.
            self.cx
                .notify_module(ModuleEvent::Adopted { task, machine });
        }
        self.mark_recovered(job);
        if !report.is_empty() {
            self.cx.notify_module(ModuleEvent::Probed {
                machine,
                answered: true,
                took_us,
                report,
            });
        }
        self.job_placed(now, job, id);
    }

    /// Marks a job as placed by this attempt, its accepted copy.
    pub(super) fn job_placed(&mut self, now: Micros, job: JobNumber, id: AttemptId) {
        self.track_constraint(job, id);
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        entry.record_result(id, "accepted");
        entry.phase = Phase::Placed(id);
        if entry.outcome.is_none() {
            entry.placed = Some(now);
        }
        self.record_outcome(job, Outcome::Placed);
        if self.cx.settings().site.yes_when_running {
            self.job_running(now, job, id);
        }
    }

    /// Starts to track whether the constraint of a placed job stays satisfied, if it has one.
    pub(super) fn track_constraint(&mut self, job: JobNumber, id: AttemptId) {
        let node = self.ledger.attempt(id).map(|attempt| attempt.node);
        let constrained = self
            .ledger
            .job(job)
            .and_then(|job| job.requirements.constrained_job());
        if let Some((node, constrained)) = node.zip(constrained) {
            self.constraints.job_placed(job, constrained, node);
        }
    }

    /// Marks a job as running and starts its run limit.
    fn job_running(&mut self, now: Micros, job: JobNumber, id: AttemptId) {
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        entry.phase = Phase::Running(id);
        entry.started = Some(now);
        self.set_run_limit(job);
    }

    /// Sets the timer that ends a job after the run time that its template allows, if it limits that.
    pub fn set_run_limit(&mut self, number: JobNumber) {
        let Some(job) = self.ledger.job(number) else {
            return;
        };
        let Some(started) = job.started else { return };
        let spec = &job.requirements.spec;
        if let Some(limit) = spec.wall_hard.into_iter().chain(spec.run_hard).min() {
            let at = started.saturating_add(limit.saturating_mul(1_000_000));
            self.cx.set_timer(at, Timer::RunLimit(number));
        }
    }

    /// Applies a node's signal on a task to the job, and passes it on to the decision module unless it is about
    /// suspension.
    pub(super) fn attempt_signaled(
        &mut self,
        now: Micros,
        id: AttemptId,
        kind: TaskSignalKind,
        amount: f64,
    ) {
        let Some(attempt) = self.ledger.attempt(id) else {
            return;
        };
        let (job, machine) = (attempt.job, attempt.machine);
        let note = match kind {
            TaskSignalKind::Running => {
                let phase = self.ledger.job(job).map(|job| &job.phase);
                if matches!(phase, Some(Phase::Placed(_))) {
                    self.job_running(now, job, id);
                }
                Note::Runs
            }
            TaskSignalKind::Suspended | TaskSignalKind::Resumed => {
                if let Some(job) = self
                    .ledger
                    .job_mut(job)
                    .filter(|job| job.placed_attempt().is_some())
                {
                    let is_suspended = kind == TaskSignalKind::Suspended;
                    job.phase = if is_suspended {
                        Phase::Suspended(id)
                    } else {
                        Phase::Running(id)
                    };
                }
                return;
            }
            TaskSignalKind::CoresUsed => Note::Cores(amount),
            TaskSignalKind::MemoryUsed => Note::Memory(amount),
            TaskSignalKind::ServiceFraction => Note::Served(amount),
            TaskSignalKind::MemoryPressure => Note::Pressure(amount),
        };
        self.cx.notify_module(ModuleEvent::TaskSignal {
            attempt: id,
            machine,
            note,
        });
    }

    // ---- Rejected ----

    /// Closes an attempt that its node rejected.
    fn attempt_rejected(
        &mut self,
        now: Micros,
        id: AttemptId,
        reason: wire::RejectionReason,
        report: Vec<f64>,
    ) {
        let module_reason = match reason {
            wire::RejectionReason::Unspecified => None,
            wire::RejectionReason::NoCores => Some(Reason::NoCores),
            wire::RejectionReason::NoMemory => Some(Reason::NoMemory),
            wire::RejectionReason::QueueFull => Some(Reason::Crowded),
            wire::RejectionReason::Draining
            | wire::RejectionReason::DuplicateActive
            | wire::RejectionReason::DeadlineExceeded
            | wire::RejectionReason::Unsupported => Some(Reason::NotHere),
            // The node did not consider the offer, because of the configuration that decided it. It counts as not sent:
            // dispatch to the node is blocked until the placer knows the configuration that the node stores.
            wire::RejectionReason::Superseded => {
                let end =
                    AttemptEnd::new(AttemptOutcome::Unsent, reason.word()).with_report(report);
                return self.attempt_unplaced(now, id, end);
            }
        };
        let state = self.ledger.state_of(id);
        if state.is_some_and(|state| state != AttemptState::Accepted) {
            let end = AttemptEnd::new(AttemptOutcome::Refused, reason.word());
            self.attempt_unplaced(now, id, end.with_reason(module_reason).with_report(report));
        }
    }

    // ---- Ended ----

    /// Handles the end of an attempt as its node reports it; `ran` says whether the task ran, or may have.
    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        end: wire::TaskEnd,
        ran: bool,
        report: Vec<f64>,
    ) {
        let Some(attempt) = self.ledger.attempt(id) else {
            return;
        };
        let (state, accepted) = (attempt.state, attempt.accepted);
        if state == AttemptState::Offered && ran {
            // The node's acceptance was lost with a connection.
            self.attempt_accepted(now, id, Vec::new());
        } else if state == AttemptState::Offered || state == AttemptState::Stopping && !accepted {
            let (outcome, label) = match ran {
                true => (AttemptOutcome::Stopped, "stopped"),
                false => (AttemptOutcome::Unsent, "handed back"),
            };
            let end = AttemptEnd::new(outcome, label).with_report(report);
            return self.attempt_unplaced(now, id, end);
        }
        let loss = if ran { Loss::Ended } else { Loss::NeverRan };
        let reset =
            |label, reason| AttemptEnd::new(AttemptOutcome::Reset, label).with_reason(reason);
        let lost = match end {
            wire::TaskEnd::Exited(status) => {
                return self.attempt_finished(now, id, Ending::ran(End::Exited { status }), report);
            }
            wire::TaskEnd::Signaled(signal) => {
                let signal = signal_name(i32::from(signal)).to_owned();
                let ending = Ending::ran(End::Signaled {
                    signal,
                    core_dump: false,
                });
                return self.attempt_finished(now, id, ending, report);
            }
            wire::TaskEnd::Error(text) if ran => {
                let ending = Ending::aborted(format!("its node could not run it: {text}"));
                return self.attempt_finished(now, id, ending, report);
            }
            wire::TaskEnd::Evicted => reset("evicted", Some(Reason::Evicted)),
            wire::TaskEnd::Preempted => reset("pushed out", Some(Reason::PushedOut)),
            wire::TaskEnd::Drained => reset("sent away", Some(Reason::SentAway)),
            wire::TaskEnd::Stopped => AttemptEnd::new(AttemptOutcome::Stopped, "stopped"),
            wire::TaskEnd::Error(_) => AttemptEnd::new(AttemptOutcome::Error, "node error"),
            wire::TaskEnd::Unknown => reset("node lost it", None),
        };
        self.attempt_lost(now, id, loss, lost);
    }

    /// Closes an attempt whose accepted copy ran to its end, and ends its job.
    fn attempt_finished(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Vec<f64>) {
        let Some(attempt) = self.close_attempt(id, "ended", false) else {
            return;
        };
        let end = AttemptEnd::new(AttemptOutcome::Finished, "ended").with_report(report);
        self.announce_end(id, &attempt, end);
        let Some(job) = self.ledger.job(attempt.job) else {
            return;
        };
        // A task that ended by itself before its stop arrived gives its job this end, not that of the termination.
        if matches!(job.phase, Phase::Ending(_)) || job.placed_attempt().is_some() {
            self.end_job(now, attempt.job, ending);
        }
    }

    /// Closes an attempt whose accepted copy did not run to its end. Its job is placed again where its class allows a
    /// second copy, and ends otherwise.
    pub(super) fn attempt_lost(&mut self, now: Micros, id: AttemptId, loss: Loss, end: AttemptEnd) {
        let label = end.label;
        let Some(attempt) = self.close_attempt(id, label, loss == Loss::Unknown) else {
            return;
        };
        self.constraints.job_unplaced(attempt.job);
        self.announce_end(id, &attempt, end);
        let Some(job) = self.ledger.job(attempt.job) else {
            return;
        };
        if job.placed_attempt() != Some(id) {
            return self.finish_ending(now, attempt.job);
        }
        let class = self.cx.class(job.requirements.class);
        let (may_retry, backoff) = (
            decide::may_retry(class.comes_again, loss),
            class.again_after_us,
        );
        let (name, node) = (job.name.to_string(), self.nodes.name(attempt.node));
        if may_retry {
            self.cx.log(Event::JobRequeued {
                job: name,
                node,
                attempt: attempt.wire,
                reason: label,
            });
            if let Some(job) = self.ledger.job_mut(attempt.job) {
                (job.phase, job.is_retry, job.until) = (Phase::Delayed, true, now + backoff);
            }
            self.cx
                .set_timer(now + backoff, Timer::RequestPlacement(attempt.job));
        } else {
            let why = match loss {
                Loss::Unknown => "it may run still, and its class forbids a second copy",
                Loss::Ended | Loss::NeverRan => "its class forbids a second start",
            };
            let ending = Ending::aborted(format!("{label} at {node}; {why}"));
            self.end_job(now, attempt.job, ending);
        }
    }
}
