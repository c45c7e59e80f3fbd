//! When a request may be sent again, and when a placer may preempt another placer's ballot. Without these delays, many
//! placers would flood the nodes and preempt each other indefinitely. Times are in microseconds of the placer's clock.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion, DeltaStep};

use super::{Incarnation, NodeRequest};
use crate::cluster::ClusterView;
use crate::membership::NodeNumber;

/// The time after which the same request may be sent to the same node again.
const RETRY_US: u64 = 500_000;
/// The shortest time for which a placer does not preempt another placer's ballot. Each placer adds up to as much again,
/// depending on its incarnation.
const PREEMPT_AFTER_US: u64 = 300_000;
/// How long a placer waits for a node's answer to a fetch before it sends the fetch to another node.
const FETCH_TIMEOUT_US: u64 = 100_000;
/// The fractional part of the golden ratio in 64 bits: products with it spread successive numbers evenly.
const SCATTER_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A value, and the time since which it is unchanged.
#[derive(Clone, Debug, Default)]
struct Observed<T> {
    value: T,
    since_us: u64,
}

impl<T: PartialEq> Observed<T> {
    /// Records the current value. Returns the time since which it is unchanged.
    fn update(&mut self, value: T, now_us: u64) -> u64 {
        if self.value != value {
            *self = Self {
                value,
                since_us: now_us,
            };
        }
        self.since_us
    }
}

/// The greatest ballot that the voters have promised for the successor of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
struct CompetingBallot {
    follows: ConfigVersion,
    ballot: Ballot,
}

/// A committed configuration and its chosen successor, if there is one.
#[derive(Clone, Debug, Default, PartialEq)]
struct ChosenConfig {
    committed: ConfigVersion,
    chosen: Option<ConfigVersion>,
}

/// The last fetch that was sent.
#[derive(Clone, Copy, Debug)]
struct SentFetch {
    version: ConfigVersion,
    sent_us: u64,
}

/// Identifies a request to a node: requests with equal keys count as the same request for the retry time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKey {
    Query { level: u64 },
    FetchText { number: u64 },
    FetchDelta { number: u64 },
    Prepare { round: u64 },
    Accept { round: u64 },
    EnterJoint { number: u64 },
    EnterJointWithoutText { number: u64 },
    Commit { number: u64 },
    CommitWithoutText { number: u64 },
    RaiseFloor { number: u64 },
}

impl RequestKey {
    /// A request with a delta has the key of the one with the text. One without either has a key of its own, so that a
    /// node that lacks the omitted text can be sent the full request without waiting for the retry time.
    fn new(request: &ConfigRequest) -> Self {
        match request {
            ConfigRequest::Query { stamp } => Self::Query {
                level: stamp.level(),
            },
            ConfigRequest::Fetch { version, have } => {
                let number = version.number;
                match have {
                    Some(_) => Self::FetchDelta { number },
                    None => Self::FetchText { number },
                }
            }
            ConfigRequest::Prepare { ballot, .. } => Self::Prepare {
                round: ballot.round,
            },
            ConfigRequest::Accept { ballot, .. } => Self::Accept {
                round: ballot.round,
            },
            ConfigRequest::ByDelta { step, delta, .. } => Self::by_delta(*step, delta.target),
            ConfigRequest::EnterJoint { version, text, .. } => {
                let number = version.number;
                match text.is_empty() {
                    false => Self::EnterJoint { number },
                    true => Self::EnterJointWithoutText { number },
                }
            }
            ConfigRequest::Commit { version, text, .. } => {
                let number = version.number;
                match text.is_empty() {
                    false => Self::Commit { number },
                    true => Self::CommitWithoutText { number },
                }
            }
            ConfigRequest::RaiseFloor { stamp } => Self::RaiseFloor {
                number: stamp.version.number,
            },
        }
    }

    fn by_delta(step: DeltaStep, target: ConfigVersion) -> Self {
        let number = target.number;
        match step {
            DeltaStep::Accept { ballot } => Self::Accept {
                round: ballot.round,
            },
            DeltaStep::EnterJoint => Self::EnterJoint { number },
            DeltaStep::Commit => Self::Commit { number },
        }
    }
}

