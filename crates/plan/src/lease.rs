//! The read lease of a placer: for how long it may act by the configuration that it read from a majority of the voters.
//!
//! A placer may dispatch while a majority of the voters answered it within the lease. Once the lease has expired, a
//! newer configuration may have been committed that it has not read, so it is suspended until a majority answers.
//! [`ReadLease`] counts the answers; [`lease_state`] decides what follows from them.

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

/// When a majority of the voters last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// Never in this incarnation.
    Never,
    /// Within the lease.
    Recent,
    /// Longer ago than the lease.
    Expired,
}

/// The answers that renew the lease. Times are in microseconds of the placer's clock.
#[derive(Clone, Debug)]
pub struct ReadLease {
    duration_us: u64,
    /// When each node last answered, on a connection that may have ended since.
    last_answers: BTreeMap<NodeNumber, u64>,
    /// A majority of the voters answered before in this incarnation.
    was_renewed: bool,
}

impl ReadLease {
    /// A lease that was never held.
    pub fn new(duration_us: u64) -> Self {
        Self {
            duration_us,
            last_answers: BTreeMap::new(),
            was_renewed: false,
        }
    }

    /// How long an answer counts.
    pub fn duration_us(&self) -> u64 {
        self.duration_us
    }

    /// A node answered.
    pub fn record_answer(&mut self, node: NodeNumber, now_us: u64) {
        self.last_answers.insert(node, now_us);
    }

    /// When a node last answered.
    pub fn last_answer(&self, node: NodeNumber) -> Option<u64> {
        self.last_answers.get(&node).copied()
    }

    /// When a majority of the voters last answered, as of now.
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

    /// When the lease expires unless more voters answer: counted from the oldest of the most recent answers that make up
    /// a majority. `None` where fewer voters ever answered.
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
