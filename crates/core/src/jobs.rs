//! The ledger: jobs, what they wait for, and how they ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::{AttemptId, MachineId, Micros, RequestId, TaskKey};
use reedring_constraint::Topic;
use reedring_drmaa::rpc::{AttemptLine, JobDetail, JobLine};
use reedring_drmaa::{End, JobInfo, JobState};
use reedring_node_protocol as wire;
use reedring_settings::Settings;
pub(crate) use reedring_state::{Ending, Outcome};

use crate::ask::Ask;
use crate::decide::Known;

/// A job's number, in the order of submission.
pub(crate) type JobNo = u64;
/// A session's number.
pub(crate) type SessionNo = u32;
/// A node's number in this life of the placer.
pub(crate) type NodeNo = u32;

/// Lines of history kept for a job: attempts of a few placings.
const HISTORY: usize = 32;

/// The name of a job: its session, the call that submitted it, its index there. The same at every life of
/// the placer, so that a job is known again by what a node holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobName {
    pub session: Arc<str>,
    pub call: u64,
    pub index: u64,
}

impl JobName {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (session, call, index) = (parts.next()?, parts.next()?, parts.next()?);
        let number = |text: &str| text.parse().ok().filter(|n: &u64| n.to_string() == text);
        let name = Self {
            session: session.into(),
            call: number(call)?,
            index: number(index)?,
        };
        parts.next().is_none().then_some(name)
    }
}

impl std::fmt::Display for JobName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.session, self.call, self.index)
    }
}

/// What a job waits for, or how it ended.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Its user holds it.
    Held,
    /// Its start time, or the end of its wait after it was lost.
    Delayed,
    /// The module's answer to this request.
    Asked(RequestId),
    /// Accepted.
    Placed(AttemptId),
    Running(AttemptId),
    Suspended(AttemptId),
    /// Being ended: some copy may stand still.
    Ending(Ending),
    Ended(Ending),
}

/// Where and when an attempt was made, and what became of it.
#[derive(Debug)]
pub(crate) struct Trial {
    pub attempt: AttemptId,
    pub node: NodeNo,
    pub sent: Micros,
    pub fate: &'static str,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub name: JobName,
    pub session: SessionNo,
    pub ask: Arc<Ask>,
    pub key: TaskKey,
    pub phase: Phase,
    /// Attempts that are out, or hold a copy.
    pub copies: Vec<AttemptId>,
    pub history: Vec<Trial>,
    /// Attempts made for it, also those that the history has lost.
    pub tries: u32,
    /// The answer about its placing, once it has one.
    pub outcome: Option<Outcome>,
    /// It was placed and lost before.
    pub again: bool,
    /// An attempt that is closed may have run, and no placing came of it.
    pub may_have_run: bool,
    /// It was being placed when a former life ended, and what became of that is not known yet.
    pub recovering: bool,
    /// The first batch that has its row; 0 where a former life kept it.
    pub kept: Option<u64>,
    /// The batch that has its end.
    pub end_kept: Option<u64>,
    /// When its owner gives up, while it is asked for; when it is asked for, while it is delayed.
    pub until: Micros,
    pub submitted: Micros,
    pub placed: Option<Micros>,
    pub started: Option<Micros>,
    pub ended: Option<Micros>,
    /// Clauses of its constraint that did not hold when it ended.
    pub broken: Option<String>,
}

impl Job {
    /// A job that nothing has happened to.
    pub fn new(
        name: JobName,
        session: SessionNo,
        ask: Arc<Ask>,
        key: TaskKey,
        now: Micros,
    ) -> Self {
        Self {
            name,
            session,
            ask,
            key,
            phase: Phase::Delayed,
            copies: Vec::new(),
            history: Vec::new(),
            tries: 0,
            outcome: None,
            again: false,
            may_have_run: false,
            recovering: false,
            kept: None,
            end_kept: None,
            until: now,
            submitted: now,
            placed: None,
            started: None,
            ended: None,
            broken: None,
        }
    }

