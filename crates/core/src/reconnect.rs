//! When a node to which a link broke, or could not be made, is tried again: each node backs off by itself, and the
//! nodes of a zone (the `hall` of the list) share a rate, so that a zone that is cut off costs little for as long as
//! it is.
//!
//! | try | when |
//! | --- | --- |
//! | the first to a listed, returned or moved node | at once |
//! | after a link that stood has ended | 50 ms later, then 100, 200, ... up to 2 s apart: the backoff of the node |
//! | after the node was reached and did not greet | by its backoff, the first four times; then like the next row |
//! | after no answer (refused, timed out, no greeting) | by its backoff, and by a token of its zone and one of the placer |
//! | once a silent node of the zone answers | all silent nodes of the zone within a second: a sweep |
//!
//! A zone's bucket of blind tries holds 64 tokens and gets 6 a second, so 12 silent nodes of a zone are tried every 2 s
//! for ever. The placer's holds 256 and gets 200 a second, shared by zones in turn. Every second token of a zone goes to
//! a node that has been silent for few tries, so that one that restarts needn't wait for all that are dead; the other
//! goes to the node that is due for longest. So the longest wait between two tries of a node, beside the connect
//! timeout and a jitter of a quarter, is the greatest of its backoff, 2 tries of each node in its zone, and its part of the
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
//! tried every 170 ms while no more than 33 zones are silent. A try of a sweep that fails costs its zone's allowance, which
//! holds one for each node and gets 4 a second: a node that comes and goes among dead ones brings few sweeps.
//!
//! Nothing here reads a clock or draws a number: the time is passed in, and jitter comes from the seed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use reedring::Micros;

use crate::event::Event;

const SECOND: Micros = 1_000_000;

/// The wait after a link that stood has ended, in microseconds: a node that restarts is met within moments.
pub const FIRST_WAIT: Micros = 50_000;
/// The longest backoff of a node, in microseconds: one that returns is met within it while few of its zone are silent.
pub const LAST_WAIT: Micros = 2 * SECOND;
/// Blind tries a second and zone. A returned zone of any size is met within a sixth of a second, and each silent node of
/// a zone of 168 is tried once a minute, the time after which what it accepted counts as lost (`links.lost_after`).
pub const ZONE_RATE: u64 = 6;
/// Blind tries that a zone may make at once: eight nodes that restart together go through all their short waits.
pub const ZONE_BURST: u64 = 64;
/// Blind tries a second of the whole placer. A failed try costs about 25 us of a core, so this is 0.5% of one, of a
/// budget of 1.7%.
pub const PLACER_RATE: u64 = 200;
/// Blind tries that a placer may make at once: four zones that fall together.
pub const PLACER_BURST: u64 = 256;
/// The time over which a sweep spreads the tries of its zone, in microseconds.
pub const SWEEP_TIME: Micros = SECOND;
/// Tries a second of all sweeps: 5,200 nodes return within 6 s, and no second costs more than 2.5% of a core.
pub const SWEEP_RATE: u64 = 1_000;
/// Tries that sweeps may make at once.
pub const SWEEP_BURST: u64 = 32;
/// Tries of a zone's sweeps that may fail, a second, once its allowance is spent.
pub const SWEEP_WASTE_RATE: u64 = 4;
/// Tries after which a silent node is one among the dead: as many as its short waits.
const FRESH_TRIES: u32 = 7;
/// Tries of a node that was reached and did not greet which nothing paces: the version of the protocol that it speaks
/// is found out so.
const GREETING_TRIES: u32 = 4;
/// A zone is retried slowly while more nodes than this are silent, and no longer once half as many are.
const FEW: usize = 12;

/// One wish for a link: a node that is moved, or wanted anew, has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(u64);

/// Why a link never stood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nobody answered: refused, timed out, or connected without a greeting.
    Silent,
    /// The node read the greeting and closed the link.
    Closed,
}

/// A token bucket, as the time at which it will be full again.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Microseconds a token.
    each: Micros,
    full_at: Micros,
}

impl Bucket {
    const fn a_second(rate: u64) -> Self {
        Self {
            each: SECOND / rate,
            full_at: 0,
        }
    }

