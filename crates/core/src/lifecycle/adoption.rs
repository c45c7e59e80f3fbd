//! Copies that a node holds and the ledger does not know: each becomes a job's own, or is stopped.

use std::sync::Arc;

use reedring::{AttemptId, Event as ModuleEvent, MachineId, Micros, TaskKey};
use reedring_drmaa::JobSpec;
use reedring_node_protocol::{self as wire, InFlightState, InFlightTask, Message};

use super::JobLifecycle;
use crate::decide::{self, AttemptState, CopyAction, JobStatus};
use crate::event::Event;
use crate::ids::{JobNumber, NodeNumber};
use crate::ledger::{Attempt, Job, JobName, Phase};
use crate::requirements::JobRequirements;

/// Why a job can't be reconstructed from what a node was given.
#[derive(Debug)]
enum AdoptionError {
    InvalidName,
    InvalidTemplate(serde_json::Error),
    Rejected(reedring_drmaa::Error),
}

impl std::fmt::Display for AdoptionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidName => f.write_str("its name is not one of a job"),
            Self::InvalidTemplate(error) => write!(f, "its template: {error}"),
            Self::Rejected(error) => f.write_str(&error.message),
        }
    }
}

impl JobLifecycle<'_> {
    /// A node reports a copy that the ledger does not hold.
    pub(super) fn unknown_attempt_reported(
        &mut self,
        now: Micros,
        number: NodeNumber,
        held: InFlightTask,
    ) {
        let InFlightTask {
            attempt,
            task,
            state,
        } = held;
        if let InFlightState::Ended { end, ran } = state {
            return self.unknown_end_reported(now, number, attempt, &task, end, ran);
        }
        let job = self.job_named(&task.job);
        let status = self.status_of(job, attempt, &task.job);
        let is_adopted = match decide::copy_action(status) {
            // A copy still in the node's queue of offers is no copy to count on.
            CopyAction::Adopt if state == InFlightState::Queued => false,
            CopyAction::Adopt => self.adopt(now, number, attempt, &task, job, &state),
            CopyAction::Stop => false,
        };
        if !is_adopted {
            self.cx.stats.late_stopped += 1;
            self.ledger.note_closed(attempt);
            self.send(now, number, Message::Stop { attempt });
        }
    }

    fn status_of(&self, job: Option<JobNumber>, attempt: wire::AttemptId, name: &str) -> JobStatus {
        match job.and_then(|job| self.ledger.job(job)) {
            Some(job) => match job.phase {
                Phase::Requested(_) | Phase::Delayed => JobStatus::Queued,
                Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_) => {
                    JobStatus::PlacedElsewhere
                }
                Phase::OnHold | Phase::Ending(_) | Phase::Ended(_) => JobStatus::Ended,
            },
            None if self.ledger.is_known(attempt) => JobStatus::Forgotten,
            None if self.is_settled(attempt, name) => JobStatus::Forgotten,
            None => JobStatus::Unknown,
        }
    }

    /// An end that no attempt waits for. A task of a former incarnation whose end nobody was told is a job that has
    /// ended; its client may still ask.
    fn unknown_end_reported(
        &mut self,
        now: Micros,
        number: NodeNumber,
        attempt: wire::AttemptId,
        task: &wire::Task,
        end: wire::TaskEnd,
        ran: bool,
    ) {
        self.send(now, number, Message::Ack { attempt });
        // A job of the ledger whose offer left unrecorded ran all the same.
        let job = self.job_named(&task.job);
        let recovering = job.filter(|job| self.ledger.job(*job).is_some_and(|job| job.recovering));
        let is_untold =
            recovering.is_some() || job.is_none() && !self.is_settled(attempt, &task.job);
        if !self.ledger.is_known(attempt)
            && is_untold
            && ran
            && self.adopt(
                now,
                number,
                attempt,
                task,
                recovering,
                &InFlightState::Running,
            )
            && let Some(id) = self.ledger.find(attempt)
        {
            self.attempt_ended(now, id, end, ran, Vec::new());
        }
    }

    /// Makes a copy that a node holds the job's own; whether that could be done.
    fn adopt(
        &mut self,
        now: Micros,
        number: NodeNumber,
        wire: wire::AttemptId,
        task: &wire::Task,
        job: Option<JobNumber>,
        state: &InFlightState,
    ) -> bool {
        let Some(job) = self.job_to_adopt_for(now, number, wire, task, job) else {
            return false;
        };
        let Some(machine) = self.nodes.machine(number) else {
            return false;
        };
        let request = self.ledger.new_request();
        let id = AttemptId { request, number: 0 };
        let Some(module_task) = self.module_task(job, request) else {
            return false;
        };
        self.cx.notify_module(ModuleEvent::Adopted {
            task: module_task,
            machine,
        });
        if !self.open_adopted(now, id, job, number, machine, wire) {
            return false;
        }
        self.cx.stats.adopted += 1;
        self.job_placed(now, job, id);
        self.apply_held_state(now, id, state);
        true
    }

    /// Opens an adopted attempt in the ledger.
    fn open_adopted(
        &mut self,
        now: Micros,
        id: AttemptId,
        job: JobNumber,
        node: NodeNumber,
        machine: MachineId,
        wire: wire::AttemptId,
    ) -> bool {
        let Some(entry) = self.ledger.job(job) else {
            return false;
        };
        let topics = Arc::clone(&entry.requirements.topics);
        self.constraints.copy_added(&topics, node);
        let attempt = Attempt {
            job,
            node,
            machine,
            wire,
            sent: now,
            state: AttemptState::Accepted,
            accepted: true,
            announced: true,
            node_incarnation: self.nodes.incarnation(node),
            topics,
        };
        self.ledger.open(id, attempt);
        self.nodes.add_attempt(node, id);
        if let Some(entry) = self.ledger.job_mut(job) {
            entry.record_attempt(id, node, now);
            entry.record_result(id, "adopted");
        }
        true
    }

    /// The job of a copy: the ledger's, without what else is tried for it, or one made from what the node was given.
    fn job_to_adopt_for(
        &mut self,
        now: Micros,
        number: NodeNumber,
        attempt: wire::AttemptId,
        task: &wire::Task,
        job: Option<JobNumber>,
    ) -> Option<JobNumber> {
        if let Some(job) = job {
            // What is still tried for it would only make a second copy.
            self.withdraw_job(job);
            self.set_recovered(job);
            let attempts = self
                .ledger
                .job(job)
                .map(|job| job.attempts.clone())
                .unwrap_or_default();
            attempts.into_iter().for_each(|id| self.stop(now, id));
            return Some(job);
        }
        match self.reconstruct_job(now, task) {
            Ok(job) => Some(job),
            Err(error) => {
                let (node, job) = (self.nodes.name(number), task.job.clone());
                self.cx.log(Event::AttemptNotAdopted {
                    node,
                    job,
                    attempt,
                    reason: error.to_string(),
                });
                None
            }
        }
    }

    /// A job as a node reports it: its session, its template and its class are in what the node was given.
    fn reconstruct_job(
        &mut self,
        now: Micros,
        task: &wire::Task,
    ) -> Result<JobNumber, AdoptionError> {
        let name = JobName::parse(&task.job).ok_or(AdoptionError::InvalidName)?;
        let spec: JobSpec =
            serde_json::from_slice(&task.payload).map_err(AdoptionError::InvalidTemplate)?;
        let mut requirements = JobRequirements::new(spec, self.cx.settings(), None)
            .map_err(AdoptionError::Rejected)?;
        // What it was placed with holds, also where the settings say otherwise by now.
        (requirements.cores, requirements.memory) = (task.cores, task.memory);
        requirements.service.clone_from(&task.service);
        requirements.life_us = (task.expected_duration_ms > 0)
            .then(|| task.expected_duration_ms.saturating_mul(1_000));
        let limit = self.cx.settings().limits.sessions;
        let session = self
            .sessions
            .open(&name.session, now, limit)
            .map_err(AdoptionError::Rejected)?;
        let job = Job::new(
            name,
            session,
            Arc::new(requirements),
            TaskKey(task.idempotency_key),
            now,
        );
        Ok(self.add_job(Job {
            is_retry: true,
            ..job
        }))
    }
}
