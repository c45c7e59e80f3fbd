//! Task copies that a node reports and that are not in the ledger: each is adopted as a job's copy, or is stopped.

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

/// Why a job can't be reconstructed from the task that a node reports.
#[derive(Debug)]
enum AdoptionError {
    /// The job's name does not parse.
    InvalidName,
    /// The payload is not a job template.
    InvalidTemplate(serde_json::Error),
    /// The template does not fit the current settings, or its session can't be opened.
    Rejected(reedring_drmaa::Error),
}

impl std::fmt::Display for AdoptionError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::InvalidName => f.write_str("the task's job name is not valid"),
            Self::InvalidTemplate(error) => {
                write!(f, "the task's payload is not a valid job template: {error}")
            }
            Self::Rejected(error) => f.write_str(&error.message),
        }
    }
}

impl JobLifecycle<'_> {
    /// Handles a task that a node reports and whose attempt is not open in the ledger.
    pub(super) fn unknown_attempt_reported(
        &mut self,
        now: Micros,
        number: NodeNumber,
        reported: InFlightTask,
    ) {
        let InFlightTask {
            attempt,
            task,
            state,
        } = reported;
        if let InFlightState::Ended { end, ran } = state {
            return self.unknown_end_reported(now, number, attempt, &task, end, ran);
        }
        let job = self.job_named(&task.job);
        let status = self.job_status(job, attempt, &task.job);
        let is_adopted = match decide::copy_action(status) {
            // The node may still reject a copy that is in its queue of offers.
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

    fn job_status(
        &self,
        job: Option<JobNumber>,
        attempt: wire::AttemptId,
        name: &str,
    ) -> JobStatus {
        match job.and_then(|job| self.ledger.job(job)) {
            Some(job) => match job.phase {
                Phase::Requested(_) | Phase::Delayed => JobStatus::Queued,
                Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_) => {
                    JobStatus::PlacedElsewhere
                }
                Phase::OnHold | Phase::Ending(_) | Phase::Ended(_) => JobStatus::Ended,
            },
            None if self.ledger.is_known(attempt) => JobStatus::Removed,
            None if self.is_settled(attempt, name) => JobStatus::Removed,
            None => JobStatus::Unknown,
        }
    }

    /// Handles the end of a task whose attempt is not open in the ledger. If a former incarnation placed the task and
    /// its client did not get the end, the task is adopted as a job that has ended, since the client may still wait for
    /// it.
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
        // A recovering job may have run although the ledger does not have this attempt: the offer of a safe task may
        // be sent before it is recorded.
        let job = self.job_named(&task.job);
        let recovering = job.filter(|job| self.ledger.job(*job).is_some_and(|job| job.recovering));
        let is_unreturned =
            recovering.is_some() || job.is_none() && !self.is_settled(attempt, &task.job);
        if !self.ledger.is_known(attempt)
            && is_unreturned
            && ran
            && self.adopt(
                now,
                number,
                attempt,
                task,
                recovering,
                &InFlightState::Running,
            )
            && let Some(id) = self.ledger.find_by_wire_id(attempt)
        {
            self.attempt_ended(now, id, end, ran, Vec::new());
        }
    }

    /// Makes a copy that a node reports the job's accepted copy. Returns false where the copy can't be adopted.
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
        self.apply_in_flight_state(now, id, state);
        true
    }

    /// Adds an adopted attempt to the ledger, already accepted. Returns false where its job is not in the ledger.
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
        self.ledger.open_attempt(id, attempt);
        self.nodes.add_attempt(node, id);
        if let Some(entry) = self.ledger.job_mut(job) {
            entry.record_attempt(id, node, now);
            entry.record_result(id, "adopted");
        }
        true
    }

    /// The job that adopts a copy: the given job of the ledger, whose request is withdrawn and whose other attempts are
    /// stopped, or a new job that is reconstructed from the task.
    fn job_to_adopt_for(
        &mut self,
        now: Micros,
        number: NodeNumber,
        attempt: wire::AttemptId,
        task: &wire::Task,
        job: Option<JobNumber>,
    ) -> Option<JobNumber> {
        if let Some(job) = job {
            // Its open request and its other attempts could only start a second copy.
            self.withdraw_job(job);
            self.mark_recovered(job);
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

    /// Adds a job to the ledger that is reconstructed from a task: the task has its session, template and class.
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
        // The values of the offer apply, even where the settings have changed since.
        (requirements.cores, requirements.memory) = (task.cores, task.memory);
        requirements.service.clone_from(&task.service);
        requirements.expected_run_time_us = (task.expected_duration_ms > 0)
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
