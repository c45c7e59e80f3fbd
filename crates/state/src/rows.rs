//! What was promised, as rows: one for each session, call, template and job.

use std::collections::{BTreeMap, BTreeSet};

use reedring_drmaa::End;
use serde::{Deserialize, Serialize};

/// A job's number; it stays the same over restarts.
pub type JobNo = u64;
/// A session's number; it stays the same over restarts.
pub type SessionNo = u32;

/// The one final answer that a job's owner gets about its placing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A node accepted it.
    Placed,
    /// It never ran; asking again is harmless.
    Refused,
    /// No promise: it may have run.
    Failed,
    /// Ended by its user before it was placed.
    Terminated,
}

impl Outcome {
    /// The word for clients.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Terminated => "terminated",
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// As DRMAA has it.
    pub end: End,
    /// Why, for its owner.
    pub reason: Option<String>,
    /// For how long its owner is asked to wait before it asks again.
    pub stay_away_us: Option<u64>,
}

impl Ending {
    /// An end without a run.
    pub fn aborted(reason: impl Into<String>) -> Self {
        Self {
            end: End::Aborted,
            reason: Some(reason.into()),
            stay_away_us: None,
        }
    }

    /// The end of a run.
    pub fn ran(end: End) -> Self {
        Self {
            end,
            reason: None,
            stay_away_us: None,
        }
    }
}

/// A session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Its name.
    pub name: String,
    /// Calls below this one were answered, and forgotten.
    pub settled: u64,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A submission: the jobs' names follow from these indices.
    Submission {
        /// The first index.
        first: u64,
        /// No index is over this.
        last: u64,
        /// From one index to the next.
        step: u64,
    },
    /// Any other call's answer, as the JSON of its response.
    Told(String),
}

/// What the jobs of one call ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The template, as JSON.
    pub spec: String,
    /// Its class, by name: numbers change with the settings.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its service.
    pub service: String,
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory: f64,
    /// How long it should run.
    pub life_us: Option<u64>,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trial {
    /// Offered, no answer yet.
    Out,
    /// Accepted by its node.
    Accepted,
    /// Given up, and its node was asked to stop it.
    Stopping,
}

/// An attempt whose end is not known. Its name is that on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The life of the placer that made it.
    pub life: u64,
    /// The request within that life.
    pub request: u64,
    /// The attempt within that request.
    pub number: u16,
    /// Its node.
    pub node: String,
    /// The node's life when it was sent.
    pub node_life: Option<u64>,
    /// Microseconds since 1970 at which it was sent.
    pub sent: u64,
    /// What is known of it.
    pub known: Trial,
    /// It was accepted before it was stopped.
    pub accepted: bool,
}

/// What a job waits for, or how it ended. Times are microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its user holds it.
    Held,
    /// It is placed at this time at the earliest.
    Delayed {
        /// The time.
        until: u64,
    },
    /// It is to be placed, and its owner gives up at this time.
    Asked {
        /// The time.
        until: u64,
    },
    /// Accepted.
    Placed,
    /// Running.
    Running,
    /// Suspended.
    Suspended,
    /// Being ended: some copy may stand still.
    Ending(Ending),
    /// Over.
    Ended(Ending),
}

/// A job. Times are microseconds since 1970.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its session.
    pub session: SessionNo,
    /// The call that submitted it.
    pub call: u64,
    /// Its index there.
    pub index: u64,
    /// The key that its repeats share.
    pub key: u64,
    /// What it waits for, or how it ended.
    pub phase: Phase,
    /// The answer about its placing, once it has one.
    pub outcome: Option<Outcome>,
    /// It was placed and lost before.
    pub again: bool,
    /// An attempt that is closed may have run, and was not followed by a placing that ended.
    pub may_have_run: bool,
    /// When it was submitted.
    pub submitted: u64,
    /// When it was first placed.
    pub placed: Option<u64>,
    /// When it started.
    pub started: Option<u64>,
    /// When it ended.
    pub ended: Option<u64>,
    /// Attempts made for it.
    pub tries: u32,
    /// The node of the last one.
    pub node: Option<String>,
    /// Attempts whose end is not known.
    pub attempts: Vec<Attempt>,
    /// Clauses of its constraint that did not hold when it ended.
    pub broken: Option<String>,
}

/// When a placer of this folder lived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The life, as nodes and clients know it.
    pub life: u64,
    /// Microseconds since 1970 of the last thing that it kept.
    pub until: u64,
}

/// By what a placer decided from a time on: with an attempt's own time it says by which plan that was decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfigRow {
    /// The plan's number.
    pub plan: u64,
    /// The first bytes of its digest, as lines for the staff have them.
    pub digest: String,
    /// By the stricter of it and the one before.
    pub joint: bool,
    /// Revision of the node list.
    pub list: u64,
}

/// One change of the rows. A later change of the same row takes the place of an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A placer started with this life.
    Life(u64),
    /// A session is open, or is forgotten.
    Session(SessionNo, Option<Session>),
    /// A call was answered.
    Call(SessionNo, u64, Answer),
    /// Calls below this one are forgotten.
    Settled(SessionNo, u64),
    /// What the jobs of a call ask for, or that none of them is left.
    Ask(SessionNo, u64, Option<Ask>),
    /// A job, or that it is forgotten.
    Job(JobNo, Option<Box<Job>>),
    /// An operator drains a node, or no longer does.
    Drained(String, bool),
    /// An offer went to a node that was cold.
    Cold(String),
    /// The placer decides by another plan.
    ActiveConfig(ActiveConfigRow),
}

