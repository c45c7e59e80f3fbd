//! The data that constraints are evaluated against: the nodes, the copies on them, and a cache of compiled constraints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::MachineId;
use reedring_constraint::{Census, Compiled, Evaluation, Explanation, Fleet, FleetNode, Topic};
use reedring_settings::Health;

use super::constrained_job::{ConstrainedJob, JobConstraint};
use crate::ids::NodeNumber;
use crate::nodes::{Node, NodeRegistry};

/// Maximum number of cached compiled constraints. A site uses far fewer; the limit bounds the memory that clients can
/// fill by submitting ever new constraints.
const MAX_COMPILED: usize = 4_096;

/// What an update of the site changed for constraints.
pub(super) enum SiteChange {
    None,
    /// The health of some nodes changed, and nothing else.
    Health,
    /// Nodes were added or removed, or have other attributes.
    Nodes,
}

/// The nodes and copies that constraints are evaluated against.
#[derive(Debug, Default)]
pub(super) struct SiteView {
    fleet: Fleet,
    /// The machine id of each node, by node number.
    machines: Vec<MachineId>,
    /// Machines that receive no new tasks for now.
    excluded: BTreeSet<MachineId>,
    census: Census,
    /// Constraints compiled for the current `fleet`, by their text.
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

    /// Updates the nodes and their health from the registry; returns what changed.
    pub fn update(&mut self, nodes: &NodeRegistry) -> SiteChange {
        // The index of a line is the node's number: the registry numbers nodes consecutively and never removes one.
        let lines: Vec<FleetNode> = nodes
            .iter()
            .map(|(_, node)| node_line(node, nodes))
            .collect();
        let known = self.fleet.nodes();
        let has_same_nodes =
            lines.len() == known.len() && lines.iter().zip(known).all(|(a, b)| same_node(a, b));
        if !has_same_nodes {
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
            self.fleet.set_health(n, lines[n].ready, lines[n].gone);
        }
        SiteChange::Health
    }

    /// The constraint compiled for the current fleet, from the cache if it is there.
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

    /// Explains the current evaluation of a job's constraint, clause by clause.
    pub fn explain(&mut self, job: &ConstrainedJob) -> Explanation {
        self.compiled(&job.constraint)
            .explain(&self.fleet, &self.census, &job.own)
    }

    /// Explains why no listed machine can ever satisfy the job's constraint; `None` if some machine can, or if no node
    /// is listed.
    pub fn explain_impossible(&mut self, job: &ConstrainedJob) -> Option<Explanation> {
        let compiled = self.compiled(&job.constraint);
        let has_listed_nodes = self.fleet.nodes().iter().any(|line| line.listed);
        (has_listed_nodes && compiled.is_never())
            .then(|| compiled.explain(&self.fleet, &self.census, &job.own))
    }

    /// The machines that are open to a job now, ignoring its last `dropped` preferences.
    pub fn open_now(&mut self, job: &ConstrainedJob, dropped: usize) -> Vec<MachineId> {
        let compiled = self.compiled(&job.constraint);
        let answer: Evaluation = compiled.open(&self.fleet, &self.census, &job.own, dropped);
        self.machine_ids(answer.machines.ones())
    }

    /// The machines that satisfy a job's constraint, whatever their health. Only for constraints that neither refer to
    /// copies nor have preferences.
    pub fn eligible_ignoring_health(&mut self, job: &ConstrainedJob) -> Vec<MachineId> {
        let compiled = self.compiled(&job.constraint);
        self.machine_ids(compiled.eligible_ignoring_health())
    }

    /// Maps node numbers to machine ids, without the excluded machines, in ascending order.
    fn machine_ids(&self, nodes: impl Iterator<Item = usize>) -> Vec<MachineId> {
        let mut ids: Vec<MachineId> = nodes
            .filter_map(|node| self.machines.get(node).copied())
            .collect();
        ids.retain(|machine| !self.excluded.contains(machine));
        ids.sort_unstable();
        ids
    }
}

fn node_line(node: &Node, nodes: &NodeRegistry) -> FleetNode {
    let (health, entry) = (node.health(), node.entry());
    let mut line = FleetNode::named(node.name());
    // Control machines run no tasks, so constraints treat them as not listed.
    line.listed = node.is_listed() && !entry.control;
    line.ready = health == Health::Ready && line.listed;
    line.gone = health == Health::Gone;
    if line.listed {
        (line.rack, line.hall) = (entry.rack.clone(), entry.hall.clone());
        (line.kind, line.attrs) = (nodes.kind_name(entry.kind).to_owned(), entry.attrs.clone());
    }
    line
}

/// Whether two lines are equal in everything but health.
fn same_node(a: &FleetNode, b: &FleetNode) -> bool {
    (&a.name, &a.kind, &a.rack, &a.hall, &a.attrs, a.listed)
        == (&b.name, &b.kind, &b.rack, &b.hall, &b.attrs, b.listed)
}
