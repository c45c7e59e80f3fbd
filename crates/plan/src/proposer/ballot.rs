//! A ballot: prepare (phase 1) and accept (phase 2) of single-decree Paxos for the next configuration.

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion};

use super::round::{NodeReport, Round};
use super::{NodeRequest, Proposer};
use crate::document::ConfigDocument;

/// The ballot that a placer has in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct BallotInProgress {
    /// The configuration whose successor is chosen.
    follows: ConfigVersion,
    ballot: Ballot,
    /// What is proposed with it, once a majority has promised it: never two configurations with one ballot.
    value: Option<ConfigVersion>,
}

impl Proposer {
    /// Nothing is chosen: starts a ballot, or carries on the one in progress.
    pub(super) fn advance_ballot(
        &mut self,
        round: &Round<'_>,
        proposal: Option<&ConfigDocument>,
        may_preempt: bool,
    ) -> Vec<NodeRequest> {
        let greatest = round.greatest_promise();
        let is_current =
            |own: &BallotInProgress| own.follows == round.committed && own.ballot >= greatest;
        let Some(mut own) = self.ballot.filter(is_current) else {
            if greatest.round > 0 && !may_preempt {
                return Vec::new();
            }
            return self.start_ballot(round, greatest.round + 1);
        };
        if own.value.is_none() {
            own.value = choose_value(round, own.ballot, proposal);
            self.ballot = Some(own);
        }
        match own.value {
            Some(version) => accept_requests(round, own.ballot, version),
            None => prepare_requests(round, own.ballot, |voter| {
                voter.report.promised < own.ballot
            }),
        }
    }

    /// Prepares a ballot at all voters.
    fn start_ballot(&mut self, round: &Round<'_>, number: u64) -> Vec<NodeRequest> {
        let ballot = Ballot {
            round: number,
            proposer: self.incarnation.0,
        };
        self.ballot = Some(BallotInProgress {
            follows: round.committed,
            ballot,
            value: None,
        });
        prepare_requests(round, ballot, |_| true)
    }
}

/// What may be proposed with a ballot: nothing before a majority has promised it; then the configuration that was accepted
/// with the greatest ballot among those that promised, or the own proposal where they accepted none.
fn choose_value(
    round: &Round<'_>,
    ballot: Ballot,
    proposal: Option<&ConfigDocument>,
) -> Option<ConfigVersion> {
    let promised: Vec<&NodeReport> = round
        .current_voters()
        .filter(|voter| voter.report.promised == ballot)
        .collect();
    if promised.len() < round.cluster.quorum_size() {
        return None;
    }
    let accepted = promised.iter().filter_map(|voter| voter.report.accepted);
    let newest = accepted.max_by_key(|accepted| accepted.ballot);
    newest
        .map(|accepted| accepted.version)
        .or(proposal.map(ConfigDocument::version))
}

/// A prepare to each voter for which `is_open` holds.
fn prepare_requests(
    round: &Round<'_>,
    ballot: Ballot,
    is_open: impl Fn(&NodeReport) -> bool,
) -> Vec<NodeRequest> {
    let prepare = ConfigRequest::Prepare {
        follows: round.committed,
        ballot,
        list: round.cluster.list_revision,
    };
    let voters = round.current_voters().filter(|voter| is_open(voter));
    voters.map(|voter| voter.request(prepare.clone())).collect()
}

/// An accept to each voter that has not voted with this ballot, or fetches of the text.
fn accept_requests(round: &Round<'_>, ballot: Ballot, version: ConfigVersion) -> Vec<NodeRequest> {
    let Some(text) = round.documents.text(version) else {
        return round.fetch_requests_to_current(version);
    };
    let accept = ConfigRequest::Accept {
        follows: round.committed,
        ballot,
        version,
        text: text.to_owned(),
        list: round.cluster.list_revision,
    };
    let has_voted = |voter: &NodeReport| {
        let accepted = voter.report.accepted;
        accepted.is_some_and(|accepted| accepted.ballot == ballot)
    };
    let voters = round.current_voters().filter(|voter| !has_voted(voter));
    voters.map(|voter| voter.request(accept.clone())).collect()
}
