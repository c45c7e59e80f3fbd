//! Requests to the decision module for the placement of a job, and the module's answers.

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

/// Microseconds after which an overdue request is checked again if the decision module has not processed all events.
const OVERDUE_RETRY_US: Micros = 1_000;

impl JobLifecycle<'_> {
    /// The description of a job for the decision module.
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
            life_us: requirements.expected_run_time_us,
            again: job.is_retry,
        })
    }

    /// Requests the placement of a job from the decision module, to be answered before the job's client gives up.
    pub fn request_placement(&mut self, now: Micros, job: JobNumber) {
        self.request_placement_until(now, job, None);
    }

    /// Requests the placement of a job whose start time has come, or whose backoff after a loss is over.
    pub fn delay_elapsed(&mut self, now: Micros, job: JobNumber) {
        let is_delayed = |job: &Job| matches!(job.phase, Phase::Delayed);
        if self.ledger.job(job).is_some_and(is_delayed) {
            self.request_placement(now, job);
        }
    }

    /// Requests the placement of a job whose client gives up at `until`, where that is earlier than its class says.
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
        let Some(grace_us) = self.placement_grace(now, job, until) else {
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
        if let Some(explanation) = constrained
            .as_ref()
            .and_then(|job| self.constraints.explain_impossible(job))
        {
            self.record_outcome(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted(format!("refused: {explanation}")));
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

    /// Opens a request that the decision module is to answer before the job's client gives up in `grace_us`.
    fn open_request(&mut self, now: Micros, task: Task, number: JobNumber, grace_us: Micros) {
        let request = task.request;
        if let Some(job) = self.ledger.job_mut(number) {
            job.phase = Phase::Requested(request);
            job.until = now + grace_us;
            job.may_have_run = false;
        }
        self.ledger.open_request(request, number);
        // The answer must reach the client before it gives up, so the module gets less time than the client waits.
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

    /// Microseconds for which the client of a job waits for its placement: the least of its class's limit, the
    /// template's deadline and `until`.
    fn placement_grace(
        &mut self,
        now: Micros,
        job: JobNumber,
        until: Option<Micros>,
    ) -> Option<Micros> {
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

    /// Withdraws the open request of a job, if it has one.
    pub(super) fn withdraw_job(&mut self, job: JobNumber) {
        if let Some(request) = self.ledger.job(job).and_then(|job| job.open_request()) {
            self.withdraw(request);
        }
    }

    /// Withdraws a request; the decision module then stops its attempts.
    pub fn withdraw(&mut self, request: RequestId) {
        self.ledger.close_request(request);
        self.constraints.request_closed(request);
        self.blocks.request_closed(request);
        self.cx.notify_module(ModuleEvent::Withdrawn(request));
    }

    /// Ends the job of a request that the decision module refuses or fails. The reason lists the attempts that were
    /// made, the blocked nodes and the job's constraint.
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
        let mut reason = self.describe_attempts(job, request);
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

    /// The results of a request's attempts in words, with their counts and nodes.
    fn describe_attempts(&self, job: JobNumber, request: RequestId) -> String {
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

    /// Fails a job whose request the decision module has not answered in time. The module is expected to answer every
    /// request, so this is a safeguard.
    pub fn placement_overdue(&mut self, now: Micros, job: JobNumber, request: RequestId) {
        if self.cx.has_module_events() {
            // After the process was stalled, the module may not have processed the events that are due with this timer.
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
