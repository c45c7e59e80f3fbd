//! The joint phase, from the choice of a configuration until it is committed.

use reedring_node_protocol::{ConfigRequest, ConfigVersion};

use super::NodeRequest;
use super::round::{NodeReport, Round};

impl Round<'_> {
    /// The next configuration is chosen: acceptors enter the joint phase, and once a majority of the voters has, those
    /// that are joint commit.
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
