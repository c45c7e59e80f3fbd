//! Constrained jobs: which machines are open to each that waits, kept current as copies, list and health
//! change, and whether the constraints of those that stand still hold.
//!
//! What speaks of copies can't be told for two waiting tasks at once: the first one placed changes the
//! machines of the second. So tasks whose constraint speaks of copies take turns: each is open for one step
//! of the module in which nothing else is drawn. What does not speak of copies is told once, and again when
//! the list changes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound as Edge;
use std::sync::Arc;

use reedring::{MachineId, Micros, RequestId};
use reedring_constraint::{
    Answer, Breach, Census, Compiled, Constraint, Explanation, Fleet, Line, Own, Topic, Verdict,
    broken,
};
use reedring_node_protocol as wire;
use reedring_settings::Health;

use crate::jobs::{JobNo, NodeNo};
use crate::links::Nodes;

/// What a job's constraint is, worked out once for all jobs of a submission.
#[derive(Debug, PartialEq)]
pub(crate) struct Bound {
    pub constraint: Constraint,
    /// Its text as printed: jobs with the same text share what is worked out.
    pub text: String,
    /// Whose copies it speaks of.
    pub depends: Vec<Topic>,
}

impl Bound {
    pub fn new(constraint: Constraint, own: &Own) -> Self {
        let depends = constraint
            .whose()
            .iter()
            .map(|who| own.topic(who))
            .collect();
        Self {
            text: constraint.to_string(),
            depends,
            constraint,
        }
    }

    /// Its machines change with every copy placed: they are told one task at a time.
    fn takes_turns(&self) -> bool {
        use reedring_constraint::Strength;
        self.constraint.is_about_copies()
            || self
                .constraint
                .clauses
                .iter()
                .any(|clause| clause.strength == Strength::Prefer)
    }
}

/// A job with a constraint, as far as this module needs it.
#[derive(Clone, Debug)]
pub(crate) struct Subject {
    pub bound: Arc<Bound>,
    pub own: Own,
    pub topics: Arc<Vec<Topic>>,
}

/// A request that waits for a machine.
#[derive(Debug)]
struct Waiting {
    subject: Subject,
    /// The machines that the module was told last.
    told: Option<Vec<MachineId>>,
    /// Wishes given up for it, from the last.
    dropped: usize,
    /// It was open, and found no room.
    tried: bool,
    /// An offer of it is out.
    out: bool,
}

/// A job that stands.
#[derive(Debug)]
struct Standing {
    subject: Subject,
    node: NodeNo,
    reached: BTreeMap<usize, u32>,
    broken: BTreeMap<usize, Micros>,
}

/// A constraint that broke, or was mended.
#[derive(Debug)]
pub(crate) struct News {
    pub job: JobNo,
    pub breach: Breach,
    /// When it broke, where it is mended now.
    pub mended: Option<Micros>,
}

/// Machines of a request, for the module.
pub(crate) type EligibilityChange = (RequestId, Vec<MachineId>);

/// From what copies count as to whose constraint speaks of it.
#[derive(Debug)]
struct ByTopic<T>(BTreeMap<Topic, BTreeSet<T>>);

impl<T> Default for ByTopic<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy + Ord> ByTopic<T> {
    fn add(&mut self, topics: &[Topic], who: T) {
        for topic in topics {
            self.0.entry(topic.clone()).or_default().insert(who);
        }
    }

    fn remove(&mut self, topics: &[Topic], who: T) {
        for topic in topics {
            let Some(all) = self.0.get_mut(topic) else {
                continue;
            };
            all.remove(&who);
            if all.is_empty() {
                self.0.remove(topic);
            }
        }
    }

    fn of<'a>(&'a self, topics: &'a [Topic]) -> impl Iterator<Item = T> + 'a {
        topics
            .iter()
            .filter_map(|topic| self.0.get(topic))
            .flatten()
            .copied()
    }
}

/// A copy of which nobody knows whether it stands: what it counts as, and where.
type Ghost = (NodeNo, Arc<Vec<Topic>>);

