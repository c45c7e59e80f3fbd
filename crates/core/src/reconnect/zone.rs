//! The nodes of one zone, whose attempts share a rate limit.

use std::collections::{BTreeSet, VecDeque};

use reedring::Micros;

use super::token_bucket::TokenBucket;
use super::{LinkId, Queue, SWEEP_FAILURE_RATE, ZONE_RATE};

/// The nodes of one zone, and the limits on attempts to connect to them.
#[derive(Debug)]
pub(super) struct Zone {
    /// All nodes to which a link is kept.
    pub nodes: usize,
    /// Those that are connected.
    pub connected: usize,
    /// Those that are silent.
    pub silent: usize,
    /// Nodes in [`Queue::Unlimited`], by the time at which they are due.
    pub unlimited: BTreeSet<(Micros, LinkId)>,
    /// Nodes in [`Queue::Fresh`], by the time at which they are due.
    pub fresh: BTreeSet<(Micros, LinkId)>,
    /// Nodes in [`Queue::Stale`], by the time at which they are due.
    pub stale: BTreeSet<(Micros, LinkId)>,
    /// Limits the attempts for fresh and stale nodes to [`ZONE_RATE`].
    pub attempt_tokens: TokenBucket,
    /// Whether the next token goes to the node that has been due for longest, fresh or stale, in place of a fresh one.
    pub oldest_next: bool,
    /// The number of the zone's last rate-limited attempt, counted over all zones. The zone with the lowest is served next.
    pub last_limited_attempt: u64,
    /// Nodes that the sweep in progress has not tried yet; empty if there is none.
    pub sweep: VecDeque<LinkId>,
    /// When the next attempt of the sweep is due.
    pub next_sweep_attempt_at: Micros,
    /// Microseconds between two attempts of the sweep.
    pub sweep_interval_us: Micros,
    /// Limits failed attempts of sweeps to [`SWEEP_FAILURE_RATE`]: each attempt takes a token, and each success returns it.
    pub sweep_failures: TokenBucket,
    /// Whether operators were last notified that the zone is rate-limited.
    pub limit_reported: bool,
}

impl Zone {
    /// A zone without nodes.
    pub fn new() -> Self {
        Self {
            nodes: 0,
            connected: 0,
            silent: 0,
            unlimited: BTreeSet::new(),
            fresh: BTreeSet::new(),
            stale: BTreeSet::new(),
            attempt_tokens: TokenBucket::per_second(ZONE_RATE),
            oldest_next: false,
            last_limited_attempt: 0,
            sweep: VecDeque::new(),
            next_sweep_attempt_at: 0,
            sweep_interval_us: 0,
            sweep_failures: TokenBucket::per_second(SWEEP_FAILURE_RATE),
            limit_reported: false,
        }
    }

    /// The nodes in this queue, by the time at which they are due.
    pub fn queue(&mut self, queue: Queue) -> &mut BTreeSet<(Micros, LinkId)> {
        match queue {
            Queue::Unlimited => &mut self.unlimited,
            Queue::Fresh => &mut self.fresh,
            Queue::Stale => &mut self.stale,
        }
    }

    /// The node that waits for a token and is due first, and when it is due.
    pub fn first_due(&self) -> Option<(Micros, LinkId)> {
        self.fresh
            .first()
            .into_iter()
            .chain(self.stale.first())
            .min()
            .copied()
    }

    /// The node to which the next token goes; `None` if no node is due.
    pub fn next_due(&self, now: Micros) -> Option<LinkId> {
        let fresh = self.fresh.first().filter(|_| !self.oldest_next).copied();
        let due = fresh.filter(|(at, _)| *at <= now).or(self.first_due())?;
        (due.0 <= now).then_some(due.1)
    }

    /// Whether the zone may make another attempt of a sweep: it has a token for a failure.
    pub fn may_sweep(&self, now: Micros) -> bool {
        self.sweep_failures.ready_at(self.nodes as u64) <= now
    }
}
