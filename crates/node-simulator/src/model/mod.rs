//! The model of one node.

mod jobs;
mod links;
mod offers;
mod plans;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_pcg::Pcg32;
use reedring_node_protocol::{AttemptId, Message, Task};

pub use self::plans::Keep;
use self::plans::Plans;
pub use self::types::{Effect, Fault, LinkId};
use self::types::{Job, Placer, Waiting};
use crate::config::{Config, Reports};
use crate::groups::Groups;

/// The model of one node, from its start to its end.
pub struct Node {
    config: Config,
    life: u64,
    started_us: u64,
    rng: Pcg32,
    /// Troubles that are on.
    pub fault: Fault,
    drains: bool,
    placers: BTreeMap<String, Placer>,
    links: BTreeMap<LinkId, String>,
    line: VecDeque<Waiting>,
    /// What came while it hangs.
    backlog: VecDeque<(LinkId, Message)>,
    /// When the ask at the head of the line has been looked at.
    looks_until: Option<u64>,
    jobs: BTreeMap<AttemptId, Job>,
    /// Accepted jobs in their order.
    queue: VecDeque<AttemptId>,
    /// Starts and lives by the time at which they are over.
    due: BTreeSet<(u64, AttemptId)>,
    /// Sums over the jobs: cores and memory asked, memory used by those that started, jobs that start.
    asked: (f64, f64),
    used: f64,
    starting: usize,
    /// Jobs by service.
    services: BTreeMap<String, usize>,
    /// Programs that are there: those of running services, and the last few.
    programs: VecDeque<String>,
    offers: VecDeque<u64>,
    taken: u64,
    fallen: bool,
    plans: Plans,
    effects: Vec<Effect>,
}

/// Bytes of what a node holds in one message, well under a frame's limit.
const PAGE: usize = 24 * 1024;

impl Node {
    /// A node that has just started at `now_us`; another start needs another `life`.
    pub fn new(config: Config, life: u64, seed: u64, now_us: u64) -> Self {
        Self {
            rng: Pcg32::new(seed ^ life, 1),
            config,
            life,
            started_us: now_us,
            fault: Fault::default(),
            drains: false,
            placers: BTreeMap::new(),
            links: BTreeMap::new(),
            line: VecDeque::new(),
            backlog: VecDeque::new(),
            looks_until: None,
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            due: BTreeSet::new(),
            asked: (0.0, 0.0),
            used: 0.0,
            starting: 0,
            services: BTreeMap::new(),
            programs: VecDeque::new(),
            offers: VecDeque::new(),
            taken: 0,
            fallen: false,
            plans: Plans::default(),
            effects: Vec::new(),
        }
    }

    /// What it is like.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Its life.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Attempts that it holds a live copy of.
    pub fn held(&self) -> impl Iterator<Item = (AttemptId, &Task)> {
        self.jobs.iter().map(|(attempt, job)| (*attempt, &job.task))
    }

    /// What it does, since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Node::tick`] must be called at the latest.
    pub fn next_us(&self) -> Option<u64> {
        let looks = self.looks_until.filter(|_| !self.fault.hangs);
        let due = self.due.first().map(|(at, _)| *at);
        due.into_iter()
            .chain(looks)
            .chain(self.plans.seen_due)
            .min()
            .filter(|_| !self.fallen)
    }

    pub(super) fn report(&self) -> Vec<f64> {
        if self.config.reports == Reports::Answers {
            self.load()
        } else {
            Vec::new()
        }
    }

    /// Cores and memory that no accepted task asked for.
    pub(super) fn load(&self) -> Vec<f64> {
        vec![
            self.config.cores - self.asked.0,
            self.config.memory - self.asked.1,
        ]
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now_us: u64, groups: &mut Groups) {
        self.keep_seen(now_us);
        if !self.fault.hangs && !self.backlog.is_empty() {
            for (link, message) in std::mem::take(&mut self.backlog) {
                self.message(now_us, link, message, groups);
            }
        }
        while let Some(at) = self
            .looks_until
            .filter(|at| *at <= now_us && !self.fault.hangs && !self.fallen)
        {
            let Some(waiting) = self.line.pop_front() else {
                self.looks_until = None;
                break;
            };
            self.look(now_us, waiting, groups);
            let next = at + self.config.look().as_micros() as u64;
            self.looks_until = (!self.line.is_empty()).then_some(next);
        }
        while let Some((at, attempt)) = self.due.first().copied().filter(|(at, _)| *at <= now_us) {
            self.due.remove(&(at, attempt));
            self.over(now_us, attempt, groups);
        }
        self.start_next(now_us);
    }
}
