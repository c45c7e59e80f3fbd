//! When to retry a node whose connection ended or could not be made. Each node has its own backoff, and the nodes of a zone
//! (the `hall` of the node list) share a rate limit, so that a zone that is cut off costs little however long that lasts.
//!
//! A node is silent from the end of its connection, or its first failed attempt, until its next handshake. A sweep tries
//! once all silent nodes of a zone that wait for a token.
//!
//! | attempt | when |
//! | --- | --- |
//! | the first to a node that is new, listed again, or at another address | at once |
//! | after a connection ended | 50 ms later, then 100, 200, ... up to 2 s apart: the backoff of the node |
//! | after the node closed the connection during the handshake | by its backoff the first four times, then like the next row |
//! | after no answer (refused, timed out, no handshake) | by its backoff, and once its zone and the placer have a token for it |
//! | after a silent node of the zone connected | within a second, for all silent nodes of the zone: a sweep |
//!
//! The token bucket of a zone holds 64 tokens and is refilled by 6 a second, so that 12 silent nodes of a zone can be tried
//! every 2 s indefinitely. The bucket of the placer holds 256, is refilled by 200 a second, and serves the zones in turn.
//! Every second token of a zone goes to a node with few failed attempts, so that a node that restarts needn't wait for all
//! nodes that stay down; the other tokens go to the node that has been due for longest. So the longest time between two
//! attempts for a node, apart from the connect timeout and a jitter of a quarter, is the greatest of its backoff, the time
//! for 2 attempts for each node of its zone, and the time that its share of the placer's rate takes:
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
//! A zone that becomes reachable again is found sooner: the first of its nodes that connects starts a sweep, and one of them
//! is tried every 170 ms while at most 33 zones are silent. The failed attempts of sweeps have a bucket of their own in each
//! zone, which holds one token for each node and is refilled by 4 a second. So a node that connects and disconnects
//! repeatedly, while others stay down, starts few sweeps.
//!
//! This module reads no clock and no random numbers: the time is passed in, and jitter is computed from the seed.

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

/// The backoff after a connection ended, in microseconds. It is short so that a node that restarts is reconnected quickly.
pub const INITIAL_BACKOFF: Micros = 50_000;
/// The longest backoff of a node, in microseconds. While few nodes of its zone are silent, a node that is reachable again is
/// tried within this time.
pub const MAX_BACKOFF: Micros = 2 * SECOND;
/// Rate-limited attempts per second in each zone. A zone of any size that is reachable again is found within a sixth of a
/// second. Each silent node of a zone of 168 is tried once a minute, the time after which the tasks that it accepted count as
/// lost (`links.lost_after`).
pub const ZONE_RATE: u64 = 6;
/// Rate-limited attempts that a zone may make at once. It suffices for eight nodes that restart together to be retried by
/// their backoff alone until that has reached its maximum.
pub const ZONE_BURST: u64 = 64;
/// Rate-limited attempts per second of the whole placer. A failed attempt costs about 25 us of a core, so these take 0.5% of a
/// core, of a budget of 1.7%.
pub const PLACER_RATE: u64 = 200;
/// Rate-limited attempts that a placer may make at once: the bursts of four zones that fail together.
pub const PLACER_BURST: u64 = 256;
/// The time over which a sweep spreads its attempts, in microseconds.
pub const SWEEP_TIME: Micros = SECOND;
/// Attempts per second of all sweeps together: 5,200 nodes are reconnected within 6 s, and in no second do the attempts take
/// more than 2.5% of a core.
pub const SWEEP_RATE: u64 = 1_000;
/// Attempts that all sweeps together may make at once.
pub const SWEEP_BURST: u64 = 32;
/// Failed sweep attempts per second that a zone may have on average once its bucket for them is empty.
pub const SWEEP_FAILURE_RATE: u64 = 4;
/// A silent node with more failed attempts than this gets no preference any more. By then its backoff has reached
/// [`MAX_BACKOFF`].
const FRESH_ATTEMPTS: u32 = 7;
/// Attempts that no token bucket limits, for a node that closes the connection during the handshake: the node may speak
/// another version of the protocol, which these attempts find out.
const HANDSHAKE_ATTEMPTS: u32 = 4;
/// Operators are notified that a zone is rate-limited if more nodes than this are silent, and that it no longer is once at
/// most half as many are.
const REPORT_SILENT_ABOVE: usize = 12;

/// Identifies a link to a node. A node that gets another address, or is listed again, gets a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(u64);

/// Why an attempt to connect failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// There was no answer: the connection was refused or timed out, or no handshake followed.
    NoAnswer,
    /// The node read the handshake and closed the connection.
    ClosedByNode,
}

/// The queue of its zone that a waiting node is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Queue {
    /// The node waits for its own backoff only.
    Unlimited,
    /// The node waits for a token, and has at most [`FRESH_ATTEMPTS`] failed attempts.
    Fresh,
    /// The node waits for a token, and has more failed attempts.
    Stale,
}

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// An attempt is in progress; `in_sweep` if it is part of a sweep.
    Connecting { in_sweep: bool },
    /// The link is connected.
    Connected,
    /// The next attempt begins at `due` or later, once the limits of its queue allow it.
    Waiting { due: Micros, queue: Queue },
}

/// A node to which a link is kept.
#[derive(Debug)]
struct Node {
    zone: Arc<str>,
    state: State,
    /// Failed attempts since the link was last connected; the end of a connection counts as one.
    failed_attempts: u32,
}

