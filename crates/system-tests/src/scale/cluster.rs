//! The processes of a run: they are started, asked, changed, and end with the run.

mod nodes;
mod placers;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reedring_test_processes::Program;
use tempfile::TempDir;

use super::ScaleError;
use super::counts::PlacerCounts;
use super::files::{PlacerSpec, SharedSettings, node_list};
use super::layout::Layout;
use super::options::ScaleOptions;
use super::topology::{self, NodeSpec};

/// How long a process may take to say that it is ready, and a state to be reached.
pub const PATIENCE: Duration = Duration::from_secs(120);
/// Ports of runs, below those that the system gives to connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Between the first ports that two processes with successive ids try.
const PORTS_APART: u32 = 7;

/// Hollow nodes of one region in one process.
pub struct NodeGroup {
    /// Their region.
    pub region: usize,
    /// Their names.
    pub nodes: Vec<String>,
    /// The process, unless it was killed.
    pub process: Option<Program>,
    config: PathBuf,
    name: String,
}

/// A placer and its process, unless that was killed.
pub struct PlacerProcess {
    /// The placer.
    pub spec: PlacerSpec,
    process: Option<Program>,
    /// The process of hollow placers that it is in.
    hollow: usize,
}

/// All processes of a run. What still runs is killed when this is dropped.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<NodeSpec>,
    /// Hollow nodes by process.
    pub groups: Vec<NodeGroup>,
    /// Nodes with a process of their own.
    pub real_nodes: Vec<Program>,
    /// Machines set aside for control, each with a process of its own.
    pub control: Vec<Program>,
    /// The placers, the real ones first.
    pub placers: Vec<PlacerProcess>,
    /// The plan that was brought last.
    pub plan: u64,
    hollow_placers: Vec<Program>,
    shared: SharedSettings,
    revision: u64,
    retired: PlacerCounts,
    program: PathBuf,
    dir: TempDir,
    seed: u64,
    /// Keeps the run's port from other runs.
    _claim: TcpListener,
}

/// A port that no other run uses now, and the listener that keeps it for this one.
fn claim_port() -> Result<(u16, TcpListener), ScaleError> {
    let count = u32::from(PORTS.end - PORTS.start);
    for n in 0..count {
        let port = PORTS.start + ((std::process::id() * PORTS_APART + n) % count) as u16;
        let claim = TcpListener::bind(topology::claim_address(port));
        if let Ok(claim) = claim
            && TcpListener::bind(topology::node_address(0, port)).is_ok()
        {
            return Ok((port, claim));
        }
    }
    Err(ScaleError::Io(std::io::ErrorKind::AddrNotAvailable.into()))
}

fn placer_specs(layout: &Layout, port: u16) -> Vec<PlacerSpec> {
    let spec = |n: usize| {
        let real = n < layout.real_placers;
        let kind = if real { "real" } else { "hollow" };
        PlacerSpec {
            name: format!("{kind}-placer-{n:03}"),
            listen: topology::placer_address(n, port),
            real,
        }
    };
    (0..layout.placers).map(spec).collect()
}

impl Cluster {
    /// Starts the nodes, and writes the files of the placers.
    ///
    /// # Errors
    /// Where a process does not start.
    pub fn start(
        program: &Path,
        options: &ScaleOptions,
        layout: &Layout,
    ) -> Result<Self, ScaleError> {
        let (port, claim) = claim_port()?;
        let dir = tempfile::Builder::new()
            .prefix("reedring-scale-")
            .tempdir()?;
        super::interrupt::remove_on_signal(dir.path());
        let spec = |spec| PlacerProcess {
            spec,
            process: None,
            hollow: 0,
        };
        let mut cluster = Self {
            nodes: topology::nodes(layout.nodes, layout.real_nodes, layout.control, port),
            groups: Vec::new(),
            real_nodes: Vec::new(),
            control: Vec::new(),
            placers: placer_specs(layout, port).into_iter().map(spec).collect(),
            plan: 1,
            hollow_placers: Vec::new(),
            shared: SharedSettings {
                placers: layout.placers,
                teams: options.teams,
                lease: options.lease(),
            },
            revision: 0,
            retired: PlacerCounts::default(),
            program: program.to_owned(),
            dir,
            seed: options.seed,
            _claim: claim,
        };
        cluster.start_hollow_nodes(layout.processes_per_region)?;
        cluster.start_real_nodes()?;
        cluster.start_control()?;
        cluster.write_list()?;
        Ok(cluster)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes a file whole, so that no reader finds half of it.
    fn write(&self, name: &str, text: &str) -> Result<PathBuf, ScaleError> {
        let (path, draft) = (self.path(name), self.path(&format!("{name}.new")));
        std::fs::write(&draft, text)?;
        std::fs::rename(draft, &path)?;
        Ok(path)
    }

    /// Writes the node list with the next revision.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn write_list(&mut self) -> Result<(), ScaleError> {
        self.revision += 1;
        self.write("nodes.toml", &node_list(&self.nodes, self.revision))
            .map(drop)
    }

    /// Ids of all processes that run.
    pub fn process_ids(&self) -> BTreeMap<String, u32> {
        let groups = self
            .groups
            .iter()
            .filter_map(|group| group.process.as_ref());
        let placers = self
            .placers
            .iter()
            .filter_map(|placer| placer.process.as_ref());
        let all = groups
            .chain(&self.real_nodes)
            .chain(&self.control)
            .chain(placers)
            .chain(&self.hollow_placers);
        all.map(|process| (process.name().to_owned(), process.id()))
            .collect()
    }

    /// How many nodes are hollow.
    pub fn hollow_nodes(&self) -> usize {
        self.groups.iter().map(|group| group.nodes.len()).sum()
    }
}