    pub fn state(&self) -> JobState {
        match &self.phase {
            Phase::Held => JobState::UserOnHold,
            Phase::Delayed | Phase::Asked(_) | Phase::Placed(_) => JobState::QueuedActive,
            Phase::Running(_) => JobState::Running,
            Phase::Suspended(_) => JobState::UserSuspended,
            // Its user asked for its end; whether it still runs is not known before its node tells.
            Phase::Ending(_) => JobState::Undetermined,
            Phase::Ended(Ending {
                end: End::Exited { .. },
                ..
            }) => JobState::Done,
            Phase::Ended(_) => JobState::Failed,
        }
    }

    pub fn is_over(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    /// The attempt that holds its accepted copy.
    pub fn holder(&self) -> Option<AttemptId> {
        match self.phase {
            Phase::Placed(attempt) | Phase::Running(attempt) | Phase::Suspended(attempt) => {
                Some(attempt)
            }
            _ => None,
        }
    }

    pub fn tried(&mut self, attempt: AttemptId, node: NodeNo, sent: Micros) {
        if self.history.len() >= HISTORY {
            self.history.remove(0);
        }
        self.tries += 1;
        self.history.push(Trial {
            attempt,
            node,
            sent,
            fate: "out",
        });
    }

    pub fn fate(&mut self, attempt: AttemptId, fate: &'static str) {
        if let Some(trial) = self
            .history
            .iter_mut()
            .rev()
            .find(|trial| trial.attempt == attempt)
        {
            trial.fate = fate;
        }
    }

    /// What `drmaa_wait` tells. `unix` turns the core's time into seconds since 1970.
    pub fn info(&self, node: Option<&str>, unix: impl Fn(Micros) -> f64) -> Option<JobInfo> {
        let Phase::Ended(ending) = &self.phase else {
            return None;
        };
        let mut usage: Vec<(String, String)> = Vec::new();
        let mut tell = |name: &str, value: String| usage.push((name.to_owned(), value));
        let seconds = |at: Micros| format!("{:.6}", unix(at));
        tell("submission_time", seconds(self.submitted));
        self.placed
            .into_iter()
            .for_each(|at| tell("reedring.placed_time", seconds(at)));
        self.started
            .into_iter()
            .for_each(|at| tell("start_time", seconds(at)));
        self.ended
            .into_iter()
            .for_each(|at| tell("end_time", seconds(at)));
        if let Some((from, to)) = self.started.zip(self.ended) {
            tell(
                "wallclock",
                format!("{:.6}", to.saturating_sub(from) as f64 / 1e6),
            );
        }
        tell(
            "reedring.outcome",
            self.outcome.unwrap_or(Outcome::Failed).as_str().to_owned(),
        );
        tell("reedring.attempts", self.tries.to_string());
        node.into_iter()
            .for_each(|node| tell("reedring.node", node.to_owned()));
        ending
            .reason
            .iter()
            .for_each(|reason| tell("reedring.reason", reason.clone()));
        self.broken
            .iter()
            .for_each(|broken| tell("reedring.broken", broken.clone()));
        if let Some(us) = ending.retry_after_us {
            tell("reedring.stay_away_ms", (us / 1_000).to_string());
        }
        Some(JobInfo {
            job: self.name.to_string(),
            end: ending.end.clone(),
            usage,
        })
    }

    pub fn line(&self, settings: &Settings, node: Option<&str>, now: Micros) -> JobLine {
        JobLine {
            job: self.name.to_string(),
            state: self.state(),
            outcome: self.outcome.map(|outcome| outcome.as_str().to_owned()),
            class: settings.classes[usize::from(self.ask.class)].name.clone(),
            tenant: settings.tenants[usize::from(self.ask.tenant)].clone(),
            service: self.ask.service.clone(),
            node: node.map(str::to_owned),
            age_ms: now.saturating_sub(self.submitted) / 1_000,
        }
    }

    pub fn detail(&self, line: JobLine, node_name: impl Fn(NodeNo) -> String) -> JobDetail {
        let reason = match &self.phase {
            Phase::Ending(ending) | Phase::Ended(ending) => ending.reason.clone(),
            _ => None,
        };
        let attempt = |trial: &Trial| AttemptLine {
            node: node_name(trial.node),
            sent_ms: trial.sent.saturating_sub(self.submitted) / 1_000,
            fate: trial.fate.to_owned(),
        };
        JobDetail {
            line,
            session: self.name.session.to_string(),
            cores: self.ask.cores,
            memory: self.ask.memory,
            reason,
            attempts: self.history.iter().map(attempt).collect(),
            constraint: self.ask.bound.as_ref().map(|bound| bound.text.clone()),
            stands: Vec::new(),
        }
    }
}

/// An attempt whose end is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub job: JobNo,
    pub node: NodeNo,
    pub machine: MachineId,
    /// Its name on the wire: of another life, or of another request, where it was adopted.
    pub wire: wire::AttemptId,
    pub sent: Micros,
    pub known: Known,
    /// It was accepted before it was stopped.
    pub accepted: bool,
    /// The module was told of it. It is not of what a former life offered and no node has accepted yet.
    pub told: bool,
    /// Its node's life when it was sent.
    pub node_life: Option<u64>,
    /// What its copy counts as; its job may be forgotten before its end is known.
    pub topics: Arc<Vec<Topic>>,
}

