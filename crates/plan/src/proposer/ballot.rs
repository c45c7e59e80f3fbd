//! A ballot: prepare (phase 1) and accept (phase 2) of single-decree Paxos for the next configuration.

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion};

use super::evaluation::{Evaluation, NodeReport};
use super::{NodeRequest, Proposer};
use crate::document::ConfigDocument;

/// The ballot that a placer has in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BallotInProgress {
    /// The committed configuration whose successor the ballot is to choose.
    follows: ConfigVersion,
    ballot: Ballot,
    /// The proposed configuration, set once a majority has promised the ballot. It is then never replaced, because one
    /// ballot must not propose two configurations.
    value: Option<ConfigVersion>,
}

impl Proposer {
    /// Starts a ballot or continues the one in progress, while no configuration is chosen.
    pub(super) fn advance_ballot(
        &mut self,
        evaluation: &Evaluation<'_>,
        proposal: Option<&ConfigDocument>,
        may_preempt: bool,
    ) -> Vec<NodeRequest> {
        let greatest = evaluation.greatest_promise();
        let is_current =
            |own: &BallotInProgress| own.follows == evaluation.committed && own.ballot >= greatest;
        let Some(mut own) = self.ballot.filter(is_current) else {
            if greatest.round > 0 && !may_preempt {
                return Vec::new();
            }
            return self.start_ballot(evaluation, greatest.round + 1);
        };
        if own.value.is_none() {
            own.value = choose_value(evaluation, own.ballot, proposal);
            self.ballot = Some(own);
        }
        match own.value {
            Some(version) => accept_requests(evaluation, own.ballot, version),
            None => prepare_requests(evaluation, own.ballot, |voter| {
                voter.report.promised < own.ballot
            }),
        }
    }

    /// Starts a ballot with this round number: requests all current voters to promise it.
    fn start_ballot(&mut self, evaluation: &Evaluation<'_>, number: u64) -> Vec<NodeRequest> {
        let ballot = Ballot {
            round: number,
            proposer: self.incarnation.0,
        };
        self.ballot = Some(BallotInProgress {
            follows: evaluation.committed,
            ballot,
            value: None,
        });
        prepare_requests(evaluation, ballot, |_| true)
    }
}

/// The configuration to propose with a ballot. `None` before a majority has promised the ballot; then the configuration
/// that was accepted with the greatest ballot among those that promised, or this placer's proposal if they accepted
/// none.
fn choose_value(
    evaluation: &Evaluation<'_>,
    ballot: Ballot,
    proposal: Option<&ConfigDocument>,
) -> Option<ConfigVersion> {
    let promised: Vec<&NodeReport> = evaluation
        .current_voters()
        .filter(|voter| voter.report.promised == ballot)
        .collect();
    if promised.len() < evaluation.cluster.quorum_size() {
        return None;
    }
    let accepted = promised.iter().filter_map(|voter| voter.report.accepted);
    let newest = accepted.max_by_key(|accepted| accepted.ballot);
    newest
        .map(|accepted| accepted.version)
        .or(proposal.map(ConfigDocument::version))
}

/// A prepare request to each current voter that satisfies `is_pending`.
fn prepare_requests(
    evaluation: &Evaluation<'_>,
    ballot: Ballot,
    is_pending: impl Fn(&NodeReport) -> bool,
) -> Vec<NodeRequest> {
    let prepare = ConfigRequest::Prepare {
        follows: evaluation.committed,
        ballot,
        list: evaluation.cluster.list_revision,
    };
    let voters = evaluation
        .current_voters()
        .filter(|voter| is_pending(voter));
    voters.map(|voter| voter.request(prepare.clone())).collect()
}

/// An accept request to each current voter that has not voted with this ballot. If the placer lacks the text, fetches
/// of it instead.
fn accept_requests(
    evaluation: &Evaluation<'_>,
    ballot: Ballot,
    version: ConfigVersion,
) -> Vec<NodeRequest> {
    let Some(text) = evaluation.documents.text(version) else {
        return evaluation.fetch_requests_to_current(version);
    };
    let accept = ConfigRequest::Accept {
        follows: evaluation.committed,
        ballot,
        version,
        text: text.to_owned(),
        list: evaluation.cluster.list_revision,
    };
    let has_voted = |voter: &NodeReport| {
        let accepted = voter.report.accepted;
        accepted.is_some_and(|accepted| accepted.ballot == ballot)
    };
    let voters = evaluation
        .current_voters()
        .filter(|voter| !has_voted(voter));
    voters.map(|voter| voter.request(accept.clone())).collect()
}
