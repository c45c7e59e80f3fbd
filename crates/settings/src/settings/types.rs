//! The checked settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use reedring::{Effect, Group, Micros, Place, ReportField, ReportStyle};
use reedring_drmaa::native::Native;
use serde::Deserialize;

/// The address on which a placer accepts client connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// TCP on this address; with port 0 the system chooses a free port.
    Tcp(SocketAddr),
    /// A Unix socket at this path.
    Unix(PathBuf),
}

/// When a lost task is placed again. A task that is known never to have run is always placed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ComesAgain {
    /// After each loss, even if it is unknown whether the lost task still runs.
    Always,
    /// Only if it is known that the lost task ended: its node reported the end, or reconnected without the task.
    Ended,
    /// Never; the job ends as failed.
    Never,
}

/// A limit on how many tasks of one service run close together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// The domain over which tasks are spread.
    pub over: Place,
    /// Maximum number of tasks of one service in one such domain; at least 1.
    pub most: u32,
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The unique name of the class, of 1 to 200 bytes.
    pub name: String,
    /// What a second start of the same task may do (`repeat`).
    pub effect: Effect,
    /// Where a keyed task may be retried: on the nodes of this group around its first attempt. Not used for other
    /// classes.
    pub group: Group,
    /// The group of nodes that drop repeats of a keyed task. It differs from `group` only during the change from one
    /// plan to another. Not used for other classes.
    pub deduplication_group: Group,
    /// For how long repeats of a keyed task are dropped, from the first offer that may have run; `None` unless the class
    /// is keyed.
    pub window_us: Option<Micros>,
    /// The latency objective: a task that starts within this time is in time. It is over 0 and at most `give_up_us`.
    pub aim_us: Micros,
    /// The time after which the client gives up on a task that was not placed.
    pub give_up_us: Micros,
    /// The only machine kind that may run the class, as an index into [`Settings::kinds`]; `None` for all kinds.
    pub kind: Option<u16>,
    /// How the tasks of one service are spread; `None` for no limit.
    pub spread: Option<Spread>,
    /// The fraction of its cores up to which a machine may be busy before service degrades; over 0, `None` if unknown.
    pub calm: Option<f64>,
    /// When a lost task is placed again.
    pub comes_again: ComesAgain,
    /// The delay before a lost task is placed again.
    pub again_after_us: Micros,
    /// Cores that a task requests if its submission states none; by default [`Site::mean_cores`], or else 1.
    pub cores: f64,
    /// Memory that a task requests if its submission states none, in the unit of [`Kind::memory`]; by default
    /// [`Site::mean_memory`], or else 1.
    pub memory: f64,
    /// Whether the class accepts no new tasks, because it was removed from the plan or is not yet in the active plan.
    pub closed: bool,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// The unique name of the kind, of 1 to 200 bytes.
    pub name: String,
    /// Number of cores of one machine; over 0.
    pub cores: f64,
    /// Memory of one machine; over 0. The unit is the same for all memory values of the settings and the
    /// node list.
    pub memory: f64,
}

/// A job category: a named native specification.
#[derive(Clone, Debug, PartialEq)]
pub struct Category {
    /// The unique name of the category, of 1 to 200 bytes.
    pub name: String,
    /// Defaults for jobs of the category, used where their own native specification states nothing.
    pub native: Native,
    /// The text of the native specification.
    pub text: String,
}

/// How machines report their load.
#[derive(Clone, Debug, PartialEq)]
pub struct Reports {
    /// Which messages contain load reports.
    pub style: ReportStyle,
    /// The meaning of the values of a load report, in their order.
    pub fields: Vec<ReportField>,
    /// Whether the resources that reports call left are those that no task requests, instead of those that no task uses.
    pub counts_requests: bool,
}

/// The machines of the site in general, and the rules for placing tasks on them.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number of placers that share the machines; at least 1.
    pub placers: u32,
    /// A machine accepts tasks until their requests reach this multiple of its cores; 1 by default.
    pub accepts_cores: f64,
    /// A machine accepts tasks until their requests reach this multiple of its memory; 1 by default.
    pub accepts_memory: f64,
    /// Cores that the average task requests; `None` if unknown.
    pub mean_cores: Option<f64>,
    /// Memory that the average task requests; `None` if unknown.
    pub mean_memory: Option<f64>,
    /// Whether a node answers an offer only when the task runs, instead of when it accepts the task.
    pub yes_when_running: bool,
    /// How machines report their load.
    pub reports: Reports,
    /// Maximum number of attempts for one placement of a task; at least 1.
    pub max_attempts: u32,
    /// Whether placers may send health checks to machines.
    pub may_probe: bool,
    /// The time after the announcement of a drain from which no new task reaches the machine.
    pub drain_grace_us: Micros,
    /// How long a machine warms up after its start; `None` if it is warm at once.
    pub warm_after_us: Option<Micros>,
    /// The slow start window, in which the offers to a machine that is warming up are counted; `None` for no limit.
    pub cold_window_us: Option<Micros>,
    /// Number of offers in that window, by all placers together, that a machine withstands while it is warming up;
    /// `None` for no limit. It is set together with `warm_after_us` and `cold_window_us`, or none of them is.
    pub cold_offers: Option<f64>,
    /// The price of machines that run tasks beyond those needed; `None` if they cost nothing.
    pub price_fleet: Option<f64>,
    /// The price of tasks that run outside the hall of their placer; `None` if they cost nothing.
    pub price_cross_hall: Option<f64>,
}

