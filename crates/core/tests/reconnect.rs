//! The pacing of connection attempts to nodes that don't answer, for single nodes, zones and a whole fleet, in
//! simulated time. All times are microseconds.

use std::collections::{BTreeMap, BTreeSet};

use reedring_core::event::Event;
use reedring_core::reconnect::{
    ConnectFailure, INITIAL_BACKOFF, LinkId, MAX_BACKOFF, PLACER_BURST, PLACER_RATE,
    ReconnectPacing, SWEEP_BURST, SWEEP_FAILURE_RATE, SWEEP_RATE, ZONE_BURST, ZONE_RATE,
};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

/// Nodes that answer or not, with a placer's pacing. An attempt to a node that answers takes a millisecond.
struct Fleet {
    now: u64,
    pacing: ReconnectPacing,
    /// The zone of each link.
    zone_of: BTreeMap<LinkId, usize>,
    /// Nodes that answer.
    answering: BTreeSet<LinkId>,
    /// Links that are connected.
    connected_links: BTreeSet<LinkId>,
    /// Microseconds until an attempt to a node that doesn't answer fails.
    failure_time: u64,
    /// Attempts in progress, by the time at which they end.
    in_progress: BTreeSet<(u64, LinkId)>,
    /// Every attempt and the time at which it began.
    attempts: Vec<(u64, LinkId)>,
    /// The events of the pacing and their times.
    events: Vec<(u64, Event)>,
}

impl Fleet {
    /// A fleet with zones of these sizes, whose links are all connected.
    fn connected(zones: &[usize], seed: u64) -> Self {
        let mut pacing = ReconnectPacing::new(seed);
        let mut zone_of = BTreeMap::new();
        for (zone, size) in zones.iter().enumerate() {
            for _ in 0..*size {
                let id = pacing.add(&format!("zone-{zone}"));
                pacing.connected(0, id);
                zone_of.insert(id, zone);
            }
        }
        let answering: BTreeSet<LinkId> = zone_of.keys().copied().collect();
        let (connected_links, in_progress) = (answering.clone(), BTreeSet::new());
        let (attempts, events) = (Vec::new(), Vec::new());
        Self {
            now: SECOND,
            pacing,
            zone_of,
            answering,
            connected_links,
            failure_time: MS,
            in_progress,
            attempts,
            events,
        }
    }

    /// The links of a zone.
    fn links_of_zone(&self, zone: usize) -> Vec<LinkId> {
        self.zone_of
            .iter()
            .filter(|(_, of)| **of == zone)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Makes these nodes silent and ends their links.
    fn disconnect(&mut self, links: &[LinkId]) {
        for id in links {
            self.answering.remove(id);
            if self.connected_links.remove(id) {
                self.pacing.disconnected(self.now, *id);
            }
        }
    }

    /// Makes all nodes of a zone silent and ends their links.
    fn disconnect_zone(&mut self, zone: usize) {
        self.disconnect(&self.links_of_zone(zone));
    }

    /// Makes all nodes of a zone answer again.
    fn answer_zone(&mut self, zone: usize) {
        self.answering.extend(self.links_of_zone(zone));
    }

    /// Goes to the next event, at most to `end`.
    fn step(&mut self, end: u64) {
        let next = self
            .in_progress
            .first()
            .map(|(at, _)| *at)
            .into_iter()
            .chain(self.pacing.next_wake())
            .min();
        self.now = next.unwrap_or(end).clamp(self.now, end);
        while let Some((_, id)) = self
            .in_progress
            .first()
            .copied()
            .filter(|(at, _)| *at <= self.now)
        {
            self.in_progress.pop_first();
            if self.answering.contains(&id) {
                self.connected_links.insert(id);
                self.pacing.connected(self.now, id);
            } else {
                self.pacing
                    .attempt_failed(self.now, id, ConnectFailure::NoAnswer);
            }
        }
        for id in self.pacing.due(self.now) {
            assert!(
                !self.connected_links.contains(&id),
                "an attempt began for a connected link"
            );
            assert!(
                !self.in_progress.iter().any(|(_, of)| *of == id),
                "an attempt began while another one to the same node was in progress"
            );
            self.attempts.push((self.now, id));
            let takes = if self.answering.contains(&id) {
                MS
            } else {
                self.failure_time
            };
            self.in_progress.insert((self.now + takes, id));
        }
        while let Some(event) = self.pacing.next_event() {
            self.events.push((self.now, event));
        }
        assert!(
            self.pacing.next_wake().is_none_or(|at| at > self.now),
            "the next wake is due although everything due has been handled"
        );
    }

    fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.step(end);
        }
    }

    /// Runs until all nodes that answer are connected, and returns the time that took; `None` if it took longer than
    /// `most`.
    fn run_until_connected(&mut self, most: u64) -> Option<u64> {
        let (from, end) = (self.now, self.now + most);
        while self.now < end {
            if self.connected_links == self.answering {
                return Some(self.now - from);
            }
            self.step(end);
        }
        None
    }

    /// The times of all attempts to a node.
    fn attempt_times(&self, id: LinkId) -> Vec<u64> {
        self.attempts
            .iter()
            .filter(|(_, of)| *of == id)
            .map(|(at, _)| *at)
            .collect()
    }

    /// The largest number of attempts to the selected nodes within any second from this time on.
    fn max_attempts_per_second(&self, from: u64, of: impl Fn(LinkId) -> bool) -> usize {
        let times: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(at, id)| *at >= from && of(*id))
            .map(|(at, _)| *at)
            .collect();
        let upto = |at: u64| times.partition_point(|other| *other < at);
        times
            .iter()
            .map(|at| upto(*at + SECOND) - upto(*at))
            .max()
            .unwrap_or(0)
    }
}

