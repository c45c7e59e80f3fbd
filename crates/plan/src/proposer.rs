//! The proposer: what a placer requests of the nodes next, so that a change of the configuration is committed. Any placer
//! completes what another began, as all that it needs stands in the reports of the nodes.

mod ballot;
mod compaction;
mod joint_phase;
mod proposal_backoff;
mod round;
#[cfg(test)]
mod tests;

use reedring_node_protocol::{ConfigRequest, ConfigVersion};

use crate::cluster::ClusterView;
use crate::document::{ConfigDocument, DocumentCache};
use crate::membership::NodeNumber;

use ballot::BallotInProgress;
pub use compaction::RequestCompactor;
pub use proposal_backoff::ProposalBackoff;
use round::Round;

/// The incarnation of a placer: a new one with each start. No other uses its ballots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// A request, and the node that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRequest {
    /// The node.
    pub node: NodeNumber,
    /// The request.
    pub request: ConfigRequest,
}

/// How far a change of the configuration is, as one placer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangePhase {
    /// No change is in progress.
    Idle,
    /// A configuration is proposed, and none is chosen.
    Proposed,
    /// This configuration is chosen, and nodes enter the joint phase.
    Joint(ConfigVersion),
}

/// What a proposer goes by.
#[derive(Clone, Copy, Debug)]
pub struct ProposerInputs<'a> {
    /// The reports of the nodes.
    pub cluster: &'a ClusterView,
    /// The newest committed configuration that the placer knows of, whatever nodes have lost.
    pub known_committed: ConfigVersion,
    /// The configuration that this placer proposes.
    pub proposal: Option<&'a ConfigDocument>,
    /// The texts that it holds.
    pub documents: &'a DocumentCache,
    /// It may start a ballot greater than that of another placer. [`ProposalBackoff`] says when.
    pub may_preempt: bool,
}

/// What follows for a placer from the reports of the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeProgress {
    /// How far the change is.
    pub phase: ChangePhase,
    /// What to request now.
    pub requests: Vec<NodeRequest>,
}

/// Gets configurations chosen and committed, by requests to nodes. It knows no time: [`ProposalBackoff`] says when a
/// request is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    incarnation: Incarnation,
    ballot: Option<BallotInProgress>,
}

impl Proposer {
    /// The proposer of a placer that has just begun this incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ballot: None,
        }
    }

    /// What to request of which node now.
    ///
    /// | reports of the nodes | request |
    /// | --- | --- |
    /// | a configuration is committed or chosen, and its text is not here | fetch it from those that have it |
    /// | an acceptor is behind the committed configuration | commit |
    /// | the next configuration is chosen, and an acceptor is not joint | enter joint |
    /// | a majority of the voters is joint | commit, to those that are joint |
    /// | none is chosen, and there is a proposal or something was accepted | prepare or accept, see below |
    /// | else | nothing |
    ///
    /// Learners are requested nothing. Acceptors that do not vote by this list learn what is chosen, as they check offers
    /// by that.
    ///
    /// A ballot of this placer has two phases: prepare to all voters; once a majority has promised it, accept to all, with
    /// the configuration that was accepted with the greatest ballot among those that promised, and the own proposal only
    /// where there is none. A ballot of another placer is left alone until `may_preempt`.
    pub fn advance(&mut self, inputs: &ProposerInputs<'_>) -> ChangeProgress {
        let round = Round::new(inputs);
        let mut requests = round.catch_up_requests();
        if let Some(chosen) = inputs.cluster.chosen(round.committed) {
            self.ballot = None;
            requests.extend(round.joint_phase_requests(chosen));
            return ChangeProgress {
                phase: ChangePhase::Joint(chosen),
                requests,
            };
        }
        let proposal = inputs
            .proposal
            .filter(|proposal| round.may_follow(proposal.version()));
        if proposal.is_none() && !round.is_any_accepted() {
            return ChangeProgress {
                phase: ChangePhase::Idle,
                requests,
            };
        }
        requests.extend(self.advance_ballot(&round, proposal, inputs.may_preempt));
        ChangeProgress {
            phase: ChangePhase::Proposed,
            requests,
        }
    }
}
