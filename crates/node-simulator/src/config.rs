//! What a stand-in is like.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

/// One stand-in node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its name, as in the placers' node list.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    #[serde(default = "loopback")]
    pub listen: SocketAddr,
    /// Its rack, for keyed classes grouped by rack.
    #[serde(default)]
    pub rack: String,
    /// Its hall, for keyed classes grouped by hall.
    #[serde(default)]
    pub hall: String,
    /// What the node list says of it beside, as TOML values; the node itself does not look at it.
    #[serde(default)]
    pub attrs: toml::Table,
    /// Cores.
    #[serde(default = "thirty_two")]
    pub cores: f64,
    /// Memory.
    #[serde(default = "ninety_six")]
    pub memory: f64,
    /// It accepts until asks reach this multiple of its cores.
    #[serde(default = "one")]
    pub accepts_cores: f64,
    /// It accepts until asks reach this multiple of its memory.
    #[serde(default = "one")]
    pub accepts_memory: f64,
    /// Milliseconds for which it looks at one ask; it looks at one at a time.
    #[serde(default = "look")]
    pub look_ms: f64,
    /// Asks that may wait to be looked at; more are refused as crowded.
    #[serde(default = "line")]
    pub line: usize,
    /// Tasks that start at a time.
    #[serde(default = "starts")]
    pub starts: usize,
    /// Milliseconds that a start takes where the program is there.
    #[serde(default = "start")]
    pub start_ms: f64,
    /// A start takes this many times longer where the program is not there.
    #[serde(default = "absent")]
    pub absent_factor: f64,
    /// Programs kept after their last task.
    #[serde(default = "keeps")]
    pub keeps: usize,
    /// Milliseconds after its start until it is warm; 0 is warm at once.
    #[serde(default)]
    pub warm_ms: u64,
    /// Part of its pace for starts right after its own start; it rises evenly until warm.
    #[serde(default = "one")]
    pub cold_pace: f64,
    /// Offers in the window that it bears while cold; more, and it falls over and stays down.
    pub cold_offers: Option<u32>,
    /// The window, in milliseconds.
    #[serde(default)]
    pub cold_window_ms: u64,
    /// A yes comes only when the task runs.
    #[serde(default)]
    pub yes_when_running: bool,
    /// How it tells its load.
    #[serde(default)]
    pub reports: Reports,
    /// What it does with its tasks when it drains.
    #[serde(default)]
    pub drain: DrainStyle,
    /// Tasks use between these parts of the memory that they asked for; over its memory it evicts.
    #[serde(default = "uses")]
    pub uses: (f64, f64),
    /// It can suspend tasks.
    #[serde(default = "yes")]
    pub can_suspend: bool,
    /// Milliseconds that a task lives where neither its offer nor its command tells.
    #[serde(default = "life")]
    pub life_ms: u64,
    /// It keeps plans, and speaks version 2 of the protocol; else version 1 alone.
    #[serde(default = "yes")]
    pub plans: bool,
    /// It votes on plans and keeps them; else it is a learner, which keeps none and goes by what it is sent.
    #[serde(default = "yes")]
    pub votes: bool,
    /// Where it keeps plans over restarts; without a folder a restart loses them.
    pub plan_dir: Option<PathBuf>,
    /// Milliseconds after its start for which a node that came without memory votes for no plan.
    #[serde(default = "vote_after")]
    pub vote_after_ms: u64,
}

/// How a stand-in tells its load: cores left, then memory left, of what was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// Not at all.
    #[default]
    Never,
    /// With each answer, and to probes.
    Answers,
    /// To probes.
    Probes,
}

/// What a draining stand-in does with its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainStyle {
    /// Keeps them until they end.
    #[default]
    Keep,
    /// Sends them away at once.
    SendAway,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
fn thirty_two() -> f64 {
    32.0
}
fn ninety_six() -> f64 {
    96.0
}
fn one() -> f64 {
    1.0
}
fn look() -> f64 {
    0.05
}
fn line() -> usize {
    1_000
}
fn starts() -> usize {
    16
}
fn start() -> f64 {
    1.0
}
fn absent() -> f64 {
    4.0
}
fn keeps() -> usize {
    8
}
fn uses() -> (f64, f64) {
    (0.5, 0.9)
}
fn yes() -> bool {
    true
}
fn vote_after() -> u64 {
    30_000
}
fn life() -> u64 {
    1_000
}

/// Several stand-ins in one process, which drop each other's repeats.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Seed of what is drawn.
    #[serde(default)]
    pub seed: u64,
    /// The nodes.
    #[serde(default)]
    pub node: Vec<Config>,
}

/// What is wrong with a fleet's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {message}")]
pub struct ConfigError {
    file: String,
    line: usize,
    message: String,
}

impl Fleet {
    /// Reads a text; `file` is the name under which the error speaks of it.
    ///
    /// # Errors
    /// The first thing that is wrong with it.
    pub fn parse(text: &str, file: &str) -> Result<Self, ConfigError> {
        let error = |line, message| ConfigError {
            file: file.to_owned(),
            line,
            message,
        };
        let fleet: Self = toml::from_str(text).map_err(|wrong| {
            let at = wrong.span().map_or(0, |span| span.start);
            let line = text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1;
            error(line, wrong.message().to_owned())
        })?;
        for (n, node) in fleet.node.iter().enumerate() {
            let wrong = |what: &str| Err(error(1, format!("node[{n}] `{}`: {what}", node.name)));
            let (low, high) = node.uses;
            if fleet.node[..n].iter().any(|other| other.name == node.name) {
                return wrong("its name stands twice; give each node its own");
            }
            if !(node.cores > 0.0 && node.memory > 0.0 && node.starts > 0) {
                return wrong("cores, memory and starts must be over 0");
            }
            if !(node.cold_pace > 0.0 && node.cold_pace <= 1.0) {
                return wrong("cold_pace must be over 0 and at most 1");
            }
            if !node.votes && !node.plans {
                return wrong("votes = false makes it a learner of plans; drop plans = false");
            }
            if !node.votes && node.plan_dir.is_some() {
                return wrong("votes = false keeps no plan; drop plan_dir");
            }
            if !(low >= 0.0 && high >= low) {
                return wrong("uses must be two numbers, the lower first");
            }
        }
        Ok(fleet)
    }
}

impl Config {
    /// A node with a name and everything else at its default.
    pub fn named(name: &str) -> Self {
        let text = format!("name = {}", toml::Value::from(name));
        toml::from_str(&text).expect("all but the name has a default")
    }

    pub(crate) fn look(&self) -> Duration {
        Duration::from_secs_f64(self.look_ms.max(0.0) / 1e3)
    }
}