/// Whether a wait lies within the jitter of a backoff: up to a quarter shorter.
fn is_within_jitter(wait: u64, whole: u64) -> bool {
    wait > whole - whole / 4 && wait <= whole
}

#[test]
fn a_single_node_is_tried_after_50_ms_and_backs_off_to_2_s() {
    let mut fleet = Fleet::connected(&[168], 1);
    let id = fleet.links_of_zone(0)[7];
    let from = fleet.now;
    fleet.disconnect(&[id]);
    fleet.run(12 * SECOND);
    let mut before = from;
    let attempts = fleet.attempt_times(id);
    for (n, at) in attempts.iter().enumerate() {
        let whole = (INITIAL_BACKOFF << n.min(16)).min(MAX_BACKOFF);
        // Each failed attempt takes a millisecond, after which the backoff starts.
        let took = if n == 0 { 0 } else { MS };
        assert!(
            is_within_jitter(at - before - took, whole),
            "attempt {n} came {} us after the one before",
            at - before
        );
        before = *at;
    }
    assert!(attempts.len() >= 9, "{attempts:?}");
    fleet.answering.insert(id);
    assert!(fleet.run_until_connected(3 * SECOND).unwrap() <= MAX_BACKOFF + 2 * MS);
    assert_eq!(fleet.events, []);
    // After a connection the backoff starts from its initial value.
    let from = fleet.now;
    fleet.disconnect(&[id]);
    fleet.run(60 * MS);
    assert!(is_within_jitter(
        fleet.attempt_times(id).last().unwrap() - from,
        INITIAL_BACKOFF
    ));
}

#[test]
fn the_only_node_of_a_fleet_is_reconnected_within_its_backoff() {
    let mut fleet = Fleet::connected(&[1], 1);
    for _ in 0..40 {
        fleet.disconnect_zone(0);
        fleet.run(300 * MS);
        fleet.answer_zone(0);
        assert!(fleet.run_until_connected(SECOND).unwrap() <= 401 * MS);
    }
}

#[test]
fn eight_nodes_that_restart_together_are_tried_as_often_as_one() {
    let mut fleet = Fleet::connected(&[168], 1);
    let links: Vec<LinkId> = fleet.links_of_zone(0)[..8].to_vec();
    let from = fleet.now;
    fleet.disconnect(&links);
    fleet.run(3 * SECOND);
    for id in &links {
        let within: u64 = 7 * MS + INITIAL_BACKOFF * ((1 << 5) - 1);
        assert!(
            fleet
                .attempt_times(*id)
                .iter()
                .filter(|at| **at <= from + within)
                .count()
                >= 5
        );
    }
}

