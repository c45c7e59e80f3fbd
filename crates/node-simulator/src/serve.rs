//! A stand-in on a TCP socket.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use reedring_audit::{Event, Recorder};
use reedring_node_protocol::{FrameDecoder, Message, PeerTraffic, Traffic, encode};
use reedring_plan::AcceptorState;
use reedring_state::Disk;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::config::Config;
use crate::groups::Groups;
use crate::model::{Effect, Fault, LinkId, Node};
use crate::slots::Slots;

/// Links at once; more are closed as they come.
const MAX_LINKS: usize = 1_024;

/// Why a stand-in can't be served.
#[derive(Debug, thiserror::Error)]
#[error("stand-in {name}: can't listen on {address}: {error}")]
pub struct ServeError {
    name: String,
    address: SocketAddr,
    error: io::Error,
}

enum Command {
    Fault(Fault),
    Drain(bool),
    Pause(bool),
    Cut { half: bool },
    Die,
}

/// A running stand-in. It runs until it is told to die or the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    name: String,
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    task: JoinHandle<()>,
}

impl std::fmt::Debug for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Command")
    }
}

impl Handle {
    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches its troubles.
    pub fn fault(&self, fault: Fault) {
        let _ = self.commands.send(Command::Fault(fault));
    }

    /// Drains it, or ends that.
    pub fn drain(&self, drains: bool) {
        let _ = self.commands.send(Command::Drain(drains));
    }

    /// Makes it stand still as a whole, or go on.
    pub fn pause(&self, pauses: bool) {
        let _ = self.commands.send(Command::Pause(pauses));
    }

    /// Cuts all its links, or closes only its own sending side of each.
    pub fn cut(&self, half: bool) {
        let _ = self.commands.send(Command::Cut { half });
    }

    /// It dies with all its tasks; the address is free again afterwards.
    pub async fn die(self) {
        let _ = self.commands.send(Command::Die);
        let _ = self.task.await;
    }

    /// Whether it has fallen over or was ended.
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }
}

