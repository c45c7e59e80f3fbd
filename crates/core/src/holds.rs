//! Nodes that may get nothing new for now, and why: one list of reasons, which reaches the module as sets of
//! machines, by the way that constraints use.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{AttemptId, Event as ModuleEvent, MachineId, Micros, RequestId};
use reedring_node_protocol as wire;

use crate::core::Core;
use crate::decide;
use crate::jobs::NodeNo;
use crate::timers::Timer;

/// Why a node is held back. A node may be for several reasons at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reason {
    /// It is cold, and offers to it were answered late or not at all: they may all reach it at once.
    ColdAndLate,
    /// By the plan that is acted by.
    Plan(reedring_plan::DispatchBlock),
}

impl Reason {
    /// For whoever asks why a task got no place.
    pub fn word(self) -> &'static str {
        match self {
            Self::ColdAndLate => "cold, and late to answer",
            Self::Plan(hold) => hold.word(),
        }
    }
}

/// Which nodes are held back.
#[derive(Debug, Default)]
pub(crate) struct Holds {
    by: BTreeMap<NodeNo, BTreeSet<Reason>>,
    machines: BTreeSet<MachineId>,
    /// Requests without a constraint that were told which machines are open.
    narrowed: BTreeSet<RequestId>,
    /// What is told is not what is so.
    changed: bool,
}

impl Holds {
    /// Whether this machine is held back.
    pub fn has(&self, machine: MachineId) -> bool {
        self.machines.contains(&machine)
    }

    /// Whether a node is held back for this reason, from now on.
    fn set(&mut self, node: NodeNo, machine: MachineId, reason: Reason, held: bool) {
        let reasons = self.by.entry(node).or_default();
        let changed = if held {
            reasons.insert(reason)
        } else {
            reasons.remove(&reason)
        };
        if reasons.is_empty() {
            self.by.remove(&node);
            self.changed |= self.machines.remove(&machine);
        } else if changed {
            self.changed |= self.machines.insert(machine);
        }
    }

    /// The reason by the plan, in place of any other of that kind.
    fn set_plan(
        &mut self,
        node: NodeNo,
        machine: MachineId,
        hold: Option<reedring_plan::DispatchBlock>,
    ) {
        let before = self.by.get(&node).and_then(|reasons| {
            reasons
                .iter()
                .copied()
                .find(|reason| matches!(reason, Reason::Plan(_)))
        });
        let now = hold.map(Reason::Plan);
        if before != now {
            now.into_iter()
                .for_each(|reason| self.set(node, machine, reason, true));
            before
                .into_iter()
                .for_each(|reason| self.set(node, machine, reason, false));
        }
    }

    /// A request is answered, or taken back.
    pub fn answered(&mut self, request: RequestId) {
        self.narrowed.remove(&request);
    }

    /// The reasons in words, with how many nodes each holds back; empty where none is.
    pub fn words(&self) -> String {
        let mut counts: BTreeMap<Reason, usize> = BTreeMap::new();
        for reason in self.by.values().flatten() {
            *counts.entry(*reason).or_default() += 1;
        }
        let words: Vec<String> = counts
            .into_iter()
            .map(|(reason, count)| format!("{count} held back ({})", reason.word()))
            .collect();
        words.join(", ")
    }
}

impl Core {
    /// Holds a node back, or no longer does.
    pub(crate) fn hold(&mut self, node: NodeNo, reason: Reason, held: bool) {
        if let Some(machine) = self.nodes.all.get(&node).map(|node| node.machine) {
            self.holds.set(node, machine, reason, held);
        }
    }

    /// Holds a node back by the plan, or no longer does.
    pub(crate) fn hold_by_plan(
        &mut self,
        node: NodeNo,
        hold: Option<reedring_plan::DispatchBlock>,
    ) {
        if let Some(machine) = self.nodes.all.get(&node).map(|node| node.machine) {
            self.holds.set_plan(node, machine, hold);
        }
    }

