//! The read lease of a placer: how long it may apply the configuration that it read from a majority of the voters.
//!
//! A placer may dispatch while the last answers of a majority of the voters are no older than the lease. After that, a
//! newer configuration may have been committed that the placer has not read, so it is suspended until a majority
//! answers. [`ReadLease`] records the answers; [`lease_state`] derives from them what the placer may do.

mod active;
mod state;
mod suspend_reason;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::cluster::ClusterView;
use crate::membership::NodeNumber;

pub use active::{ActiveConfig, ActiveVersion};
pub use state::{LeaseInputs, LeaseState, LocalConfig, Usability, lease_state};
pub use suspend_reason::SuspendReason;

/// Whether a majority of the voters answered the placer recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// No majority answered within one lease in this incarnation of the placer.
    Never,
    /// A majority answered within the lease.
    Recent,
    /// A majority answered before, but not within the lease.
    Expired,
}

/// The duration of the lease, and the answers that renew it. Times are in microseconds of the placer's clock.
#[derive(Clone, Debug)]
pub struct ReadLease {
    duration_us: u64,
    /// The time of each node's last answer. The connection of that answer may be closed by now.
    last_answers: BTreeMap<NodeNumber, u64>,
    /// Whether a majority of the voters has answered within one lease in this incarnation.
    was_renewed: bool,
}

impl ReadLease {
    /// A lease of `duration_us` microseconds that no answer has renewed yet.
    pub fn new(duration_us: u64) -> Self {
        Self {
            duration_us,
            last_answers: BTreeMap::new(),
            was_renewed: false,
        }
    }

    /// How long an answer counts towards a majority, in microseconds.
    pub fn duration_us(&self) -> u64 {
        self.duration_us
    }

    /// Records that a node answered at `now_us`.
    pub fn record_answer(&mut self, node: NodeNumber, now_us: u64) {
        self.last_answers.insert(node, now_us);
    }

    /// The time of a node's last answer in microseconds; `None` if it never answered.
    pub fn last_answer(&self, node: NodeNumber) -> Option<u64> {
        self.last_answers.get(&node).copied()
    }

    /// Whether a majority of the voters answered within the lease, as of `now_us`. Records that a majority did.
    pub fn update_quorum_contact(&mut self, now_us: u64, cluster: &ClusterView) -> QuorumContact {
        let answered_recently = |node: NodeNumber| {
            let answered = self.last_answer(node);
            answered.is_some_and(|at| now_us < at.saturating_add(self.duration_us))
        };
        if cluster.has_quorum(answered_recently) {
            self.was_renewed = true;
            return QuorumContact::Recent;
        }
        if self.was_renewed {
            QuorumContact::Expired
        } else {
            QuorumContact::Never
        }
    }

    /// The time at which the lease expires unless more voters answer, in microseconds: the duration of the lease after
    /// the oldest answer of the majority that answered last. `None` if fewer voters than a majority ever answered.
    pub fn expires_at(&self, cluster: &ClusterView) -> Option<u64> {
        let voters = cluster.voters();
        let mut answers: Vec<u64> = voters
            .filter_map(|(node, _)| self.last_answer(node))
            .collect();
        answers.sort_unstable_by(|one, other| other.cmp(one));
        let oldest_of_quorum = answers.get(cluster.quorum_size() - 1)?;
        Some(oldest_of_quorum.saturating_add(self.duration_us))
    }
}
