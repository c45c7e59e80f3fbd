//! Links to nodes: one task each, which connects, greets, and connects again when the link breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use reedring_audit::Event;
use reedring_core::Input;
use reedring_net::Backoff;
use reedring_nodeproto::{Message, Order, Reader, Traffic, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clients::Came;
use crate::run::Shared;

/// Messages that wait for a node which does not read; one more, and the link is cut.
const QUEUE: usize = 65_536;
/// Between two tries to connect.
const WAITS: Backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(2));

/// Greetings that a node closes on before it is greeted in version 1: one may be a node that ends.
const CLOSED_ON: u32 = 2;
/// What a node says that does not read the greeting.
const UNGREETED: &str = "the link ended before its greeting";

/// Why a link never stood.
struct End {
    why: String,
    /// The node closed it on reading the greeting.
    closed_on: bool,
}

impl From<String> for End {
    fn from(why: String) -> Self {
        Self { why, closed_on: false }
    }
}

/// A message, and the number of the link that the core meant it for.
type Meant = (u64, Message);

struct Link {
    address: SocketAddr,
    /// The last link that the core was told of; 0 before the first.
    up: u64,
    out: mpsc::Sender<Meant>,
    task: JoinHandle<()>,
}

/// The links that the core wants kept.
#[derive(Default)]
pub(crate) struct Links {
    all: BTreeMap<String, Link>,
    /// Links made to each node, over all its tasks.
    made: BTreeMap<String, u64>,
}

impl Links {
    pub fn connect(
        &mut self,
        node: String,
        address: SocketAddr,
        shared: &Arc<Shared>,
        came: &mpsc::Sender<Came>,
    ) {
        self.keep(node, address, shared, came, None);
    }

    /// Keeps a link from now on, in place of the one before; the core hears `first` before all of it.
    fn keep(
        &mut self,
        node: String,
        address: SocketAddr,
        shared: &Arc<Shared>,
        came: &mpsc::Sender<Came>,
        first: Option<Came>,
    ) {
        self.disconnect(&node);
        let (out, messages) = mpsc::channel(QUEUE);
        // Numbers of links only go up, over tasks too: a node takes the larger for the newer.
        let number = self.made.entry(node.clone()).or_default();
        *number += 1 << 32;
        let (shared, came) = (Arc::clone(shared), came.clone());
        let traffic = shared.traffic.as_ref().map(|peers| peers.of(&node));
        let keeper =
            Keeper { node: node.clone(), address, number: *number, shared, came, old: None, traffic };
        let task = tokio::spawn(async move {
            if let Some(first) = first {
                let _ = keeper.came.send(first).await;
            }
            keeper.keep(messages).await;
        });
        self.all.insert(node, Link { address, up: 0, out, task });
    }

    pub fn disconnect(&mut self, node: &str) {
        if let Some(link) = self.all.remove(node) {
            link.task.abort();
        }
    }

    /// The core is told now that this link stands: what it sends from here on is meant for it.
    pub fn stands(&mut self, node: &str, number: u64) {
        if let Some(link) = self.all.get_mut(node) {
            link.up = number;
        }
    }

    pub fn send(&mut self, node: &str, message: Message, shared: &Arc<Shared>, came: &mpsc::Sender<Came>) {
        let Some(link) = self.all.get(node) else { return };
        if link.out.try_send((link.up, message)).is_ok() {
            return;
        }
        let (node, address) = (node.to_owned(), link.address);
        let why = format!("it reads nothing, {QUEUE} messages wait; the link is cut");
        let down = Came::Input(Input::LinkDown { node: node.clone(), why });
        self.keep(node, address, shared, came, Some(down));
    }
}

struct Keeper {
    node: String,
    address: SocketAddr,
    number: u64,
    shared: Arc<Shared>,
    came: mpsc::Sender<Came>,
    /// The life of the node in which it was shown that it speaks version 1 alone.
    old: Option<u64>,
    /// Counters of this node's messages.
    traffic: Option<Arc<Traffic>>,
}

