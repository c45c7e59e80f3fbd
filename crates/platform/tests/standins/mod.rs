//! Small stand-ins on loopback: a client, a host and discovery, with an encoding of their own.
#![allow(dead_code, reason = "each test uses a part of it")]

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

/// No wait in a test is longer; one that is has failed.
pub const LONG: Duration = Duration::from_secs(20);

pub async fn soon<T>(what: &str, wait: impl Future<Output = T>) -> T {
    timeout(LONG, wait)
        .await
        .unwrap_or_else(|_| panic!("{what}: not within {LONG:?}"))
}

// ---- Client ----

pub struct Client {
    pub stream: TcpStream,
}

/// A message as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    pub kind: u8,
    pub id: u64,
    pub parameters: Vec<(u8, Vec<u8>)>,
}

impl Got {
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

pub fn setup(id: u64, class: &str, left_ms: u64, extras: &str) -> Vec<u8> {
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
            stream: soon("connecting", TcpStream::connect(address))
                .await
                .expect("the placer listens"),
        }
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .await
            .expect("the placer reads");
    }

    /// Asks for its test until the placer fails it, as one that is to end does.
    pub async fn until_its_test_fails(&mut self) {
        soon("the test to fail", async {
            loop {
                self.send(&message(52, 2, &[(194, &[0])])).await;
                if self.got().await.expect("an answer").cause() == Some(0) {
                    return;
                }
            }
        })
        .await;
    }

    /// The next message; `None` once the placer closed.
    pub async fn got(&mut self) -> Option<Got> {
        soon("a message", async {
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
            Some(Got {
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
    /// The next line; `None` once the placer closed.
    pub async fn line(&mut self) -> Option<Value> {
        let line = soon("a line", self.lines.next_line())
            .await
            .ok()
            .flatten()?;
        Some(serde_json::from_str(&line).expect("the placer writes JSON"))
    }

    pub async fn say(&mut self, line: &Value) {
        self.raw(format!("{line}\n").as_bytes()).await;
    }

    pub async fn raw(&mut self, bytes: &[u8]) {
        let _ = self.write.write_all(bytes).await;
    }

    pub async fn answer(&mut self, id: &Value, description: &str) {
        self.say(&json!({"type": "answer", "id": id, "fields": {}, "sdp": description}))
            .await;
    }

    pub async fn release(&mut self, id: &Value, cause: u8) {
        self.say(&json!({"type": "release", "id": id, "fields": {}, "cause": cause}))
            .await;
    }

    /// Resets the connection.
    pub fn reset(self) {
        let stream = self
            .lines
            .into_inner()
            .into_inner()
            .reunite(self.write)
            .expect("two halves of one");
        let _ = stream.set_zero_linger();
    }
}

pub struct Host {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl Host {
    pub async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        Self { listener, address }
    }

    pub async fn link(&self) -> Link {
        let (stream, _) = soon("a connection", self.listener.accept())
            .await
            .expect("it listens");
        let (read, write) = stream.into_split();
        Link {
            lines: BufReader::new(read).lines(),
            write,
        }
    }

    /// A line of the list.
    pub fn line(&self, id: &str, site: &str, health: &str) -> Value {
        json!({"host": id, "dial": self.address, "site": site, "class": "std", "block": 1, "health": health,
            "share": 1, "born_ms": 0, "room": [64, 256]})
    }

    /// Answers every set-up with its id, and says what it was asked.
    pub fn obliging(self) -> mpsc::UnboundedReceiver<Value> {
        let (tell, told) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            loop {
                let mut link = self.link_for_ever().await;
                let tell = tell.clone();
                tokio::spawn(async move {
                    while let Ok(Some(line)) = link.lines.next_line().await {
                        let line: Value = serde_json::from_str(&line).expect("JSON");
                        if line["type"] == "setup" {
                            link.answer(&line["id"], &format!("here {}", line["id"]))
                                .await;
                        }
                        let _ = tell.send(line);
                    }
                });
            }
        });
        told
    }

    async fn link_for_ever(&self) -> Link {
        let (stream, _) = self.listener.accept().await.expect("it listens");
        let (read, write) = stream.into_split();
        Link {
            lines: BufReader::new(read).lines(),
            write,
        }
    }
}

// ---- Discovery ----

/// What discovery does with an ask.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// It closes in the middle of an event.
    Breaks,
    /// It says nothing and stays open.
    Silent,
    /// It answers with an error.
    Errs,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<watch::Sender<(Mood, Vec<Value>)>>,
    /// What was asked for, in order.
    pub asked: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub async fn new() -> Self {
        Self::at("127.0.0.1:0".parse().expect("an address")).await
    }

    /// One at this address, which nobody listens at.
    pub async fn at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (state, _) = watch::channel((Mood::Well, Vec::new()));
        let discovery = Self {
            address,
            state: Arc::new(state),
            asked: Arc::default(),
        };
        let serve = discovery.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("it listens");
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
                let of = query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name))
                    .expect("it is asked for");
                of.parse().expect("a number")
            };
            let (after, linger) = (number("watch="), number("linger="));
            self.asked.lock().expect("no panic").push(path);
            let mut news = self.state.subscribe();
            let fresh =
                |state: &(Mood, Vec<Value>)| state.0 != Mood::Well || state.1.len() as u64 > after;
            let _ = timeout(Duration::from_millis(linger), news.wait_for(fresh)).await;
            let (mood, all) = news.borrow().clone();
            let body =
                json!({"rev": all.len(), "notices": &all[(after as usize).min(all.len())..]})
                    .to_string();
            let status = if mood == Mood::Errs {
                "500 Oops"
            } else {
                "200 OK"
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            match mood {
                Mood::Silent => return std::future::pending().await,
                Mood::Breaks => {
                    return drop(write.write_all(&text.as_bytes()[..text.len() - 9]).await);
                }
                Mood::Well | Mood::Errs => drop(write.write_all(text.as_bytes()).await),
            }
        }
    }

    /// Waits until what was asked for so far is enough.
    pub async fn until_asked(&self, enough: impl Fn(&[String]) -> bool) {
        soon("an ask of discovery", async {
            while !enough(&self.asked.lock().expect("no panic")) {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    pub fn set(&self, mood: Mood) {
        self.state.send_modify(|state| state.0 = mood);
    }

    /// Tells one more event.
    pub fn tell(&self, whole: bool, hosts: Vec<Value>) {
        self.state
            .send_modify(|state| state.1.push(notice(state.1.len() + 1, whole, hosts)));
    }

    /// Goes on where another left off.
    pub fn continues(&self, other: &Self) {
        let all = other.state.borrow().1.clone();
        self.state.send_modify(|state| state.1 = all);
    }
}

fn notice(rev: usize, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": hosts}})
}

// ---- Placer ----

pub struct Running {
    pub address: SocketAddr,
    pub discovery: Discovery,
    pub path: PathBuf,
    pub ask: mpsc::Sender<SignalRequest>,
    pub served: JoinHandle<()>,
    config: Value,
    _folder: tempfile::TempDir,
}

pub const SETTINGS: &str = include_str!("settings.json");

/// A configuration whose list holds these hosts.
pub fn config(address: SocketAddr, discovery: &Discovery, hosts: Vec<Value>) -> Value {
    config_at(address, discovery.address, 256, hosts)
}

/// One of a placer with so many descriptors, with discovery at this address.
pub fn config_at(
    address: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    hosts: Vec<Value>,
) -> Value {
    json!({"name": "n1", "listen": address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "board": discovery,
        "known": {"rev": 1, "notices": [notice(1, true, hosts)]},
        "settings": serde_json::from_str::<Value>(SETTINGS).expect("JSON")})
}

/// A placer on loopback that knows these hosts.
pub async fn placer(hosts: Vec<Value>) -> Running {
    let discovery = Discovery::new().await;
    discovery.tell(true, hosts.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let config = config(address, &discovery, hosts);
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("it can be written");
    let read = Config::read(&config.to_string()).expect("it is whole");
    let (ask, asked) = mpsc::channel(4);
    let serving = path.clone();
    let served =
        tokio::spawn(
            async move { reedring_platform::serve(&serving, read, listener, asked).await },
        );
    Running {
        address,
        discovery,
        path,
        ask,
        served,
        config,
        _folder: folder,
    }
}

impl Running {
    /// Replaces the configuration's discovery.
    pub fn configure(&mut self, discovery: &Discovery) {
        self.config["board"] = json!(discovery.address);
        std::fs::write(&self.path, self.config.to_string()).expect("it can be written");
    }
}

/// A host, a placer that knows it alone, and a client of that placer.
pub async fn alone() -> (Host, Running, Client) {
    let host = Host::new().await;
    let placer = placer(vec![host.line("h-1", "east", "active")]).await;
    let client = Client::connect(placer.address).await;
    (host, placer, client)
}

/// A placer with one host that answers every set-up, and what that host was asked.
pub async fn obliged() -> (mpsc::UnboundedReceiver<Value>, Running) {
    let host = Host::new().await;
    let line = host.line("h-1", "east", "active");
    (host.obliging(), placer(vec![line]).await)
}
