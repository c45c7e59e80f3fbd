//! When a request may be sent again, and when a placer may preempt another one's ballot, so that many placers neither
//! flood the nodes nor preempt each other for ever. All times are in microseconds of the placer's clock.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion, DeltaStep};

use super::{Incarnation, NodeRequest};
use crate::cluster::ClusterView;
use crate::membership::NodeNumber;

/// After this time a request without effect is sent again.
const RETRY_US: u64 = 500_000;
/// For this long the ballot of another placer is left alone; each placer adds up to as much again, by its incarnation.
const PREEMPT_AFTER_US: u64 = 300_000;
/// For this long one node's answer to a fetch is awaited before another one is asked.
const FETCH_TIMEOUT_US: u64 = 100_000;
/// The fractional part of the golden ratio in 64 bits: multiplying by it scatters successive numbers.
const SCATTER_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A value, and since when it is that.
#[derive(Clone, Debug, Default)]
struct Observed<T> {
    value: T,
    since_us: u64,
}

impl<T: PartialEq> Observed<T> {
    /// Takes in the value of now; the time since which it is unchanged.
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

/// The greatest promised ballot for the successor of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
struct CompetingBallot {
    follows: ConfigVersion,
    ballot: Ballot,
}

/// A committed configuration and the one that is chosen to follow.
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

/// What tells two requests to one node apart.
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
    /// A request with a delta counts as that with the text. One without either has a key of its own: a node that turns out
    /// to lack what was left out is sent the whole at once.
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

/// The waiting times of one placer's requests and ballots.
#[derive(Clone, Debug)]
pub struct ProposalBackoff {
    incarnation: Incarnation,
    competing_ballot: Observed<CompetingBallot>,
    chosen: Observed<ChosenConfig>,
    last_fetch: Option<SentFetch>,
    /// When each request was sent to each node.
    sent: BTreeMap<(NodeNumber, RequestKey), u64>,
}

impl ProposalBackoff {
    /// Of a placer that has just begun this incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            competing_ballot: Observed::default(),
            chosen: Observed::default(),
            last_fetch: None,
            sent: BTreeMap::new(),
        }
    }

    /// For how long this placer leaves another one's work alone; it differs between placers.
    fn preempt_delay_us(&self) -> u64 {
        let spread = self.incarnation.0.wrapping_mul(SCATTER_FACTOR) % PREEMPT_AFTER_US;
        PREEMPT_AFTER_US + spread
    }

    /// Whether the greatest ballot has had its time. A first ballot may be started at once.
    pub fn may_preempt(&mut self, now_us: u64, cluster: &ClusterView) -> bool {
        let follows = cluster.committed();
        let current = cluster
            .voting_acceptors()
            .filter(|(_, report)| report.committed == follows);
        let ballot = current.map(|(_, report)| report.promised).max();
        let ballot = ballot.unwrap_or_default();
        // Ballots start again after each configuration: one that was greater then says nothing now.
        let competing = CompetingBallot { follows, ballot };
        let since_us = self.competing_ballot.update(competing, now_us);
        ballot.round == 0 || now_us >= since_us + self.preempt_delay_us()
    }

    /// Whether this placer may take a chosen configuration through the joint phase: it is the one whose ballot chose it, or
    /// that one has had its time.
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

    /// The requests that are due: not sent within the retry time, and only one fetch of a text at a time.
    pub fn due_requests(&mut self, now_us: u64, requests: Vec<NodeRequest>) -> Vec<NodeRequest> {
        self.sent
            .retain(|_, sent_us| now_us < sent_us.saturating_add(RETRY_US));
        let mut due = requests;
        due.retain(|request| self.take_if_due(now_us, request));
        due
    }

    /// Whether a request is due; it counts as sent then.
    fn take_if_due(&mut self, now_us: u64, NodeRequest { node, request }: &NodeRequest) -> bool {
        let fetched = match request {
            ConfigRequest::Fetch { version, .. } => Some(*version),
            _ => None,
        };
        if fetched.is_some_and(|version| self.awaits_fetch(now_us, version)) {
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

    /// Whether a node still has time to answer a fetch of this configuration.
    fn awaits_fetch(&self, now_us: u64, version: ConfigVersion) -> bool {
        self.last_fetch.is_some_and(|fetch| {
            fetch.version == version && now_us < fetch.sent_us.saturating_add(FETCH_TIMEOUT_US)
        })
    }

    /// A node has connected again: what was sent on the connection before may be lost.
    pub fn reset_node(&mut self, node: NodeNumber) {
        self.sent.retain(|(sent_to, _), _| *sent_to != node);
        self.last_fetch = None;
    }
}