/// Limits on the number of jobs and connections of a placer, and on the time for which it retains them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of concurrent client connections.
    pub connections: usize,
    /// Maximum number of sessions at the same time.
    pub sessions: usize,
    /// Maximum number of jobs that have not ended.
    pub jobs: usize,
    /// Maximum number of jobs in one bulk submission.
    pub bulk: u64,
    /// How long a job is retained after its end, so that clients can query it.
    pub keep_ended_us: Micros,
    /// How long after the start of the placer a repeated submission may wait for the nodes to report the tasks that they
    /// hold.
    pub settle_us: Micros,
}

/// Timeouts of the connections to nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    /// Timeout for connecting to a node.
    pub connect_us: Micros,
    /// How long the placer waits for the outcome of an offer after its connection was lost.
    pub reattach_us: Micros,
    /// How long the placer waits for the answer of the node after it stopped an attempt.
    pub stop_wait_us: Micros,
    /// How long a node may be unreachable before the tasks that it accepted count as lost.
    pub lost_after_us: Micros,
    /// Timeout for a health check: without an answer by then it counts as unanswered.
    pub probe_us: Micros,
}

/// What happens to tasks that must not be started twice while the state folder can't be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenLost {
    /// They are accepted with a warning, as long as the folder is at least marked as incomplete: without the mark, the
    /// placer would not know after a restart that records are missing.
    #[default]
    Warn,
    /// No such task is accepted, and none that was accepted before is offered to a node.
    Refuse,
}

/// The state that a placer keeps across restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The state folder, relative to the folder of the settings file.
    pub folder: PathBuf,
    /// What happens to tasks that must not be started twice while the folder can't be written.
    pub when_lost: WhenLost,
    /// Interval between writes of what the placer has learned about the nodes.
    pub learn_us: Micros,
    /// Interval between attempts to write to a folder that can't be written.
    pub retry_us: Micros,
}

impl State {
    /// The default settings with this folder.
    pub fn in_folder(folder: PathBuf) -> Self {
        Self {
            folder,
            when_lost: WhenLost::Warn,
            learn_us: 10_000_000,
            retry_us: 5_000_000,
        }
    }
}

/// The `[plan]` table: the number of the file's plan, and how the placer adopts other plans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// The number of the plan, from 1; a changed plan has the next number.
    pub number: u64,
    /// Whether the placer may act by no other plan than that of its file.
    pub pinned: bool,
    /// How long the placer continues under its plan without answers from a majority of the nodes that vote; at least 1 s.
    pub lease_us: Micros,
}

/// The settings of one placer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the placer. Nodes identify the placer of the tasks that they hold by this name, so it must not
    /// change across restarts.
    pub name: String,
    /// The address on which the placer accepts client connections.
    pub listen: Address,
    /// The file of the node list, relative to the folder of the settings file.
    pub nodes: PathBuf,
    /// The hall (zone) of the placer; `None` if the file does not state it.
    pub hall: Option<String>,
    /// Seed of the random number generator; `None` for a random seed.
    pub seed: Option<u64>,
    /// The file to which the trace is written, relative to the folder of the settings file; `None` for no trace.
    pub trace: Option<PathBuf>,
    /// The machines of the site and the rules for placing tasks on them.
    pub site: Site,
    /// Limits on the number of jobs and connections.
    pub limits: Limits,
    /// Timeouts of the connections to nodes.
    pub links: Links,
    /// The state that is kept across restarts; `None` to keep nothing.
    pub state: Option<State>,
    /// The number of the plan and how other plans are adopted. If `None`, the placer neither sends plans to nodes nor
    /// adopts plans from them.
    pub plan: Option<PlanSettings>,
    /// The tables of the file that belong to the single placer, as TOML without defaults.
    pub(crate) placer_tables: String,
    /// The classes, by class number. In a file this is the order of the `[[class]]` tables.
    pub classes: Vec<Class>,
    /// The machine kinds, by kind number.
    pub kinds: Vec<Kind>,
    /// The names of the tenants, by tenant number.
    pub tenants: Vec<String>,
    /// The job categories, in the order of the file.
    pub categories: Vec<Category>,
    /// The texts of named constraints, to which other constraints refer as `use NAME`.
    pub constraints: BTreeMap<String, String>,
}
