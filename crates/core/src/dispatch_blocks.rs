//! Nodes to which nothing new is dispatched for now, and why: one set of reasons a node, which reaches the decision
//! module as sets of open machines, in the way that constraints do.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{Event as ModuleEvent, MachineId, RequestId};
use reedring_plan::DispatchBlock;

use crate::constraints::ConstraintTracker;
use crate::context::Context;
use crate::ids::NodeNumber;
use crate::ledger::Ledger;
use crate::nodes::NodeRegistry;

/// Why nothing is dispatched to a node. There may be several reasons at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BlockReason {
    /// It is warming up, and offers to it were answered late or not at all: they may all reach it at once.
    SlowStartOverdue,
    /// The active configuration does not allow it.
    Configuration(DispatchBlock),
}

impl BlockReason {
    /// For whoever asks why a task got no place.
    const fn describe(self) -> &'static str {
        match self {
            Self::SlowStartOverdue => "cold, and late to answer",
            Self::Configuration(hold) => hold.description(),
        }
    }
}

/// Which nodes are blocked.
#[derive(Debug, Default)]
pub(crate) struct DispatchBlocks {
    reasons: BTreeMap<NodeNumber, BTreeSet<BlockReason>>,
    machines: BTreeSet<MachineId>,
    /// Requests without a constraint that were restricted to the open machines.
    restricted_requests: BTreeSet<RequestId>,
    /// What the decision module was told is not what is so.
    changed: bool,
}

impl DispatchBlocks {
    /// Whether nothing is dispatched to this machine.
    pub fn is_blocked(&self, machine: MachineId) -> bool {
        self.machines.contains(&machine)
    }

    /// A node is blocked for this reason from now on, or no longer is.
    pub fn set(
        &mut self,
        node: NodeNumber,
        machine: MachineId,
        reason: BlockReason,
        blocked: bool,
    ) {
        let reasons = self.reasons.entry(node).or_default();
        let changed = if blocked {
            reasons.insert(reason)
        } else {
            reasons.remove(&reason)
        };
        if reasons.is_empty() {
            self.reasons.remove(&node);
            self.changed |= self.machines.remove(&machine);
        } else if changed {
            self.changed |= self.machines.insert(machine);
        }
    }

    /// The reason by the active configuration, in place of any other of that kind.
    pub fn set_configuration(
        &mut self,
        node: NodeNumber,
        machine: MachineId,
        hold: Option<DispatchBlock>,
    ) {
        let is_configuration =
            |reason: &BlockReason| matches!(reason, BlockReason::Configuration(_));
        let reasons = self.reasons.get(&node);
        let before = reasons.and_then(|reasons| reasons.iter().copied().find(is_configuration));
        let now = hold.map(BlockReason::Configuration);
        if before != now {
            now.into_iter()
                .for_each(|reason| self.set(node, machine, reason, true));
            before
                .into_iter()
                .for_each(|reason| self.set(node, machine, reason, false));
        }
    }

    /// A request is answered, or withdrawn.
    pub fn request_closed(&mut self, request: RequestId) {
        self.restricted_requests.remove(&request);
    }

    /// The node list changed: requests that were restricted are told anew.
    pub fn nodes_changed(&mut self) {
        self.changed |= !self.restricted_requests.is_empty();
    }

    /// The reasons in words, with how many nodes each blocks; empty where none is.
    pub fn describe(&self) -> String {
        let mut counts: BTreeMap<BlockReason, usize> = BTreeMap::new();
        for reason in self.reasons.values().flatten() {
            *counts.entry(*reason).or_default() += 1;
        }
        let counts = counts.into_iter();
        let words =
            counts.map(|(reason, count)| format!("{count} held back ({})", reason.describe()));
        words.collect::<Vec<_>>().join(", ")
    }

    /// A request without a constraint is queued: it is restricted to the open machines, if some are blocked.
    pub fn restrict(&mut self, request: RequestId, nodes: &NodeRegistry, cx: &mut Context) {
        if !self.machines.is_empty() {
            self.restricted_requests.insert(request);
            let machines = self.open_machines(nodes);
            cx.notify_module(ModuleEvent::EligibilityChanged { request, machines });
        }
    }

    /// Machines that are open to a request without a constraint, in the order of their ids.
    fn open_machines(&self, nodes: &NodeRegistry) -> Vec<MachineId> {
        let machines = nodes.iter().map(|(_, node)| node.machine());
        let mut open: Vec<MachineId> = machines
            .filter(|machine| !self.is_blocked(*machine))
            .collect();
        open.sort_unstable();
        open
    }

    /// Tells the decision module which machines are open, where that has changed.
    pub fn announce(
        &mut self,
        constraints: &mut ConstraintTracker,
        ledger: &Ledger,
        nodes: &NodeRegistry,
        cx: &mut Context,
    ) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        constraints.set_excluded(&self.machines);
        let any_blocked = !self.machines.is_empty();
        let unconstrained: Vec<RequestId> = if any_blocked {
            ledger
                .open_requests()
                .filter(|request| !constraints.is_queued(*request))
                .collect()
        } else {
            std::mem::take(&mut self.restricted_requests)
                .into_iter()
                .collect()
        };
        let open = self.open_machines(nodes);
        for request in &unconstrained {
            cx.notify_module(ModuleEvent::EligibilityChanged {
                request: *request,
                machines: open.clone(),
            });
        }
        if any_blocked {
            self.restricted_requests.extend(unconstrained);
        }
    }
}

#[cfg(test)]
mod tests;