struct Link {
    out: mpsc::UnboundedSender<Message>,
    tasks: [JoinHandle<()>; 2],
    placer: Arc<Mutex<String>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

enum Came {
    Message(LinkId, Message),
    Gone(LinkId),
}

struct Server {
    node: Node,
    groups: Arc<Mutex<Groups>>,
    recorder: Option<Arc<Recorder>>,
    clock: Instant,
    links: BTreeMap<LinkId, Link>,
    last_link: LinkId,
    came: mpsc::Sender<Came>,
    traffic: Option<Arc<PeerTraffic>>,
}

/// Gives a node what its folder kept of plans.
fn remember(node: &mut Node, config: &Config, now_us: u64) {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let epoch_s = unix.as_secs().saturating_sub(now_us / 1_000_000);
    let opened = config.plan_dir.as_ref().map(|dir| {
        let disk = Disk::lock(dir).map_err(|error| error.to_string())?;
        Slots::open(disk).map_err(|error| format!("{}: {error}", dir.display()))
    });
    match opened {
        Some(Ok(opened)) => {
            for why in &opened.passed_by {
                tracing::warn!(
                    node = config.name,
                    "plans: {why}; the last whole state holds"
                );
            }
            node.remembers(opened.memory, Some(Box::new(opened.slots)), epoch_s);
        }
        Some(Err(why)) => {
            tracing::warn!(
                node = config.name,
                "plans: {why}; it keeps none over a restart"
            );
            node.remembers(AcceptorState::default(), None, epoch_s);
        }
        None => node.remembers(AcceptorState::default(), None, epoch_s),
    }
}

/// Starts a stand-in. `life` must be another at each start; `clock` is shared by the nodes that share
/// `groups`.
///
/// # Errors
/// Where its address can't be bound.
pub async fn serve(
    config: Config,
    life: u64,
    seed: u64,
    groups: Arc<Mutex<Groups>>,
    recorder: Option<Arc<Recorder>>,
    clock: Instant,
) -> Result<Handle, ServeError> {
    serve_counted(config, life, seed, groups, recorder, clock, None).await
}

/// Starts a stand-in as [`serve`] does, and counts the messages of its links by placer where `traffic` is told.
///
/// # Errors
/// Where its address can't be bound.
pub async fn serve_counted(
    config: Config,
    life: u64,
    seed: u64,
    groups: Arc<Mutex<Groups>>,
    recorder: Option<Arc<Recorder>>,
    clock: Instant,
    traffic: Option<Arc<PeerTraffic>>,
) -> Result<Handle, ServeError> {
    let (name, address) = (config.name.clone(), config.listen);
    let fault = |error| ServeError {
        name: name.clone(),
        address,
        error,
    };
    let listener = TcpListener::bind(address).await.map_err(fault)?;
    let address = listener.local_addr().map_err(fault)?;
    let (commands, orders) = mpsc::unbounded_channel();
    let (came, coming) = mpsc::channel(256);
    let now = clock.elapsed().as_micros() as u64;
    let mut node = Node::new(config.clone(), life, seed, now);
    remember(&mut node, &config, now);
    if let Some(recorder) = &recorder {
        recorder.record(Event::NodeStarted, &name, "", life, b"");
    }
    let server = Server {
        node,
        groups,
        recorder,
        clock,
        links: BTreeMap::new(),
        last_link: 0,
        came,
        traffic,
    };
    let task = tokio::spawn(server.run(listener, orders, coming));
    Ok(Handle {
        name,
        address,
        commands,
        task,
    })
}

impl Server {
    async fn run(
        mut self,
        listener: TcpListener,
        mut orders: mpsc::UnboundedReceiver<Command>,
        mut coming: mpsc::Receiver<Came>,
    ) {
        let mut paused = false;
        loop {
            let next = self.node.next_us().filter(|_| !paused);
            let sleep = next.map(|at| Duration::from_micros(at.saturating_sub(self.now())));
            tokio::select! {
                order = orders.recv() => match order {
                    None | Some(Command::Die) => break,
                    Some(Command::Pause(pauses)) => paused = pauses,
                    Some(Command::Fault(fault)) => self.node.fault = fault,
                    Some(Command::Drain(drains)) => self.with_groups(|node, groups, _| node.drain(drains, groups)),
                    Some(Command::Cut { half }) => self.cut(half),
                },
                accepted = listener.accept(), if !paused => {
                    if let Ok((stream, _)) = accepted {
                        self.link(stream);
                    }
                }
                came = coming.recv(), if !paused => match came {
                    Some(Came::Message(link, message)) if self.links.contains_key(&link) => {
                        if let Message::Hello { placer, .. } = &message {
                            let mut name = self.links[&link].placer.lock().unwrap_or_else(PoisonError::into_inner);
                            name.clone_from(placer);
                        }
                        self.with_groups(|node, groups, now| node.message(now, link, message, groups));
                    }
                    Some(Came::Gone(link)) => {
                        self.links.remove(&link);
                        self.node.link_gone(link);
                    }
                    _ => {}
                },
                () = tokio::time::sleep(sleep.unwrap_or(Duration::MAX)), if sleep.is_some() => {}
            }
            if !paused {
                self.with_groups(|node, groups, now| node.tick(now, groups));
            }
            if self.carry_out() {
                tracing::warn!(
                    node = self.node.config().name,
                    "fell over under starts while cold"
                );
                break;
            }
        }
        self.with_groups(|node, groups, _| node.die(groups));
        if let Some(recorder) = &self.recorder {
            recorder.record(
                Event::NodeEnded,
                &self.node.config().name,
                "",
                self.node.life(),
                b"",
            );
        }
    }

    fn now(&self) -> u64 {
        self.clock.elapsed().as_micros() as u64
    }

    fn with_groups(&mut self, act: impl FnOnce(&mut Node, &mut Groups, u64)) {
        let now = self.now();
        act(
            &mut self.node,
            &mut self.groups.lock().unwrap_or_else(PoisonError::into_inner),
            now,
        );
    }

