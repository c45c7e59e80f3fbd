//! One job: its phase, its requirements, the attempts made for it, and how it ended.

use std::sync::Arc;

use reedring::{AttemptId, Micros, RequestId, TaskKey};
use reedring_drmaa::rpc::{AttemptLine, JobDetail, JobLine};
use reedring_drmaa::{End, JobInfo, JobState};
use reedring_settings::Settings;
use reedring_state::{Ending, Outcome};

use super::job_name::JobName;
use crate::ids::{NodeNumber, SessionNumber};
use crate::requirements::JobRequirements;

/// Maximum number of attempts kept in the history of a job, enough for a few placements. The oldest is dropped.
const MAX_HISTORY: usize = 32;

/// The phase of a job's life cycle.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// The user put the job on hold.
    OnHold,
    /// The job waits for its start time, for the end of its backoff after it was lost, or for the recovery of its
    /// placement after a restart.
    Delayed,
    /// The job waits for the decision module's answer to this request.
    Requested(RequestId),
    /// A node accepted this attempt, and has not reported the task as started.
    Placed(AttemptId),
    Running(AttemptId),
    Suspended(AttemptId),
    /// The job is being stopped; some copy of it may still run.
    Ending(Ending),
    Ended(Ending),
}

/// An attempt in a job's history: where and when it was made, and its result.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub attempt: AttemptId,
    pub node: NodeNumber,
    pub sent: Micros,
    /// The result in words, for operators; `out` until it is known.
    pub result: &'static str,
}

/// A job of this placer, submitted to this incarnation or restored from a former one.
#[derive(Debug)]
pub(crate) struct Job {
    pub name: JobName,
    pub session: SessionNumber,
    pub requirements: Arc<JobRequirements>,
    pub key: TaskKey,
    pub phase: Phase,
    /// The open attempts: those whose end is not known yet.
    pub attempts: Vec<AttemptId>,
    /// The latest attempts, the oldest first; at most [`MAX_HISTORY`].
    pub history: Vec<AttemptRecord>,
    /// Number of all attempts made for this job, including those dropped from `history`.
    pub attempt_count: u32,
    /// The outcome of the job's placement; `None` until it is decided.
    pub outcome: Option<Outcome>,
    /// The job was placed and lost before, or was submitted to a former incarnation.
    pub is_retry: bool,
    /// A closed attempt that did not lead to a placement may have run. Reset when a new placement is requested.
    pub may_have_run: bool,
    /// The job was being placed when a former incarnation ended, and the result is not known yet.
    pub recovering: bool,
    /// Number of the first batch that contains the job's row, or 0 if a former incarnation persisted it. `None` if no
    /// batch contains it.
    pub recorded_in: Option<u64>,
    /// Number of the batch that contains the job's end, or 0 if a former incarnation persisted it. `None` if no
    /// batch contains it.
    pub end_recorded_in: Option<u64>,
    /// While the job is requested or recovering: when its client gives up. While it is delayed: when its placement is
    /// requested.
    pub until: Micros,
    pub submitted: Micros,
    pub placed: Option<Micros>,
    pub started: Option<Micros>,
    pub ended: Option<Micros>,
    /// The clauses of the job's constraint that were violated when it ended; `None` if there were none.
    pub violated: Option<String>,
}

impl Job {
    /// A new job submitted at `now`, without attempts, in phase [`Phase::Delayed`].
    pub fn new(
        name: JobName,
        session: SessionNumber,
        requirements: Arc<JobRequirements>,
        key: TaskKey,
        now: Micros,
    ) -> Self {
        Self {
            name,
            session,
            requirements,
            key,
            phase: Phase::Delayed,
            attempts: Vec::new(),
            history: Vec::new(),
            attempt_count: 0,
            outcome: None,
            is_retry: false,
            may_have_run: false,
            recovering: false,
            recorded_in: None,
            end_recorded_in: None,
            until: now,
            submitted: now,
            placed: None,
            started: None,
            ended: None,
            violated: None,
        }
    }

    /// The state of the job in the terms of DRMAA.
    pub const fn state(&self) -> JobState {
        match &self.phase {
            Phase::OnHold => JobState::UserOnHold,
            Phase::Delayed | Phase::Requested(_) | Phase::Placed(_) => JobState::QueuedActive,
            Phase::Running(_) => JobState::Running,
            Phase::Suspended(_) => JobState::UserSuspended,
            // The job is being stopped; until its node reports, it is not known whether it still runs.
            Phase::Ending(_) => JobState::Undetermined,
            Phase::Ended(Ending {
                end: End::Exited { .. },
                ..
            }) => JobState::Done,
            Phase::Ended(_) => JobState::Failed,
        }
    }

