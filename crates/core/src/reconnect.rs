//! When a node to which a link broke, or could not be made, is tried again: each node backs off by itself, and the
//! nodes of a zone (the `hall` of the list) share a rate, so that a zone that is cut off costs little for as long as
//! it is.
//!
//! | attempt | when |
//! | --- | --- |
//! | the first to a listed, returned or moved node | at once |
//! | after a connection has ended | 50 ms later, then 100, 200, ... up to 2 s apart: the backoff of the node |
//! | after the node was reached and did not answer the handshake | by its backoff, the first four times; then like the next row |
//! | after no answer (refused, timed out, no handshake) | by its backoff, and by a token of its zone and one of the placer |
//! | once a silent node of the zone answers | all silent nodes of the zone within a second: a sweep |
//!
//! A zone's bucket of limited attempts holds 64 tokens and gets 6 a second, so 12 silent nodes of a zone are tried every 2 s
//! for ever. The placer's holds 256 and gets 200 a second, shared by zones in turn. Every second token of a zone goes to
//! a node that has been silent for few attempts, so that one that restarts needn't wait for all that are dead; the other
//! goes to the node that is due for longest. So the longest wait between two attempts of a node, beside the connect
//! timeout and a jitter of a quarter, is the greatest of its backoff, 2 attempts of each node in its zone, and its part of the
//! placer's rate:
//!
//! | silent nodes in the zone | silent zones | each node is tried at least every |
//! | --- | --- | --- |
//! | 1 to 6 | 1 to 33 | 2 s |
//! | 12 | 1 to 33 | 4 s |
//! | 168 | 1 to 33 | 56 s |
//! | 168 | 66 | 112 s |
//! | 650 | 8 | 217 s |
//! | 1,024 | 1 | 342 s |
//!
//! A zone that returns is not waited for that long: any one of its nodes that answers brings the sweep, and one of them is
//! tried every 170 ms while no more than 33 zones are silent. An attempt of a sweep that fails costs its zone's allowance, which
//! holds one for each node and gets 4 a second: a node that comes and goes among dead ones brings few sweeps.
//!
//! Nothing here reads a clock or draws a number: the time is passed in, and jitter comes from the seed.

mod backoff;
mod selection;
mod token_bucket;
mod zone;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use reedring::Micros;

use crate::event::Event;
use backoff::backoff;
use token_bucket::TokenBucket;
use zone::Zone;

const SECOND: Micros = 1_000_000;

/// The wait after a connection has ended, in microseconds: a node that restarts is met within moments.
pub const FIRST_WAIT: Micros = 50_000;
/// The longest backoff of a node, in microseconds: one that returns is met within it while few of its zone are silent.
pub const LAST_WAIT: Micros = 2 * SECOND;
/// Limited attempts a second and zone. A returned zone of any size is met within a sixth of a second, and each silent node of
/// a zone of 168 is tried once a minute, the time after which what it accepted counts as lost (`links.lost_after`).
pub const ZONE_RATE: u64 = 6;
/// Limited attempts that a zone may make at once: eight nodes that restart together go through all their short waits.
pub const ZONE_BURST: u64 = 64;
/// Limited attempts a second of the whole placer. A failed attempt costs about 25 us of a core, so this is 0.5% of one, of a
/// budget of 1.7%.
pub const PLACER_RATE: u64 = 200;
/// Limited attempts that a placer may make at once: four zones that fall together.
pub const PLACER_BURST: u64 = 256;
/// The time over which a sweep spreads the attempts of its zone, in microseconds.
pub const SWEEP_TIME: Micros = SECOND;
/// Attempts a second of all sweeps: 5,200 nodes return within 6 s, and no second costs more than 2.5% of a core.
pub const SWEEP_RATE: u64 = 1_000;
/// Attempts that sweeps may make at once.
pub const SWEEP_BURST: u64 = 32;
/// Attempts of a zone's sweeps that may fail, a second, once its allowance is spent.
pub const SWEEP_WASTE_RATE: u64 = 4;
/// Attempts after which a silent node is one among the dead: as many as its short waits.
const FRESH_ATTEMPTS: u32 = 7;
/// Attempts of a node that was reached and did not answer the handshake which nothing paces: the version of the protocol that it speaks
/// is found out so.
const HANDSHAKE_ATTEMPTS: u32 = 4;
/// A zone is retried slowly while more nodes than this are silent, and no longer once half as many are.
const FEW_SILENT: usize = 12;

/// One wish for a link: a node that is moved, or wanted anew, has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(u64);

/// Why a connection was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody answered: refused, timed out, or connected without a handshake.
    Silent,
    /// The node read the handshake and closed the link.
    Closed,
}

/// Which of its zone's queues a waiting node is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// Nothing but its own backoff is waited for.
    Unpaced,
    /// It fell silent a moment ago.
    Fresh,
    /// It has been silent for longer.
    Stale,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is being tried; `in_sweep` where a sweep's allowance was spent on it.
    Connecting { in_sweep: bool },
    /// It is connected.
    Connected,
    /// It is tried again, not before this time.
    Waiting { due: Micros, queue: Queue },
}

#[derive(Debug)]
struct Node {
    zone: Arc<str>,
    state: State,
    /// Attempts since it was last connected that failed.
    failed_attempts: u32,
}

impl Node {
    fn is_silent(&self) -> bool {
        self.failed_attempts > 0 && self.state != State::Connected
    }
}