    /// The list changed: who was told of some machines is told anew.
    pub(crate) fn holds_listed(&mut self) {
        self.holds.changed |= !self.holds.narrowed.is_empty();
    }

    /// Machines that are open to a request without a constraint, in the order of their ids.
    fn not_held(&self) -> Vec<MachineId> {
        let mut open: Vec<MachineId> = self.nodes.all.values().map(|node| node.machine).collect();
        open.retain(|machine| !self.holds.has(*machine));
        open.sort_unstable();
        open
    }

    /// A request without a constraint begins to wait.
    pub(crate) fn narrow(&mut self, request: RequestId) {
        if !self.holds.machines.is_empty() {
            self.holds.narrowed.insert(request);
            let machines = self.not_held();
            self.events
                .push(ModuleEvent::EligibilityChanged { request, machines });
        }
    }

    /// Tells the module which machines are open, where that has changed.
    pub(crate) fn tell_holds(&mut self) {
        if !std::mem::take(&mut self.holds.changed) {
            return;
        }
        let held = self.holds.machines.clone();
        self.constrain.hold(&held);
        let plain: Vec<RequestId> = if held.is_empty() {
            std::mem::take(&mut self.holds.narrowed)
                .into_iter()
                .collect()
        } else {
            self.ledger
                .requests
                .keys()
                .copied()
                .filter(|request| !self.constrain.has(*request))
                .collect()
        };
        let open = self.not_held();
        let opened = plain.iter().map(|request| ModuleEvent::EligibilityChanged {
            request: *request,
            machines: open.clone(),
        });
        self.events.extend(opened);
        if !held.is_empty() {
            self.holds.narrowed.extend(plain);
        }
    }

    // ---- Cold nodes ----

    /// An offer to a node was answered, or its end is known otherwise. Where it was late, whatever was sent since
    /// may have reached the node in one piece with it.
    pub(crate) fn answered_at(&mut self, now: Micros, number: NodeNo, sent: Micros) {
        let (jitter, window) = (self.settings.jitter_us(), self.settings.site.cold_window_us);
        let late = self.nodes.is_cold(number, now, &self.settings.site) && now > sent + jitter;
        if let (true, Some(window), Some(node)) = (late, window, self.nodes.all.get_mut(&number)) {
            node.late_until = now + window + jitter;
            self.timers.set(node.late_until, Timer::Cold(number));
        }
        self.tend_cold(now, number);
    }

    /// A node told of an attempt that was given up without its word.
    pub(crate) fn ghost_gone(&mut self, now: Micros, attempt: wire::AttemptId) {
        if let Some(node) = self.constrain.ghost_gone(attempt) {
            self.answered_at(now, node, 0);
        }
    }

    /// An offer leaves for a node.
    pub(crate) fn offered_to(&mut self, now: Micros, number: NodeNo) {
        if self.nodes.is_cold(number, now, &self.settings.site) {
            self.timers
                .set(now + self.settings.jitter_us(), Timer::Cold(number));
        }
    }

    /// Looks whether a cold node is late.
    pub(crate) fn tend_cold(&mut self, now: Micros, number: NodeNo) {
        let cold = self.nodes.is_cold(number, now, &self.settings.site);
        let Some(node) = self.nodes.all.get(&number) else {
            return;
        };
        let out = |id: &AttemptId| {
            let attempt = self.ledger.attempts.get(id)?;
            (!attempt.accepted).then_some(attempt.sent)
        };
        let oldest = if cold {
            node.attempts.iter().filter_map(out).min()
        } else {
            None
        };
        // What was given up without a word may still be on its way.
        let oldest = if cold && self.constrain.has_ghosts(number) {
            Some(0)
        } else {
            oldest
        };
        let held = decide::cold_and_late(
            now,
            cold,
            oldest,
            node.late_until,
            self.settings.jitter_us(),
        );
        self.hold(number, Reason::ColdAndLate, held);
    }
}