#[test]
fn attempts_to_a_silent_zone_stay_within_its_rate_whether_refused_or_timed_out() {
    for failure_time in [MS, 10 * SECOND] {
        let mut fleet = Fleet::connected(&[168, 168], 1);
        fleet.failure_time = failure_time;
        fleet.disconnect_zone(0);
        fleet.run(SECOND);
        let first = fleet.attempts.len() as u64;
        assert!(
            first <= ZONE_BURST + ZONE_RATE + 1,
            "{first} attempts in the first second"
        );
        fleet.run(100 * SECOND);
        let more = fleet.attempts.len() as u64 - first;
        assert!(
            more <= ZONE_BURST + 100 * ZONE_RATE + 1,
            "{more} attempts in 100 s"
        );
        assert!(
            more >= 99 * ZONE_RATE / 2,
            "{more} attempts in 100 s, expected at least half of the zone's rate"
        );
        assert!(fleet.attempts.iter().all(|(_, id)| fleet.zone_of[id] == 0));
    }
}

#[test]
fn a_zone_is_reported_once_as_limited_and_once_as_restored() {
    let mut fleet = Fleet::connected(&[168], 1);
    fleet.disconnect_zone(0);
    fleet.run(300 * SECOND);
    fleet.answer_zone(0);
    fleet.run_until_connected(10 * SECOND).unwrap();
    fleet.run(60 * SECOND);
    let zone = "zone-0".to_owned();
    let events: Vec<Event> = fleet
        .events
        .iter()
        .map(|(_, event)| event.clone())
        .collect();
    assert_eq!(
        events,
        [
            Event::ZoneReconnectsLimited {
                zone: zone.clone(),
                silent: 168,
                nodes: 168
            },
            Event::ZoneReconnectsRestored { zone, silent: 6 }
        ]
    );
}

/// Each row is a fleet: its zones, the nodes of each, and the time in seconds within which each node is tried, to which
/// a fifth is added.
#[test]
fn every_silent_node_is_tried_within_the_time_for_its_zone_size() {
    for (zones, size, seconds) in [
        (1, 6, 2),
        (1, 12, 4),
        (33, 168, 56),
        (8, 650, 217),
        (1, 1_024, 342),
    ] {
        let mut fleet = Fleet::connected(&vec![size; zones], 3);
        (0..zones).for_each(|zone| fleet.disconnect_zone(zone));
        // The first 5 s are left out, as there are more attempts while backoffs are short.
        fleet.run(5 * SECOND);
        let from = fleet.now;
        let spare = 2 * seconds * SECOND / 10;
        fleet.run(seconds * SECOND + spare + 3 * SECOND);
        let mut last: BTreeMap<LinkId, u64> = fleet.zone_of.keys().map(|id| (*id, from)).collect();
        for (at, id) in fleet.attempts.iter().filter(|(at, _)| *at >= from) {
            let gap = at - last.insert(*id, *at).unwrap();
            assert!(
                gap <= seconds * SECOND + spare,
                "{zones} zones of {size} nodes: {gap} us between two attempts to a node"
            );
        }
        let waits = last.values().map(|at| fleet.now - at).max().unwrap();
        assert!(
            waits <= seconds * SECOND + spare,
            "{zones} zones of {size} nodes: a node was not tried in the last {waits} us"
        );
    }
}

/// A node whose link breaks as soon as it is connected must neither raise the rate of attempts above its limits nor
/// delay those to the other nodes of its zone.
#[test]
fn a_flapping_node_neither_delays_attempts_to_others_nor_exceeds_the_rates() {
    let mut fleet = Fleet::connected(&[168], 1);
    fleet.disconnect_zone(0);
    fleet.run(60 * SECOND);
    let flapping = fleet.links_of_zone(0)[5];
    fleet.answering.insert(flapping);
    let from = fleet.now;
    let before = fleet.attempts.len();
    while fleet.now < from + 300 * SECOND {
        fleet.step(from + 300 * SECOND);
        if fleet.connected_links.remove(&flapping) {
            fleet.pacing.disconnected(fleet.now, flapping);
        }
    }
    let attempts = (fleet.attempts.len() - before) as u64;
    assert!(
        attempts <= 168 + 300 * (ZONE_RATE + SWEEP_FAILURE_RATE) + ZONE_BURST,
        "{attempts} attempts in 300 s"
    );
    for id in fleet.links_of_zone(0) {
        let mut times = fleet.attempt_times(id);
        times.retain(|at| *at >= from);
        times.push(fleet.now);
        let longest = times
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap_or(u64::MAX);
        assert!(
            longest <= 60 * SECOND,
            "{id:?} was not tried for {longest} us"
        );
    }
}