#[derive(Debug, Default)]
pub(crate) struct Constrainer {
    fleet: Fleet,
    machines: Vec<MachineId>,
    /// Machines that get nothing new for now.
    held: BTreeSet<MachineId>,
    census: Census,
    /// What was worked out for this fleet, by text.
    compiled: BTreeMap<String, Arc<Compiled>>,
    waiting: BTreeMap<RequestId, Waiting>,
    /// Waiting requests by what their constraint speaks of.
    by_topic: ByTopic<RequestId>,
    /// Requests whose machines may have changed.
    dirty: BTreeSet<RequestId>,
    /// The one that is open in this step, among those that take turns.
    turn: Option<RequestId>,
    /// Whose turn it was last.
    last: Option<RequestId>,
    standing: BTreeMap<JobNo, Standing>,
    standing_by_topic: ByTopic<JobNo>,
    /// Standing jobs to look at again.
    doubted: BTreeSet<JobNo>,
    ghosts: BTreeMap<wire::AttemptId, Ghost>,
    /// Nodes told what they hold since this placer started, or had their time to: until then copies of a
    /// former life may stand that nobody knows of, and what speaks of copies waits.
    settled: bool,
}

/// Texts that are kept worked out: far more than a site's own, and a bound for clients that make up new ones.
const MAX_TEXTS: usize = 4_096;
/// Requests that get their turn in one flush: the rest wait for the next, which comes at once. Answers that are
/// ready wait for a flush to end, so it is kept short.
pub(crate) const TURNS: usize = 8;

impl Constrainer {
    /// The list or a node's health changed.
    pub fn listed(&mut self, nodes: &Nodes) {
        let line = |node: &crate::links::Node| {
            let health = node.health();
            let mut line = Line::named(&node.name);
            // Control machines are set aside: no constraint counts them.
            line.listed = node.listed && !node.entry.control;
            line.ready = health == Health::Ready && line.listed;
            line.dark = health == Health::Gone;
            if line.listed {
                (line.rack, line.hall) = (node.entry.rack.clone(), node.entry.hall.clone());
                (line.kind, line.attrs) = (
                    nodes.kind(node.entry.kind).to_owned(),
                    node.entry.attrs.clone(),
                );
            }
            line
        };
        // Numbers of nodes are those of lines: nodes are numbered as they come, and never forgotten.
        let lines: Vec<Line> = nodes.all.values().map(line).collect();
        let same = |a: &Line, b: &Line| {
            (&a.name, &a.kind, &a.rack, &a.hall, &a.attrs, a.listed)
                == (&b.name, &b.kind, &b.rack, &b.hall, &b.attrs, b.listed)
        };
        let alike = lines.len() == self.fleet.lines().len()
            && lines
                .iter()
                .zip(self.fleet.lines())
                .all(|(a, b)| same(a, b));
        if alike {
            let changed: Vec<usize> = (0..lines.len())
                .filter(|n| lines[*n] != self.fleet.lines()[*n])
                .collect();
            if changed.is_empty() {
                return;
            }
            for n in &changed {
                self.fleet.set_health(*n, lines[*n].ready, lines[*n].dark);
            }
            // Health matters only to those that take turns: to all others the module sees to it itself.
            let turns = self
                .waiting
                .iter()
                .filter(|(_, waiting)| waiting.subject.bound.takes_turns());
            self.dirty.extend(turns.map(|(request, _)| *request));
        } else {
            self.fleet = Fleet::new(lines);
            self.machines = nodes.all.values().map(|node| node.machine).collect();
            self.compiled.clear();
            self.dirty.extend(self.waiting.keys());
        }
        self.doubted.extend(self.standing.keys());
    }

    /// These machines get nothing new for now.
    pub fn hold(&mut self, held: &BTreeSet<MachineId>) {
        self.held.clone_from(held);
        self.dirty.extend(self.waiting.keys());
    }

    /// Whether a request that waits has a constraint.
    pub fn has(&self, request: RequestId) -> bool {
        self.waiting.contains_key(&request)
    }

    /// The node list as constraints see it.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Whether any node was ever listed.
    pub fn has_list(&self) -> bool {
        !self.fleet.lines().is_empty()
    }

