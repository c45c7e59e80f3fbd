//! One job: what it waits for, the attempts made for it, and how it ended.

use std::sync::Arc;

use reedring::{AttemptId, Micros, RequestId, TaskKey};
use reedring_drmaa::rpc::{AttemptLine, JobDetail, JobLine};
use reedring_drmaa::{End, JobInfo, JobState};
use reedring_settings::Settings;
use reedring_state::{Ending, Outcome};

use super::job_name::JobName;
use crate::ids::{NodeNumber, SessionNumber};
use crate::requirements::JobRequirements;

/// Attempts in the history of a job: those of a few placements.
const MAX_HISTORY: usize = 32;

/// What a job waits for, or how it ended.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Its user put it on hold.
    OnHold,
    /// It waits for its start time, or for the end of its backoff after it was lost.
    Delayed,
    /// It waits for the decision module's answer to this request.
    Requested(RequestId),
    /// A node accepted this attempt.
    Placed(AttemptId),
    Running(AttemptId),
    Suspended(AttemptId),
    /// It is being ended: some copy may still run.
    Ending(Ending),
    Ended(Ending),
}

/// Where and when an attempt was made, and what became of it.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub attempt: AttemptId,
    pub node: NodeNumber,
    pub sent: Micros,
    pub result: &'static str,
}

/// A job.
#[derive(Debug)]
pub(crate) struct Job {
    pub name: JobName,
    pub session: SessionNumber,
    pub requirements: Arc<JobRequirements>,
    pub key: TaskKey,
    pub phase: Phase,
    /// Attempts that are offered, or hold a copy.
    pub attempts: Vec<AttemptId>,
    pub history: Vec<AttemptRecord>,
    /// Attempts made for it, also those that the history has lost.
    pub attempt_count: u32,
    /// The answer about its placement, once it has one.
    pub outcome: Option<Outcome>,
    /// It was placed and lost before, or submitted to a former incarnation.
    pub is_retry: bool,
    /// An attempt that is closed may have run, and no placement came of it.
    pub may_have_run: bool,
    /// It was being placed when a former incarnation ended, and what became of that is not known yet.
    pub recovering: bool,
    /// The first batch that has its row; 0 where a former incarnation recorded it.
    pub recorded_in: Option<u64>,
    /// The batch that has its end.
    pub end_recorded_in: Option<u64>,
    /// When its client gives up, while it is requested; when it is requested, while it is delayed.
    pub until: Micros,
    pub submitted: Micros,
    pub placed: Option<Micros>,
    pub started: Option<Micros>,
    pub ended: Option<Micros>,
    /// Clauses of its constraint that were violated when it ended.
    pub violated: Option<String>,
}

impl Job {
    /// A job that nothing has happened to.
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

    /// Its state as DRMAA names it.
    pub const fn state(&self) -> JobState {
        match &self.phase {
            Phase::OnHold => JobState::UserOnHold,
            Phase::Delayed | Phase::Requested(_) | Phase::Placed(_) => JobState::QueuedActive,
            Phase::Running(_) => JobState::Running,
            Phase::Suspended(_) => JobState::UserSuspended,
            // Its user asked for its end; whether it still runs is not known before its node reports.
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

    /// The request that the decision module has not answered.
    pub const fn open_request(&self) -> Option<RequestId> {
        match self.phase {
            Phase::Requested(request) => Some(request),
            _ => None,
        }
    }

    /// The attempt that holds its accepted copy.
    pub const fn placed_attempt(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Placed(attempt) | Phase::Running(attempt) | Phase::Suspended(attempt) => {
                Some(attempt)
            }
            _ => None,
        }
    }

    /// An attempt was made.
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

    /// What became of an attempt.
    pub fn record_result(&mut self, attempt: AttemptId, result: &'static str) {
        let mut newest_first = self.history.iter_mut().rev();
        if let Some(record) = newest_first.find(|record| record.attempt == attempt) {
            record.result = result;
        }
    }

    /// What `drmaa_wait` returns. `unix` turns the core's time into seconds since 1970.
    pub fn info(&self, node: Option<&str>, unix: impl Fn(Micros) -> f64) -> Option<JobInfo> {
        let Phase::Ended(ending) = &self.phase else {
            return None;
        };
        let mut usage: Vec<(String, String)> = Vec::new();
        let mut add = |name: &str, value: String| usage.push((name.to_owned(), value));
        let seconds = |at: Micros| format!("{:.6}", unix(at));
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

    /// What operators see of it among others.
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

    /// What operators see of it alone.
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