/// When one placer sent its requests, and since when it has observed other placers' ballots.
#[derive(Clone, Debug)]
pub struct ProposalBackoff {
    incarnation: Incarnation,
    competing_ballot: Observed<CompetingBallot>,
    chosen: Observed<ChosenConfig>,
    last_fetch: Option<SentFetch>,
    /// The time at which each request was last sent to each node. Entries older than the retry time are removed.
    sent: BTreeMap<(NodeNumber, RequestKey), u64>,
}

impl ProposalBackoff {
    /// The state of a placer with this incarnation that has sent no requests yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            competing_ballot: Observed::default(),
            chosen: Observed::default(),
            last_fetch: None,
            sent: BTreeMap::new(),
        }
    }

    /// How long this placer waits before it preempts another placer's ballot or completes its change. It differs
    /// between placers, so that they do not all act at once.
    fn preempt_delay_us(&self) -> u64 {
        let spread = self.incarnation.0.wrapping_mul(SCATTER_FACTOR) % PREEMPT_AFTER_US;
        PREEMPT_AFTER_US + spread
    }

    /// Whether this placer may start a greater ballot: the greatest promised one is unchanged for the preemption delay,
    /// or none is promised yet.
    pub fn may_preempt(&mut self, now_us: u64, cluster: &ClusterView) -> bool {
        let follows = cluster.committed();
        let current = cluster
            .voting_acceptors()
            .filter(|(_, report)| report.committed == follows);
        let ballot = current.map(|(_, report)| report.promised).max();
        let ballot = ballot.unwrap_or_default();
        // Ballots start again after each committed configuration, so the delay starts again with a new one.
        let competing = CompetingBallot { follows, ballot };
        let since_us = self.competing_ballot.update(competing, now_us);
        ballot.round == 0 || now_us >= since_us + self.preempt_delay_us()
    }

    /// Whether this placer may send the joint phase requests of a chosen configuration: an acceptor accepted it with
    /// this placer's ballot, or it is chosen for longer than the preemption delay and still not committed.
    pub fn may_complete_change(&mut self, now_us: u64, cluster: &ClusterView) -> bool {
        let committed = cluster.committed();
        let chosen = cluster.chosen(committed);
        let observed = ChosenConfig { committed, chosen };
        let since_us = self.chosen.update(observed, now_us);
        let is_own_ballot = cluster
            .voting_acceptors()
            .filter_map(|(_, report)| report.accepted)
            .filter(|accepted| Some(accepted.version) == chosen)
            .any(|accepted| accepted.ballot.proposer == self.incarnation.0);
        is_own_ballot || now_us >= since_us + self.preempt_delay_us()
    }

    /// The requests that are due, which are recorded as sent now. A request is not due if it was sent within the retry
    /// time; a fetch is not due while a fetch of the same configuration is outstanding.
    pub fn due_requests(&mut self, now_us: u64, requests: Vec<NodeRequest>) -> Vec<NodeRequest> {
        self.sent
            .retain(|_, sent_us| now_us < sent_us.saturating_add(RETRY_US));
        let mut due = requests;
        due.retain(|request| self.record_if_due(now_us, request));
        due
    }

    /// Whether a request is due. If so, it is recorded as sent.
    fn record_if_due(&mut self, now_us: u64, NodeRequest { node, request }: &NodeRequest) -> bool {
        let fetched = match request {
            ConfigRequest::Fetch { version, .. } => Some(*version),
            _ => None,
        };
        if fetched.is_some_and(|version| self.is_fetch_outstanding(now_us, version)) {
            return false;
        }
        let Entry::Vacant(entry) = self.sent.entry((*node, RequestKey::new(request))) else {
            return false;
        };
        entry.insert(now_us);
        if let Some(version) = fetched {
            self.last_fetch = Some(SentFetch {
                version,
                sent_us: now_us,
            });
        }
        true
    }

    /// Whether the last fetch was for this configuration and its timeout has not passed.
    fn is_fetch_outstanding(&self, now_us: u64, version: ConfigVersion) -> bool {
        self.last_fetch.is_some_and(|fetch| {
            fetch.version == version && now_us < fetch.sent_us.saturating_add(FETCH_TIMEOUT_US)
        })
    }

    /// Makes all requests to a node due again, because requests on its previous connection may be lost. Also ends the
    /// wait for the last fetch, whichever node it was sent to.
    pub fn reset_node(&mut self, node: NodeNumber) {
        self.sent.retain(|(sent_to, _), _| *sent_to != node);
        self.last_fetch = None;
    }
}