/// When each node is tried. The shell tells what became of each attempt, and asks which are due.
#[derive(Debug)]
pub struct ReconnectPacing {
    seed: u64,
    last_id: u64,
    served: u64,
    nodes: BTreeMap<LinkId, Node>,
    zones: BTreeMap<Arc<str>, Zone>,
    limited: TokenBucket,
    sweeps: TokenBucket,
    events: VecDeque<Event>,
}

impl ReconnectPacing {
    /// For one incarnation of a placer, whose number is a good seed: no two placers attempt in step.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            last_id: 0,
            served: 0,
            nodes: BTreeMap::new(),
            zones: BTreeMap::new(),
            limited: TokenBucket::per_second(PLACER_RATE),
            sweeps: TokenBucket::per_second(SWEEP_RATE),
            events: VecDeque::new(),
        }
    }

    /// A link is wanted to a node of this zone, and its first attempt begins.
    pub fn add(&mut self, zone: &str) -> LinkId {
        self.last_id += 1;
        let id = LinkId(self.last_id);
        let zone: Arc<str> = self
            .zones
            .get_key_value(zone)
            .map_or_else(|| zone.into(), |(key, _)| key.clone());
        self.zones
            .entry(zone.clone())
            .or_insert_with(Zone::new)
            .nodes += 1;
        self.nodes.insert(
            id,
            Node {
                zone,
                state: State::Connecting { in_sweep: false },
                failed_attempts: 0,
            },
        );
        id
    }

    /// The link is wanted no more.
    pub fn remove(&mut self, id: LinkId) {
        let Some(node) = self.take_node(id) else {
            return;
        };
        self.resume(&node.zone);
    }

    /// The list names another zone for the node. What it waits for goes on there.
    pub fn change_zone(&mut self, id: LinkId, zone: &str) {
        if self.nodes.get(&id).is_none_or(|node| &*node.zone == zone) {
            return;
        }
        let Some(mut node) = self.take_node(id) else {
            return;
        };
        self.resume(&node.zone);
        node.zone = zone.into();
        let entry = self
            .zones
            .entry(node.zone.clone())
            .or_insert_with(Zone::new);
        entry.nodes += 1;
        entry.connected += usize::from(node.state == State::Connected);
        entry.silent += usize::from(node.is_silent());
        if let State::Waiting { due, queue } = node.state {
            entry.queue(queue).insert((due, id));
        }
        self.nodes.insert(id, node);
    }

    /// An attempt failed.
    pub fn attempt_failed(&mut self, now: Micros, id: LinkId, failure: Failure) {
        let tried = |node: &&mut Node| matches!(node.state, State::Connecting { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(tried) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        zone.silent += usize::from(node.failed_attempts == 0);
        node.failed_attempts = node.failed_attempts.saturating_add(1);
        let queue = match failure {
            Failure::Closed if node.failed_attempts <= HANDSHAKE_ATTEMPTS => Queue::Unpaced,
            _ if node.failed_attempts <= FRESH_ATTEMPTS => Queue::Fresh,
            _ => Queue::Stale,
        };
        // A link that never stood has had its first attempt: that one failed, and the wait after it is the first.
        let due = now + backoff(self.seed, id, node.failed_attempts - 1);
        node.state = State::Waiting { due, queue };
        zone.queue(queue).insert((due, id));
    }

    /// The handshake with the node is done, and its zone answers.
    pub fn connected(&mut self, now: Micros, id: LinkId) {
        let tried = |node: &&mut Node| matches!(node.state, State::Connecting { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(tried) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        if node.state == (State::Connecting { in_sweep: true }) {
            zone.waste.return_token();
        }
        let returned = node.failed_attempts > 0 || zone.connected == 0;
        zone.silent -= usize::from(node.failed_attempts > 0);
        zone.connected += 1;
        (node.state, node.failed_attempts) = (State::Connected, 0);
        let zone = node.zone.clone();
        self.resume(&zone);
        if returned {
            self.sweep(now, &zone);
        }
    }

    /// A connection has ended.
    pub fn disconnected(&mut self, now: Micros, id: LinkId) {
        let stands = |node: &&mut Node| node.state == State::Connected;
        let Some(node) = self.nodes.get_mut(&id).filter(stands) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        let due = now + backoff(self.seed, id, 0);
        zone.connected -= 1;
        zone.silent += 1;
        node.failed_attempts = 1;
        node.state = State::Waiting {
            due,
            queue: Queue::Fresh,
        };
        zone.fresh.insert((due, id));
    }

    /// The nodes that are tried now.
    pub fn due(&mut self, now: Micros) -> Vec<LinkId> {
        let mut due = Vec::new();
        self.due_unpaced(now, &mut due);
        while let Some(id) = self.next_of_sweeps(now) {
            self.begin(now, id, true, &mut due);
        }
        while let Some(id) = self.next_limited(now) {
            self.begin(now, id, false, &mut due);
        }
        due
    }

    /// When [`ReconnectPacing::due`] is to be asked next, if nothing is told before.
    pub fn next_wake(&self) -> Option<Micros> {
        let of_zone = |zone: &Zone| {
            let unpaced = zone.unpaced.first().map(|(at, _)| *at);
            let swept = zone
                .sweep
                .front()
                .map(|_| zone.sweep_at.max(self.sweeps.ready_at(SWEEP_BURST)));
            let token = zone
                .limited
                .ready_at(ZONE_BURST)
                .max(self.limited.ready_at(PLACER_BURST));
            let limited = zone.first_due().map(|(at, _)| at.max(token));
            [unpaced, swept, limited].into_iter().flatten().min()
        };
        self.zones.values().filter_map(of_zone).min()
    }

    /// The next event for operators. A zone whose attempts are limited is told once, and once where they are not.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}