    /// When a bucket of this size has a token.
    fn ready_at(&self, size: u64) -> Micros {
        self.full_at
            .saturating_sub(size.saturating_sub(1) * self.each)
    }

    fn take(&mut self, now: Micros) {
        self.full_at = self.full_at.max(now) + self.each;
    }

    fn give_back(&mut self) {
        self.full_at = self.full_at.saturating_sub(self.each);
    }
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
    /// It is being tried; `swept` where a sweep's allowance was spent on it.
    Trying { swept: bool },
    /// Its link stands.
    Stands,
    /// It is tried again, not before this time.
    Waits { due: Micros, queue: Queue },
}

#[derive(Debug)]
struct Node {
    zone: Arc<str>,
    state: State,
    /// Tries since the link stood last that failed.
    failed: u32,
}

impl Node {
    fn is_silent(&self) -> bool {
        self.failed > 0 && self.state != State::Stands
    }
}

#[derive(Debug)]
struct Zone {
    /// Nodes that are wanted, that stand, and that are silent.
    nodes: usize,
    standing: usize,
    silent: usize,
    unpaced: BTreeSet<(Micros, LinkId)>,
    fresh: BTreeSet<(Micros, LinkId)>,
    stale: BTreeSet<(Micros, LinkId)>,
    blind: Bucket,
    /// The next token goes to the longest due of all.
    oldest_next: bool,
    /// The last blind try, counted over all zones.
    served: u64,
    sweep: VecDeque<LinkId>,
    sweep_at: Micros,
    sweep_gap: Micros,
    waste: Bucket,
    slow: bool,
}

impl Zone {
    fn new() -> Self {
        Self {
            nodes: 0,
            standing: 0,
            silent: 0,
            unpaced: BTreeSet::new(),
            fresh: BTreeSet::new(),
            stale: BTreeSet::new(),
            blind: Bucket::a_second(ZONE_RATE),
            oldest_next: false,
            served: 0,
            sweep: VecDeque::new(),
            sweep_at: 0,
            sweep_gap: 0,
            waste: Bucket::a_second(SWEEP_WASTE_RATE),
            slow: false,
        }
    }

    fn queue(&mut self, queue: Queue) -> &mut BTreeSet<(Micros, LinkId)> {
        match queue {
            Queue::Unpaced => &mut self.unpaced,
            Queue::Fresh => &mut self.fresh,
            Queue::Stale => &mut self.stale,
        }
    }

    /// The node that waits for longest for a token.
    fn first_due(&self) -> Option<(Micros, LinkId)> {
        self.fresh
            .first()
            .into_iter()
            .chain(self.stale.first())
            .min()
            .copied()
    }

    /// The node to which the next token goes, if one is due.
    fn next_due(&self, now: Micros) -> Option<LinkId> {
        let fresh = self.fresh.first().filter(|_| !self.oldest_next).copied();
        let due = fresh.filter(|(at, _)| *at <= now).or(self.first_due())?;
        (due.0 <= now).then_some(due.1)
    }

    fn may_sweep(&self, now: Micros) -> bool {
        self.waste.ready_at(self.nodes as u64) <= now
    }
}

/// When each node is tried. The shell tells what became of each try, and asks which are due.
#[derive(Debug)]
pub struct ReconnectPacing {
    seed: u64,
    last_id: u64,
    served: u64,
    nodes: BTreeMap<LinkId, Node>,
    zones: BTreeMap<Arc<str>, Zone>,
    blind: Bucket,
    sweeps: Bucket,
    events: VecDeque<Event>,
}