/// Changes that become durable together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Its number: one more than that of the batch before.
    pub seq: u64,
    /// Microseconds since 1970 at which it was made.
    pub at: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// All rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Image {
    /// Lives of the placer that kept their promises here, the oldest first.
    pub lives: Vec<Link>,
    /// Promises of the last life may be missing: its folder could not be written.
    pub holes: bool,
    /// Sessions.
    pub sessions: BTreeMap<SessionNo, Session>,
    /// Answered calls, by session.
    pub calls: BTreeMap<SessionNo, BTreeMap<u64, Answer>>,
    /// What jobs ask for, by session and call.
    pub asks: BTreeMap<SessionNo, BTreeMap<u64, Ask>>,
    /// Jobs.
    pub jobs: BTreeMap<JobNo, Job>,
    /// Nodes that an operator drains.
    pub drained: BTreeSet<String>,
    /// Offers to nodes that were cold, each in microseconds since 1970.
    pub cold: BTreeMap<String, Vec<u64>>,
    /// By what the placer decided, from each time on, in microseconds since 1970.
    #[serde(default)]
    pub acts: BTreeMap<u64, ActiveConfigRow>,
}

impl Image {
    /// Microseconds since 1970 of the last thing that was kept; 0 where nothing was.
    pub fn last_at(&self) -> u64 {
        self.lives.iter().map(|link| link.until).max().unwrap_or(0)
    }

    /// The life of the last placer.
    pub fn last_life(&self) -> u64 {
        self.lives.iter().map(|link| link.life).max().unwrap_or(0)
    }

    /// Whether everything that a placer of this life promised is here.
    pub fn covers(&self, life: u64) -> bool {
        let last = self.last_life();
        self.lives.iter().any(|link| link.life == life) && !(self.holes && life == last)
    }

    /// The batches that make these rows in an empty ledger. Lives all end when the last one did.
    pub fn batches(&self) -> Vec<Batch> {
        let mut changes: Vec<Change> = self
            .lives
            .iter()
            .map(|link| Change::Life(link.life))
            .collect();
        changes.extend(
            self.sessions
                .iter()
                .map(|(number, row)| Change::Session(*number, Some(row.clone()))),
        );
        for (session, calls) in &self.calls {
            changes.extend(
                calls
                    .iter()
                    .map(|(call, row)| Change::Call(*session, *call, row.clone())),
            );
        }
        for (session, asks) in &self.asks {
            changes.extend(
                asks.iter()
                    .map(|(call, row)| Change::Ask(*session, *call, Some(row.clone()))),
            );
        }
        let job = |(number, row): (&JobNo, &Job)| Change::Job(*number, Some(Box::new(row.clone())));
        changes.extend(self.jobs.iter().map(job));
        changes.extend(
            self.drained
                .iter()
                .map(|node| Change::Drained(node.clone(), true)),
        );
        let mut batches = vec![Batch {
            seq: 1,
            at: self.last_at(),
            changes,
        }];
        // An offer's time is that of its batch.
        let cold = self
            .cold
            .iter()
            .flat_map(|(node, times)| times.iter().map(move |at| (node, at)));
        let cold = cold.map(|(node, at)| Batch {
            seq: 1,
            at: *at,
            changes: vec![Change::Cold(node.clone())],
        });
        batches.extend(cold);
        let acts = self
            .acts
            .iter()
            .map(|(at, acts)| (*at, vec![Change::ActiveConfig(acts.clone())]));
        batches.extend(acts.map(|(at, changes)| Batch {
            seq: 1,
            at,
            changes,
        }));
        batches
    }

    /// What is wrong with the rows taken together, in words; nothing in an image that a placer kept.
    pub fn check(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut names = BTreeSet::new();
        let mut attempts = BTreeSet::new();
        for (number, job) in &self.jobs {
            if !self.sessions.contains_key(&job.session) {
                wrong.push(format!(
                    "job {number}: its session {} is missing",
                    job.session
                ));
            }
            if !self
                .asks
                .get(&job.session)
                .is_some_and(|asks| asks.contains_key(&job.call))
            {
                wrong.push(format!(
                    "job {number}: what call {} asks for is missing",
                    job.call
                ));
            }
            if !names.insert((job.session, job.call, job.index)) {
                wrong.push(format!("job {number}: another job has its name"));
            }
            let holders = job
                .attempts
                .iter()
                .filter(|attempt| attempt.known == Trial::Accepted)
                .count();
            let holds = matches!(job.phase, Phase::Placed | Phase::Running | Phase::Suspended);
            if holders > 1 || holds && holders == 0 {
                wrong.push(format!(
                    "job {number}: {holders} accepted copies, as {:?}",
                    job.phase
                ));
            }
            for attempt in &job.attempts {
                if !attempts.insert((attempt.life, attempt.request, attempt.number)) {
                    wrong.push(format!("job {number}: another job has its attempt"));
                }
            }
        }
        wrong
    }
}