    /// Carries out what the node does; whether it fell over.
    fn carry_out(&mut self) -> bool {
        for effect in self.node.effects() {
            match effect {
                Effect::Send(link, message) => {
                    if let Some(link) = self.links.get(&link) {
                        let _ = link.out.send(message);
                    }
                }
                Effect::Close(link) => {
                    self.links.remove(&link);
                    self.node.link_gone(link);
                }
                Effect::FellOver => return true,
            }
        }
        false
    }

    fn cut(&mut self, half: bool) {
        if half {
            // Without its writer the sending side closes; the reader goes on.
            self.links.values().for_each(|link| link.tasks[1].abort());
        } else {
            let all: Vec<LinkId> = std::mem::take(&mut self.links).into_keys().collect();
            all.into_iter().for_each(|link| self.node.link_gone(link));
        }
    }

    fn link(&mut self, stream: TcpStream) {
        if self.links.len() >= MAX_LINKS {
            return;
        }
        let _ = stream.set_nodelay(true);
        self.last_link += 1;
        let (id, name) = (self.last_link, self.node.config().name.clone());
        let (read, write) = stream.into_split();
        let (out, messages) = mpsc::unbounded_channel();
        let placer = Arc::new(Mutex::new(String::new()));
        let (recorder, peers) = (self.recorder.clone(), self.traffic.clone());
        let side = Side {
            id,
            name,
            placer: Arc::clone(&placer),
            recorder,
            peers,
            traffic: Arc::default(),
        };
        let tasks = [
            tokio::spawn(reads(side.clone(), read, self.came.clone())),
            tokio::spawn(writes(side, write, messages)),
        ];
        self.links.insert(id, Link { out, tasks, placer });
    }
}

/// What both directions of a link know.
#[derive(Clone)]
struct Side {
    id: LinkId,
    name: String,
    placer: Arc<Mutex<String>>,
    recorder: Option<Arc<Recorder>>,
    peers: Option<Arc<PeerTraffic>>,
    /// The counters of the placer, from its greeting on.
    traffic: Arc<OnceLock<Arc<Traffic>>>,
}

impl Side {
    fn count_read(&self, message: &Message, bytes: usize) {
        let Some(peers) = &self.peers else { return };
        if let Message::Hello { placer, .. } = message {
            self.traffic.get_or_init(|| peers.of(placer));
        }
        if let Some(traffic) = self.traffic.get() {
            traffic.record_read(message, bytes);
        }
    }

    fn count_written(&self, message: &Message, bytes: usize) {
        if let Some(traffic) = self.traffic.get() {
            traffic.record_written(message, bytes);
        }
    }

    fn record(&self, event: Event, bytes: &[u8]) {
        if let Some(recorder) = &self.recorder {
            let placer = self
                .placer
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            recorder.record(event, &self.name, &placer, self.id, bytes);
        }
    }
}

async fn reads(side: Side, mut read: OwnedReadHalf, came: mpsc::Sender<Came>) {
    let (mut reader, mut buffer) = (FrameDecoder::default(), vec![0; 64 * 1024]);
    'link: while let Ok(count) = read.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        reader.push(&buffer[..count]);
        loop {
            match reader.next_message() {
                Ok(Some((message, bytes))) => {
                    side.record(Event::NodeRead, bytes);
                    side.count_read(&message, bytes.len());
                    if came.send(Came::Message(side.id, message)).await.is_err() {
                        break 'link;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::warn!(node = side.name, %error, "link closed");
                    break 'link;
                }
            }
        }
    }
    let _ = came.send(Came::Gone(side.id)).await;
}

async fn writes(
    side: Side,
    mut write: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<Message>,
) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, 256).await > 0 {
        let mut bytes = Vec::new();
        for message in batch.drain(..) {
            let frame = encode(&message);
            side.record(Event::NodeWrote, &frame);
            side.count_written(&message, frame.len());
            bytes.extend_from_slice(&frame);
        }
        if write.write_all(&bytes).await.is_err() {
            break;
        }
    }
}
