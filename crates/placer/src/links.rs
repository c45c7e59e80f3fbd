//! Links to nodes: one task each, which connects, greets, and connects again when the link breaks.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};

use reedring_audit::Event;
use reedring_core::Input;
use reedring_core::reconnect::{Failure, LinkId};
use reedring_node_protocol::{AttemptId, ConfigRequest, Message, Reader, Traffic, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clients::Came;
use crate::pacing::{Pacer, Turns};
use crate::run::Shared;

/// Messages that wait for a node which does not read; one more, and the link is cut.
const QUEUE: usize = 65_536;
/// Messages that are written, or found void, at a time.
const WRITE_BATCH: usize = 256;

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
        Self {
            why,
            closed_on: false,
        }
    }
}

/// A message, and the number of the link that the core meant it for.
type Meant = (u64, Message);

struct Link {
    id: LinkId,
    address: SocketAddr,
    zone: String,
    /// The last link that the core was told of; 0 before the first.
    up: u64,
    out: mpsc::Sender<Meant>,
    task: JoinHandle<()>,
}

/// The links that the core wants kept.
pub(crate) struct Links {
    all: BTreeMap<String, Link>,
    /// Links made to each node, over all its tasks.
    made: BTreeMap<String, u64>,
    pacer: Arc<Pacer>,
}

impl Links {
    /// Of a placer that has none yet. It is called within the placer's runtime.
    pub fn new(shared: &Shared) -> Self {
        let pacer = Pacer::new(&shared.name, shared.life);
        tokio::spawn(Arc::clone(&pacer).run());
        Self {
            all: BTreeMap::new(),
            made: BTreeMap::new(),
            pacer,
        }
    }

    pub fn connect(
        &mut self,
        node: String,
        place: (SocketAddr, String),
        shared: &Arc<Shared>,
        came: &mpsc::Sender<Came>,
    ) {
        self.keep(node, place, shared, came, None);
    }

    /// A node is in another zone; its link stays.
    pub fn move_zone(&mut self, node: &str, zone: String) {
        if let Some(link) = self.all.get_mut(node) {
            self.pacer.moved_zone(link.id, &zone);
            link.zone = zone;
        }
    }

    /// Keeps a link from now on, in place of the one before; the core hears `first` before all of it.
    fn keep(
        &mut self,
        node: String,
        (address, zone): (SocketAddr, String),
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
        let turns = self.pacer.wanted(&zone);
        let id = turns.id();
        let traffic = shared.traffic.as_ref().map(|peers| peers.of(&node));
        let node_name = node.clone();
        let keeper = Keeper {
            node: node_name,
            address,
            number: *number,
            shared,
            came,
            turns,
            old: None,
            traffic,
        };
        let task = tokio::spawn(async move {
            if let Some(first) = first {
                let _ = keeper.came.send(first).await;
            }
            keeper.keep(messages).await;
        });
        self.all.insert(
            node,
            Link {
                id,
                address,
                zone,
                up: 0,
                out,
                task,
            },
        );
    }

    pub fn disconnect(&mut self, node: &str) {
        if let Some(link) = self.all.remove(node) {
            link.task.abort();
            self.pacer.left(link.id);
        }
    }

    /// The core is told now that this link stands: what it sends from here on is meant for it.
    pub fn stands(&mut self, node: &str, number: u64) {
        if let Some(link) = self.all.get_mut(node) {
            link.up = number;
        }
    }

    pub fn send(
        &mut self,
        node: &str,
        message: Message,
        shared: &Arc<Shared>,
        came: &mpsc::Sender<Came>,
    ) {
        let Some(link) = self.all.get(node) else {
            return;
        };
        if link.out.try_send((link.up, message)).is_ok() {
            return;
        }
        let (node, place) = (node.to_owned(), (link.address, link.zone.clone()));
        let why = format!("it reads nothing, {QUEUE} messages wait; the link is cut");
        let down = Came::Input(Input::LinkDown {
            node: node.clone(),
            why,
        });
        self.keep(node, place, shared, came, Some(down));
    }
}

struct Keeper {
    node: String,
    address: SocketAddr,
    number: u64,
    shared: Arc<Shared>,
    came: mpsc::Sender<Came>,
    /// When it may try.
    turns: Turns,
    /// The life of the node in which it was shown that it speaks version 1 alone.
    old: Option<u64>,
    /// Counters of this node's messages.
    traffic: Option<Arc<Traffic>>,
}