    fn compiled(&mut self, bound: &Bound) -> Arc<Compiled> {
        if let Some(compiled) = self.compiled.get(&bound.text) {
            return Arc::clone(compiled);
        }
        if self.compiled.len() >= MAX_TEXTS {
            self.compiled.clear();
        }
        let compiled = Arc::new(Compiled::new(&bound.constraint, &self.fleet));
        self.compiled
            .insert(bound.text.clone(), Arc::clone(&compiled));
        compiled
    }

    fn ids(&self, answer: &Answer) -> Vec<MachineId> {
        let mut ids: Vec<MachineId> = answer
            .machines
            .ones()
            .filter_map(|n| self.machines.get(n).copied())
            .collect();
        ids.retain(|machine| !self.held.contains(machine));
        ids.sort_unstable();
        ids
    }

    /// Why no machine of the list can ever take the job, if that is so.
    pub fn never(&mut self, subject: &Subject) -> Option<Explanation> {
        let compiled = self.compiled(&subject.bound);
        let known = self.fleet.lines().iter().any(|line| line.listed);
        (known && compiled.is_never())
            .then(|| compiled.explain(&self.fleet, &self.census, &subject.own))
    }

    /// How a job's constraint stands now.
    pub fn explain(&mut self, subject: &Subject) -> Explanation {
        self.compiled(&subject.bound)
            .explain(&self.fleet, &self.census, &subject.own)
    }

    /// A request waits. What the module must be told at once is returned.
    pub fn asked(&mut self, request: RequestId, subject: Subject) -> EligibilityChange {
        let turns = subject.bound.takes_turns();
        self.by_topic.add(&subject.bound.depends, request);
        let told = if turns {
            Vec::new()
        } else {
            self.whole(&subject)
        };
        if turns {
            self.dirty.insert(request);
        }
        let waiting = Waiting {
            subject,
            told: Some(told.clone()),
            dropped: 0,
            tried: false,
            out: false,
        };
        self.waiting.insert(request, waiting);
        (request, told)
    }

    /// The machines of a constraint that speaks neither of copies nor of wishes, whatever their health.
    fn whole(&mut self, subject: &Subject) -> Vec<MachineId> {
        let compiled = self.compiled(&subject.bound);
        let mut ids: Vec<MachineId> = compiled
            .ever()
            .filter_map(|n| self.machines.get(n).copied())
            .collect();
        ids.retain(|machine| !self.held.contains(machine));
        ids.sort_unstable();
        ids
    }

    /// An offer left: until its end is known the request gets no machine, and the next one its turn.
    pub fn offered(&mut self, request: RequestId) -> Option<EligibilityChange> {
        let waiting = self.waiting.get_mut(&request)?;
        waiting.out = true;
        if !waiting.subject.bound.takes_turns() {
            return None;
        }
        waiting.told = Some(Vec::new());
        if self.turn == Some(request) {
            self.turn = None;
        }
        Some((request, Vec::new()))
    }

    /// The attempt of a request ended, and the request still waits.
    pub fn free_again(&mut self, request: RequestId) {
        if let Some(waiting) = self.waiting.get_mut(&request) {
            waiting.out = false;
            self.dirty.insert(request);
        }
    }