impl Keeper {
    async fn keep(mut self, mut messages: mpsc::Receiver<Meant>) {
        let mut waits = WAITS;
        // Greetings in version 2 that were closed on without a word: a node that speaks version 1 alone does so.
        let mut closed_on = 0;
        loop {
            self.number += 1;
            let plain = closed_on >= CLOSED_ON;
            let why = match self.link(&mut messages, plain).await {
                Ok(why) => {
                    waits.reset();
                    // The node may be another program by the next time.
                    closed_on = 0;
                    why
                }
                Err(End { why, closed_on: true }) if !plain => {
                    closed_on += 1;
                    why
                }
                Err(End { why, closed_on: true }) => {
                    // It closed on what only version 2 has, or it knows plans: the next greeting finds out.
                    closed_on = if self.old.is_some() { CLOSED_ON } else { 0 };
                    why
                }
                Err(End { why, .. }) => why,
            };
            self.shared.record_link(Event::LinkDown, &self.node, self.number, why.as_bytes());
            let down = Input::LinkDown { node: self.node.clone(), why };
            if self.came.send(Came::Input(down)).await.is_err() {
                return;
            }
            tokio::time::sleep(waits.wait()).await;
        }
    }

    /// One link from its start to its end: why it ended, or why it never stood.
    async fn link(&mut self, messages: &mut mpsc::Receiver<Meant>, plain: bool) -> Result<String, End> {
        let limit = self.shared.connect_timeout;
        let connect = tokio::time::timeout(limit, TcpStream::connect(self.address)).await;
        let stream = connect.map_err(|_| "no connection in time".to_owned())?;
        let stream = stream.map_err(|error| format!("no connection: {error}"))?;
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let shared = &self.shared;
        let acts = if plain { None } else { *shared.acts.lock().unwrap_or_else(PoisonError::into_inner) };
        let acts = acts.map(|stamp| (stamp, reedring_core::BUILD.to_owned()));
        let told = acts.is_some();
        let hello =
            Message::Hello { placer: shared.name.clone(), life: shared.life, link: self.number, acts };
        self.write(&mut write, &[hello]).await.map_err(|error| format!("no greeting: {error}"))?;
        let mut reader = Reader::default();
        let greeting = tokio::time::timeout(limit, self.greeted(&mut read, &mut reader)).await;
        let up = greeting.map_err(|_| "no greeting in time".to_owned())?;
        let up = up.map_err(|why| End { closed_on: told && why == UNGREETED, why })?;
        // Links are cut for many reasons: that a node knows no plans is believed once a question shows it.
        if let Input::LinkUp { life, record: None, .. } = &up
            && plain
            && self.old != Some(*life)
        {
            let life = *life;
            let asked = self.knows_plans(&mut read, &mut write, &mut reader);
            let knows =
                tokio::time::timeout(limit, asked).await.map_err(|_| "no answer in time".to_owned())?;
            self.old = (!knows).then_some(life);
            let why = if knows { "it knows plans" } else { "it speaks version 1 alone" };
            return Err(End { why: why.to_owned(), closed_on: true });
        }
        let up = Came::LinkUp(self.number, up);
        self.came.send(up).await.map_err(|_| "the placer ends".to_owned())?;
        let why = tokio::select! {
            why = self.reads(&mut read, &mut reader) => why,
            why = self.writes(&mut write, messages) => why,
        };
        Ok(why)
    }

