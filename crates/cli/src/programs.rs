//! Programs that run until they are interrupted.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use clap::Args;
use reedring_audit::Recorder;
use reedring_connection::Signals;
use reedring_local_cluster::{Plan, Site};
use reedring_node_simulator::{Fleet, Groups, serve};
use reedring_placer::{FileNodeSource, Placer, PlacerOptions, SettingsFile};
use reedring_settings::{Settings, State};

use crate::Failure;

/// Run one placer.
#[derive(Args)]
pub struct Serve {
    /// Its settings.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Threads of its runtime.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Where it keeps its state over restarts, in place of `state.folder` in the settings.
    #[arg(long, value_name = "DIR")]
    state_dir: Option<PathBuf>,
}

/// Run stand-in nodes.
#[derive(Args)]
pub struct NodeSimulator {
    /// The nodes, one [[node]] table each.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Where to write a trace for `reedring audit`.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
}

/// Exit code of a placer that was fenced when it was asked to end.
const FENCED: u8 = 3;

/// Run a site on loopback.
#[derive(Args)]
pub struct Local {
    /// Stand-in nodes.
    #[arg(long, default_value_t = 8)]
    nodes: usize,
    /// Seed of everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the placer listens; a free port on loopback unless told.
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<String>,
    /// Nodes in place of the built-in ones, as for `reedring node-simulator`.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Settings in place of the built-in ones, without a [placer] table.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Where to write a trace for `reedring audit`.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Where the placer keeps its state over restarts; nothing is kept unless told.
    #[arg(long, value_name = "DIR")]
    state_dir: Option<PathBuf>,
}

pub fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()).into())
}

/// A path of the settings, which is relative to their file.
pub fn beside(settings: &Path, path: &Path) -> PathBuf {
    settings.parent().unwrap_or(Path::new("")).join(path)
}

/// Waits until the user interrupts or the system asks for the end.
fn interrupted() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        Signals::new()?.next().await;
        Ok(())
    })
}

impl Serve {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let text = read(&self.config)?;
        let mut settings = Settings::parse(&text, &self.config.display().to_string())?;
        match (&mut settings.state, self.state_dir) {
            (Some(state), Some(folder)) => state.folder = folder,
            (Some(state), None) => state.folder = beside(&self.config, &state.folder),
            (none, told) => *none = told.map(State::in_folder),
        }
        let source = FileNodeSource::new(beside(&self.config, &settings.nodes), settings.clone());
        let trace = settings
            .trace
            .as_ref()
            .map(|path| Recorder::create(&beside(&self.config, path)));
        let recorder = trace.transpose()?.map(Arc::new);
        let options = PlacerOptions {
            source: Box::new(source),
            recorder: recorder.clone(),
            traffic: None,
            settings_file: Some(SettingsFile::new(self.config, text.clone())),
            settings_text: text,
            threads: self.threads,
        };
        let placer = Placer::start(settings, options)?;
        println!("contact: {}", placer.contact());
        interrupted()?;
        let is_fenced = placer.is_fenced();
        placer.stop();
        recorder.map_or(Ok(()), |recorder| recorder.finish().map(drop))?;
        Ok(if is_fenced {
            ExitCode::from(FENCED)
        } else {
            ExitCode::SUCCESS
        })
    }
}

impl NodeSimulator {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let fleet = Fleet::parse(&read(&self.config)?, &self.config.display().to_string())?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        let (groups, clock): (Arc<Mutex<Groups>>, _) = (Arc::default(), Instant::now());
        // A node that is started again has another life.
        let life = SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros() as u64;
        let recorder = self
            .trace
            .as_deref()
            .map(Recorder::create)
            .transpose()?
            .map(Arc::new);
        let mut handles = Vec::new();
        for mut node in fleet.node {
            node.plan_dir = node.plan_dir.map(|dir| beside(&self.config, &dir));
            let served = serve(
                node,
                life,
                fleet.seed,
                Arc::clone(&groups),
                recorder.clone(),
                clock,
            );
            let handle = runtime.block_on(served)?;
            println!("{}: {}", handle.name(), handle.address());
            handles.push(handle);
        }
        println!("ready");
        interrupted()?;
        drop(handles);
        runtime.shutdown_background();
        recorder.map_or(Ok(()), |recorder| recorder.finish().map(drop))?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Local {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let mut plan = Plan::local(self.nodes);
        (plan.seed, plan.listen, plan.threads) = (self.seed, self.listen, 2);
        if let Some(path) = &self.config {
            plan.nodes = Fleet::parse(&read(path)?, &path.display().to_string())?.node;
        }
        if let Some(path) = &self.settings {
            plan.settings = read(path)?;
        }
        let recorder = self
            .trace
            .as_deref()
            .map(Recorder::create)
            .transpose()?
            .map(Arc::new);
        plan.recorder = recorder.clone();
        if let Some(folder) = self.state_dir {
            plan.settings += "\n[state]\nfolder = \"state\"\n";
            plan.state_dir = Some(folder);
        }
        let mut site = Site::start(plan)?;
        println!("contact: {}", site.contact("placer-1")?);
        println!("{} stand-in nodes; interrupt to end", site.nodes().count());
        interrupted()?;
        site.stop_placer("placer-1");
        drop(site);
        recorder.map_or(Ok(()), |recorder| recorder.finish().map(drop))?;
        Ok(ExitCode::SUCCESS)
    }
}
