//! The processes of a run: they are started, asked, changed, and end with the run.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use reedring_client::Operator;
use reedring_drmaa::rpc::NodeLine;
use reedring_processes::{ProcessError, Program};
use tempfile::TempDir;

use super::ScaleError;
use super::counts::{COUNTS, PlacerCounts};
use super::files::{PlacerSpec, SharedSettings, node_configs, node_list, placer_settings};
use super::hollow::LOG;
use super::layout::Layout;
use super::options::ScaleOptions;
use super::topology::{self, NodeSpec, REGIONS};

/// How long a process may take to say that it is ready, and a state to be reached.
pub const PATIENCE: Duration = Duration::from_secs(120);
/// Between two looks at a state that no line tells of.
const LOOK: Duration = Duration::from_millis(50);
/// Ports of runs, below those that the system gives to connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

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
}

/// A port at which no other run listens now.
fn free_port() -> Result<u16, ScaleError> {
    let count = u32::from(PORTS.end - PORTS.start);
    for n in 0..count {
        let port = PORTS.start + ((std::process::id() * 7 + n) % count) as u16;
        if TcpListener::bind(topology::node_address(0, port)).is_ok() {
            return Ok(port);
        }
    }
    Err(ScaleError::Io(std::io::ErrorKind::AddrNotAvailable.into()))
}

fn placer_specs(layout: &Layout, port: u16) -> Vec<PlacerSpec> {
    let spec = |n: usize| {
        let real = n < layout.real_placers;
        let kind = if real { "real" } else { "hollow" };
        PlacerSpec { name: format!("{kind}-placer-{n:03}"), listen: topology::placer_address(n, port), real }
    };
    (0..layout.placers).map(spec).collect()
}

impl Cluster {
    /// Starts the nodes, and writes the files of the placers.
    ///
    /// # Errors
    /// Where a process does not start.
    pub fn start(program: &Path, options: &ScaleOptions, layout: &Layout) -> Result<Self, ScaleError> {
        let port = free_port()?;
        let dir = tempfile::Builder::new().prefix("reedring-scale-").tempdir()?;
        super::interrupt::remove_on_signal(dir.path());
        let spec = |spec| PlacerProcess { spec, process: None, hollow: 0 };
        let mut cluster = Self {
            nodes: topology::nodes(layout.nodes, layout.real_nodes, port),
            groups: Vec::new(),
            real_nodes: Vec::new(),
            placers: placer_specs(layout, port).into_iter().map(spec).collect(),
            plan: 1,
            hollow_placers: Vec::new(),
            shared: SharedSettings { placers: layout.placers, teams: options.teams, lease: options.lease() },
            revision: 0,
            retired: PlacerCounts::default(),
            program: program.to_owned(),
            dir,
            seed: options.seed,
        };
        cluster.start_hollow_nodes(layout.processes_per_region)?;
        cluster.start_real_nodes()?;
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
        self.write("nodes.toml", &node_list(&self.nodes, self.revision)).map(drop)
    }

    // ---- Nodes ----

    fn start_hollow_nodes(&mut self, per_region: usize) -> Result<(), ScaleError> {
        for region in 0..REGIONS {
            let here = self.nodes.iter().filter(|node| !node.real && node.region == region);
            let here: Vec<NodeSpec> = here.cloned().collect();
            for (part, nodes) in here.chunks(here.len().div_ceil(per_region).max(1)).enumerate() {
                let name = format!("hollow-nodes-{region}-{part}");
                let config = self.write(&format!("{name}.toml"), &node_configs(nodes, self.seed))?;
                let nodes = nodes.iter().map(|node| node.name.clone()).collect();
                self.groups.push(NodeGroup { region, nodes, process: None, config, name });
            }
        }
        (0..self.groups.len()).try_for_each(|n| self.start_group(n))
    }