#[test]
fn a_node_that_answers_causes_a_sweep_of_its_zone_only() {
    let mut fleet = Fleet::connected(&[168, 168], 1);
    fleet.disconnect_zone(0);
    fleet.disconnect_zone(1);
    fleet.run(120 * SECOND);
    let one = fleet.links_of_zone(0)[100];
    fleet.answering.insert(one);
    fleet
        .run_until_connected(60 * SECOND)
        .expect("the node that answers again is connected within a minute");
    let connected_at = fleet.now;
    fleet.run(1_100 * MS);
    let since: Vec<(u64, LinkId)> = fleet
        .attempts
        .iter()
        .copied()
        .filter(|(at, _)| *at >= connected_at)
        .collect();
    let tried: BTreeSet<LinkId> = since.iter().map(|(_, id)| *id).collect();
    assert!(
        fleet
            .links_of_zone(0)
            .iter()
            .all(|id| *id == one || tried.contains(id)),
        "not all nodes of the zone were tried within 1.1 s of the connection at {connected_at} us"
    );
    let others = tried.iter().filter(|id| fleet.zone_of[id] == 1).count() as u64;
    assert!(
        others <= 2 * ZONE_RATE,
        "{others} nodes of the other zone were tried"
    );
    // The attempts of a sweep are spread over its second.
    let most = since
        .iter()
        .filter(|(at, _)| *at < connected_at + 100 * MS)
        .count();
    assert!(
        most < 40,
        "{most} attempts in the first tenth of a second, expected less than 40"
    );
}

#[test]
fn a_zone_that_answers_again_is_connected_in_time() {
    for (size, grace) in [(168, 2 * SECOND), (650, 8 * SECOND), (1_024, 8 * SECOND)] {
        for seed in 0..5 {
            for silent_for in [SECOND, 61 * SECOND, 3_600 * SECOND] {
                let mut fleet = Fleet::connected(&[size, 168], seed);
                fleet.disconnect_zone(0);
                fleet.run(silent_for);
                fleet.answer_zone(0);
                let took = fleet
                    .run_until_connected(60 * SECOND)
                    .expect("the zone is connected again within a minute");
                assert!(
                    took <= grace,
                    "{size} nodes, silent for {silent_for} us, seed {seed}: it took {took} us, at most {grace} us"
                );
            }
        }
    }
}

/// Half of a zone answers again, and the rest a minute later.
#[test]
fn each_half_of_a_zone_is_connected_when_it_answers_again() {
    let mut fleet = Fleet::connected(&[168], 1);
    fleet.disconnect_zone(0);
    fleet.run(600 * SECOND);
    let links = fleet.links_of_zone(0);
    fleet.answering.extend(links.iter().step_by(2));
    assert!(fleet.run_until_connected(60 * SECOND).unwrap() <= 3 * SECOND);
    fleet.run(60 * SECOND);
    fleet.answer_zone(0);
    assert!(fleet.run_until_connected(60 * SECOND).unwrap() <= 3 * SECOND);
}

#[test]
fn a_newly_silent_node_is_tried_before_long_silent_ones() {
    let mut fleet = Fleet::connected(&[168], 1);
    let links = fleet.links_of_zone(0);
    fleet.disconnect(&links[..100]);
    fleet.run(300 * SECOND);
    let from = fleet.now;
    fleet.disconnect(&[links[167]]);
    fleet.run(SECOND);
    let first = fleet.attempt_times(links[167])[0] - from;
    assert!(
        first <= INITIAL_BACKOFF + 2 * SECOND / ZONE_RATE,
        "the first attempt began after {first} us"
    );
}