    pub const fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    pub const fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_) | Phase::Suspended(_))
    }

    /// The request that the decision module has not answered yet, if the job waits for one.
    pub const fn open_request(&self) -> Option<RequestId> {
        match self.phase {
            Phase::Requested(request) => Some(request),
            _ => None,
        }
    }

    /// The accepted attempt of a job that is placed, running or suspended.
    pub const fn placed_attempt(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Placed(attempt) | Phase::Running(attempt) | Phase::Suspended(attempt) => {
                Some(attempt)
            }
            _ => None,
        }
    }

    /// Adds an attempt to the history and counts it.
    pub fn record_attempt(&mut self, attempt: AttemptId, node: NodeNumber, sent: Micros) {
        if self.history.len() >= MAX_HISTORY {
            self.history.remove(0);
        }
        self.attempt_count += 1;
        self.history.push(AttemptRecord {
            attempt,
            node,
            sent,
            result: "out",
        });
    }

    /// Records the result of an attempt, if it is still in the history.
    pub fn record_result(&mut self, attempt: AttemptId, result: &'static str) {
        let mut newest_first = self.history.iter_mut().rev();
        if let Some(record) = newest_first.find(|record| record.attempt == attempt) {
            record.result = result;
        }
    }

    /// The information that `drmaa_wait` returns; `None` while the job has not ended.
    ///
    /// `node` is the name of the node to report, if any. `unix_seconds` converts the core's time into seconds since
    /// 1970.
    pub fn info(
        &self,
        node: Option<&str>,
        unix_seconds: impl Fn(Micros) -> f64,
    ) -> Option<JobInfo> {
        let Phase::Ended(ending) = &self.phase else {
            return None;
        };
        let mut usage: Vec<(String, String)> = Vec::new();
        let mut add = |name: &str, value: String| usage.push((name.to_owned(), value));
        let seconds = |at: Micros| format!("{:.6}", unix_seconds(at));
        add("submission_time", seconds(self.submitted));
        self.placed
            .into_iter()
            .for_each(|at| add("reedring.placed_time", seconds(at)));
        self.started
            .into_iter()
            .for_each(|at| add("start_time", seconds(at)));
        self.ended
            .into_iter()
            .for_each(|at| add("end_time", seconds(at)));
        if let Some((from, to)) = self.started.zip(self.ended) {
            add(
                "wallclock",
                format!("{:.6}", to.saturating_sub(from) as f64 / 1e6),
            );
        }
        add(
            "reedring.outcome",
            self.outcome.unwrap_or(Outcome::Failed).as_str().to_owned(),
        );
        add("reedring.attempts", self.attempt_count.to_string());
        node.into_iter()
            .for_each(|node| add("reedring.node", node.to_owned()));
        ending
            .reason
            .iter()
            .for_each(|reason| add("reedring.reason", reason.clone()));
        self.violated
            .iter()
            .for_each(|violated| add("reedring.broken", violated.clone()));
        if let Some(us) = ending.retry_after_us {
            add("reedring.stay_away_ms", (us / 1_000).to_string());
        }
        Some(JobInfo {
            job: self.name.to_string(),
            end: ending.end.clone(),
            usage,
        })
    }

    /// The job as one line of the job list for operators.
    pub fn line(&self, settings: &Settings, node: Option<&str>, now: Micros) -> JobLine {
        let requirements = &self.requirements;
        JobLine {
            job: self.name.to_string(),
            state: self.state(),
            outcome: self.outcome.map(|outcome| outcome.as_str().to_owned()),
            class: settings.classes[usize::from(requirements.class)]
                .name
                .clone(),
            tenant: settings.tenants[usize::from(requirements.tenant)].clone(),
            service: requirements.service.clone(),
            node: node.map(str::to_owned),
            age_ms: now.saturating_sub(self.submitted) / 1_000,
        }
    }

    /// The details of the job for operators. The caller fills in `stands`.
    pub fn detail(&self, line: JobLine, node_name: impl Fn(NodeNumber) -> String) -> JobDetail {
        let reason = match &self.phase {
            Phase::Ending(ending) | Phase::Ended(ending) => ending.reason.clone(),
            _ => None,
        };
        let attempt = |record: &AttemptRecord| AttemptLine {
            node: node_name(record.node),
            sent_ms: record.sent.saturating_sub(self.submitted) / 1_000,
            fate: record.result.to_owned(),
        };
        JobDetail {
            line,
            session: self.name.session.to_string(),
            cores: self.requirements.cores,
            memory: self.requirements.memory,
            reason,
            attempts: self.history.iter().map(attempt).collect(),
            constraint: self
                .requirements
                .constraint
                .as_ref()
                .map(|constraint| constraint.text.clone()),
            stands: Vec::new(),
        }
    }
}
