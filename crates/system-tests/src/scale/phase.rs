//! The phases of a run, and what was measured in one of them.

use std::time::Duration;

use clap::ValueEnum;
use reedring_capacity::measurement::Phase;
use reedring_node_protocol::MessageKind;

/// The phases, in the order in which they are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum PhaseName {
    /// All links stand, no task runs, nothing changes.
    Idle,
    /// Long tasks stand, nothing else changes.
    Standing,
    /// The placer that brings changes starts again with the plan in force.
    PlacerRestarted,
    /// Changes of configuration, one after another.
    PlanChange,
    /// A node's rack changes in the list.
    ListChange,
    /// Short tasks start at the rate that was asked for.
    Starts,
    /// Nodes are killed and started again, one after another.
    Churn,
    /// All nodes of a zone are killed, and come back cold.
    ZoneLost,
    /// All nodes of a region stand still, and go on.
    RegionStill,
    /// All nodes of a region are killed: connections to them are refused until they come back cold.
    RegionRefused,
    /// The placer that brings a change is killed in the middle of it.
    PlacerKilled,
    /// Changes as fast as they come in force, at most one in each so many seconds.
    FastChanges,
}

impl PhaseName {
    /// All of them, in order.
    pub const ALL: [Self; 12] = [
        Self::Idle,
        Self::Standing,
        Self::PlacerRestarted,
        Self::PlanChange,
        Self::ListChange,
        Self::Starts,
        Self::Churn,
        Self::ZoneLost,
        Self::RegionStill,
        Self::RegionRefused,
        Self::PlacerKilled,
        Self::FastChanges,
    ];

    /// Its name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Standing => "standing",
            Self::PlacerRestarted => "placer-restarted",
            Self::PlanChange => "plan-change",
            Self::ListChange => "list-change",
            Self::Starts => "starts",
            Self::Churn => "churn",
            Self::ZoneLost => "zone-lost",
            Self::RegionStill => "region-still",
            Self::RegionRefused => "region-refused",
            Self::PlacerKilled => "placer-killed",
            Self::FastChanges => "fast-changes",
        }
    }

    /// Whether nodes end or stand still in it, so that messages may be on the way when a process ends.
    pub const fn cuts_links(self) -> bool {
        match self {
            Self::Idle
            | Self::Standing
            | Self::PlacerRestarted
            | Self::PlanChange
            | Self::ListChange
            | Self::Starts
            | Self::PlacerKilled
            | Self::FastChanges => false,
            Self::Churn | Self::ZoneLost | Self::RegionStill | Self::RegionRefused => true,
        }
    }

    /// Whether it lasts as long as it was told to, at a rate that a size names: what it used by the second means
    /// something. All others last until their events are over, or at a rate that no size names (starts), and are
    /// measured by the event.
    pub const fn has_rate(self) -> bool {
        matches!(self, Self::Idle | Self::FastChanges)
    }

    /// The phase of run files under which it is kept; fast changes are changes at another rate. Where a run played both
    /// variants of a phase, the first one is kept.
    pub const fn in_run_files(self) -> Option<Phase> {
        match self {
            Self::Idle => Some(Phase::Idle),
            Self::PlanChange | Self::FastChanges => Some(Phase::ConfigurationChange),
            Self::ListChange => Some(Phase::ListChange),
            Self::Starts => Some(Phase::Starts),
            Self::Churn => Some(Phase::Churn),
            Self::ZoneLost => Some(Phase::ZoneLost),
            Self::RegionStill | Self::RegionRefused => Some(Phase::RegionCut),
            Self::PlacerKilled => Some(Phase::PlacerKilled),
            Self::Standing | Self::PlacerRestarted => None,
        }
    }
}

/// What one process of a role used in a phase, on average over the measured processes of that role.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor seconds.
    pub processor: f64,
    /// The most processor seconds that one of them used.
    pub processor_most: f64,
    /// Resident bytes at the end of the phase.
    pub resident: f64,
    /// Descriptors at the end of the phase.
    pub descriptors: f64,
    /// Messages of control, both ways added.
    pub control_messages: f64,
    /// Their bytes.
    pub control_bytes: f64,
    /// Messages of work, both ways added.
    pub work_messages: f64,
    /// Their bytes.
    pub work_bytes: f64,
}

/// What one end of a link counted of a kind of message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindUsage {
    /// Which.
    pub kind: MessageKind,
    /// Messages of one process of a role, on average. Each kind goes one way only.
    pub messages: f64,
    /// Their bytes.
    pub bytes: f64,
}

/// What was measured in a phase.
#[derive(Clone, Debug, PartialEq)]
pub struct PhaseResult {
    /// Which.
    pub phase: PhaseName,
    /// How long it was measured.
    pub elapsed: Duration,
    /// Events that it had: changes, starts, restarts; 0 for phases that only last.
    pub events: u64,
    /// A real placer that only follows.
    pub placer: Usage,
    /// A real node; its messages are those of a hollow node.
    pub node: Usage,
    /// A control machine, where there are some.
    pub control: Option<Usage>,
    /// Messages of a measured placer, by kind; those alone that it had.
    pub kinds: Vec<KindUsage>,
    /// Messages of a hollow node, by kind.
    pub node_kinds: Vec<KindUsage>,
    /// Seconds from asking for a change until it was in force at every placer, each change by itself.
    pub in_force: Vec<f64>,
    /// What else was found, in words.
    pub notes: Vec<String>,
}
