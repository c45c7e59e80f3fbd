//! The proposer: the requests by which a placer gets a change of the configuration committed. Any placer can complete a
//! change that another placer began, because the reports of the nodes contain its whole state.

mod ballot;
mod compaction;
mod evaluation;
mod joint_phase;
mod proposal_backoff;

#[cfg(test)]
mod tests;

use reedring_node_protocol::{ConfigRequest, ConfigVersion};

use crate::cluster::ClusterView;
use crate::document::{ConfigDocument, DocumentCache};
use crate::membership::NodeNumber;

use ballot::BallotInProgress;
pub use compaction::RequestCompactor;
use evaluation::Evaluation;
pub use proposal_backoff::ProposalBackoff;

/// Identifies one run of a placer's process: each start has a new value. Ballots contain it, so that no two runs use
/// the same ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation(pub u64);

/// A request and the node to which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRequest {
    /// The node to which the request is sent.
    pub node: NodeNumber,
    /// What the node is requested to do.
    pub request: ConfigRequest,
}

/// The phase of a configuration change, as one placer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangePhase {
    /// No change is in progress.
    Idle,
    /// A configuration is proposed, and none is chosen yet.
    Proposed,
    /// This configuration is chosen, and the acceptors enter its joint phase or commit it.
    Joint(ConfigVersion),
}

/// The inputs of [`Proposer::advance`].
#[derive(Clone, Copy, Debug)]
pub struct ProposerInputs<'a> {
    /// The reports of the nodes.
    pub cluster: &'a ClusterView,
    /// The newest committed configuration that the placer knows, even if the nodes have lost it.
    pub known_committed: ConfigVersion,
    /// The configuration that this placer proposes, if it has one.
    pub proposal: Option<&'a ConfigDocument>,
    /// The configuration texts that the placer has.
    pub documents: &'a DocumentCache,
    /// Whether the placer may start a greater ballot than that of another placer; see [`ProposalBackoff::may_preempt`].
    pub may_preempt: bool,
}

/// The result of [`Proposer::advance`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeProgress {
    /// The phase of the change.
    pub phase: ChangePhase,
    /// The requests that would advance the change now.
    pub requests: Vec<NodeRequest>,
}

/// Computes the requests that get configurations chosen and committed. It does not depend on time: [`ProposalBackoff`]
/// decides when a request is due.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    incarnation: Incarnation,
    ballot: Option<BallotInProgress>,
}

impl Proposer {
    /// The proposer of a placer with this incarnation, without a ballot.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ballot: None,
        }
    }

    /// Computes which requests to send to which nodes now.
    ///
    /// | reports of the nodes | request |
    /// | --- | --- |
    /// | a configuration is committed or chosen, and the placer lacks its text | fetch, from acceptors that have it |
    /// | an acceptor has only an older configuration committed | commit |
    /// | the next configuration is chosen, and an acceptor is not joint | enter joint, to that acceptor |
    /// | a majority of the voters is joint | commit, to the acceptors that are joint |
    /// | none is chosen, and there is a proposal or a voter accepted one | prepare or accept, see below |
    /// | else | nothing |
    ///
    /// Learners get no requests. Acceptors that are not voters by this placer's node list get the requests to enter the
    /// joint phase and to commit, because they check offers by that.
    ///
    /// A ballot of this placer has two phases: prepare, to all voters; then, once a majority has promised the ballot,
    /// accept, to all voters, with the configuration that was accepted with the greatest ballot among those that
    /// promised, or with the placer's own proposal if there is none. While another placer's ballot is the greatest,
    /// this placer starts a ballot only with `may_preempt`.
    pub fn advance(&mut self, inputs: &ProposerInputs<'_>) -> ChangeProgress {
        let evaluation = Evaluation::new(inputs);
        let mut requests = evaluation.catch_up_requests();
        if let Some(chosen) = inputs.cluster.chosen(evaluation.committed) {
            self.ballot = None;
            requests.extend(evaluation.joint_phase_requests(chosen));
            return ChangeProgress {
                phase: ChangePhase::Joint(chosen),
                requests,
            };
        }
        let proposal = inputs
            .proposal
            .filter(|proposal| evaluation.is_valid_successor(proposal.version()));
        if proposal.is_none() && !evaluation.has_accepted_by_voter() {
            return ChangeProgress {
                phase: ChangePhase::Idle,
                requests,
            };
        }
        requests.extend(self.advance_ballot(&evaluation, proposal, inputs.may_preempt));
        ChangeProgress {
            phase: ChangePhase::Proposed,
            requests,
        }
    }
}