impl ReconnectPacing {
    /// For one life of a placer, whose number is a good seed: no two placers try in step.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            last_id: 0,
            served: 0,
            nodes: BTreeMap::new(),
            zones: BTreeMap::new(),
            blind: Bucket::a_second(PLACER_RATE),
            sweeps: Bucket::a_second(SWEEP_RATE),
            events: VecDeque::new(),
        }
    }

    /// A link is wanted to a node of this zone, and its first try begins.
    pub fn wanted(&mut self, zone: &str) -> LinkId {
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
                state: State::Trying { swept: false },
                failed: 0,
            },
        );
        id
    }

    /// The link is wanted no more.
    pub fn left(&mut self, id: LinkId) {
        let Some(node) = self.take_out(id) else {
            return;
        };
        self.resume(&node.zone);
    }

    /// The list names another zone for the node. What it waits for goes on there.
    pub fn moved_zone(&mut self, id: LinkId, zone: &str) {
        if self.nodes.get(&id).is_none_or(|node| &*node.zone == zone) {
            return;
        }
        let Some(mut node) = self.take_out(id) else {
            return;
        };
        self.resume(&node.zone);
        node.zone = zone.into();
        let entry = self
            .zones
            .entry(node.zone.clone())
            .or_insert_with(Zone::new);
        entry.nodes += 1;
        entry.standing += usize::from(node.state == State::Stands);
        entry.silent += usize::from(node.is_silent());
        if let State::Waits { due, queue } = node.state {
            entry.queue(queue).insert((due, id));
        }
        self.nodes.insert(id, node);
    }

    /// A try failed.
    pub fn failed(&mut self, now: Micros, id: LinkId, failure: Failure) {
        let tried = |node: &&mut Node| matches!(node.state, State::Trying { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(tried) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        zone.silent += usize::from(node.failed == 0);
        node.failed = node.failed.saturating_add(1);
        let queue = match failure {
            Failure::Closed if node.failed <= GREETING_TRIES => Queue::Unpaced,
            _ if node.failed <= FRESH_TRIES => Queue::Fresh,
            _ => Queue::Stale,
        };
        // A link that never stood has had its first try: that one failed, and the wait after it is the first.
        let due = now + backoff(self.seed, id, node.failed - 1);
        node.state = State::Waits { due, queue };
        zone.queue(queue).insert((due, id));
    }

    /// The node greeted: its link stands, and its zone answers.
    pub fn stood(&mut self, now: Micros, id: LinkId) {
        let tried = |node: &&mut Node| matches!(node.state, State::Trying { .. });
        let Some(node) = self.nodes.get_mut(&id).filter(tried) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        if node.state == (State::Trying { swept: true }) {
            zone.waste.give_back();
        }
        let returned = node.failed > 0 || zone.standing == 0;
        zone.silent -= usize::from(node.failed > 0);
        zone.standing += 1;
        (node.state, node.failed) = (State::Stands, 0);
        let zone = node.zone.clone();
        self.resume(&zone);
        if returned {
            self.sweep(now, &zone);
        }
    }

    /// A link that stood has ended.
    pub fn ended(&mut self, now: Micros, id: LinkId) {
        let stands = |node: &&mut Node| node.state == State::Stands;
        let Some(node) = self.nodes.get_mut(&id).filter(stands) else {
            return;
        };
        let Some(zone) = self.zones.get_mut(&node.zone) else {
            return;
        };
        let due = now + backoff(self.seed, id, 0);
        zone.standing -= 1;
        zone.silent += 1;
        node.failed = 1;
        node.state = State::Waits {
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
        while let Some(id) = self.next_blind(now) {
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
                .blind
                .ready_at(ZONE_BURST)
                .max(self.blind.ready_at(PLACER_BURST));
            let blind = zone.first_due().map(|(at, _)| at.max(token));
            [unpaced, swept, blind].into_iter().flatten().min()
        };
        self.zones.values().filter_map(of_zone).min()
    }

    /// The next event for operators. A zone whose attempts are limited is told once, and once where they are not.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn due_unpaced(&mut self, now: Micros, due: &mut Vec<LinkId>) {
        let is_due = |(at, _): &&(Micros, LinkId)| *at <= now;
        let ids: Vec<LinkId> = self
            .zones
            .values()
            .flat_map(|zone| zone.unpaced.iter().take_while(is_due))
            .map(|(_, id)| *id)
            .collect();
        for id in ids {
            self.begin(now, id, false, due);
        }
    }

    /// A node whose turn it is in a sweep, zones that were swept least lately first.
    fn next_of_sweeps(&mut self, now: Micros) -> Option<LinkId> {
        if self.sweeps.ready_at(SWEEP_BURST) > now {
            return None;
        }
        loop {
            let swept = self
                .zones
                .values_mut()
                .filter(|zone| !zone.sweep.is_empty() && zone.sweep_at <= now);
            let zone = swept.min_by_key(|zone| zone.sweep_at)?;
            if !zone.may_sweep(now) {
                zone.sweep.clear();
                continue;
            }
            let id = zone.sweep.pop_front()?;
            let waits = self
                .nodes
                .get(&id)
                .is_some_and(|node| matches!(node.state, State::Waits { .. }));
            if waits {
                zone.sweep_at += zone.sweep_gap;
                zone.waste.take(now);
                self.sweeps.take(now);
                return Some(id);
            }
        }
    }

    /// A silent node whose turn it is to be tried, zones that were served least lately first.
    fn next_blind(&mut self, now: Micros) -> Option<LinkId> {
        let mut held_up = Vec::new();
        let mut chosen: Option<(u64, Arc<str>, LinkId)> = None;
        for (name, zone) in &mut self.zones {
            let Some(id) = zone.next_due(now) else {
                continue;
            };
            if zone.blind.ready_at(ZONE_BURST) > now {
                if zone.silent > FEW && !std::mem::replace(&mut zone.slow, true) {
                    held_up.push(Event::ZoneReconnectsLimited {
                        zone: name.to_string(),
                        silent: zone.silent,
                        nodes: zone.nodes,
                    });
                }
            } else if chosen
                .as_ref()
                .is_none_or(|(served, ..)| zone.served < *served)
            {
                chosen = Some((zone.served, name.clone(), id));
            }
        }
        self.events.extend(held_up);
        let (_, name, id) = chosen.filter(|_| self.blind.ready_at(PLACER_BURST) <= now)?;
        self.served += 1;
        let zone = self.zones.get_mut(&name)?;
        zone.served = self.served;
        zone.oldest_next = !zone.oldest_next;
        zone.blind.take(now);
        self.blind.take(now);
        Some(id)
    }

    fn begin(&mut self, now: Micros, id: LinkId, swept: bool, due: &mut Vec<LinkId>) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if let (State::Waits { due, queue }, Some(zone)) =
            (node.state, self.zones.get_mut(&node.zone))
        {
            debug_assert!(swept || due <= now);
            zone.queue(queue).remove(&(due, id));
        }
        node.state = State::Trying { swept };
        due.push(id);
    }

    /// All silent nodes of a zone are tried once, in an order of this placer's own.
    fn sweep(&mut self, now: Micros, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if !zone.sweep.is_empty() || !zone.may_sweep(now) {
            return;
        }
        let waiting = zone.fresh.iter().chain(&zone.stale).map(|(_, id)| *id);
        let mut order: Vec<LinkId> = waiting.collect();
        order.sort_by_key(|id| mix(self.seed ^ id.0));
        zone.sweep_gap = SWEEP_TIME / (order.len() as u64).max(1);
        zone.sweep_at = now;
        zone.sweep = order.into();
    }

    /// Tells the staff where a zone has few silent nodes again.
    fn resume(&mut self, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if zone.slow && zone.silent <= FEW / 2 {
            zone.slow = false;
            self.events.push_back(Event::ZoneReconnectsRestored {
                zone: name.to_string(),
                silent: zone.silent,
            });
        }
    }

    fn take_out(&mut self, id: LinkId) -> Option<Node> {
        let node = self.nodes.remove(&id)?;
        let zone = self.zones.get_mut(&node.zone)?;
        if let State::Waits { due, queue } = node.state {
            zone.queue(queue).remove(&(due, id));
        }
        zone.nodes -= 1;
        zone.standing -= usize::from(node.state == State::Stands);
        zone.silent -= usize::from(node.is_silent());
        if zone.nodes == 0 {
            self.zones.remove(&node.zone);
        }
        Some(node)
    }
}

/// The wait before the next try: doubled with each one, up to a quarter shorter, by the seed.
fn backoff(seed: u64, id: LinkId, waits: u32) -> Micros {
    let whole = FIRST_WAIT.saturating_mul(1 << waits.min(16)).min(LAST_WAIT);
    let jitter = mix(seed ^ mix(id.0) ^ u64::from(waits)) % (whole / 4);
    whole - jitter
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
