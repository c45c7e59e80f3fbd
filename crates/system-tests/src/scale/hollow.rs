//! Hollow nodes and placers: many of the real programs' insides in one process, over real sockets.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use reedring_node_protocol::{PeerCounters, PeerTraffic};
use reedring_node_simulator::{Config, Fleet, Groups, Handle, serve_counted};
use reedring_placer::{FileNodeSource, Placer, PlacerOptions};
use reedring_settings::Settings;
use tokio::runtime::Runtime;
use tracing_subscriber::EnvFilter;

use super::counts::PlacerCounts;
use super::lifeline::{die_with_parent, obey_input};
use super::topology::HOLLOW_PREFIX;

/// What is logged by hollow processes and real ones: what placers say of plans, at most.
pub const LOG: &str = "warn,reedring_placer=info";

/// Why a hollow process can't run.
pub type Failure = Box<dyn std::error::Error>;

fn log() {
    let filter = EnvFilter::new(LOG);
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
}

/// The nodes of one process.
struct Nodes {
    runtime: Runtime,
    seed: u64,
    configs: BTreeMap<String, Config>,
    running: BTreeMap<String, Handle>,
    groups: Arc<Mutex<Groups>>,
    clock: Instant,
    traffic: Arc<PeerTraffic>,
}

impl Nodes {
    fn start(&mut self, name: &str) -> Result<(), Failure> {
        let config = self
            .configs
            .get(name)
            .ok_or_else(|| format!("no node `{name}`"))?
            .clone();
        let life = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros() as u64;
        let (groups, traffic) = (Arc::clone(&self.groups), Arc::clone(&self.traffic));
        let served = serve_counted(
            config,
            life,
            self.seed,
            groups,
            None,
            self.clock,
            Some(traffic),
        );
        let handle = self.runtime.block_on(served)?;
        self.running.insert(name.to_owned(), handle);
        Ok(())
    }

    fn kill(&mut self, name: &str) {
        if let Some(handle) = self.running.remove(name) {
            self.runtime.block_on(handle.die());
        }
    }

    fn counts(&self) -> PlacerCounts {
        let mut counts = PlacerCounts::default();
        for PeerCounters { peer: placer, .. } in self.traffic.peers() {
            counts.add_peers(&placer, &self.traffic, |peer| peer == placer);
        }
        counts
    }

    fn obey(&mut self, line: &str) {
        let mut words = line.split_whitespace();
        match words.next() {
            Some("counts") => println!("{}", self.counts()),
            Some("kill") => {
                words.for_each(|name| self.kill(name));
                println!("killed");
            }
            Some("start") => {
                let started = words.try_for_each(|name| self.start(name));
                println!(
                    "{}",
                    started.map_or_else(
                        |error| format!("failed: {error}"),
                        |()| "started".to_owned()
                    )
                );
            }
            _ => println!("unknown: {line}"),
        }
    }
}

/// Runs the nodes of a file until the standard input closes. A line `counts` asks for counts of messages, `kill NAME...`
/// and `start NAME...` end nodes and start them at their addresses, without what they knew.
///
/// # Errors
/// Where they can't be started.
pub fn nodes(config: &Path) -> Result<(), Failure> {
    die_with_parent()?;
    log();
    let mut fleet = Fleet::parse(
        &std::fs::read_to_string(config)?,
        &config.display().to_string(),
    )?;
    let folder = config.parent().unwrap_or(Path::new(""));
    for node in &mut fleet.node {
        node.plan_dir = node.plan_dir.take().map(|dir| folder.join(dir));
    }
    let names: Vec<String> = fleet.node.iter().map(|node| node.name.clone()).collect();
    let mut nodes = Nodes {
        runtime: tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?,
        seed: fleet.seed,
        configs: fleet
            .node
            .into_iter()
            .map(|node| (node.name.clone(), node))
            .collect(),
        running: BTreeMap::new(),
        groups: Arc::default(),
        clock: Instant::now(),
        traffic: Arc::default(),
    };
    names.iter().try_for_each(|name| nodes.start(name))?;
    println!("ready");
    obey_input(|line| nodes.obey(line))
}

/// A hollow placer, and what it counted.
fn start_placer(config: &Path) -> Result<(Placer, Arc<PeerTraffic>), Failure> {
    let text = std::fs::read_to_string(config)?;
    let settings = Settings::parse(&text, &config.display().to_string())?;
    let list = config
        .parent()
        .unwrap_or(Path::new(""))
        .join(&settings.nodes);
    let traffic: Arc<PeerTraffic> = Arc::default();
    let options = PlacerOptions {
        source: Box::new(FileNodeSource::new(list, settings.clone())),
        recorder: None,
        traffic: Some(Arc::clone(&traffic)),
        settings_file: None,
        settings_text: text,
        threads: 1,
    };
    Ok((Placer::start(settings, options)?, traffic))
}

/// Runs the placers of these files until the standard input closes. A line `counts` asks for what they counted on their
/// links to hollow nodes.
///
/// # Errors
/// Where they can't be started.
pub fn placers(configs: &[PathBuf]) -> Result<(), Failure> {
    die_with_parent()?;
    log();
    let mut placers = Vec::new();
    for config in configs {
        placers.push(start_placer(config)?);
    }
    println!("ready");
    obey_input(|line| {
        if line != "counts" {
            return println!("unknown: {line}");
        }
        let mut counts = PlacerCounts::default();
        for (placer, traffic) in &placers {
            counts.add_peers(placer.name(), traffic, |node| {
                node.starts_with(HOLLOW_PREFIX)
            });
        }
        println!("{counts}");
    })
}