#[test]
fn first_attempts_to_a_node_that_closes_on_the_handshake_are_not_rate_limited() {
    let mut pacing = ReconnectPacing::new(1);
    let links: Vec<LinkId> = (0..168).map(|_| pacing.add("zone")).collect();
    let (mut now, mut attempts) = (SECOND, 0);
    links
        .iter()
        .for_each(|id| pacing.attempt_failed(now, *id, ConnectFailure::ClosedByNode));
    while now < 2 * SECOND {
        for id in pacing.due(now) {
            attempts += 1;
            pacing.attempt_failed(now, id, ConnectFailure::ClosedByNode);
        }
        now += MS;
    }
    // The first four attempts to each node are not rate-limited; later ones are, as for nodes that don't answer.
    assert!(attempts >= 4 * 168, "{attempts} attempts in a second");
    assert!(
        attempts <= 4 * 168 + ZONE_BURST + 2 * ZONE_RATE,
        "{attempts} attempts in a second"
    );
}

#[test]
fn repeated_or_late_reports_and_those_of_removed_links_change_nothing() {
    let attempts_with_repetition = |twice: bool| {
        let mut pacing = ReconnectPacing::new(1);
        let (one, other, gone) = (pacing.add("zone"), pacing.add("zone"), pacing.add("zone"));
        pacing.remove(gone);
        let mut attempts = Vec::new();
        for round in 0..400_u64 {
            let now = round * 10 * MS;
            for _ in 0..if twice { 2 } else { 1 } {
                match round {
                    0 => pacing.attempt_failed(now, one, ConnectFailure::NoAnswer),
                    1 => pacing.connected(now, other),
                    200 => pacing.disconnected(now, other),
                    _ => {}
                }
                if twice {
                    pacing.remove(gone);
                    pacing.attempt_failed(now, gone, ConnectFailure::NoAnswer);
                    pacing.connected(now, gone);
                    pacing.disconnected(now, gone);
                    pacing.change_zone(gone, "another");
                    pacing.disconnected(now, one);
                    pacing.change_zone(other, "zone");
                }
            }
            for id in pacing.due(now) {
                assert_ne!(id, gone);
                attempts.push((now, id));
                pacing.attempt_failed(now, id, ConnectFailure::NoAnswer);
                if twice {
                    pacing.attempt_failed(now, id, ConnectFailure::NoAnswer);
                    pacing.connected(now, id);
                }
            }
        }
        pacing.remove(one);
        pacing.remove(other);
        assert_eq!(
            pacing.next_wake(),
            None,
            "no link is left, so there is nothing to wake up for"
        );
        attempts
    };
    assert!(attempts_with_repetition(false).len() > 8);
    assert_eq!(
        attempts_with_repetition(false),
        attempts_with_repetition(true)
    );
}

#[test]
fn a_node_with_a_new_address_starts_anew_and_one_in_a_new_zone_keeps_its_state() {
    let mut fleet = Fleet::connected(&[168, 168], 1);
    fleet.disconnect_zone(0);
    fleet.run(600 * SECOND);
    // A node with another address is a new link: its first attempt begins at once, the next after the initial backoff.
    let moved = fleet.links_of_zone(0)[0];
    fleet.pacing.remove(moved);
    let anew = fleet.pacing.add("zone-1");
    let now = fleet.now;
    fleet
        .pacing
        .attempt_failed(now, anew, ConnectFailure::NoAnswer);
    let at = fleet.pacing.next_wake().unwrap();
    assert!(at <= now + INITIAL_BACKOFF, "{} us", at - now);
    // A node that moves to another zone stays silent, and is part of the sweeps of that zone.
    let (rezoned, witness) = (fleet.links_of_zone(0)[9], fleet.links_of_zone(1)[0]);
    fleet.pacing.change_zone(rezoned, "zone-1");
    fleet.zone_of.insert(anew, 1);
    fleet.zone_of.insert(rezoned, 1);
    fleet.disconnect(&[witness]);
    fleet.answering.insert(witness);
    fleet.answering.insert(rezoned);
    let before = fleet.attempts.len();
    fleet.run(2 * SECOND);
    assert!(
        fleet.attempts[before..]
            .iter()
            .any(|(_, id)| *id == rezoned)
    );
    assert!(fleet.connected_links.contains(&rezoned));
}

