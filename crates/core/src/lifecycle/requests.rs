//! Requests to the decision module: a job is handed to it, and gets its answer.

use std::collections::{BTreeMap, BTreeSet};

use reedring::names::service_id;
use reedring::{Event as ModuleEvent, Micros, RequestId, Task};
use reedring_drmaa::End;
use reedring_state::{Ending, Outcome};

use super::JobLifecycle;
use crate::constraints::OpenMachines;
use crate::decide;
use crate::event::Event;
use crate::ids::{JobNumber, NodeNumber};
use crate::ledger::{Job, Phase};
use crate::timers::Timer;

/// Microseconds after which an overdue request is looked at again, where the decision module has not seen all events.
const OVERDUE_RETRY_US: Micros = 1_000;

impl JobLifecycle<'_> {
    /// A job as the decision module knows it.
    pub fn module_task(&self, job: JobNumber, request: RequestId) -> Option<Task> {
        let job = self.ledger.job(job)?;
        let requirements = &job.requirements;
        let class = &self.cx.class(requirements.class).name;
        Some(Task {
            request,
            class: requirements.class,
            tenant: requirements.tenant,
            key: job.key,
            service: service_id(class, &requirements.service),
            cores: requirements.cores,
            memory: requirements.memory,
            life_us: requirements.life_us,
            again: job.is_retry,
        })
    }

    /// Hands a job to the decision module: from here on its client is owed one answer in time.
    pub fn request_placement(&mut self, now: Micros, job: JobNumber) {
        self.request_placement_until(now, job, None);
    }

    /// The start time of a job has come, or its backoff after a loss is over.
    pub fn delay_over(&mut self, now: Micros, job: JobNumber) {
        let is_delayed = |job: &Job| matches!(job.phase, Phase::Delayed);
        if self.ledger.job(job).is_some_and(is_delayed) {
            self.request_placement(now, job);
        }
    }

    /// The same, where the client gives up earlier than its class says.
    pub(super) fn request_placement_until(
        &mut self,
        now: Micros,
        job: JobNumber,
        until: Option<Micros>,
    ) {
        let request = self.ledger.new_request();
        let Some(task) = self.module_task(job, request) else {
            return;
        };
        let Some(grace_us) = self.grace(now, job, until) else {
            return;
        };
        if grace_us == 0 {
            self.record_outcome(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted("its drmaa_deadline_time is over"));
        }
        let constrained = self
            .ledger
            .job(job)
            .and_then(|job| job.requirements.constrained_job());
        if let Some(never) = constrained
            .as_ref()
            .and_then(|job| self.constraints.impossible(job))
        {
            self.record_outcome(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted(format!("refused: {never}")));
        }
        self.open_request(now, task, job, grace_us);
        match constrained {
            Some(constrained) => {
                let OpenMachines { request, machines } =
                    self.constraints.request_queued(request, constrained);
                self.cx
                    .notify_module(ModuleEvent::EligibilityChanged { request, machines });
            }
            None => self.blocks.restrict(request, self.nodes, self.cx),
        }
    }

    /// Has the decision module answer a request before the client of its job gives up.
    fn open_request(&mut self, now: Micros, task: Task, number: JobNumber, grace_us: Micros) {
        let request = task.request;
        if let Some(job) = self.ledger.job_mut(number) {
            job.phase = Phase::Requested(request);
            job.until = now + grace_us;
            job.may_have_run = false;
        }
        self.ledger.open_request(request, number);
        // The answer must be with the client before it gives up, so the module gets a little less time.
        let margin = decide::answer_margin(grace_us, self.cx.lag(now));
        let deadline = Timer::PlacementDeadline {
            job: number,
            request: request.0,
        };
        self.cx.set_timer(now + grace_us - margin / 2, deadline);
        self.cx.notify_module(ModuleEvent::Arrived {
            task,
            grace_us: grace_us - margin,
        });
    }

    /// For how long the client of a job waits for its placement.
    fn grace(&mut self, now: Micros, job: JobNumber, until: Option<Micros>) -> Option<Micros> {
        let requirements = &self.ledger.job_mut(job)?.requirements;
        let give_up = self.cx.class(requirements.class).give_up_us;
        let give_up = until.map_or(give_up, |until| give_up.min(until.saturating_sub(now)));
        let clock = self.cx.clock();
        let unix_us = clock.unix_us(now) as i64;
        let deadline = requirements
            .spec
            .deadline
            .map(|at| at.saturating_mul(1_000_000));
        let left = deadline.map(|at| at.saturating_sub(unix_us).max(0));
        Some(left.map_or(give_up, |left| give_up.min(left as u64)))
    }

    /// Withdraws the open request of a job: nobody wants it placed any more.
    pub(super) fn withdraw_job(&mut self, job: JobNumber) {
        if let Some(request) = self.ledger.job(job).and_then(|job| job.open_request()) {
            self.withdraw(request);
        }
    }

    /// Withdraws a request; the decision module stops what is offered.
    pub fn withdraw(&mut self, request: RequestId) {
        self.ledger.close_request(request);
        self.constraints.request_closed(request);
        self.blocks.request_closed(request);
        self.cx.notify_module(ModuleEvent::Withdrawn(request));
    }

    /// The decision module's final answer to a request.
    pub fn answer(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        retry_after_us: Option<Micros>,
    ) {
        let Some(job) = self.ledger.close_request(request) else {
            return;
        };
        let mut reason = self.why_unplaced(job, request);
        let blocked = self.blocks.describe();
        if !blocked.is_empty() {
            reason = format!("{reason}; {blocked}");
        }
        if let Some(constraint) = self.constraints.why_unplaced(request) {
            reason = format!("{reason}; {constraint}");
        }
        self.constraints.request_closed(request);
        self.blocks.request_closed(request);
        self.record_outcome(job, outcome);
        let reason = match outcome {
            Outcome::Refused => format!("refused: {reason}"),
            _ => format!("failed: {reason}; it may have run"),
        };
        self.end_job(
            now,
            job,
            Ending {
                end: End::Aborted,
                reason: Some(reason),
                retry_after_us,
            },
        );
    }

    /// What became of a request's attempts, in words.
    fn why_unplaced(&self, job: JobNumber, request: RequestId) -> String {
        let Some(job) = self.ledger.job(job) else {
            return String::new();
        };
        let mut results: BTreeMap<&str, (u32, BTreeSet<NodeNumber>)> = BTreeMap::new();
        for record in job
            .history
            .iter()
            .filter(|record| record.attempt.request == request)
        {
            let (count, nodes) = results.entry(record.result).or_default();
            *count += 1;
            nodes.insert(record.node);
        }
        if results.is_empty() {
            return "no node may take it".to_owned();
        }
        let words = results.iter().map(|(result, (count, nodes))| {
            let nodes: Vec<String> = nodes.iter().map(|node| self.nodes.name(*node)).collect();
            format!("{count} {result} ({})", nodes.join(", "))
        });
        words.collect::<Vec<_>>().join(", ")
    }

    /// The last guard of the answer in time: the decision module gives it; if it ever does not, the job fails.
    pub fn placement_overdue(&mut self, now: Micros, job: JobNumber, request: RequestId) {
        if self.cx.has_module_events() {
            // After a standstill the module may not have seen yet what came with this timer.
            let deadline = Timer::PlacementDeadline {
                job,
                request: request.0,
            };
            return self.cx.set_timer(now + OVERDUE_RETRY_US, deadline);
        }
        if self.ledger.request_job(request) == Some(job) {
            let name = self
                .ledger
                .job(job)
                .map(|job| job.name.to_string())
                .unwrap_or_default();
            self.cx.log(Event::RequestOverdue {
                request: request.0,
                job: name,
            });
            self.withdraw_job(job);
            self.ledger.open_request(request, job);
            self.answer(now, request, Outcome::Failed, None);
        }
    }
}
