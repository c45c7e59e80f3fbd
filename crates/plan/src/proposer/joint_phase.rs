//! The requests of the joint phase: from the time when a configuration is chosen until it is committed.

use reedring_node_protocol::{ConfigRequest, ConfigVersion};

use super::NodeRequest;
use super::evaluation::{Evaluation, NodeReport};

impl Evaluation<'_> {
    /// The requests that commit a chosen configuration: acceptors that are not joint are to enter its joint phase; once
    /// a majority of the voters is joint, the joint acceptors are to commit. If the placer lacks the text, it fetches
    /// it.
    pub(super) fn joint_phase_requests(&self, chosen: ConfigVersion) -> Vec<NodeRequest> {
        let Some(text) = self.documents.text(chosen) else {
            return self.fetch_requests(chosen);
        };
        let enter_joint = ConfigRequest::EnterJoint {
            follows: self.committed,
            version: chosen,
            text: text.to_owned(),
            list: self.cluster.list_revision,
        };
        let commit = ConfigRequest::Commit {
            version: chosen,
            text: text.to_owned(),
            list: self.cluster.list_revision,
        };
        let is_joint = |acceptor: &NodeReport| {
            let accepted = acceptor.report.accepted;
            accepted.is_some_and(|accepted| accepted.joint && accepted.version == chosen)
        };
        let may_commit = self.cluster.joint_count(chosen) >= self.cluster.quorum_size();
        let mut requests = Vec::new();
        for acceptor in self.current_acceptors() {
            if !is_joint(acceptor) {
                requests.push(acceptor.request(enter_joint.clone()));
            } else if may_commit {
                requests.push(acceptor.request(commit.clone()));
            }
        }
        requests
    }
}