    /// Asks a node that was greeted in version 1 what only one of version 2 can answer; the other closes the link.
    async fn knows_plans(
        &self,
        read: &mut OwnedReadHalf,
        write: &mut OwnedWriteHalf,
        reader: &mut Reader,
    ) -> bool {
        let stamp = self.shared.acts.lock().unwrap_or_else(PoisonError::into_inner).unwrap_or_default();
        if self.write(write, &[Message::Plan(Order::Ask { stamp })]).await.is_err() {
            return false;
        }
        let mut buffer = vec![0; 64 * 1024];
        loop {
            match reader.next_message() {
                Ok(Some((message, bytes))) => {
                    self.count_read(&message, bytes.len());
                    if matches!(message, Message::Record(_)) {
                        return true;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return false,
            }
            match read.read(&mut buffer).await {
                Ok(count) if count > 0 => reader.push(&buffer[..count]),
                _ => return false,
            }
        }
    }

    /// Reads the welcome: what the core is to be told.
    async fn greeted(&self, read: &mut OwnedReadHalf, reader: &mut Reader) -> Result<Input, String> {
        loop {
            match reader.next_message() {
                Ok(Some((message, bytes))) => {
                    self.shared.record_link(Event::FromNode, &self.node, self.number, bytes);
                    self.count_read(&message, bytes.len());
                    let Message::Welcome { node: called, life, up_ms, can_suspend, record } = message else {
                        return Err("it did not greet".to_owned());
                    };
                    let node = self.node.clone();
                    return Ok(Input::LinkUp { node, called, life, up_ms, can_suspend, record });
                }
                Ok(None) => {}
                Err(error) => return Err(error.to_string()),
            }
            let mut buffer = [0; 4096];
            match read.read(&mut buffer).await {
                Ok(0) => return Err(UNGREETED.to_owned()),
                Ok(count) => reader.push(&buffer[..count]),
                Err(error) => return Err(format!("no greeting: {error}")),
            }
        }
    }

    async fn reads(&self, read: &mut OwnedReadHalf, reader: &mut Reader) -> String {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            loop {
                match reader.next_message() {
                    Ok(Some((message, bytes))) => {
                        self.shared.record_link(Event::FromNode, &self.node, self.number, bytes);
                        self.count_read(&message, bytes.len());
                        let input = Input::Message { node: self.node.clone(), message };
                        if self.came.send(Came::Input(input)).await.is_err() {
                            return "the placer ends".to_owned();
                        }
                    }
                    Ok(None) => break,
                    Err(error) => return error.to_string(),
                }
            }
            match read.read(&mut buffer).await {
                Ok(0) => return "the node closed the link".to_owned(),
                Ok(count) => reader.push(&buffer[..count]),
                Err(error) => return format!("the link broke: {error}"),
            }
        }
    }

    fn count_read(&self, message: &Message, bytes: usize) {
        if let Some(traffic) = &self.traffic {
            traffic.read(message, bytes);
        }
    }

    async fn writes(&self, write: &mut OwnedWriteHalf, messages: &mut mpsc::Receiver<Meant>) -> String {
        let mut batch = Vec::new();
        while messages.recv_many(&mut batch, 256).await > 0 {
            // What the core meant for an older link is void, also where it hears late that this one stands: an
            // offer among it would reach the node after it has told what it holds, and count as never sent.
            let meant: Vec<Message> = batch
                .drain(..)
                .filter(|(number, _)| *number == self.number)
                .map(|(_, message)| message)
                .collect();
            if let Err(error) = self.write(write, &meant).await {
                return format!("the link broke: {error}");
            }
        }
        "the placer ends the link".to_owned()
    }

    async fn write(&self, write: &mut OwnedWriteHalf, batch: &[Message]) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        for message in batch {
            let frame = encode(message);
            self.shared.record_link(Event::ToNode, &self.node, self.number, &frame);
            if let Some(traffic) = &self.traffic {
                traffic.wrote(message, frame.len());
            }
            bytes.extend_from_slice(&frame);
        }
        write.write_all(&bytes).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A core behind a backlog sends on for an older link after the newer one has told what its node holds.
    #[tokio::test]
    async fn what_was_meant_for_an_older_link_is_not_written_to_a_newer_one() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (came, mut coming) = mpsc::channel(8);
        let keeper = Keeper {
            node: "n".into(),
            address: listener.local_addr().unwrap(),
            number: 4,
            shared: Arc::new(Shared::for_tests()),
            came,
            old: None,
            traffic: None,
        };
        let (out, messages) = mpsc::channel(8);
        out.send((4, Message::Probe { nonce: 1 })).await.unwrap();
        let keeping = tokio::spawn(keeper.keep(messages));
        let (mut node, _) = listener.accept().await.unwrap();
        let welcome =
            Message::Welcome { node: "n".into(), life: 1, up_ms: 0, can_suspend: false, record: None };
        node.write_all(&encode(&welcome)).await.unwrap();
        let Some(Came::LinkUp(number, _)) = coming.recv().await else { panic!("no link") };
        out.send((4, Message::Probe { nonce: 2 })).await.unwrap();
        out.send((number, Message::Probe { nonce: 3 })).await.unwrap();
        let (mut reader, mut buffer, mut read) = (Reader::default(), [0; 256], Vec::new());
        while read.len() < 2 {
            let count = node.read(&mut buffer).await.unwrap();
            assert!(count > 0, "{read:?}");
            reader.push(&buffer[..count]);
            while let Ok(Some((message, _))) = reader.next_message() {
                read.push(message);
            }
        }
        assert!(matches!(read[..], [Message::Hello { .. }, Message::Probe { nonce: 3 }]), "{read:?}");
        keeping.abort();
    }
}
