//! Simulated clients, hosts and discovery on loopback sockets, and the placer under test. Their encoding is written
//! independently of the placer's.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

#[path = "../../../platform-protocol/tests/wire/mod.rs"]
mod wire;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use reedring_connection::SignalRequest;
use reedring_platform_protocol::config::Config;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;
pub use wire::message;

/// Limit for each wait in a test; a test whose wait takes longer fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Waits for `future`; `what` names it in the message of a panic.
///
/// # Panics
/// After [`WAIT_LIMIT`].
pub async fn wait_for<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(WAIT_LIMIT, future)
        .await
        .unwrap_or_else(|_| panic!("{what}: not within {WAIT_LIMIT:?}"))
}

// ---- Client ----

/// A simulated client of the placer.
pub struct Client {
    pub stream: TcpStream,
}

/// A message that a client received, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// Message type code.
    pub kind: u8,
    pub id: u64,
    /// Codes and values, in the order received.
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl ReceivedMessage {
    pub fn cause(&self) -> Option<u8> {
        self.parameters
            .iter()
            .find(|(code, _)| *code == 194)
            .map(|(_, value)| value[0])
    }
    pub fn description(&self) -> Vec<u8> {
        let found = self.parameters.iter().find(|(code, _)| *code == 195);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

/// An encoded placement request. `left_ms` is the time until its deadline; `extras` is appended to the resource
/// figures.
pub fn placement_request(id: u64, class: &str, left_ms: u64, extras: &str) -> Vec<u8> {
    let (left, key) = (left_ms.to_string(), format!("{:016x}", id ^ 0xabc));
    let extras = format!("cores:0.5;memory:1;service:0000000000000007{extras}");
    let description = format!("v=0\r\no={id} \u{e9}\r\n");
    message(
        1,
        id,
        &[
            (180, class.as_bytes()),
            (181, left.as_bytes()),
            (182, b"radio"),
            (184, key.as_bytes()),
            (193, b"5c0f6e1a"),
            (185, extras.as_bytes()),
            (195, description.as_bytes()),
        ],
    )
}

impl Client {
    pub async fn connect(address: SocketAddr) -> Self {
        Self {
            stream: wait_for("the connection to the placer", TcpStream::connect(address))
                .await
                .expect("the placer must accept connections"),
        }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("the placer must keep the connection open");
    }

    /// Sends health checks until the placer reports failure, as it does once it is shutting down.
    pub async fn wait_for_failing_health_check(&mut self) {
        wait_for("a failing health check", async {
            loop {
                self.send(&message(52, 2, &[(194, &[0])])).await;
                if self.receive().await.expect("a health check result").cause() == Some(0) {
                    return;
                }
            }
        })
        .await;
    }

    /// Receives the next message; `None` once the placer has closed the connection.
    pub async fn receive(&mut self) -> Option<ReceivedMessage> {
        wait_for("a message", async {
            let length = self.stream.read_u16().await.ok()?;
            let mut body = vec![0; usize::from(length)];
            self.stream.read_exact(&mut body).await.ok()?;
            let id = u64::from_be_bytes(body[1..9].try_into().expect("eight bytes"));
            let (mut at, mut parameters) = (9, Vec::new());
            while at < body.len() {
                let length = usize::from(u16::from_be_bytes([body[at + 1], body[at + 2]]));
                parameters.push((body[at], body[at + 3..at + 3 + length].to_vec()));
                at += 3 + length;
            }
            Some(ReceivedMessage {
                kind: body[0],
                id,
                parameters,
            })
        })
        .await
    }
}

// ---- Host ----

/// A connection that the placer made to a host.
pub struct Link {
    pub lines: tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>,
    pub write: tokio::net::tcp::OwnedWriteHalf,
}

impl Link {
    /// Receives the next line; `None` once the placer has closed the connection.
    pub async fn receive_line(&mut self) -> Option<Value> {
        let line = wait_for("a line", self.lines.next_line())
            .await
            .ok()
            .flatten()?;
        Some(serde_json::from_str(&line).expect("the placer must write JSON"))
    }

    pub async fn send_json(&mut self, line: &Value) {
        self.send_bytes(format!("{line}\n").as_bytes()).await;
    }

    pub async fn send_bytes(&mut self, bytes: &[u8]) {
        let _ = self.write.write_all(bytes).await;
    }

    pub async fn answer(&mut self, id: &Value, description: &str) {
        self.send_json(&json!({"type": "answer", "id": id, "fields": {}, "sdp": description}))
            .await;
    }

    pub async fn release(&mut self, id: &Value, cause: u8) {
        self.send_json(&json!({"type": "release", "id": id, "fields": {}, "cause": cause}))
            .await;
    }

    /// Resets the connection.
    pub fn reset(self) {
        let stream = self
            .lines
            .into_inner()
            .into_inner()
            .reunite(self.write)
            .expect("both halves belong to one socket");
        let _ = stream.set_zero_linger();
    }
}

/// A simulated host.
pub struct Host {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl Host {
    pub async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the address must be free");
        let address = listener.local_addr().expect("the listener must be bound");
        Self { listener, address }
    }

    /// Accepts the next link.
    pub async fn accept_link(&self) -> Link {
        let (stream, _) = wait_for("a connection", self.listener.accept())
            .await
            .expect("the listener must accept");
        let (read, write) = stream.into_split();
        Link {
            lines: BufReader::new(read).lines(),
            write,
        }
    }

    /// The host's entry in an endpoint list.
    pub fn entry(&self, id: &str, site: &str, health: &str) -> Value {
        json!({"host": id, "dial": self.address, "site": site, "class": "std", "block": 1, "health": health,
            "share": 1, "born_ms": 0, "room": [64, 256]})
    }

    /// Serves all links, and answers each placement request with its ID. Returns all messages received from the placer.
    pub fn answer_all_requests(self) -> mpsc::UnboundedReceiver<Value> {
        let (sender, messages) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                let mut link = self.accept_link_untimed().await;
                let sender = sender.clone();
                tokio::spawn(async move {
                    while let Ok(Some(line)) = link.lines.next_line().await {
                        let line: Value = serde_json::from_str(&line).expect("JSON");
                        if line["type"] == "setup" {
                            link.answer(&line["id"], &format!("here {}", line["id"]))
                                .await;
                        }
                        let _ = sender.send(line);
                    }
                });
            }
        });
        messages
    }

    /// Accepts the next link, without a time limit.
    async fn accept_link_untimed(&self) -> Link {
        let (stream, _) = self
            .listener
            .accept()
            .await
            .expect("the listener must accept");
        let (read, write) = stream.into_split();
        Link {
            lines: BufReader::new(read).lines(),
            write,
        }
    }
}

