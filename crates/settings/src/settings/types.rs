//! What a placer is told, once it is checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use reedring::{Effect, Group, Micros, Place, ReportField, ReportStyle};
use reedring_drmaa::native::Native;
use serde::Deserialize;

/// Where a placer takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// TCP on this address; port 0 takes a free one.
    Tcp(SocketAddr),
    /// A Unix socket at this path.
    Unix(PathBuf),
}

/// When a task that was placed and then lost is placed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ComesAgain {
    /// Whenever it is lost, also where nobody knows whether it still runs.
    Always,
    /// Where its node told that it ended, or came back without it.
    Ended,
    /// Never; its job ends as failed.
    Never,
}

/// How the tasks of one service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Over which places.
    pub over: Place,
    /// Tasks of one service in one place at most.
    pub most: u32,
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a second start may do.
    pub effect: Effect,
    /// Within which group of its first attempt a keyed task may be sent again.
    pub group: Group,
    /// Which nodes drop repeats of a keyed task: the same group, but between two plans.
    pub drops: Group,
    /// For how long, from the first send that may have run.
    pub window_us: Option<Micros>,
    /// A start within this time is in time.
    pub aim_us: Micros,
    /// After this time without a place its owner gives up.
    pub give_up_us: Micros,
    /// The only machine kind that serves it.
    pub kind: Option<u16>,
    /// How its services are spread.
    pub spread: Option<Spread>,
    /// Cores of a machine may be busy up to this fraction before its service fades.
    pub calm: Option<f64>,
    /// Whether a lost task comes again.
    pub comes_again: ComesAgain,
    /// How long a lost task waits before it comes again.
    pub again_after_us: Micros,
    /// Cores that a task asks for where its submission does not say.
    pub cores: f64,
    /// Memory that a task asks for where its submission does not say.
    pub memory: f64,
    /// It takes nothing new: no plan has it any more, or not yet.
    pub closed: bool,
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Cores of one machine.
    pub cores: f64,
    /// Memory of one machine.
    pub memory: f64,
}

/// A job category: a name for a native specification.
#[derive(Clone, Debug, PartialEq)]
pub struct Category {
    /// Its name.
    pub name: String,
    /// What a job of it says where its own specification is silent.
    pub native: Native,
    /// The specification as it was written.
    pub text: String,
}

/// How machines tell their load.
#[derive(Clone, Debug, PartialEq)]
pub struct Reports {
    /// With what.
    pub style: ReportStyle,
    /// The values, in order.
    pub fields: Vec<ReportField>,
    /// What they call left is what nobody asked for, not what nobody uses.
    pub counts_asks: bool,
}

/// What is told of the site and its rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Placers that share the machines.
    pub placers: u32,
    /// A machine accepts until asks reach this multiple of its cores.
    pub accepts_cores: f64,
    /// A machine accepts until asks reach this multiple of its memory.
    pub accepts_memory: f64,
    /// Cores that a task of mean size asks for.
    pub mean_cores: Option<f64>,
    /// Memory that a task of mean size asks for.
    pub mean_memory: Option<f64>,
    /// A yes comes only when the task runs.
    pub yes_when_running: bool,
    /// Load reports.
    pub reports: Reports,
    /// Attempts at one placing of a task at most.
    pub max_attempts: u32,
    /// Machines may be probed.
    pub may_probe: bool,
    /// Nothing new reaches a machine later than this after its drain was told.
    pub drain_grace_us: Micros,
    /// A machine is warm this long after its start.
    pub warm_after_us: Option<Micros>,
    /// The window in which offers to a cold machine are counted.
    pub cold_window_us: Option<Micros>,
    /// Offers in that window, by all placers, that a cold machine survives.
    pub cold_offers: Option<f64>,
    /// Price of machines that hold a task beyond those needed.
    pub price_fleet: Option<f64>,
    /// Price of tasks outside the hall of their placer.
    pub price_cross_hall: Option<f64>,
}

/// What a placer holds at most, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Client connections at once.
    pub connections: usize,
    /// Sessions at once.
    pub sessions: usize,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Jobs in one bulk submission.
    pub bulk: u64,
    /// How long a job that is over is kept for a client to ask.
    pub keep_ended_us: Micros,
    /// How long a submission that is asked for again waits for nodes to say what they hold.
    pub settle_us: Micros,
}

/// Times of the links to nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Links {
    /// A connection that takes longer fails.
    pub connect_us: Micros,
    /// How long the fate of an offer is awaited after its link was cut.
    pub reattach_us: Micros,
    /// How long a node's word is awaited after an attempt was stopped.
    pub stop_wait_us: Micros,
    /// How long a node may be unreachable before the tasks that it accepted count as lost.
    pub lost_after_us: Micros,
    /// A probe that takes longer is not answered.
    pub probe_us: Micros,
}

/// What happens to tasks that must not be started twice while the state folder can't be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenLost {
    /// They are taken with a warning, as long as the folder can at least say that promises are missing.
    #[default]
    Warn,
    /// None is taken, and none that was taken leaves.
    Refuse,
}

/// What is kept over restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The folder, relative to the settings' file.
    pub folder: PathBuf,
    /// What happens while it can't be written.
    pub when_lost: WhenLost,
    /// How often what was learned is kept.
    pub learn_us: Micros,
    /// How often a folder that can't be written is tried again.
    pub retry_us: Micros,
}

impl State {
    /// The usual, in this folder.
    pub fn in_folder(folder: PathBuf) -> Self {
        Self {
            folder,
            when_lost: WhenLost::Warn,
            learn_us: 10_000_000,
            retry_us: 5_000_000,
        }
    }
}

/// Which plan a placer's file holds, and how it takes others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanOwn {
    /// The plan's number; a changed plan has the next one.
    pub number: u64,
    /// It takes no other plan than that of its file.
    pub pinned: bool,
    /// For how long it goes on by its plan without a word of a majority of the listed nodes.
    pub lease_us: Micros,
}

/// The settings of one placer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The placer's name; nodes know by it what they hold for it.
    pub name: String,
    /// Where it takes calls.
    pub listen: Address,
    /// The node list's file, relative to the settings'.
    pub nodes: PathBuf,
    /// The hall it stands in.
    pub hall: Option<String>,
    /// Seed of its random numbers; drawn where it is not told.
    pub seed: Option<u64>,
    /// Where the trace goes, if one is wanted; relative to the settings' file.
    pub trace: Option<PathBuf>,
    /// The site.
    pub site: Site,
    /// Limits.
    pub limits: Limits,
    /// Links.
    pub links: Links,
    /// What is kept over restarts; nothing where it is not told.
    pub state: Option<State>,
    /// Which plan the rest is. Without it, the placer tells nodes nothing of plans and takes none from them.
    pub plan: Option<PlanOwn>,
    /// The tables of the file that are the placer's own, as they stand there.
    pub(crate) own: String,
    /// Classes, in order.
    pub classes: Vec<Class>,
    /// Kinds, in order.
    pub kinds: Vec<Kind>,
    /// Tenants, in order.
    pub tenants: Vec<String>,
    /// Job categories.
    pub categories: Vec<Category>,
    /// Constraints by name, for `use NAME` in others.
    pub constraints: BTreeMap<String, String>,
}
