//! The site as constraints see it: the nodes, the copies on them, and constraints compiled for them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::MachineId;
use reedring_constraint::{Answer, Census, Compiled, Explanation, Fleet, Line, Topic};
use reedring_settings::Health;

use super::subject::{ConstrainedJob, JobConstraint};
use crate::ids::NodeNumber;
use crate::nodes::{Node, NodeRegistry};

/// Compiled constraints that are cached: far more than a site's own, and a bound for clients that make up new ones.
const MAX_COMPILED: usize = 4_096;

/// What a new state of the node list or of nodes' health means for constraints.
pub(super) enum SiteChange {
    None,
    /// Nodes are ready, draining or gone that were not before.
    Health,
    /// Nodes came, left, or have other attributes.
    Nodes,
}

/// The site as constraints see it.
#[derive(Debug, Default)]
pub(super) struct SiteView {
    fleet: Fleet,
    machines: Vec<MachineId>,
    /// Machines that get nothing new for now.
    excluded: BTreeSet<MachineId>,
    census: Census,
    /// Constraints compiled for this fleet, by text.
    compiled: BTreeMap<String, Arc<Compiled>>,
}

impl SiteView {
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub const fn census(&self) -> &Census {
        &self.census
    }

    pub fn set_excluded(&mut self, excluded: &BTreeSet<MachineId>) {
        self.excluded.clone_from(excluded);
    }

    pub fn add_copy(&mut self, topics: &[Topic], node: NodeNumber) {
        self.census.add(topics, node.index());
    }

    pub fn remove_copy(&mut self, topics: &[Topic], node: NodeNumber) {
        self.census.remove(topics, node.index());
    }

    /// Takes in the node list and nodes' health.
    pub fn update(&mut self, nodes: &NodeRegistry) -> SiteChange {
        // Numbers of nodes are those of lines: nodes are numbered as they come, and never forgotten.
        let lines: Vec<Line> = nodes.iter().map(|(_, node)| line_of(node, nodes)).collect();
        let known = self.fleet.lines();
        let is_alike =
            lines.len() == known.len() && lines.iter().zip(known).all(|(a, b)| same_node(a, b));
        if !is_alike {
            self.fleet = Fleet::new(lines);
            self.machines = nodes.iter().map(|(_, node)| node.machine()).collect();
            self.compiled.clear();
            return SiteChange::Nodes;
        }
        let changed: Vec<usize> = (0..lines.len())
            .filter(|n| lines[*n] != known[*n])
            .collect();
        if changed.is_empty() {
            return SiteChange::None;
        }
        for n in changed {
            self.fleet.set_health(n, lines[n].ready, lines[n].dark);
        }
        SiteChange::Health
    }

    pub fn compiled(&mut self, constraint: &JobConstraint) -> Arc<Compiled> {
        if let Some(compiled) = self.compiled.get(&constraint.text) {
            return Arc::clone(compiled);
        }
        if self.compiled.len() >= MAX_COMPILED {
            self.compiled.clear();
        }
        let compiled = Arc::new(Compiled::new(&constraint.constraint, &self.fleet));
        self.compiled
            .insert(constraint.text.clone(), Arc::clone(&compiled));
        compiled
    }

    /// How a job's constraint is evaluated now.
    pub fn explain(&mut self, job: &ConstrainedJob) -> Explanation {
        self.compiled(&job.constraint)
            .explain(&self.fleet, &self.census, &job.own)
    }

    /// Why no listed machine can ever take a job, if that is so.
    pub fn impossible(&mut self, job: &ConstrainedJob) -> Option<Explanation> {
        let compiled = self.compiled(&job.constraint);
        let is_known = self.fleet.lines().iter().any(|line| line.listed);
        (is_known && compiled.is_never())
            .then(|| compiled.explain(&self.fleet, &self.census, &job.own))
    }

    /// The machines that are open to a job now, with its last preferences dropped.
    pub fn open_now(&mut self, job: &ConstrainedJob, dropped: usize) -> Vec<MachineId> {
        let compiled = self.compiled(&job.constraint);
        let answer: Answer = compiled.open(&self.fleet, &self.census, &job.own, dropped);
        self.machine_ids(answer.machines.ones())
    }

    /// The machines of a constraint that speaks neither of copies nor of preferences, whatever their health.
    pub fn open_ever(&mut self, job: &ConstrainedJob) -> Vec<MachineId> {
        let compiled = self.compiled(&job.constraint);
        self.machine_ids(compiled.ever())
    }

    fn machine_ids(&self, nodes: impl Iterator<Item = usize>) -> Vec<MachineId> {
        let mut ids: Vec<MachineId> = nodes
            .filter_map(|n| self.machines.get(n).copied())
            .collect();
        ids.retain(|machine| !self.excluded.contains(machine));
        ids.sort_unstable();
        ids
    }
}

fn line_of(node: &Node, nodes: &NodeRegistry) -> Line {
    let (health, entry) = (node.health(), node.entry());
    let mut line = Line::named(node.name());
    // Control machines run no tasks: no constraint counts them.
    line.listed = node.is_listed() && !entry.control;
    line.ready = health == Health::Ready && line.listed;
    line.dark = health == Health::Gone;
    if line.listed {
        (line.rack, line.hall) = (entry.rack.clone(), entry.hall.clone());
        (line.kind, line.attrs) = (nodes.kind_name(entry.kind).to_owned(), entry.attrs.clone());
    }
    line
}

fn same_node(a: &Line, b: &Line) -> bool {
    (&a.name, &a.kind, &a.rack, &a.hall, &a.attrs, a.listed)
        == (&b.name, &b.kind, &b.rack, &b.hall, &b.attrs, b.listed)
}