// ---- Discovery ----

/// How discovery handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryBehavior {
    /// It answers correctly.
    Normal,
    /// It closes the connection in the middle of a response.
    Truncates,
    /// It does not answer, and keeps the connection open.
    Silent,
    /// It answers with status 500.
    Fails,
}

/// A simulated discovery service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The current behavior and all published events.
    state: Arc<watch::Sender<(DiscoveryBehavior, Vec<Value>)>>,
    /// Paths of all requests received, in order.
    pub requests: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub async fn new() -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address")).await
    }

    /// Listens at `address`, which must be free.
    pub async fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the address must be free");
        let address = listener.local_addr().expect("the listener must be bound");
        let (state, _) = watch::channel((DiscoveryBehavior::Normal, Vec::new()));
        let discovery = Self {
            address,
            state: Arc::new(state),
            requests: Arc::default(),
        };
        let serve = discovery.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("the listener must accept");
                tokio::spawn(serve.clone().serve(stream));
            }
        });
        discovery
    }

    async fn serve(self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Some(path) = line
                .strip_prefix("GET ")
                .and_then(|rest| rest.split(' ').next())
            else {
                continue;
            };
            let path = path.to_owned();
            while lines
                .next_line()
                .await
                .is_ok_and(|line| line.is_some_and(|line| !line.is_empty()))
            {}
            let query = path.split('?').nth(1).unwrap_or_default().to_owned();
            let number = |name: &str| -> u64 {
                let value = query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name))
                    .expect("the query must contain watch and linger");
                value.parse().expect("a number")
            };
            let (after, linger) = (number("watch="), number("linger="));
            self.requests
                .lock()
                .expect("the lock must not be poisoned")
                .push(path);
            let mut updates = self.state.subscribe();
            let must_answer = |state: &(DiscoveryBehavior, Vec<Value>)| {
                state.0 != DiscoveryBehavior::Normal || state.1.len() as u64 > after
            };
            let _ = timeout(Duration::from_millis(linger), updates.wait_for(must_answer)).await;
            let (behavior, events) = updates.borrow().clone();
            let body =
                json!({"rev": events.len(), "notices": &events[(after as usize).min(events.len())..]})
                    .to_string();
            let status = if behavior == DiscoveryBehavior::Fails {
                "500 Oops"
            } else {
                "200 OK"
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            match behavior {
                DiscoveryBehavior::Silent => return std::future::pending().await,
                DiscoveryBehavior::Truncates => {
                    return drop(write.write_all(&text.as_bytes()[..text.len() - 9]).await);
                }
                DiscoveryBehavior::Normal | DiscoveryBehavior::Fails => {
                    drop(write.write_all(text.as_bytes()).await)
                }
            }
        }
    }

    /// Waits until the paths of all requests so far satisfy `is_enough`.
    pub async fn wait_for_requests(&self, is_enough: impl Fn(&[String]) -> bool) {
        wait_for("a request to discovery", async {
            while !is_enough(&self.requests.lock().expect("the lock must not be poisoned")) {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    pub fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.state.send_modify(|state| state.0 = behavior);
    }

    /// Publishes one more event: the list of all hosts if `whole`, else changed entries only.
    pub fn publish(&self, whole: bool, hosts: Vec<Value>) {
        self.state.send_modify(|state| {
            state
                .1
                .push(discovery_event(state.1.len() + 1, whole, hosts))
        });
    }

    /// Publishes the events of another discovery service, so that revisions continue after them.
    pub fn copy_events(&self, other: &Self) {
        let events = other.state.borrow().1.clone();
        self.state.send_modify(|state| state.1 = events);
    }
}

fn discovery_event(rev: usize, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": hosts}})
}

// ---- Placer ----

/// A placer that runs as a task of the test.
pub struct RunningPlacer {
    pub address: SocketAddr,
    pub discovery: Discovery,
    /// Path of the configuration file.
    pub path: PathBuf,
    /// Replaces the signals of the process.
    pub signals: mpsc::Sender<SignalRequest>,
    /// Ends when the placer exits.
    pub task: JoinHandle<()>,
    config: Value,
    _folder: tempfile::TempDir,
}

pub const SETTINGS: &str = include_str!("settings.json");

/// A configuration that lists these hosts.
pub fn config(address: SocketAddr, discovery: &Discovery, hosts: Vec<Value>) -> Value {
    config_at(address, discovery.address, 256, hosts)
}

/// Like [`config`], with a limit of `sockets` descriptors and with the address of discovery.
pub fn config_at(
    address: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    hosts: Vec<Value>,
) -> Value {
    json!({"name": "n1", "listen": address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "board": discovery,
        "known": {"rev": 1, "notices": [discovery_event(1, true, hosts)]},
        "settings": serde_json::from_str::<Value>(SETTINGS).expect("JSON")})
}

/// Starts a placer on loopback whose configuration and discovery list these hosts.
pub async fn start_placer(hosts: Vec<Value>) -> RunningPlacer {
    let discovery = Discovery::new().await;
    discovery.publish(true, hosts.clone());
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the address must be free");
    let address = listener.local_addr().expect("the listener must be bound");
    let config = config(address, &discovery, hosts);
    let folder = tempfile::tempdir().expect("a temporary directory");
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("the configuration file must be writable");
    let read = Config::read(&config.to_string()).expect("the configuration must be valid");
    let (signals, requests) = mpsc::channel(4);
    let config_path = path.clone();
    let task = tokio::spawn(async move {
        reedring_platform::serve(&config_path, read, listener, requests).await
    });
    RunningPlacer {
        address,
        discovery,
        path,
        signals,
        task,
        config,
        _folder: folder,
    }
}

impl RunningPlacer {
    /// Writes a configuration file with another discovery service.
    pub fn write_config(&mut self, discovery: &Discovery) {
        self.config["board"] = json!(discovery.address);
        std::fs::write(&self.path, self.config.to_string())
            .expect("the configuration file must be writable");
    }
}

/// Starts a host, a placer that knows only this host, and a client of the placer.
pub async fn host_placer_client() -> (Host, RunningPlacer, Client) {
    let host = Host::new().await;
    let placer = start_placer(vec![host.entry("h-1", "east", "active")]).await;
    let client = Client::connect(placer.address).await;
    (host, placer, client)
}

/// Starts a placer with one host that answers every placement request; returns the messages that the host receives.
pub async fn placer_with_answering_host() -> (mpsc::UnboundedReceiver<Value>, RunningPlacer) {
    let host = Host::new().await;
    let line = host.entry("h-1", "east", "active");
    (host.answer_all_requests(), start_placer(vec![line]).await)
}
