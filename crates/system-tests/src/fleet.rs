//! Placers and nodes as processes, the relays between them, their files, and the audit of their traces.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use reedring_audit::{Event, Recorder, Report, TraceError};
use reedring_test_processes::{Launch, ProcessError, Program, Signal, free_address};
use tempfile::TempDir;

use crate::relay::Relays;

/// How long a process may take to say that it is ready.
const READY: Duration = Duration::from_secs(20);

/// Why a trial could not be played.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A file, a socket or a process.
    #[error("trial: {0}")]
    Io(#[from] io::Error),
    /// A process.
    #[error("trial: {0}")]
    Process(#[from] ProcessError),
    /// A client's call.
    #[error("trial: {0}")]
    Client(#[from] reedring_client::drmaa::Error),
    /// A trace.
    #[error("trial: {0}")]
    Trace(#[from] TraceError),
    /// Something did not come in time.
    #[error("trial: {0} never told: {1}; it said last:\n{2}")]
    Silent(String, String, String),
    /// A client panicked.
    #[error("trial: a client panicked")]
    Panicked,
    /// There is no such process.
    #[error("trial: there is no `{0}`")]
    Unknown(String),
}

/// What a node is like: lines of its `[[node]]` table beside name and address.
#[derive(Clone, Debug, Default)]
pub struct NodeFile {
    /// The lines.
    pub lines: String,
    /// It keeps its memory of plans in a folder.
    pub keeps: bool,
    /// KiB that a file of it may have at most.
    pub file_kib: Option<u64>,
}

/// What all processes of a trial share.
#[derive(Clone, Debug)]
pub struct Site {
    /// The program that is tried.
    pub program: PathBuf,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Settings that placers share, unless told otherwise: all tables but `[placer]`.
    pub settings: String,
}

struct Node {
    file: NodeFile,
    address: SocketAddr,
    program: Option<Program>,
    /// The lives that it had, for names of traces.
    lives: u32,
    hall: &'static str,
}

struct Placer {
    /// KiB that a file of it may have at most.
    file_kib: Option<u64>,
    settings: String,
    address: SocketAddr,
    program: Option<Program>,
    lives: u32,
}

impl Placer {
    fn trace(&self, name: &str) -> String {
        format!("{name}.{}.trace", self.lives)
    }

    /// Its settings file.
    fn file(&self, name: &str) -> String {
        // On a full disk it writes no trace.
        let trace = match self.file_kib {
            None => format!("trace = {:?}\n", self.trace(name)),
            Some(_) => String::new(),
        };
        let (address, settings) = (self.address, &self.settings);
        format!(
            "[placer]\nname = {name:?}\nlisten = \"{address}\"\nnodes = \"{name}.nodes.toml\"\n{trace}\n\
             [state]\nfolder = \"{name}.state\"\nlearn_every = \"1s\"\nretry = \"500ms\"\n\n{settings}"
        )
    }
}

/// A fleet of processes. What still runs is killed when it is dropped.
pub struct Fleet {
    site: Site,
    nodes: BTreeMap<String, Node>,
    placers: BTreeMap<String, Placer>,
    listed: Vec<String>,
    /// Nodes that the list marks as control machines.
    control: BTreeSet<String>,
    revision: u64,
    /// The relays between placers and nodes.
    pub relays: Relays,
    traces: Vec<PathBuf>,
    faults: Recorder,
    dir: TempDir,
}

fn renamed(path: &Path, text: &str) -> io::Result<()> {
    let draft = path.with_extension("new");
    std::fs::write(&draft, text)?;
    std::fs::rename(draft, path)
}

/// How often the removal of a folder is tried.
const REMOVAL_TRIES: usize = 100;

/// A removal is done if there was nothing to remove.
fn ignore_missing(removed: io::Result<()>) -> Result<(), TrialError> {
    match removed {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error.into()),
        _ => Ok(()),
    }
}

impl Fleet {
    /// A fleet without any process yet.
    ///
    /// # Errors
    /// Where its folder can't be made.
    pub fn new(site: Site) -> Result<Self, TrialError> {
        let dir = tempfile::Builder::new()
            .prefix("reedring-trial-")
            .tempdir()?;
        let faults = dir.path().join("faults.trace");
        Ok(Self {
            relays: Relays::new()?,
            nodes: BTreeMap::new(),
            placers: BTreeMap::new(),
            listed: Vec::new(),
            control: BTreeSet::new(),
            revision: 1,
            traces: vec![faults.clone()],
            faults: Recorder::create(&faults)?,
            site,
            dir,
        })
    }

    /// Its folder.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// The program that is tried.
    pub fn program(&self) -> &Path {
        &self.site.program
    }

    /// Says in the trace what is done to the fleet.
    pub fn tell(&self, what: &str) {
        self.faults
            .record(Event::Script, "", "", 0, what.as_bytes());
    }

    /// Names of its placers.
    pub fn placers(&self) -> Vec<String> {
        self.placers.keys().cloned().collect()
    }

    /// Names of the nodes that are listed.
    pub fn listed(&self) -> Vec<String> {
        self.listed.clone()
    }

    // ---- Nodes ----

    /// Starts a node that is new to the fleet, and waits until it is ready. It is listed from the next list on.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn add_node(&mut self, name: &str, file: NodeFile) -> Result<(), TrialError> {
        let hall = ["hall-a", "hall-b"][self.nodes.len() % 2];
        let node = Node {
            file,
            address: free_address()?,
            program: None,
            lives: 0,
            hall,
        };
        self.nodes.insert(name.to_owned(), node);
        self.listed.push(name.to_owned());
        self.start_node(name)
    }

    /// Starts a node at the address that it had.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_node(&mut self, name: &str) -> Result<(), TrialError> {
        let (dir, seed) = (self.dir.path().to_owned(), self.site.seed);
        let node = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| TrialError::Unknown(name.to_owned()))?;
        node.lives += 1;
        let trace = dir.join(format!("{name}.{}.trace", node.lives));
        let config = dir.join(format!("{name}.toml"));
        let mut text = format!(
            "seed = {seed}\n[[node]]\nname = {name:?}\nlisten = \"{}\"\n",
            node.address
        );
        let _ = writeln!(text, "hall = {:?}\n{}", node.hall, node.file.lines);
        if node.file.keeps {
            let _ = writeln!(text, "plan_dir = \"{name}.plans\"");
        }
        std::fs::write(&config, text)?;
        let (config, shown) = (config.display().to_string(), trace.display().to_string());
        // The trace would be what grows over a limit: a node on a full disk writes none.
        let mut arguments = vec!["program", "--log", "info", "standin", "--config", &config];
        if node.file.file_kib.is_none() {
            arguments.extend(["--trace", &shown]);
            self.traces.push(trace);
        }
        let program = Launch::new(&self.site.program, name, &arguments)
            .max_file_kib(node.file.file_kib)
            .start()?;
        program.wait_line(0, "ready", READY, |line| line == "ready")?;
        node.program = Some(program);
        Ok(())
    }

    /// Kills a node outright.
    pub fn kill_node(&mut self, name: &str) {
        if let Some(program) = self
            .nodes
            .get_mut(name)
            .and_then(|node| node.program.take())
        {
            drop(program);
            self.faults.record(Event::NodeEnded, name, "", 0, b"");
        }
    }

    /// Forgets what a node keeps: another machine takes its place and address.
    ///
    /// # Errors
    /// Where its folder can't be removed.
    pub fn empty_node(&mut self, name: &str) -> Result<(), TrialError> {
        let folder = self.dir.path().join(format!("{name}.plans"));
        // A node that runs may write a file there between the removal of the files and that of the folder.
        for _ in 1..REMOVAL_TRIES {
            match std::fs::remove_dir_all(&folder) {
                Err(error) if error.kind() == io::ErrorKind::DirectoryNotEmpty => {}
                removed => return ignore_missing(removed),
            }
        }
        ignore_missing(std::fs::remove_dir_all(&folder))
    }

    /// Changes the file of a node for its next start.
    pub fn node_file(&mut self, name: &str, change: impl FnOnce(&mut NodeFile)) {
        if let Some(node) = self.nodes.get_mut(name) {
            change(&mut node.file);
        }
    }

    /// Takes a node from the list, or puts it back; told with the next list.
    pub fn list(&mut self, name: &str, listed: bool) {
        self.listed.retain(|other| other != name);
        if listed {
            self.listed.push(name.to_owned());
        }
    }

    /// Marks a node as a control machine in the lists that are told from now on.
    pub fn mark_control(&mut self, name: &str) {
        self.control.insert(name.to_owned());
    }

    /// Writes one placer's list as if it were of this revision.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn tell_list_of(&mut self, placer: &str, revision: u64) -> Result<(), TrialError> {
        let known = std::mem::replace(&mut self.revision, revision);
        let told = self.write_list(placer);
        self.revision = known;
        told
    }

    /// Writes every placer's list anew, with the next revision.
    ///
    /// # Errors
    /// Where a file can't be written.
    pub fn tell_list(&mut self) -> Result<(), TrialError> {
        self.revision += 1;
        let names = self.placers();
        names.iter().try_for_each(|name| self.write_list(name))
    }

    fn write_list(&mut self, placer: &str) -> Result<(), TrialError> {
        let mut text = format!("revision = {}\n", self.revision);
        for name in &self.listed {
            let node = &self.nodes[name];
            let address = self.relays.link(placer, name, node.address)?;
            let _ = writeln!(
                text,
                "[[node]]\nname = {name:?}\naddress = \"{address}\"\nhall = {:?}",
                node.hall
            );
            if self.control.contains(name) {
                text.push_str("control = true\n");
            }
        }
        Ok(renamed(
            &self.dir.path().join(format!("{placer}.nodes.toml")),
            &text,
        )?)
    }

    // ---- Placers ----

    /// Starts a placer that is new to the fleet, with settings of its own or the site's, and waits for its contact.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn add_placer(&mut self, name: &str, settings: Option<&str>) -> Result<(), TrialError> {
        let settings = settings.unwrap_or(&self.site.settings).to_owned();
        self.placers.insert(
            name.to_owned(),
            Placer {
                file_kib: None,
                settings,
                address: free_address()?,
                program: None,
                lives: 0,
            },
        );
        self.start_placer(name)
    }

    /// The settings with which a placer starts next.
    pub fn settings_of(&mut self, name: &str, settings: &str) {
        self.placers
            .get_mut(name)
            .into_iter()
            .for_each(|placer| placer.settings = settings.to_owned());
    }

    /// Rewrites the settings file of a placer, which may run.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn rewrite_settings(&mut self, name: &str, settings: &str) -> Result<(), TrialError> {
        self.settings_of(name, settings);
        let placer = self
            .placers
            .get(name)
            .ok_or_else(|| TrialError::Unknown(name.to_owned()))?;
        Ok(renamed(
            &self.dir.path().join(format!("{name}.toml")),
            &placer.file(name),
        )?)
    }

    /// How much a file of a placer may have from its next start on.
    pub fn limit_placer(&mut self, name: &str, file_kib: Option<u64>) {
        self.placers
            .get_mut(name)
            .into_iter()
            .for_each(|placer| placer.file_kib = file_kib);
    }

    /// Starts a placer at the address that it had.
    ///
    /// # Errors
    /// Where it does not start.
    pub fn start_placer(&mut self, name: &str) -> Result<(), TrialError> {
        self.write_list(name)?;
        let dir = self.dir.path().to_owned();
        let placer = self
            .placers
            .get_mut(name)
            .ok_or_else(|| TrialError::Unknown(name.to_owned()))?;
        placer.lives += 1;
        let trace = placer.trace(name);
        let config = dir.join(format!("{name}.toml"));
        renamed(&config, &placer.file(name))?;
        if placer.file_kib.is_none() {
            self.traces.push(dir.join(trace));
        }
        let config = config.display().to_string();
        let arguments = ["program", "--log", "info", "serve", "--config", &config];
        let program = Launch::new(&self.site.program, name, &arguments)
            .max_file_kib(placer.file_kib)
            .start()?;
        program.wait_line(0, "its contact", READY, |line| {
            line.starts_with("contact: ")
        })?;
        placer.program = Some(program);
        Ok(())
    }

    /// A placer's process.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn placer(&self, name: &str) -> Result<&Program, TrialError> {
        let placer = self
            .placers
            .get(name)
            .and_then(|placer| placer.program.as_ref());
        placer.ok_or_else(|| TrialError::Unknown(name.to_owned()))
    }

    /// A node's process.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn node(&self, name: &str) -> Result<&Program, TrialError> {
        let node = self.nodes.get(name).and_then(|node| node.program.as_ref());
        node.ok_or_else(|| TrialError::Unknown(name.to_owned()))
    }

    /// Whether a node's process runs: one that fell over has ended.
    pub fn node_listens(&self, name: &str) -> bool {
        self.nodes
            .get(name)
            .is_some_and(|node| std::net::TcpStream::connect(node.address).is_ok())
    }

    /// Where clients reach a placer.
    pub fn contact(&self, name: &str) -> String {
        self.placers
            .get(name)
            .map(|placer| format!("tcp:{}", placer.address))
            .unwrap_or_default()
    }

    /// Kills a placer outright.
    pub fn kill_placer(&mut self, name: &str) {
        if let Some(program) = self
            .placers
            .get_mut(name)
            .and_then(|placer| placer.program.take())
        {
            drop(program);
            self.faults.record(Event::PlacerEnded, name, "", 0, b"");
        }
    }

    /// Stops a placer's process for so long. The trace says so: what comes due then is late.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn stand_still(&self, name: &str, time: Duration) -> Result<(), TrialError> {
        self.faults
            .record(Event::PlacerStalled, name, "", time.as_micros() as u64, b"");
        self.placer(name)?.signal(Signal::STOP)?;
        std::thread::sleep(time);
        Ok(self.placer(name)?.signal(Signal::CONT)?)
    }

    /// Ends a placer in order; its exit code.
    ///
    /// # Errors
    /// Where it does not end in time.
    pub fn end_placer(&mut self, name: &str) -> Result<Option<i32>, TrialError> {
        let program = self
            .placers
            .get_mut(name)
            .and_then(|placer| placer.program.take());
        let program = program.ok_or_else(|| TrialError::Unknown(name.to_owned()))?;
        let status = program.terminate(READY)?;
        self.faults.record(Event::PlacerEnded, name, "", 0, b"");
        Ok(status.code())
    }

    /// Runs the program to its end, and tells what it said.
    ///
    /// # Errors
    /// Where it does not end in time.
    pub fn ask(&self, arguments: &[&str]) -> Result<Vec<String>, TrialError> {
        let arguments: Vec<&str> = ["program"].iter().chain(arguments).copied().collect();
        Ok(Launch::new(&self.site.program, "reedring", &arguments)
            .start()?
            .wait_exit(READY)?)
    }

    /// Waits for a line of a placer from a mark on.
    ///
    /// # Errors
    /// Where it does not come in time.
    pub fn wait_placer(
        &self,
        name: &str,
        from: usize,
        within: Duration,
        wanted: impl Fn(&str) -> bool,
    ) -> Result<String, TrialError> {
        Ok(self
            .placer(name)?
            .wait_line(from, "its line", within, wanted)?)
    }

    // ---- The end ----

    /// Ends everything, and judges the traces of all processes together.
    ///
    /// # Errors
    /// Where a trace can't be read.
    pub fn audit(mut self) -> Result<Report, TrialError> {
        for name in self.placers() {
            if self.placer(&name).is_ok() {
                self.end_placer(&name)?;
            }
        }
        self.nodes.clear();
        let mut all = Vec::new();
        for trace in &self.traces {
            all.push(reedring_audit::read(&std::fs::read(trace)?)?);
        }
        Ok(reedring_audit::audit(&reedring_audit::merge(all)))
    }
}