/// Every job and attempt of this life.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub jobs: BTreeMap<JobNo, Job>,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Adopted attempts by their names on the wire.
    adopted: BTreeMap<wire::AttemptId, AttemptId>,
    /// Requests that the module owes an answer, with the attempts made at each.
    pub requests: BTreeMap<RequestId, (JobNo, u16)>,
    last_job: JobNo,
    last_request: u64,
    pub live: usize,
    /// Jobs whose rows are not as they were kept last.
    pub changed: BTreeSet<JobNo>,
    /// Calls that lost a job since they were kept last.
    pub forgotten: BTreeSet<(SessionNo, u64)>,
}

impl Ledger {
    pub fn add(&mut self, job: Job) -> JobNo {
        self.last_job += 1;
        self.live += usize::from(!job.is_over());
        self.jobs.insert(self.last_job, job);
        self.changed.insert(self.last_job);
        self.last_job
    }

    /// A job of a former life, under its number there.
    pub fn restore(&mut self, number: JobNo, job: Job) {
        self.last_job = self.last_job.max(number);
        self.live += usize::from(!job.is_over());
        self.jobs.insert(number, job);
    }

    /// A job that is about to change.
    pub fn job_mut(&mut self, number: JobNo) -> Option<&mut Job> {
        let job = self.jobs.get_mut(&number)?;
        self.changed.insert(number);
        Some(job)
    }

    /// An attempt that is about to change.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(&id)?;
        self.changed.insert(attempt.job);
        Some(attempt)
    }

    pub fn forget(&mut self, number: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        self.changed.insert(number);
        self.forgotten.insert((job.session, job.name.call));
        Some(job)
    }

    pub fn new_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// The attempt that the wire calls so. `life` is this life.
    pub fn find(&self, life: u64, id: wire::AttemptId) -> Option<AttemptId> {
        let own = AttemptId {
            request: RequestId(id.request),
            number: id.number,
        };
        let own = (id.life == life).then_some(own);
        self.adopted
            .get(&id)
            .copied()
            .or(own)
            .filter(|id| self.attempts.contains_key(id))
    }

    pub fn open(&mut self, life: u64, id: AttemptId, attempt: Attempt) {
        let own = wire::AttemptId {
            life,
            request: id.request.0,
            number: id.number,
        };
        if attempt.wire != own {
            self.adopted.insert(attempt.wire, id);
        }
        if let Some(job) = self.job_mut(attempt.job) {
            job.copies.push(id);
        }
        self.attempts.insert(id, attempt);
    }

    /// An attempt's end is known; its job has one copy less.
    pub fn close(&mut self, id: AttemptId, fate: &'static str) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.adopted.remove(&attempt.wire);
        if let Some(job) = self.job_mut(attempt.job) {
            job.copies.retain(|copy| *copy != id);
            job.fate(id, fate);
        }
        Some(attempt)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn job_names_read_back_and_nothing_else_does() {
        let name = JobName {
            session: "s-1".into(),
            call: 4,
            index: 7,
        };
        assert_eq!(JobName::parse(&name.to_string()), Some(name));
        for odd in [
            "",
            "s",
            "s.1",
            "s.1.2.3",
            "s.01.2",
            "s.1.x",
            "s.+1.2",
            "s.1.99999999999999999999",
        ] {
            assert_eq!(JobName::parse(odd), None, "{odd}");
        }
    }
}