impl Keeper {
    async fn keep(mut self, mut messages: mpsc::Receiver<Meant>) {
        // Greetings in version 2 that were closed on without a word: a node that speaks version 1 alone does so.
        let mut closed_on = 0;
        loop {
            self.number += 1;
            let plain = closed_on >= CLOSED_ON;
            let (why, failure) = match self.link(&mut messages, plain).await {
                Ok(why) => {
                    // The node may be another program by the next time.
                    closed_on = 0;
                    (why, None)
                }
                Err(End {
                    why,
                    closed_on: true,
                }) if !plain => {
                    closed_on += 1;
                    (why, Some(Failure::Closed))
                }
                Err(End {
                    why,
                    closed_on: true,
                }) => {
                    // It closed on what only version 2 has, or it knows plans: the next greeting finds out.
                    closed_on = if self.old.is_some() { CLOSED_ON } else { 0 };
                    (why, Some(Failure::Closed))
                }
                Err(End { why, .. }) => (why, Some(Failure::Silent)),
            };
            self.shared
                .record_link(Event::LinkDown, &self.node, self.number, why.as_bytes());
            let down = Input::LinkDown {
                node: self.node.clone(),
                why,
            };
            if self.came.send(Came::Input(down)).await.is_err() {
                return;
            }
            let turn = async {
                match failure {
                    None => self.turns.after_end().await,
                    Some(failure) => self.turns.after_failure(failure).await,
                }
            };
            self.void_until(turn, &mut messages).await;
        }
    }

    /// Waits for the next try. No link stands meanwhile, so whatever is to be sent was meant for one that has ended.
    async fn void_until(
        &self,
        turn: impl Future<Output = ()>,
        messages: &mut mpsc::Receiver<Meant>,
    ) {
        tokio::pin!(turn);
        let mut void = Vec::new();
        loop {
            tokio::select! {
                () = &mut turn => return,
                received = messages.recv_many(&mut void, WRITE_BATCH) => {
                    if received == 0 {
                        return turn.await;
                    }
                    self.tell_unwritten(void.drain(..)).await;
                }
            }
        }
    }

    /// Tells the core which offers are never written.
    async fn tell_unwritten(&self, void: impl Iterator<Item = Meant>) {
        let offered = |(_, message): Meant| match message {
            Message::Offer { attempt, .. } => Some(attempt),
            _ => None,
        };
        let attempts: Vec<AttemptId> = void.filter_map(offered).collect();
        if !attempts.is_empty() {
            // Where nobody listens the placer ends, and the next send says so.
            let _ = self
                .came
                .send(Came::Input(Input::Unwritten(attempts)))
                .await;
        }
    }