#[test]
fn attempt_times_differ_between_placers_and_depend_only_on_the_seed() {
    let order = |seed| {
        let mut fleet = Fleet::connected(&[168], seed);
        fleet.disconnect_zone(0);
        fleet.run(20 * SECOND);
        fleet.attempts
    };
    assert_eq!(order(1), order(1));
    let (one, other): (BTreeSet<u64>, BTreeSet<u64>) = (
        order(1).iter().map(|(at, _)| *at).collect(),
        order(2).iter().map(|(at, _)| *at).collect(),
    );
    assert!(one.intersection(&other).count() < one.len() / 2);
}

/// The sizes of the zones of the target fleet: 5,200 nodes in 31 zones.
fn target_zones() -> Vec<usize> {
    (0..31)
        .map(|zone| if zone < 23 { 168 } else { 167 })
        .collect()
}

#[test]
fn an_outage_of_5200_nodes_stays_within_the_rates_and_all_are_reconnected() {
    for seed in 0..2 {
        let mut fleet = Fleet::connected(&target_zones(), seed);
        assert_eq!(fleet.zone_of.len(), 5_200);
        (0..31).for_each(|zone| fleet.disconnect_zone(zone));
        fleet.run(10 * SECOND);
        let first = fleet.max_attempts_per_second(0, |_| true) as u64;
        assert!(
            first <= PLACER_BURST + PLACER_RATE + 1,
            "{first} attempts within one of the first seconds"
        );
        let from = fleet.now;
        fleet.run(600 * SECOND);
        let most = fleet.max_attempts_per_second(from, |_| true) as u64;
        assert!(most <= PLACER_RATE + 1, "{most} attempts a second");
        // After 300 s the token buckets of the zones are empty, so that only their rates count.
        let later = from + 300 * SECOND;
        for zone in 0..31 {
            let most = fleet.max_attempts_per_second(later, |id| fleet.zone_of[&id] == zone) as u64;
            assert!(
                most <= ZONE_RATE + 1,
                "zone {zone}: {most} attempts a second"
            );
        }
        assert_eq!(
            fleet.events.len(),
            31,
            "each zone is reported once as limited"
        );
        let from = fleet.now;
        (0..31).for_each(|zone| fleet.answer_zone(zone));
        let took = fleet
            .run_until_connected(60 * SECOND)
            .expect("all nodes are connected again within a minute");
        assert!(
            took <= 8 * SECOND,
            "the nodes were connected after {took} us"
        );
        let most = fleet.max_attempts_per_second(from, |_| true) as u64;
        assert!(
            most <= SWEEP_RATE + SWEEP_BURST + PLACER_RATE + PLACER_BURST,
            "{most} attempts a second"
        );
        assert_eq!(fleet.events.len(), 62);
    }
}

#[test]
fn one_flapping_node_in_each_of_31_zones_stays_within_the_rates() {
    let mut fleet = Fleet::connected(&target_zones(), 1);
    (0..31).for_each(|zone| fleet.disconnect_zone(zone));
    fleet.run(60 * SECOND);
    let flapping: Vec<LinkId> = (0..31).map(|zone| fleet.links_of_zone(zone)[3]).collect();
    fleet.answering.extend(&flapping);
    // Each connection starts one sweep, which uses the tokens of its zone; from then on the rates limit all attempts.
    let until = fleet.now + 120 * SECOND;
    let (counted_from, mut before) = (fleet.now + 20 * SECOND, 0);
    while fleet.now < until {
        fleet.step(until);
        if fleet.now < counted_from {
            before = fleet.attempts.len();
        }
        for id in &flapping {
            if fleet.connected_links.remove(id) {
                fleet.pacing.disconnected(fleet.now, *id);
            }
        }
    }
    let attempts = &fleet.attempts[before..];
    let failed = attempts
        .iter()
        .filter(|(_, id)| !fleet.answering.contains(id))
        .count() as u64
        / 100;
    assert!(
        failed <= PLACER_RATE + 31 * SWEEP_FAILURE_RATE,
        "{failed} failed attempts a second"
    );
    // At about 25 us each, 400 attempts per second, failed and successful, take 1% of a core.
    assert!(
        attempts.len() <= 100 * 400,
        "{} attempts in 100 s",
        attempts.len()
    );
}
