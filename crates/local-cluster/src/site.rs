//! Placers, nodes and their list.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::future::Future;
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use reedring_audit::Recorder;
use reedring_client::Operator;
use reedring_node_simulator::{Config, Groups, Handle, ServeError, serve};
use reedring_placer::{
    FileNodeSource, NodeListSource, NodeListUpdate, Placer, PlacerOptions, StartError,
};
use reedring_settings::{Health, Problems, Settings};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

/// The settings of a site as `reedring local` has it, without its [placer] table.
const LOCAL: &str = include_str!("local.toml");
/// How long a placer is awaited to have met the nodes.
const MEET: Duration = Duration::from_secs(10);

/// What a site is made of.
pub struct Plan {
    /// The stand-ins; their addresses are drawn.
    pub nodes: Vec<Config>,
    /// Placers, named `placer-1` and so on.
    pub placers: usize,
    /// Settings that all placers share: TOML without the [placer] table.
    pub settings: String,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Records what crosses the sockets.
    pub recorder: Option<Arc<Recorder>>,
    /// Threads of each placer's runtime.
    pub threads: usize,
    /// Where the first placer listens; a free port on loopback unless it is told.
    pub listen: Option<String>,
    /// Where placers' state folders are; the site's own folder, which goes with it, unless told.
    pub state_dir: Option<PathBuf>,
    /// Guards that are taken away, to show that the audit finds what they guard against.
    pub sabotage: Sabotage,
}

/// What placers are told wrongly, while the trace has it right.
#[derive(Clone, Debug, Default)]
pub struct Sabotage {
    /// Replacements in the settings that placers get: a text, and what stands in its place.
    pub settings: Vec<(&'static str, &'static str)>,
    /// Every node is listed as ready.
    pub blind_to_drains: bool,
}

/// A node list on which no node ever drains or is gone.
struct Blind(FileNodeSource);

impl NodeListSource for Blind {
    fn run(
        self: Box<Self>,
        out: mpsc::Sender<NodeListUpdate>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        let (told, mut lists) = mpsc::channel(4);
        let seeing = Box::new(self.0).run(told);
        Box::pin(async move {
            let blinds = async {
                while let Some(update) = lists.recv().await {
                    let update = match update {
                        NodeListUpdate::List { mut list, text } => {
                            list.nodes
                                .iter_mut()
                                .for_each(|node| node.health = Health::Ready);
                            NodeListUpdate::List { list, text }
                        }
                        failed => failed,
                    };
                    if out.send(update).await.is_err() {
                        return;
                    }
                }
            };
            tokio::join!(seeing, blinds);
        })
    }
}

impl Plan {
    /// One placer and so many nodes, over two halls of two racks each.
    pub fn local(nodes: usize) -> Self {
        let node = |n: usize| {
            let mut config = Config::named(&format!("node-{n}"));
            config.hall = ["hall-a", "hall-b"][n % 2].to_owned();
            config.rack = format!("rack-{}", n / 2 % 2 + 1);
            config.accepts_cores = 2.0;
            config.accepts_memory = 1.5;
            config
        };
        Self {
            nodes: (1..=nodes).map(node).collect(),
            placers: 1,
            settings: LOCAL.to_owned(),
            seed: 1,
            recorder: None,
            threads: 1,
            listen: None,
            state_dir: None,
            sabotage: Sabotage::default(),
        }
    }
}