    /// Starts a process of hollow nodes.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_group(&mut self, n: usize) -> Result<(), ScaleError> {
        let group = &mut self.groups[n];
        let arguments = ["hollow-nodes", "--config", &group.config.display().to_string()];
        let process = Program::start_with_input(&self.program, &group.name, &arguments)?;
        process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
        group.process = Some(process);
        Ok(())
    }

    /// Kills a process of hollow nodes; what it counted so far is kept.
    ///
    /// # Errors
    /// Where it did not tell its counts.
    pub fn kill_group(&mut self, n: usize) -> Result<(), ScaleError> {
        if let Some(mut process) = self.groups[n].process.take() {
            let counts = ask_counts(&mut process)?;
            self.retired.add(&counts);
        }
        Ok(())
    }

    /// Tells a process of hollow nodes to end or start some of them.
    ///
    /// # Errors
    /// Where it does not do so.
    pub fn tell_group(&mut self, n: usize, order: &str, nodes: &[String]) -> Result<(), ScaleError> {
        let Some(process) = &mut self.groups[n].process else { return Ok(()) };
        let from = process.mark();
        process.tell(&format!("{order} {}", nodes.join(" ")))?;
        let answers = ["killed", "started", "failed"];
        let answer = process
            .wait_line(from, order, PATIENCE, |line| answers.iter().any(|answer| line.starts_with(answer)))?;
        if answer.starts_with("failed") { Err(ScaleError::Refused(answer)) } else { Ok(()) }
    }

    fn start_real_nodes(&mut self) -> Result<(), ScaleError> {
        let real: Vec<NodeSpec> = self.nodes.iter().filter(|node| node.real).cloned().collect();
        for node in real {
            let config =
                self.write(&format!("{}.toml", node.name), &node_configs(&[node.clone()], self.seed))?;
            let config = config.display().to_string();
            let arguments = ["child-program", "--log", LOG, "standin", "--config", &config];
            let process = Program::start(&self.program, &node.name, &arguments, None)?;
            process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
            self.real_nodes.push(process);
        }
        Ok(())
    }

    // ---- Placers ----

    /// Starts all placers by the first plan.
    ///
    /// # Errors
    /// Where one does not start.
    pub fn start_placers(&mut self, per_process: usize) -> Result<(), ScaleError> {
        let real = self.placers.iter().filter(|placer| placer.spec.real).count();
        (0..real).try_for_each(|n| self.start_placer(n))?;
        let hollow: Vec<usize> = (real..self.placers.len()).collect();
        for (process, placers) in hollow.chunks(per_process.max(1)).enumerate() {
            let mut arguments = vec!["hollow-placers".to_owned()];
            for n in placers {
                arguments.push("--config".to_owned());
                arguments.push(self.write_settings(*n)?.display().to_string());
                self.placers[*n].hollow = process;
            }
            let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
            let name = format!("hollow-placers-{process}");
            let process = Program::start_with_input(&self.program, &name, &arguments)?;
            process.wait_line(0, "ready", PATIENCE, |line| line == "ready")?;
            self.hollow_placers.push(process);
        }
        Ok(())
    }

    fn write_settings(&self, n: usize) -> Result<PathBuf, ScaleError> {
        let spec = &self.placers[n].spec;
        self.write(&format!("{}.toml", spec.name), &placer_settings(spec, &self.shared, self.plan))
    }

    /// Starts a real placer with the plan that was brought last in its file.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_placer(&mut self, n: usize) -> Result<(), ScaleError> {
        let config = self.write_settings(n)?.display().to_string();
        let placer = &mut self.placers[n];
        let arguments = ["child-program", "--log", LOG, "serve", "--config", &config];
        let process = Program::start(&self.program, &placer.spec.name, &arguments, None)?;
        process.wait_line(0, "its contact", PATIENCE, |line| line.starts_with("contact: "))?;
        placer.process = Some(process);
        Ok(())
    }

    /// Kills a real placer.
    pub fn kill_placer(&mut self, n: usize) {
        self.placers[n].process = None;
    }

    /// The process that a placer runs in; none where it was killed.
    pub fn placer_process(&self, n: usize) -> Option<&Program> {
        let placer = &self.placers[n];
        if placer.spec.real { placer.process.as_ref() } else { self.hollow_placers.get(placer.hollow) }
    }

    /// Real placers that run, by number.
    pub fn real_placers(&self) -> Vec<usize> {
        (0..self.placers.len()).filter(|n| self.placers[*n].process.is_some()).collect()
    }

    /// Waits until every placer that runs has said this of a plan, which no earlier plan is said to be.
    ///
    /// # Errors
    /// Where one does not in time.
    pub fn wait_said(&self, placers: &[usize], what: &str) -> Result<(), ScaleError> {
        for n in placers {
            let Some(process) = self.placer_process(*n) else { continue };
            let name = format!("{:?}", self.placers[*n].spec.name);
            process.wait_line(0, what, PATIENCE, |line| line.contains(what) && line.contains(&name))?;
        }
        Ok(())
    }

    /// Waits until every placer that runs acts by the plan that was brought last.
    ///
    /// # Errors
    /// Where one does not in time.
    pub fn wait_in_force(&self) -> Result<(), ScaleError> {
        let all: Vec<usize> = (0..self.placers.len()).collect();
        self.wait_said(&all, &format!("plans: acts by plan {}/", self.plan))
    }

    /// The nodes as a placer sees them.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn node_lines(&self, placer: usize) -> Result<Vec<NodeLine>, ScaleError> {
        let contact = format!("tcp:{}", self.placers[placer].spec.listen);
        Ok(Operator::connect(&contact)?.nodes()?)
    }

    /// Waits until a placer sees its nodes as wanted.
    ///
    /// # Errors
    /// Where it does not in time.
    pub fn wait_nodes(
        &self,
        placer: usize,
        what: &str,
        wanted: impl Fn(&[NodeLine]) -> bool,
    ) -> Result<(), ScaleError> {
        let until = Instant::now() + PATIENCE;
        while !wanted(&self.node_lines(placer)?) {
            if Instant::now() > until {
                let name = self.placers[placer].spec.name.clone();
                return Err(ProcessError::Silent(name, what.to_owned(), String::new()).into());
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    // ---- Counts ----

    /// What hollow nodes counted by placer, those that were killed among them. A process that stands still can't tell.
    ///
    /// # Errors
    /// Where a process does not tell.
    pub fn counts(&mut self) -> Result<PlacerCounts, ScaleError> {
        let mut all = self.retired.clone();
        for process in self.groups.iter_mut().filter_map(|group| group.process.as_mut()) {
            all.add(&ask_counts(process)?);
        }
        Ok(all)
    }

    /// What hollow placers counted on their links to hollow nodes.
    ///
    /// # Errors
    /// Where a process does not tell.
    pub fn placer_counts(&mut self) -> Result<PlacerCounts, ScaleError> {
        let mut all = PlacerCounts::default();
        for process in &mut self.hollow_placers {
            all.add(&ask_counts(process)?);
        }
        Ok(all)
    }

    /// Ids of all processes that run.
    pub fn process_ids(&self) -> BTreeMap<String, u32> {
        let groups = self.groups.iter().filter_map(|group| group.process.as_ref());
        let placers = self.placers.iter().filter_map(|placer| placer.process.as_ref());
        let all = groups.chain(&self.real_nodes).chain(placers).chain(&self.hollow_placers);
        all.map(|process| (process.name().to_owned(), process.id())).collect()
    }

    /// How many nodes are hollow.
    pub fn hollow_nodes(&self) -> usize {
        self.groups.iter().map(|group| group.nodes.len()).sum()
    }
}

fn ask_counts(process: &mut Program) -> Result<PlacerCounts, ScaleError> {
    let from = process.mark();
    process.tell("counts")?;
    let line = process.wait_line(from, "counts", PATIENCE, |line| line.starts_with(COUNTS))?;
    PlacerCounts::parse(&line).ok_or(ScaleError::Refused(line))
}
