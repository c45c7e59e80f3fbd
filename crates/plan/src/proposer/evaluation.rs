//! The inputs of one evaluation of the proposer, and the requests that need no ballot.

use reedring_node_protocol::{AcceptorReport, Ballot, ConfigRequest, ConfigVersion};

use super::{NodeRequest, ProposerInputs};
use crate::cluster::ClusterView;
use crate::document::DocumentCache;
use crate::membership::NodeNumber;

/// The last report of one acceptor, and the number of its node.
#[derive(Clone, Copy)]
pub(super) struct NodeReport {
    pub(super) node: NodeNumber,
    pub(super) report: AcceptorReport,
}

impl NodeReport {
    /// A request to the acceptor's node.
    pub(super) fn request(&self, request: ConfigRequest) -> NodeRequest {
        NodeRequest {
            node: self.node,
            request,
        }
    }

    /// Whether the acceptor's accepted configuration is `version`.
    pub(super) fn has_accepted(&self, version: ConfigVersion) -> bool {
        let accepted = self.report.accepted;
        accepted.is_some_and(|accepted| accepted.version == version)
    }
}

/// The cluster and the texts at one evaluation of the proposer.
pub(super) struct Evaluation<'a> {
    pub(super) cluster: &'a ClusterView,
    pub(super) documents: &'a DocumentCache,
    /// The newest committed configuration; number 0 where there is none.
    pub(super) committed: ConfigVersion,
    /// The reports of all acceptors, whether they are voters by the placer's node list or not.
    acceptors: Vec<NodeReport>,
}

impl<'a> Evaluation<'a> {
    pub(super) fn new(inputs: &ProposerInputs<'a>) -> Self {
        let cluster = inputs.cluster;
        let acceptors = cluster.acceptors().map(|(node, report)| NodeReport {
            node,
            report: *report,
        });
        Self {
            cluster,
            documents: inputs.documents,
            committed: inputs.known_committed.max(cluster.committed()),
            acceptors: acceptors.collect(),
        }
    }

    /// The acceptors that have committed the newest committed configuration.
    pub(super) fn current_acceptors(&self) -> impl Iterator<Item = &NodeReport> {
        let acceptors = self.acceptors.iter();
        acceptors.filter(|acceptor| acceptor.report.committed == self.committed)
    }

    /// The voters that have committed the newest committed configuration.
    pub(super) fn current_voters(&self) -> impl Iterator<Item = &NodeReport> {
        let acceptors = self.current_acceptors();
        acceptors.filter(|acceptor| self.cluster.is_voter(acceptor.node))
    }

    /// The greatest ballot that a current voter has promised; round 0 where there is none.
    pub(super) fn greatest_promise(&self) -> Ballot {
        let promises = self.current_voters().map(|voter| voter.report.promised);
        promises.max().unwrap_or_default()
    }

    /// Whether any current voter has accepted a successor of the committed configuration.
    pub(super) fn has_accepted_by_voter(&self) -> bool {
        self.current_voters()
            .any(|voter| voter.report.accepted.is_some())
    }

    /// Whether this configuration may be proposed: its number is the one after the committed one, or any number if none
    /// is committed.
    pub(super) fn is_valid_successor(&self, version: ConfigVersion) -> bool {
        let committed = self.committed.number;
        version.number > committed && (committed == 0 || version.number == committed + 1)
    }

    /// Fetches of this configuration's text from all acceptors that have accepted it.
    pub(super) fn fetch_requests(&self, version: ConfigVersion) -> Vec<NodeRequest> {
        let acceptors = self.acceptors.iter();
        acceptors
            .filter(|acceptor| acceptor.has_accepted(version))
            .map(|acceptor| acceptor.request(fetch(version)))
            .collect()
    }

    /// Fetches of this configuration's text from the acceptors that have accepted it and have committed the newest
    /// committed configuration.
    pub(super) fn fetch_requests_to_current(&self, version: ConfigVersion) -> Vec<NodeRequest> {
        let acceptors = self.current_acceptors();
        acceptors
            .filter(|acceptor| acceptor.has_accepted(version))
            .map(|acceptor| acceptor.request(fetch(version)))
            .collect()
    }

    /// Commit requests to the acceptors that have only an older configuration committed. If the placer lacks the text of
    /// the committed configuration, fetches of it from the acceptors that have it instead.
    pub(super) fn catch_up_requests(&self) -> Vec<NodeRequest> {
        let version = self.committed;
        if version.number == 0 {
            return Vec::new();
        }
        let Some(text) = self.documents.text(version) else {
            let current = self.current_acceptors();
            return current
                .map(|acceptor| acceptor.request(fetch(version)))
                .collect();
        };
        let behind = self
            .acceptors
            .iter()
            .filter(|acceptor| acceptor.report.committed.number < version.number);
        let commit = ConfigRequest::Commit {
            version,
            text: text.to_owned(),
            list: self.cluster.list_revision,
        };
        behind
            .map(|acceptor| acceptor.request(commit.clone()))
            .collect()
    }
}

/// A request for the full text of a configuration.
fn fetch(version: ConfigVersion) -> ConfigRequest {
    ConfigRequest::Fetch {
        version,
        have: None,
    }
}
