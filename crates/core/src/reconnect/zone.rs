//! The nodes of one zone, which share a rate of attempts.

use std::collections::{BTreeSet, VecDeque};

use reedring::Micros;

use super::token_bucket::TokenBucket;
use super::{LinkId, Queue, SWEEP_WASTE_RATE, ZONE_RATE};

/// The nodes of one zone.
#[derive(Debug)]
pub(super) struct Zone {
    /// Nodes that are wanted, that are connected, and that are silent.
    pub nodes: usize,
    pub connected: usize,
    pub silent: usize,
    pub unpaced: BTreeSet<(Micros, LinkId)>,
    pub fresh: BTreeSet<(Micros, LinkId)>,
    pub stale: BTreeSet<(Micros, LinkId)>,
    pub limited: TokenBucket,
    /// The next token goes to the longest due of all.
    pub oldest_next: bool,
    /// The last limited attempt, counted over all zones.
    pub served: u64,
    pub sweep: VecDeque<LinkId>,
    pub sweep_at: Micros,
    pub sweep_gap: Micros,
    pub waste: TokenBucket,
    pub slow: bool,
}

impl Zone {
    pub fn new() -> Self {
        Self {
            nodes: 0,
            connected: 0,
            silent: 0,
            unpaced: BTreeSet::new(),
            fresh: BTreeSet::new(),
            stale: BTreeSet::new(),
            limited: TokenBucket::per_second(ZONE_RATE),
            oldest_next: false,
            served: 0,
            sweep: VecDeque::new(),
            sweep_at: 0,
            sweep_gap: 0,
            waste: TokenBucket::per_second(SWEEP_WASTE_RATE),
            slow: false,
        }
    }

    pub fn queue(&mut self, queue: Queue) -> &mut BTreeSet<(Micros, LinkId)> {
        match queue {
            Queue::Unpaced => &mut self.unpaced,
            Queue::Fresh => &mut self.fresh,
            Queue::Stale => &mut self.stale,
        }
    }

    /// The node that waits for longest for a token.
    pub fn first_due(&self) -> Option<(Micros, LinkId)> {
        self.fresh
            .first()
            .into_iter()
            .chain(self.stale.first())
            .min()
            .copied()
    }

    /// The node to which the next token goes, if one is due.
    pub fn next_due(&self, now: Micros) -> Option<LinkId> {
        let fresh = self.fresh.first().filter(|_| !self.oldest_next).copied();
        let due = fresh.filter(|(at, _)| *at <= now).or(self.first_due())?;
        (due.0 <= now).then_some(due.1)
    }

    pub fn may_sweep(&self, now: Micros) -> bool {
        self.waste.ready_at(self.nodes as u64) <= now
    }
}