impl Node {
    /// Whether the node has not connected since its connection ended or its first attempt failed.
    fn is_silent(&self) -> bool {
        self.failed_attempts > 0 && self.state != State::Connected
    }
}

/// Determines when each node is tried. The shell reports the result of each attempt, and polls for the attempts that are due.
#[derive(Debug)]
pub struct ReconnectPacing {
    /// The seed of the jitter and of the order of sweeps.
    seed: u64,
    /// The number of the last link that was added.
    last_id: u64,
    /// Rate-limited attempts so far, over all zones.
    limited_attempts: u64,
    nodes: BTreeMap<LinkId, Node>,
    zones: BTreeMap<Arc<str>, Zone>,
    /// Limits the attempts of all zones to [`PLACER_RATE`].
    attempt_tokens: TokenBucket,
    /// Limits the attempts of all sweeps to [`SWEEP_RATE`].
    sweep_tokens: TokenBucket,
    /// Events for operators that the shell has not taken yet.
    events: VecDeque<Event>,
}

impl ReconnectPacing {
    /// Creates the state for one incarnation of a placer. Its number serves as the seed, so that no two placers make their
    /// attempts at the same times.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            last_id: 0,
            limited_attempts: 0,
            nodes: BTreeMap::new(),
            zones: BTreeMap::new(),
            attempt_tokens: TokenBucket::per_second(PLACER_RATE),
            sweep_tokens: TokenBucket::per_second(SWEEP_RATE),
            events: VecDeque::new(),
        }
    }

    /// Adds a link to a node of this zone. Its first attempt begins at once.
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

    /// Removes a link, which gets no more attempts.
    pub fn remove(&mut self, id: LinkId) {
        let Some(node) = self.remove_node(id) else {
            return;
        };
        self.report_if_restored(&node.zone);
    }

    /// Moves a link to another zone. Its state, backoff and queue stay the same there.
    pub fn change_zone(&mut self, id: LinkId, zone: &str) {
        if self.nodes.get(&id).is_none_or(|node| &*node.zone == zone) {
            return;
        }
        let Some(mut node) = self.remove_node(id) else {
            return;
        };
        self.report_if_restored(&node.zone);
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

    /// Records a failed attempt. It is ignored unless an attempt is in progress.
    pub fn attempt_failed(&mut self, now: Micros, id: LinkId, failure: ConnectFailure) {
        let is_attempted = |node: &&mut Node| matches!(node.state, State::Connecting { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(is_attempted) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        zone.silent += usize::from(node.failed_attempts == 0);
        node.failed_attempts = node.failed_attempts.saturating_add(1);
        let queue = match failure {
            ConnectFailure::ClosedByNode if node.failed_attempts <= HANDSHAKE_ATTEMPTS => {
                Queue::Unlimited
            }
            _ if node.failed_attempts <= FRESH_ATTEMPTS => Queue::Fresh,
            _ => Queue::Stale,
        };
        // The first failure of a link that was never connected is followed by the shortest backoff.
        let due = now + backoff(self.seed, id, node.failed_attempts - 1);
        node.state = State::Waiting { due, queue };
        zone.queue(queue).insert((due, id));
    }

    /// Records a completed handshake, unless no attempt is in progress. If the node was silent, or is the only connected one
    /// of its zone, a sweep of the zone begins.
    pub fn connected(&mut self, now: Micros, id: LinkId) {
        let is_attempted = |node: &&mut Node| matches!(node.state, State::Connecting { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(is_attempted) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        if node.state == (State::Connecting { in_sweep: true }) {
            zone.sweep_failures.return_token();
        }
        let starts_sweep = node.failed_attempts > 0 || zone.connected == 0;
        zone.silent -= usize::from(node.failed_attempts > 0);
        zone.connected += 1;
        (node.state, node.failed_attempts) = (State::Connected, 0);
        let zone = node.zone.clone();
        self.report_if_restored(&zone);
        if starts_sweep {
            self.begin_sweep(now, &zone);
        }
    }

    /// Records that a connection ended. It is ignored unless the link is connected.
    pub fn disconnected(&mut self, now: Micros, id: LinkId) {
        let is_connected = |node: &&mut Node| node.state == State::Connected;
        let Some(node) = self.nodes.get_mut(&id).filter(is_connected) else {
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

    /// Begins the attempts that are due now, and returns their links.
    pub fn due(&mut self, now: Micros) -> Vec<LinkId> {
        let mut due = Vec::new();
        self.begin_unlimited(now, &mut due);
        while let Some(id) = self.take_next_of_sweeps(now) {
            self.begin_attempt(now, id, true, &mut due);
        }
        while let Some(id) = self.take_next_limited(now) {
            self.begin_attempt(now, id, false, &mut due);
        }
        due
    }

    /// When [`ReconnectPacing::due`] is to be called next if no result is reported before. `None` if no link waits.
    pub fn next_wake(&self) -> Option<Micros> {
        let next_attempt = |zone: &Zone| {
            let unlimited = zone.unlimited.first().map(|(at, _)| *at);
            let swept = zone.sweep.front().map(|_| {
                zone.next_sweep_attempt_at
                    .max(self.sweep_tokens.ready_at(SWEEP_BURST))
            });
            let token = zone
                .attempt_tokens
                .ready_at(ZONE_BURST)
                .max(self.attempt_tokens.ready_at(PLACER_BURST));
            let limited = zone.first_due().map(|(at, _)| at.max(token));
            [unlimited, swept, limited].into_iter().flatten().min()
        };
        self.zones.values().filter_map(next_attempt).min()
    }

    /// Takes the next event for operators: one when a zone becomes rate-limited, and one when it no longer is.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }
}
