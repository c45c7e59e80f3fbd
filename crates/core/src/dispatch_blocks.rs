//! Nodes to which nothing new is dispatched for now, with a set of reasons for each node.
//!
//! The decision module does not know these reasons. Like constraints, they are announced to it as the set of machines
//! that are open to each request.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{Event as ModuleEvent, MachineId, RequestId};
use reedring_plan::DispatchBlock;

use crate::constraints::ConstraintTracker;
use crate::context::Context;
use crate::ids::NodeNumber;
use crate::ledger::Ledger;
use crate::nodes::NodeRegistry;

/// A reason why nothing is dispatched to a node. A node can have several at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BlockReason {
    /// The node is warming up, and earlier offers to it were answered late or not at all. These may still reach it, all
    /// at once, so it gets no more.
    SlowStartOverdue,
    /// The active configuration does not allow dispatch to the node.
    Configuration(DispatchBlock),
}

impl BlockReason {
    /// The reason in words, for explaining why a task has no place.
    const fn describe(self) -> &'static str {
        match self {
            Self::SlowStartOverdue => "cold, and late to answer",
            Self::Configuration(block) => block.description(),
        }
    }
}

/// The blocked nodes, and the requests that are kept away from them.
#[derive(Debug, Default)]
pub(crate) struct DispatchBlocks {
    reasons: BTreeMap<NodeNumber, BTreeSet<BlockReason>>,
    /// The machines of the nodes in `reasons`.
    blocked_machines: BTreeSet<MachineId>,
    /// Requests without a constraint that are currently restricted to the open machines.
    restricted_requests: BTreeSet<RequestId>,
    /// The open machines have changed since they were last announced to the decision module.
    changed: bool,
}

impl DispatchBlocks {
    /// Whether nothing is dispatched to this machine for now.
    pub fn is_blocked(&self, machine: MachineId) -> bool {
        self.blocked_machines.contains(&machine)
    }

    /// Adds (`blocked`) or removes a reason for blocking a node.
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
            self.changed |= self.blocked_machines.remove(&machine);
        } else if changed {
            self.changed |= self.blocked_machines.insert(machine);
        }
    }

    /// Sets or clears the reason that the active configuration gives for blocking a node, in place of any earlier one.
    pub fn set_configuration(
        &mut self,
        node: NodeNumber,
        machine: MachineId,
        block: Option<DispatchBlock>,
    ) {
        let is_configuration =
            |reason: &BlockReason| matches!(reason, BlockReason::Configuration(_));
        let reasons = self.reasons.get(&node);
        let before = reasons.and_then(|reasons| reasons.iter().copied().find(is_configuration));
        let now = block.map(BlockReason::Configuration);
        if before != now {
            now.into_iter()
                .for_each(|reason| self.set(node, machine, reason, true));
            before
                .into_iter()
                .for_each(|reason| self.set(node, machine, reason, false));
        }
    }

    /// Removes a request that was answered or withdrawn.
    pub fn request_closed(&mut self, request: RequestId) {
        self.restricted_requests.remove(&request);
    }

    /// Has the open machines of the restricted requests announced again, because the node list changed.
    pub fn nodes_changed(&mut self) {
        self.changed |= !self.restricted_requests.is_empty();
    }

    /// The reasons in words, each with the number of nodes that it blocks; empty if no node is blocked.
    pub fn describe(&self) -> String {
        let mut counts: BTreeMap<BlockReason, usize> = BTreeMap::new();
        for reason in self.reasons.values().flatten() {
            *counts.entry(*reason).or_default() += 1;
        }
        let counts = counts.into_iter();
        let descriptions =
            counts.map(|(reason, count)| format!("{count} held back ({})", reason.describe()));
        descriptions.collect::<Vec<_>>().join(", ")
    }

    /// Restricts a newly queued request without a constraint to the open machines, if any machine is blocked.
    pub fn restrict(&mut self, request: RequestId, nodes: &NodeRegistry, cx: &mut Context) {
        if !self.blocked_machines.is_empty() {
            self.restricted_requests.insert(request);
            let machines = self.open_machines(nodes);
            cx.notify_module(ModuleEvent::EligibilityChanged { request, machines });
        }
    }

    /// The machines that are not blocked, in the order of their ids.
    fn open_machines(&self, nodes: &NodeRegistry) -> Vec<MachineId> {
        let machines = nodes.iter().map(|(_, node)| node.machine());
        let mut open: Vec<MachineId> = machines
            .filter(|machine| !self.is_blocked(*machine))
            .collect();
        open.sort_unstable();
        open
    }

    /// Announces the open machines to the decision module and to the constraints, if they have changed.
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
        constraints.set_excluded(&self.blocked_machines);
        let any_blocked = !self.blocked_machines.is_empty();
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
