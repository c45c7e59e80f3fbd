//! What a scale run measured: the types of the JSON run file and the checks made on reading it.

mod run_number;
mod validation;

use crate::names::kebab_case_names;
use serde::{Deserialize, Serialize};

pub use run_number::RunNumber;
pub use validation::{Fault, RunFileError, ValidationError};

/// The size of the cluster a measurement was taken on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Size {
    /// Nodes that run tasks; at least one.
    pub nodes: u32,
    /// Placers side by side; at least one.
    pub placers: u32,
    /// Configuration changes per hour, over the whole cluster.
    pub changes_per_hour: f64,
    /// Tasks that run at the same time, over the whole cluster.
    pub running_tasks: u32,
    /// Teams that the configuration has.
    pub teams: u32,
    /// Machines set aside for control; 0 means that every node votes.
    pub control_machines: u32,
}

/// Which program a measurement is about. A value is always for one process of that role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A placer: takes tasks and chooses their nodes.
    Placer,
    /// A node: runs tasks.
    Node,
    /// The source of the list of nodes.
    ListSource,
    /// A client that starts tasks or changes the configuration.
    Client,
    /// A machine set aside for control, which votes and runs no tasks.
    ControlMachine,
}

/// What the cluster did while a measurement was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing started and nothing changed.
    Idle,
    /// Tasks started.
    Starts,
    /// The configuration changed.
    #[serde(rename = "plan-change")]
    ConfigurationChange,
    /// The list of nodes changed.
    ListChange,
    /// Nodes failed, restarted and were replaced.
    Churn,
    /// All nodes of a zone were lost.
    ZoneLost,
    /// A region was cut off from the others.
    RegionCut,
    /// A placer was killed and replaced.
    PlacerKilled,
}

/// What was measured. Each value is per process; the unit is given with each variant.
///
/// Budgets are those of one placer at the target size; a quantity without one has no budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Quantity {
    /// Processor time per elapsed time, as a share of one core (1.0 is a whole core). Budget: 0.017.
    ProcessorShare,
    /// Resident memory in bytes. Budget: 128 MiB (134,217,728 bytes).
    ResidentBytes,
    /// Bytes sent and received (both ways added) per second. Budget: 17,000.
    BytesPerSecond,
    /// Messages sent and received (both ways added) per second. No budget.
    MessagesPerSecond,
    /// Open file descriptors. No budget.
    Descriptors,
    /// Processor seconds one event of the phase costs. No budget of its own: times the events per second it
    /// counts against the budget of [`Quantity::ProcessorShare`].
    ProcessorSecondsPerEvent,
    /// Bytes one event of the phase costs, both ways added. No budget of its own: times the events per second
    /// it counts against the budget of [`Quantity::BytesPerSecond`].
    BytesPerEvent,
    /// Messages one event of the phase costs, both ways added. No budget.
    MessagesPerEvent,
    /// Seconds from a change being requested until every process acts by it. Budget: 8.
    #[serde(rename = "seconds-to-force")]
    SecondsUntilEffective,
}

/// One measured value: a quantity of one process of a role, at a size, during a phase.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Measurement {
    /// The size of the cluster.
    pub size: Size,
    /// The program measured.
    pub role: Role,
    /// What the cluster did meanwhile.
    pub phase: Phase,
    /// What was measured.
    pub quantity: Quantity,
    /// The value, in the unit of the quantity; never negative.
    pub value: f64,
}

/// One scale run: the command that made it and what it measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Run {
    /// The command that repeats the run.
    pub command: String,
    /// The seed of the run.
    pub seed: u64,
    /// How the cluster agrees, for example `every node votes` or `5 control machines`.
    pub mechanism: String,
    /// The revision of the source that was run.
    pub revision: String,
    /// What was measured; one value at most for each size, role, phase and quantity.
    pub measurements: Vec<Measurement>,
}

/// The JSON run file: a list of runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFile(pub Vec<Run>);

kebab_case_names!(Role {
    Placer => "placer",
    Node => "node",
    ListSource => "list-source",
    Client => "client",
    ControlMachine => "control-machine",
});

kebab_case_names!(Phase {
    Idle => "idle",
    Starts => "starts",
    ConfigurationChange => "plan-change",
    ListChange => "list-change",
    Churn => "churn",
    ZoneLost => "zone-lost",
    RegionCut => "region-cut",
    PlacerKilled => "placer-killed",
});

kebab_case_names!(Quantity {
    ProcessorShare => "processor-share",
    ResidentBytes => "resident-bytes",
    BytesPerSecond => "bytes-per-second",
    MessagesPerSecond => "messages-per-second",
    Descriptors => "descriptors",
    ProcessorSecondsPerEvent => "processor-seconds-per-event",
    BytesPerEvent => "bytes-per-event",
    MessagesPerEvent => "messages-per-event",
    SecondsUntilEffective => "seconds-to-force",
});
