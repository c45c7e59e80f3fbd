//! Which nodes a placer must not dispatch to for now: a node rejects offers below its floor, and a node that is warming
//! up must not get the offers that two configurations allow together.

#[cfg(test)]
mod tests;

use reedring_node_protocol::{AcceptorReport, version_level};

use crate::cluster::PeerState;
use crate::lease::{ActiveConfig, LeaseState, SuspendReason};

/// Why a placer must not dispatch to a node for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatchBlock {
    /// The placer is suspended, and must not dispatch to any node.
    Suspended(SuspendReason),
    /// The node has not reported its state.
    NoReport,
    /// The node's floor is above the placer's active version level.
    LevelBelowFloor,
    /// The node does not have the placer's active configuration yet.
    ConfigNotInstalled,
    /// The node is warming up, and its floor rose less than a slow-start window ago: it may have admitted offers by the
    /// previous configuration within that window.
    FloorSettling,
    /// The node is warming up, and the placer's own settings file has a later configuration that is not chosen yet and
    /// that may allow more placers.
    LocalConfigAhead,
}

impl DispatchBlock {
    /// The text of this reason in the details of jobs that are not placed.
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

    /// Whether the block may end without a message from a node, so that callers must evaluate it periodically.
    ///
    /// | block | ends |
    /// | --- | --- |
    /// | suspended, no report | with the answer of a node |
    /// | floor settling | after a slow-start window |
    /// | level below floor, not installed, local ahead | after a request that is retried, or once the node is warm |
    pub const fn needs_polling(self) -> bool {
        match self {
            Self::Suspended(_) | Self::NoReport => false,
            Self::LevelBelowFloor
            | Self::ConfigNotInstalled
            | Self::FloorSettling
            | Self::LocalConfigAhead => true,
        }
    }

    /// Whether a request to raise the node's floor lifts this block: the node is a learner that does not have the
    /// placer's active configuration yet.
    pub fn is_lifted_by_raising_floor(self, peer: &PeerState) -> bool {
        let is_learner = peer.report().is_some_and(|report| report.is_learner);
        self == Self::ConfigNotInstalled && is_learner
    }
}

/// The slow-start state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    /// Whether the node is warming up.
    pub is_warming_up: bool,
    /// The window in which offers to such a node are counted, in milliseconds.
    pub window_ms: u64,
}

/// The reason why a placer must not dispatch to a node, or `None` if it may.
///
/// For voters and other acceptors, by the node's floor in relation to the placer's active version level:
///
/// | lease state | node | warming up | floor | block |
/// | --- | --- | --- | --- | --- |
/// | unmanaged | any | any | any | none |
/// | suspended | any | any | any | suspended |
/// | active | unknown | any | | no report |
/// | active | legacy | any | | none: the node checks no version stamps |
/// | active | reported | any | above the active level | level below floor |
/// | active | reported | any | more than one level below, or nothing is committed or joint there | not installed |
/// | active by two configurations | reported | yes | one level below | not installed |
/// | active, local ahead | reported | yes | else | local ahead |
/// | active | reported | yes | rose less than a window ago | floor settling |
/// | active | reported | no, or the floor rose at least a window ago | the same, or one level below | none |
///
/// The floor of a learner rises with the offers that it receives, so a warm learner admits any newer configuration. One
/// that is warming up must first report that its floor has risen, because until then placers that apply the previous
/// configuration may dispatch to it.
///
/// | lease state | learner | warming up | floor | block |
/// | --- | --- | --- | --- | --- |
/// | active | reported | any | above the active level | level below floor |
/// | active | reported | no | else | none |
/// | active | reported | yes | below the joint level of the active configuration | not installed |
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
    // The node still admits offers by the previous configuration alone, up to the bounds of that one.
    let admits_previous_alone = floor < active_level && active.next.is_some();
    if slow_start.is_warming_up && admits_previous_alone {
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

/// The rows that both tables of [`dispatch_block()`] share: the node has the active configuration, so that only its
/// slow start can block it.
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