/// Why a site could not be started or changed.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// A file of it could not be written, or its runtime not made.
    #[error("site: {0}")]
    Io(#[from] io::Error),
    /// Its settings are wrong.
    #[error("{0}")]
    Settings(#[from] Problems),
    /// A placer did not start.
    #[error("{0}")]
    Placer(#[from] StartError),
    /// A node did not start.
    #[error("{0}")]
    Node(#[from] ServeError),
    /// There is no such node or placer.
    #[error("site: there is no `{0}`")]
    Unknown(String),
    /// A placer did not meet the nodes.
    #[error("site: {0} met only {1} of {2} nodes")]
    Apart(String, usize, usize),
    /// A client's call failed.
    #[error("site: {0}")]
    Client(#[from] reedring_client::drmaa::Error),
}

struct NodePlace {
    config: Config,
    kind: String,
    handle: Option<Handle>,
    health: &'static str,
    listed: bool,
}

struct PlacerPlace {
    settings: String,
    placer: Option<Placer>,
    contact: String,
}

/// A running site. What runs ends when it is dropped.
pub struct Site {
    nodes: BTreeMap<String, NodePlace>,
    placers: BTreeMap<String, PlacerPlace>,
    groups: Arc<Mutex<Groups>>,
    recorder: Option<Arc<Recorder>>,
    clock: Instant,
    last_life: u64,
    seed: u64,
    threads: usize,
    sabotage: Sabotage,
    state_dir: PathBuf,
    dir: TempDir,
    runtime: Option<Runtime>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.placers.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Site {
    /// Starts everything and waits until each placer has met each node.
    ///
    /// # Errors
    /// See [`SiteError`].
    pub fn start(plan: Plan) -> Result<Self, SiteError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let dir = tempfile::Builder::new().prefix("reedring-").tempdir()?;
        let kind = |config: &Config| {
            let sizes = |kind: &reedring_settings::Kind| {
                (kind.cores, kind.memory) == (config.cores, config.memory)
            };
            let text = placer_text("any", "127.0.0.1:0", None, &plan.settings);
            let settings = Settings::parse(&text, "site")?;
            let kinds = &settings.kinds;
            let kind = kinds.iter().find(|kind| sizes(kind)).or(kinds.first());
            Ok::<String, SiteError>(kind.map(|kind| kind.name.clone()).unwrap_or_default())
        };
        let mut nodes = BTreeMap::new();
        for config in &plan.nodes {
            let (kind, config) = (kind(config)?, config.clone());
            let place = NodePlace {
                kind,
                handle: None,
                health: "ready",
                listed: true,
                config,
            };
            nodes.insert(place.config.name.clone(), place);
        }
        let mut placers = BTreeMap::new();
        for n in 1..=plan.placers {
            let name = format!("placer-{n}");
            let listen = plan
                .listen
                .clone()
                .filter(|_| n == 1)
                .unwrap_or_else(|| "127.0.0.1:0".to_owned());
            let settings = placer_text(&name, &listen, Some(plan.seed + n as u64), &plan.settings);
            placers.insert(
                name,
                PlacerPlace {
                    settings,
                    placer: None,
                    contact: String::new(),
                },
            );
        }
        let mut site = Self {
            nodes,
            placers,
            groups: Arc::default(),
            recorder: plan.recorder,
            clock: Instant::now(),
            last_life: 0,
            seed: plan.seed,
            threads: plan.threads,
            sabotage: plan.sabotage,
            state_dir: plan.state_dir.unwrap_or_else(|| dir.path().to_owned()),
            dir,
            runtime: Some(runtime),
        };
        let names: Vec<String> = site.nodes.keys().cloned().collect();
        for name in &names {
            site.start_node(name)?;
        }
        site.write_list()?;
        let names: Vec<String> = site.placers.keys().cloned().collect();
        for name in &names {
            site.start_placer(name)?;
            site.meet(name)?;
        }
        Ok(site)
    }

    /// The folder with its files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// The trace's recorder.
    pub fn recorder(&self) -> Option<&Arc<Recorder>> {
        self.recorder.as_ref()
    }

    /// Its nodes' names.
    pub fn nodes(&self) -> impl Iterator<Item = &str> {
        self.nodes.keys().map(String::as_str)
    }

    /// Nodes of a hall.
    pub fn hall(&self, hall: &str) -> Vec<String> {
        let there = self.nodes.values().filter(|node| node.config.hall == hall);
        there.map(|node| node.config.name.clone()).collect()
    }

    /// Its placers' names.
    pub fn placers(&self) -> impl Iterator<Item = &str> {
        self.placers.keys().map(String::as_str)
    }

    /// A placer's contact, which it keeps over restarts.
    ///
    /// # Errors
    /// Where there is no such placer.
    pub fn contact(&self, placer: &str) -> Result<&str, SiteError> {
        let place = self
            .placers
            .get(placer)
            .ok_or_else(|| SiteError::Unknown(placer.to_owned()))?;
        Ok(&place.contact)
    }

    /// Starts a node, as at the site's start or after it died; it has its address again.
    ///
    /// # Errors
    /// Where its address is taken.
    pub fn start_node(&mut self, name: &str) -> Result<(), SiteError> {
        self.last_life += 1;
        let (life, seed) = (self.last_life, self.seed);
        let place = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| SiteError::Unknown(name.to_owned()))?;
        let served = serve(
            place.config.clone(),
            life,
            seed,
            Arc::clone(&self.groups),
            self.recorder.clone(),
            self.clock,
        );
        let runtime = self
            .runtime
            .as_ref()
            .expect("the runtime lives as long as the site");
        let handle = runtime.block_on(served)?;
        place.config.listen = handle.address();
        place.handle = Some(handle);
        Ok(())
    }

    /// A node dies with all its tasks. The list says nothing of it.
    ///
    /// # Errors
    /// Where there is no such node.
    pub fn kill_node(&mut self, name: &str) -> Result<(), SiteError> {
        let place = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| SiteError::Unknown(name.to_owned()))?;
        if let Some(handle) = place.handle.take() {
            self.runtime
                .as_ref()
                .expect("the runtime lives as long as the site")
                .block_on(handle.die());
        }
        Ok(())
    }

    /// Whether the node was started and has neither died nor fallen over.
    pub fn is_up(&self, name: &str) -> bool {
        let handle = self.nodes.get(name).and_then(|node| node.handle.as_ref());
        handle.is_some_and(|handle| !handle.is_over())
    }

    /// A running node, to switch its troubles.
    pub fn node(&self, name: &str) -> Option<&Handle> {
        self.nodes.get(name)?.handle.as_ref()
    }

    /// Writes what the list says of a node: `ready`, `draining` or `gone`, or nothing at all.
    ///
    /// # Errors
    /// Where there is no such node or the list can't be written.
    pub fn list_node(&mut self, name: &str, health: Option<&'static str>) -> Result<(), SiteError> {
        let place = self
            .nodes
            .get_mut(name)
            .ok_or_else(|| SiteError::Unknown(name.to_owned()))?;
        place.listed = health.is_some();
        place.health = health.unwrap_or("gone");
        Ok(self.write_list()?)
    }

    fn list_path(&self) -> PathBuf {
        self.dir.path().join("nodes.toml")
    }

    fn write_list(&self) -> io::Result<()> {
        let mut text = String::new();
        for node in self.nodes.values().filter(|node| node.listed) {
            let NodePlace {
                config,
                kind,
                health,
                ..
            } = node;
            let (name, address, rack, hall) =
                (&config.name, config.listen, &config.rack, &config.hall);
            let _ = writeln!(
                text,
                "[[node]]\nname = {name:?}\naddress = \"{address}\"\nkind = {kind:?}"
            );
            let _ = writeln!(
                text,
                "rack = {rack:?}\nhall = {hall:?}\nhealth = {health:?}"
            );
            let _ = writeln!(
                text,
                "attrs = {}\n",
                toml::Value::Table(config.attrs.clone())
            );
        }
        // Renamed into place, so that no placer reads half a list.
        let draft = self.dir.path().join("nodes.toml.new");
        std::fs::write(&draft, text)?;
        std::fs::rename(draft, self.list_path())
    }

    /// Starts a placer; after its first start it has its address again.
    ///
    /// # Errors
    /// Where its settings are wrong or its address is taken.
    pub fn start_placer(&mut self, name: &str) -> Result<(), SiteError> {
        let (list, threads, recorder) = (self.list_path(), self.threads, self.recorder.clone());
        let place = self
            .placers
            .get_mut(name)
            .ok_or_else(|| SiteError::Unknown(name.to_owned()))?;
        let replaced = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
        let told = self
            .sabotage
            .settings
            .iter()
            .fold(place.settings.clone(), replaced);
        let mut settings = Settings::parse(&told, name)?;
        if let Some(state) = &mut settings.state {
            // Placers share the settings, not a folder.
            state.folder = self
                .state_dir
                .join(format!("{name}.{}", state.folder.display()));
        }
        let file = FileNodeSource::new(list, settings.clone());
        let source: Box<dyn NodeListSource> = if self.sabotage.blind_to_drains {
            Box::new(Blind(file))
        } else {
            Box::new(file)
        };
        let (settings_text, settings_file) = (place.settings.clone(), None);
        let options = PlacerOptions {
            source,
            recorder,
            traffic: None,
            settings_file,
            settings_text,
            threads,
        };
        let placer = Placer::start(settings, options)?;
        place.contact = placer.contact().to_owned();
        if let Some(address) = placer.contact().strip_prefix("tcp:") {
            place.settings = place.settings.replacen("127.0.0.1:0", address, 1);
        }
        place.placer = Some(placer);
        Ok(())
    }

    /// Ends a placer in order: what it promised and learned is kept first.
    pub fn stop_placer(&mut self, name: &str) {
        if let Some(placer) = self
            .placers
            .get_mut(name)
            .and_then(|place| place.placer.take())
        {
            placer.stop();
        }
    }

    /// The folder of a placer's state, where its settings tell one by this name.
    pub fn state_folder(&self, name: &str, folder: &str) -> PathBuf {
        self.state_dir.join(format!("{name}.{folder}"))
    }

    /// Kills a placer outright.
    pub fn kill_placer(&mut self, name: &str) {
        if let Some(placer) = self
            .placers
            .get_mut(name)
            .and_then(|place| place.placer.take())
        {
            placer.kill();
        }
    }

    /// Makes a placer stand still.
    pub fn stall_placer(&self, name: &str, time: Duration) {
        if let Some(placer) = self
            .placers
            .get(name)
            .and_then(|place| place.placer.as_ref())
        {
            placer.stall(time);
        }
    }

    /// Waits until a placer has a link to each node that is up and listed.
    ///
    /// # Errors
    /// Where it has not after ten seconds.
    pub fn meet(&self, placer: &str) -> Result<(), SiteError> {
        let up: Vec<&str> = self
            .nodes
            .iter()
            .filter(|(name, node)| node.listed && self.is_up(name))
            .map(|(name, _)| name.as_str())
            .collect();
        let mut operator = Operator::connect(self.contact(placer)?)?;
        let began = Instant::now();
        loop {
            let nodes = operator.nodes()?;
            let met = nodes
                .iter()
                .filter(|line| line.linked && up.contains(&line.node.as_str()))
                .count();
            if met == up.len() {
                return Ok(());
            }
            if began.elapsed() > MEET {
                return Err(SiteError::Apart(placer.to_owned(), met, up.len()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A placer's settings: its own table before what all share.
fn placer_text(name: &str, listen: &str, seed: Option<u64>, shared: &str) -> String {
    let seed = seed
        .map(|seed| format!("seed = {seed}\n"))
        .unwrap_or_default();
    format!(
        "[placer]\nname = {name:?}\nlisten = {listen:?}\nnodes = \"nodes.toml\"\n{seed}\n{shared}"
    )
}
