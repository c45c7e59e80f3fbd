//! What one evaluation of the proposer goes by, and the requests that need no ballot.

use reedring_node_protocol::{AcceptorReport, Ballot, ConfigRequest, ConfigVersion};

use super::{NodeRequest, ProposerInputs};
use crate::cluster::ClusterView;
use crate::document::DocumentCache;
use crate::membership::NodeNumber;

/// The last report of one acceptor.
#[derive(Clone, Copy)]
pub(super) struct NodeReport {
    pub(super) node: NodeNumber,
    pub(super) report: AcceptorReport,
}

impl NodeReport {
    pub(super) fn request(&self, request: ConfigRequest) -> NodeRequest {
        NodeRequest {
            node: self.node,
            request,
        }
    }

    /// Whether the acceptor has accepted this configuration.
    pub(super) fn has_accepted(&self, version: ConfigVersion) -> bool {
        let accepted = self.report.accepted;
        accepted.is_some_and(|accepted| accepted.version == version)
    }
}

/// The state of the cluster in one evaluation.
pub(super) struct Round<'a> {
    pub(super) cluster: &'a ClusterView,
    pub(super) documents: &'a DocumentCache,
    /// The newest committed configuration.
    pub(super) committed: ConfigVersion,
    /// The reports of all acceptors, whether they vote or not.
    acceptors: Vec<NodeReport>,
}

impl<'a> Round<'a> {
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

    /// Those among them that vote.
    pub(super) fn current_voters(&self) -> impl Iterator<Item = &NodeReport> {
        let acceptors = self.current_acceptors();
        acceptors.filter(|acceptor| self.cluster.is_voter(acceptor.node))
    }

    /// The greatest ballot that a voter has promised.
    pub(super) fn greatest_promise(&self) -> Ballot {
        let promises = self.current_voters().map(|voter| voter.report.promised);
        promises.max().unwrap_or_default()
    }

    /// Whether a voter has accepted a configuration.
    pub(super) fn is_any_accepted(&self) -> bool {
        self.current_voters()
            .any(|voter| voter.report.accepted.is_some())
    }

    /// Whether this configuration may be proposed: its number is the one after the committed one, or any where none is
    /// committed.
    pub(super) fn may_follow(&self, version: ConfigVersion) -> bool {
        let committed = self.committed.number;
        version.number > committed && (committed == 0 || version.number == committed + 1)
    }

    /// A fetch of this configuration to each acceptor that has accepted it.
    pub(super) fn fetch_requests(&self, version: ConfigVersion) -> Vec<NodeRequest> {
        let acceptors = self.acceptors.iter();
        acceptors
            .filter(|acceptor| acceptor.has_accepted(version))
            .map(|acceptor| acceptor.request(fetch(version)))
            .collect()
    }

    /// The same, to those among them that have committed the newest committed configuration.
    pub(super) fn fetch_requests_to_current(&self, version: ConfigVersion) -> Vec<NodeRequest> {
        let acceptors = self.current_acceptors();
        acceptors
            .filter(|acceptor| acceptor.has_accepted(version))
            .map(|acceptor| acceptor.request(fetch(version)))
            .collect()
    }

    /// Commits to the acceptors that are behind the committed configuration, or fetches of its text.
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

/// A request for the whole text of a configuration.
fn fetch(version: ConfigVersion) -> ConfigRequest {
    ConfigRequest::Fetch {
        version,
        have: None,
    }
}