    /// One link from its start to its end: why it ended, or why it never stood.
    async fn link(
        &mut self,
        messages: &mut mpsc::Receiver<Meant>,
        plain: bool,
    ) -> Result<String, End> {
        let limit = self.shared.connect_timeout;
        let connect = tokio::time::timeout(limit, TcpStream::connect(self.address)).await;
        let stream = connect.map_err(|_| "no connection in time".to_owned())?;
        let stream = stream.map_err(|error| format!("no connection: {error}"))?;
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.into_split();
        let shared = &self.shared;
        let acts = if plain {
            None
        } else {
            *shared.acts.lock().unwrap_or_else(PoisonError::into_inner)
        };
        let acts = acts.map(|stamp| (stamp, reedring_core::BUILD.to_owned()));
        let told = acts.is_some();
        let hello = Message::Hello {
            placer: shared.name.clone(),
            life: shared.life,
            link: self.number,
            acts,
        };
        self.write(&mut write, &[hello])
            .await
            .map_err(|error| format!("no greeting: {error}"))?;
        let mut reader = Reader::default();
        let greeting = tokio::time::timeout(limit, self.greeted(&mut read, &mut reader)).await;
        let up = greeting.map_err(|_| "no greeting in time".to_owned())?;
        let up = up.map_err(|why| End {
            closed_on: told && why == UNGREETED,
            why,
        })?;
        // Links are cut for many reasons: that a node knows no plans is believed once a question shows it.
        if let Input::LinkUp {
            life, record: None, ..
        } = &up
            && plain
            && self.old != Some(*life)
        {
            let life = *life;
            let asked = self.knows_plans(&mut read, &mut write, &mut reader);
            let knows = tokio::time::timeout(limit, asked)
                .await
                .map_err(|_| "no answer in time".to_owned())?;
            self.old = (!knows).then_some(life);
            let why = if knows {
                "it knows plans"
            } else {
                "it speaks version 1 alone"
            };
            return Err(End {
                why: why.to_owned(),
                closed_on: true,
            });
        }
        self.turns.stood();
        let up = Came::LinkUp(self.number, up);
        self.came
            .send(up)
            .await
            .map_err(|_| "the placer ends".to_owned())?;
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
        let stamp = self
            .shared
            .acts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .unwrap_or_default();
        if self
            .write(
                write,
                &[Message::ConfigRequest(ConfigRequest::Query { stamp })],
            )
            .await
            .is_err()
        {
            return false;
        }
        let mut buffer = vec![0; 64 * 1024];
        loop {
            match reader.next_message() {
                Ok(Some((message, bytes))) => {
                    self.count_read(&message, bytes.len());
                    if matches!(message, Message::AcceptorReport(_)) {
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
    async fn greeted(
        &self,
        read: &mut OwnedReadHalf,
        reader: &mut Reader,
    ) -> Result<Input, String> {
        loop {
            match reader.next_message() {
                Ok(Some((message, bytes))) => {
                    self.shared
                        .record_link(Event::FromNode, &self.node, self.number, bytes);
                    self.count_read(&message, bytes.len());
                    let Message::Welcome {
                        node: called,
                        life,
                        up_ms,
                        can_suspend,
                        record,
                    } = message
                    else {
                        return Err("it did not greet".to_owned());
                    };
                    let node = self.node.clone();
                    return Ok(Input::LinkUp {
                        node,
                        called,
                        life,
                        up_ms,
                        can_suspend,
                        record,
                    });
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
                        self.shared
                            .record_link(Event::FromNode, &self.node, self.number, bytes);
                        self.count_read(&message, bytes.len());
                        let input = Input::Message {
                            node: self.node.clone(),
                            message,
                        };
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

    async fn writes(
        &self,
        write: &mut OwnedWriteHalf,
        messages: &mut mpsc::Receiver<Meant>,
    ) -> String {
        let mut batch = Vec::new();
        while messages.recv_many(&mut batch, WRITE_BATCH).await > 0 {
            // What the core meant for an older link is void, also where it hears late that this one stands: an
            // offer among it would reach the node after it has told what it holds, and count as never sent.
            let (meant, void): (Vec<Meant>, Vec<Meant>) = batch
                .drain(..)
                .partition(|(number, _)| *number == self.number);
            self.tell_unwritten(void.into_iter()).await;
            let meant: Vec<Message> = meant.into_iter().map(|(_, message)| message).collect();
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
            self.shared
                .record_link(Event::ToNode, &self.node, self.number, &frame);
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
    use std::time::Duration;

    use super::*;

    /// The task of a link to a node, whose last link had number 4.
    fn keeper_of(listener: &tokio::net::TcpListener, came: mpsc::Sender<Came>) -> Keeper {
        Keeper {
            node: "n".into(),
            address: listener.local_addr().unwrap(),
            number: 4,
            shared: Arc::new(Shared::for_tests()),
            came,
            turns: Pacer::new("p", 1).wanted(""),
            old: None,
            traffic: None,
        }
    }

    /// A core behind a backlog sends on for an older link after the newer one has told what its node holds.
    #[tokio::test]
    async fn what_was_meant_for_an_older_link_is_not_written_to_a_newer_one() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (came, mut coming) = mpsc::channel(8);
        let keeper = keeper_of(&listener, came);
        let (out, messages) = mpsc::channel(8);
        out.send((4, Message::Probe { nonce: 1 })).await.unwrap();
        let keeping = tokio::spawn(keeper.keep(messages));
        let (mut node, _) = listener.accept().await.unwrap();
        let welcome = Message::Welcome {
            node: "n".into(),
            life: 1,
            up_ms: 0,
            can_suspend: false,
            record: None,
        };
        node.write_all(&encode(&welcome)).await.unwrap();
        let Some(Came::LinkUp(number, _)) = coming.recv().await else {
            panic!("no link")
        };
        out.send((4, Message::Probe { nonce: 2 })).await.unwrap();
        out.send((number, Message::Probe { nonce: 3 }))
            .await
            .unwrap();
        let (mut reader, mut buffer, mut read) = (Reader::default(), [0; 256], Vec::new());
        while read.len() < 2 {
            let count = node.read(&mut buffer).await.unwrap();
            assert!(count > 0, "{read:?}");
            reader.push(&buffer[..count]);
            while let Ok(Some((message, _))) = reader.next_message() {
                read.push(message);
            }
        }
        assert!(
            matches!(
                read[..],
                [Message::Hello { .. }, Message::Probe { nonce: 3 }]
            ),
            "{read:?}"
        );
        keeping.abort();
    }

    fn offer(request: u64) -> (AttemptId, Message) {
        let attempt = AttemptId {
            life: 1,
            request,
            number: 0,
        };
        (
            attempt,
            Message::Offer {
                attempt,
                task: Box::default(),
                within_ms: 0,
                stamp: None,
            },
        )
    }

    /// Such a copy does not stand, and the core must not count it for longer than it takes to hear so.
    #[tokio::test]
    async fn offers_that_are_never_written_are_told_to_the_core() {
        for reachable in [true, false] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let (came, mut coming) = mpsc::channel(8);
            let keeper = keeper_of(&listener, came);
            let (out, messages) = mpsc::channel(8);
            let (attempt, offer) = offer(1);
            out.send((4, offer)).await.unwrap();
            out.send((4, Message::Probe { nonce: 1 })).await.unwrap();
            // Either the next link stands and finds what was meant for the one before, or none can be made.
            let listener = reachable.then_some(listener);
            let keeping = tokio::spawn(keeper.keep(messages));
            let mut node = None;
            if let Some(listener) = &listener {
                let (stream, _) = listener.accept().await.unwrap();
                let welcome = Message::Welcome {
                    node: "n".into(),
                    life: 1,
                    up_ms: 0,
                    can_suspend: false,
                    record: None,
                };
                node.insert(stream)
                    .write_all(&encode(&welcome))
                    .await
                    .unwrap();
            }
            let first = coming.recv().await;
            assert_eq!(matches!(first, Some(Came::LinkUp(..))), reachable);
            let told = tokio::time::timeout(Duration::from_secs(10), coming.recv()).await;
            let Ok(Some(Came::Input(Input::Unwritten(attempts)))) = told else {
                panic!("not told")
            };
            assert_eq!(attempts, [attempt]);
            keeping.abort();
        }
    }

    /// Answers every greeting, for as long as it is kept.
    async fn greet_all(listener: tokio::net::TcpListener) {
        let mut kept = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let welcome = Message::Welcome {
                node: "n".into(),
                life: 1,
                up_ms: 0,
                can_suspend: false,
                record: None,
            };
            stream.write_all(&encode(&welcome)).await.unwrap();
            kept.push(stream);
        }
    }

    /// What came until a moment: links that stand, and failures.
    async fn until(coming: &mut mpsc::Receiver<Came>, at: tokio::time::Instant) -> (usize, usize) {
        let (mut up, mut down) = (0, 0);
        while let Ok(Some(came)) = tokio::time::timeout_at(at, coming.recv()).await {
            match came {
                Came::LinkUp(..) => up += 1,
                Came::Input(Input::LinkDown { .. }) => down += 1,
                _ => {}
            }
        }
        (up, down)
    }

    /// A hundred nodes of a zone behind one address, which refuses connections and then no longer does.
    #[tokio::test]
    async fn a_zone_that_is_cut_off_is_tried_at_its_own_rate_and_heard_as_soon_as_it_returns() {
        use reedring_core::reconnect::{ZONE_BURST, ZONE_RATE};
        const NODES: usize = 100;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let (came, mut coming) = mpsc::channel(1_024);
        let shared = Arc::new(Shared::for_tests());
        let mut links = Links::new(&shared);
        let began = tokio::time::Instant::now();
        for n in 0..NODES {
            links.connect(
                format!("node-{n}"),
                (address, "hall".to_owned()),
                &shared,
                &came,
            );
        }
        let (up, down) = until(&mut coming, began + Duration::from_secs(3)).await;
        assert_eq!(up, 0);
        let most = NODES + (ZONE_BURST + 3 * ZONE_RATE) as usize + 1;
        assert!(
            (NODES + 30..=most).contains(&down),
            "{down} tries, {most} at most"
        );
        // One that is wanted by nobody any more is not tried.
        links.disconnect("node-0");
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        let greeting = tokio::spawn(greet_all(listener));
        let (up, _) = until(
            &mut coming,
            tokio::time::Instant::now() + Duration::from_secs(2),
        )
        .await;
        assert_eq!(up, NODES - 1, "all others are heard within 2 s");
        greeting.abort();
    }
}
