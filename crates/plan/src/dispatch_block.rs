//! Which nodes a placer must not dispatch to for now: a node rejects what is below its floor, and one that is warming up
//! must not get the offers that two configurations allow at once.

#[cfg(test)]
mod tests;

use reedring_node_protocol::{AcceptorReport, version_level};

use crate::cluster::PeerState;
use crate::lease::{ActiveConfig, LeaseState, SuspendReason};

/// Why nothing is dispatched to a node for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatchBlock {
    /// The placer is suspended, and dispatches to no node.
    Suspended(SuspendReason),
    /// The node has not reported its state.
    NoReport,
    /// The node's floor is above the version level by which the placer acts.
    LevelBelowFloor,
    /// The node has not learned of the configuration by which the placer acts.
    ConfigNotInstalled,
    /// The node is warming up, and its floor rose less than a slow-start window ago: it may have got offers by the
    /// configuration before.
    FloorSettling,
    /// The node is warming up, and has not learned of the configuration of the placer's own settings file, by which there
    /// may be more placers.
    LocalConfigAhead,
}

impl DispatchBlock {
    /// The reason in words. It is part of the details of jobs that are not placed.
    pub const fn description(self) -> &'static str {
        match self {
            Self::Suspended(reason) => reason.description(),
            Self::NoReport => "not told yet what it keeps of plans",
            Self::LevelBelowFloor => "its floor is over the plan acted by",
            Self::ConfigNotInstalled => "the plan acted by is not there yet",
            Self::FloorSettling => "cold, and its floor rose a moment ago",
            Self::LocalConfigAhead => "cold, and the plan of the own file is not there yet",
        }
    }

    /// Whether it may end without a message from any node, so that it has to be evaluated again and again.
    ///
    /// | block | ends |
    /// | --- | --- |
    /// | suspended, no report | once a node answers |
    /// | floor settling | after a slow-start window |
    /// | level below floor, not installed, local ahead | by a request that is retried, or once the node is warm |
    pub const fn needs_polling(self) -> bool {
        match self {
            Self::Suspended(_) | Self::NoReport => false,
            Self::LevelBelowFloor
            | Self::ConfigNotInstalled
            | Self::FloorSettling
            | Self::LocalConfigAhead => true,
        }
    }

    /// Whether a request to raise its floor lifts this block: the node is a learner whose floor has not risen yet.
    pub fn is_lifted_by_raising_floor(self, peer: &PeerState) -> bool {
        let is_learner = peer.report().is_some_and(|report| report.is_learner);
        self == Self::ConfigNotInstalled && is_learner
    }
}

/// How a node starts up, as far as its slow start is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// The node is warming up.
    pub is_warming_up: bool,
    /// The window in which offers to such a node are counted, in milliseconds.
    pub window_ms: u64,
}

/// Why a placer must not dispatch to a node, if it must not.
///
/// | lease state | node | warming up | its floor, beside the level acted by | block |
/// | --- | --- | --- | --- | --- |
/// | unmanaged | any | any | any | none |
/// | suspended | any | any | any | suspended |
/// | active | unknown | any | | no report |
/// | active | legacy | any | | none: it checks nothing |
/// | active | reported | any | above it | level below floor |
/// | active | reported | any | more than one level below it, or nothing is committed or chosen there | not installed |
/// | active by two configurations | reported | yes | one level below it | not installed |
/// | active, local ahead | reported | yes | the local configuration is not at least joint there | local ahead |
/// | active | reported | yes | rose less than a window ago | floor settling |
/// | active | reported | no, or its floor has settled | the same, or one level below it | none |
///
/// A learner's floor rises by the offers that it is sent, so a warm one takes any newer configuration. Nobody may rely
/// on that where it is warming up: placers by the configuration before may be dispatching to it until it reports that its
/// floor has risen.
///
/// | lease state | learner | warming up | its floor, beside the configuration acted by | block |
/// | --- | --- | --- | --- | --- |
/// | active | reported | any | above the level acted by | level below floor |
/// | active | reported | no | else | none |
/// | active | reported | yes | below the joint level of the configuration | not installed |
/// | active, local ahead | reported | yes | else | local ahead |
/// | active | reported | yes | rose less than a window ago | floor settling |
/// | active | reported | yes | else | none |
pub fn dispatch_block(
    state: &LeaseState,
    peer: &PeerState,
    slow_start: SlowStart,
) -> Option<DispatchBlock> {
    let active = match state {
        LeaseState::Unmanaged => return None,
        LeaseState::Suspended(reason) => return Some(DispatchBlock::Suspended(*reason)),
        LeaseState::Active(active) => active,
    };
    match peer {
        PeerState::Unknown => Some(DispatchBlock::NoReport),
        PeerState::Legacy => None,
        PeerState::Reported(report) if report.is_learner => {
            learner_block(active, report, slow_start)
        }
        PeerState::Reported(report) => acceptor_block(active, report, slow_start),
    }
}

fn acceptor_block(
    active: &ActiveConfig,
    report: &AcceptorReport,
    slow_start: SlowStart,
) -> Option<DispatchBlock> {
    let (active_level, floor) = (active.level(), report.floor());
    if floor > active_level {
        return Some(DispatchBlock::LevelBelowFloor);
    }
    if floor == 0 || floor + 1 < active_level {
        return Some(DispatchBlock::ConfigNotInstalled);
    }
    // Others may dispatch to it by the configuration before alone, and as much as that allows.
    let is_old_alone_admitted = floor < active_level && active.next.is_some();
    if slow_start.is_warming_up && is_old_alone_admitted {
        return Some(DispatchBlock::ConfigNotInstalled);
    }
    slow_start_block(active, report, slow_start)
}

fn learner_block(
    active: &ActiveConfig,
    report: &AcceptorReport,
    slow_start: SlowStart,
) -> Option<DispatchBlock> {
    let floor = report.floor();
    if floor > active.level() {
        return Some(DispatchBlock::LevelBelowFloor);
    }
    if slow_start.is_warming_up && floor < version_level(active.version().version, true) {
        return Some(DispatchBlock::ConfigNotInstalled);
    }
    slow_start_block(active, report, slow_start)
}

/// The rows that acceptors and learners share, for a node whose floor is that of the configuration acted by.
fn slow_start_block(
    active: &ActiveConfig,
    report: &AcceptorReport,
    slow_start: SlowStart,
) -> Option<DispatchBlock> {
    if !slow_start.is_warming_up {
        return None;
    }
    if active.local_ahead.is_some() {
        return Some(DispatchBlock::LocalConfigAhead);
    }
    (report.floor_age_ms < slow_start.window_ms).then_some(DispatchBlock::FloorSettling)
}
