//! What a run is asked for, and what it needs for that.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use super::layout::Layout;
use super::phase::PhaseName;

/// What a run is asked for.
#[derive(Args, Clone, Debug)]
pub struct ScaleOptions {
    /// Nodes that run tasks, the real ones among them.
    #[arg(long, default_value_t = 325)]
    pub nodes: usize,
    /// Placers, the real ones among them: three, or all where there are fewer.
    #[arg(long, default_value_t = 8)]
    pub placers: usize,
    /// Machines set aside for control, beside the nodes: they vote on plans and all nodes learn. 0: every node votes.
    #[arg(long, default_value_t = 0)]
    pub control: usize,
    /// Seed of everything that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Teams, as tenants of the settings.
    #[arg(long, default_value_t = 20)]
    pub teams: usize,
    /// Tasks that run during all phases; 17 a node unless told.
    #[arg(long)]
    pub tasks: Option<usize>,
    /// Task starts a second over the whole cluster in the phase of starts; 1,700 for 5,200 nodes unless told.
    #[arg(long)]
    pub starts_per_second: Option<f64>,
    /// Seconds that a placer goes on without a word of a majority; it asks every node three times in this time.
    #[arg(long, default_value_t = 30.0)]
    pub lease: f64,
    /// Seconds for which the idle cluster, starts and cuts are measured; the idle one to the end of a round of asking.
    #[arg(long, default_value_t = 10.0)]
    pub window: f64,
    /// Changes of configuration, one after another, in their phase.
    #[arg(long, default_value_t = 4)]
    pub changes: u64,
    /// Changes an hour in the phase of fast changes; the next one waits until the one before is in force.
    #[arg(long, default_value_t = 12_000.0)]
    pub changes_per_hour: f64,
    /// Seconds for which fast changes go on.
    #[arg(long, default_value_t = 60.0)]
    pub fast_seconds: f64,
    /// Phases to play, in the order of the run; all of them unless told.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub phases: Vec<PhaseName>,
    /// File of runs to which the run is added; it is made where there is none.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// The number of the target size.
const TARGET_NODES: f64 = 5_200.0;
/// Task starts a second at the target size.
const TARGET_STARTS: f64 = 1_700.0;
/// Tasks that run at one node of the target size.
const TASKS_PER_NODE: usize = 17;

impl ScaleOptions {
    /// Tasks that run during all phases.
    pub fn running_tasks(&self) -> usize {
        self.tasks.unwrap_or(self.nodes * TASKS_PER_NODE)
    }

    /// Task starts a second over the whole cluster.
    pub fn starts(&self) -> f64 {
        self.starts_per_second
            .unwrap_or(TARGET_STARTS * self.nodes as f64 / TARGET_NODES)
    }

    /// The lease.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease)
    }

    /// The time of one measurement.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window)
    }

    /// Whether a phase is to be played.
    pub fn plays(&self, phase: PhaseName) -> bool {
        self.phases.is_empty() || self.phases.contains(&phase)
    }

    /// The processes of the run.
    pub fn layout(&self, descriptors: u64) -> Layout {
        Layout::new(
            self.nodes,
            self.placers,
            self.control,
            self.running_tasks(),
            descriptors,
        )
    }

    /// The command that repeats the run.
    pub fn command(&self) -> String {
        let mut text = format!(
            "cargo run --release -p reedring-system-tests -- scale --nodes {} --placers {} --control {} --seed {} --teams {}",
            self.nodes, self.placers, self.control, self.seed, self.teams
        );
        text += &format!(
            " --tasks {} --starts-per-second {:.1}",
            self.running_tasks(),
            self.starts()
        );
        text += &format!(
            " --lease {} --window {} --changes {}",
            self.lease, self.window, self.changes
        );
        text += &format!(
            " --changes-per-hour {} --fast-seconds {}",
            self.changes_per_hour, self.fast_seconds
        );
        let phases: Vec<&str> = self.phases.iter().map(|phase| phase.name()).collect();
        if phases.is_empty() {
            text
        } else {
            format!("{text} --phases {}", phases.join(","))
        }
    }
}