    /// A request is answered, or taken back.
    pub fn answered(&mut self, request: RequestId) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        self.by_topic
            .remove(&waiting.subject.bound.depends, request);
        self.dirty.remove(&request);
        if self.turn == Some(request) {
            self.turn = None;
        }
    }

    /// A copy is placed or being placed.
    pub fn copy_comes(&mut self, topics: &[Topic], node: NodeNo) {
        self.census.add(topics, node as usize);
        self.copies_changed(topics);
    }

    /// A copy is no more.
    pub fn copy_goes(&mut self, topics: &[Topic], node: NodeNo) {
        self.census.remove(topics, node as usize);
        self.copies_changed(topics);
    }

    /// A copy may stand still: it counts until its node tells.
    pub fn copy_unknown(
        &mut self,
        attempt: wire::AttemptId,
        topics: Arc<Vec<Topic>>,
        node: NodeNo,
    ) {
        self.ghosts.insert(attempt, (node, topics));
    }

    /// A node told what became of an attempt that nobody waits for any more; which node, if one was waited for.
    pub fn ghost_gone(&mut self, attempt: wire::AttemptId) -> Option<NodeNo> {
        let (node, topics) = self.ghosts.remove(&attempt)?;
        self.copy_goes(&topics, node);
        Some(node)
    }

    /// Whether nobody knows of some attempt at this node what became of it.
    pub fn has_ghosts(&self, node: NodeNo) -> bool {
        self.ghosts.values().any(|(at, _)| *at == node)
    }

    /// A node told all that it holds: what is not among it does not stand.
    pub fn ghosts_told(&mut self, node: NodeNo, held: &BTreeSet<wire::AttemptId>) {
        let gone = |(attempt, (at, _)): &(&wire::AttemptId, &Ghost)| {
            *at == node && !held.contains(attempt)
        };
        let gone: Vec<wire::AttemptId> = self
            .ghosts
            .iter()
            .filter(gone)
            .map(|(attempt, _)| *attempt)
            .collect();
        gone.into_iter()
            .for_each(|attempt| _ = self.ghost_gone(attempt));
    }

    /// A node started anew: no copy of before stands there.
    pub fn ghosts_gone(&mut self, node: NodeNo) {
        let there: Vec<wire::AttemptId> = self
            .ghosts
            .iter()
            .filter(|(_, (at, _))| *at == node)
            .map(|(attempt, _)| *attempt)
            .collect();
        there
            .into_iter()
            .for_each(|attempt| _ = self.ghost_gone(attempt));
    }

    fn copies_changed(&mut self, topics: &[Topic]) {
        self.dirty.extend(self.by_topic.of(topics));
        self.doubted.extend(self.standing_by_topic.of(topics));
    }

    /// Some time passed: among those that had machines and found no room on them, the next gets a turn.
    pub fn rotate(&mut self) {
        let waits = |(_, waiting): &(&RequestId, &Waiting)| waiting.tried && !waiting.out;
        let from = self.last.map_or(Edge::Unbounded, Edge::Excluded);
        let after = self.waiting.range((from, Edge::Unbounded)).find(waits);
        let next = after
            .or_else(|| self.waiting.iter().find(waits))
            .map(|(request, _)| *request);
        if let Some(waiting) = next.and_then(|request| self.waiting.get_mut(&request)) {
            // A wish that keeps a task waiting is given up: the last first.
            waiting.dropped =
                (waiting.dropped + 1).min(waiting.subject.bound.constraint.clauses.len());
        }
        self.dirty.extend(next);
    }

    /// What the module must be told next: the request whose turn it was is closed, and the next one that has
    /// machines is opened. Each is open for one step of the module alone, so that no other draw of that step
    /// can take from it what it was told. Empty where nothing changed.
    pub fn next(&mut self) -> Vec<EligibilityChange> {
        let mut tell: Vec<EligibilityChange> = self.close().into_iter().collect();
        while let Some(request) = self.dirty.pop_first() {
            let Some(waiting) = self.waiting.get(&request).filter(|waiting| !waiting.out) else {
                continue;
            };
            let (subject, dropped) = (waiting.subject.clone(), waiting.dropped);
            if !subject.bound.takes_turns() {
                let machines = self.whole(&subject);
                self.tell(request, machines, &mut tell);
            } else if self.settled {
                let answer = self.compiled(&subject.bound).open(
                    &self.fleet,
                    &self.census,
                    &subject.own,
                    dropped,
                );
                let machines = self.ids(&answer);
                if !machines.is_empty() {
                    self.turn = Some(request);
                    self.tell(request, machines, &mut tell);
                    break;
                }
            }
        }
        tell
    }

    /// The request whose turn it was is open no more.
    pub fn close(&mut self) -> Option<EligibilityChange> {
        let before = self.turn.take()?;
        self.last = Some(before);
        let waiting = self.waiting.get_mut(&before)?;
        waiting.tried = true;
        waiting.told = Some(Vec::new());
        Some((before, Vec::new()))
    }

    fn tell(
        &mut self,
        request: RequestId,
        machines: Vec<MachineId>,
        tell: &mut Vec<EligibilityChange>,
    ) {
        if let Some(waiting) = self
            .waiting
            .get_mut(&request)
            .filter(|w| w.told.as_ref() != Some(&machines))
        {
            waiting.told = Some(machines.clone());
            tell.push((request, machines));
        }
    }

    /// The copies of a former life are known now, as far as they will be.
    pub fn settle(&mut self) {
        if !std::mem::replace(&mut self.settled, true) {
            self.dirty.extend(self.waiting.keys());
        }
    }

    /// Whether something is to be looked at.
    pub fn is_idle(&self) -> bool {
        self.dirty.is_empty() && self.doubted.is_empty() && self.turn.is_none()
    }

    // ---- Standing copies ----

    /// A job was placed.
    pub fn stands(&mut self, job: JobNo, subject: Subject, node: NodeNo) {
        self.standing_by_topic.add(&subject.bound.depends, job);
        let standing = Standing {
            subject,
            node,
            reached: BTreeMap::new(),
            broken: BTreeMap::new(),
        };
        self.standing.insert(job, standing);
        self.doubted.insert(job);
    }

    /// A job stands no more.
    pub fn stands_no_more(&mut self, job: JobNo) {
        let Some(standing) = self.standing.remove(&job) else {
            return;
        };
        self.standing_by_topic
            .remove(&standing.subject.bound.depends, job);
        self.doubted.remove(&job);
    }

    /// Clauses that are broken for a job now, with since when.
    pub fn broken(&self, job: JobNo) -> Vec<(String, Micros)> {
        let Some(standing) = self.standing.get(&job) else {
            return Vec::new();
        };
        let clauses = &standing.subject.bound.constraint.clauses;
        standing
            .broken
            .iter()
            .map(|(n, since)| (clauses[*n].to_string(), *since))
            .collect()
    }

    /// Looks at the jobs that something relevant happened to. Each break and each mending is told once.
    pub fn judge(&mut self, now: Micros) -> Vec<News> {
        let mut news = Vec::new();
        for job in std::mem::take(&mut self.doubted) {
            let Some(mut standing) = self.standing.remove(&job) else {
                continue;
            };
            let subject = &standing.subject;
            let compiled = self.compiled(&subject.bound);
            let found = broken(
                &subject.bound.constraint,
                &compiled,
                &self.fleet,
                &self.census,
                &subject.own,
                &subject.topics,
                standing.node as usize,
                &mut standing.reached,
            );
            let dark = self
                .fleet
                .lines()
                .get(standing.node as usize)
                .is_none_or(|line| line.dark);
            let now_broken: BTreeSet<usize> = found.iter().map(|breach| breach.clause).collect();
            if !dark {
                // A copy on a dark node is neither broken nor mended: nobody knows whether it stands.
                let mended = standing
                    .broken
                    .iter()
                    .filter(|(n, _)| !now_broken.contains(n));
                for (n, since) in mended {
                    let text = subject.bound.constraint.clauses[*n].to_string();
                    let breach = Breach {
                        clause: *n,
                        text,
                        mends: String::new(),
                    };
                    news.push(News {
                        job,
                        breach,
                        mended: Some(*since),
                    });
                }
                standing.broken.retain(|n, _| now_broken.contains(n));
            }
            for breach in found {
                if standing.broken.insert(breach.clause, now).is_none() {
                    news.push(News {
                        job,
                        breach,
                        mended: None,
                    });
                }
            }
            self.standing.insert(job, standing);
        }
        news
    }

    /// Why a request that waited got no place, as far as its constraint goes.
    pub fn why_not(&mut self, request: RequestId) -> Option<String> {
        let subject = self.waiting.get(&request)?.subject.clone();
        let explained = self.explain(&subject);
        Some(match explained.verdict {
            Verdict::Open => format!(
                "its constraint leaves {} nodes, and none took it",
                explained.open
            ),
            _ => explained.to_string(),
        })
    }
}
