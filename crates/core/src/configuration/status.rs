//! What operators are told of the configuration.

use reedring_node_protocol::AcceptorReport;
use reedring_plan::{ActiveConfig, LeaseState, PeerState};

use super::agreement::Agreement;
use crate::event::{Event, FileStatus};
use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;

impl Agreement {
    /// The configuration in use, as operators are told it.
    pub(super) fn status(&self, rejected: Option<String>) -> Event {
        let (own, committed) = (self.own_version(), self.committed());
        let is_behind = committed.number > 0 && own != committed && own.number <= committed.number;
        let superseded = (is_behind && self.fenced().is_none()).then_some(own);
        let file = FileStatus {
            superseded,
            rejected,
        };
        match *self.lease_state() {
            LeaseState::Unmanaged => Event::ConfigurationUnsupported { file },
            LeaseState::Suspended(reason) if reason.is_fenced() => {
                let problems = self.catalog().problems(committed);
                let detail = problems.map(|problems| problems.to_string().replace('\n', "; "));
                Event::PlacerFenced {
                    reason,
                    committed,
                    own,
                    detail,
                    file,
                }
            }
            LeaseState::Suspended(reason) => Event::DispatchSuspended { reason, file },
            LeaseState::Active(ActiveConfig {
                committed, next, ..
            }) => match next {
                Some(next) if committed.number == 0 => Event::ConfigurationFirst {
                    config_version: next,
                    file,
                },
                Some(next) => Event::ConfigurationJoint {
                    config_version: next,
                    previous: committed,
                    file,
                },
                None => Event::ConfigurationActive {
                    config_version: committed,
                    file,
                },
            },
        }
    }

    /// What operators see of the configuration that a node stores.
    pub fn describe_node(&self, number: NodeNumber, nodes: &NodeRegistry) -> Option<String> {
        let record = match self.peers().state(number)? {
            PeerState::Unknown => return None,
            PeerState::Legacy => return Some("keeps none".to_owned()),
            PeerState::Reported(record) => record,
        };
        let votes = nodes.get(number).is_some_and(|node| node.entry().control);
        Some(if record.is_learner {
            describe_learner(record, votes)
        } else {
            describe_acceptor(record, votes)
        })
    }
}

fn describe_learner(record: &AcceptorReport, votes: bool) -> String {
    let floor = record.accepted.map_or("no plan yet".to_owned(), |next| {
        format!("plan {}", next.version)
    });
    let wrong = if votes {
        ", listed as control and votes for nothing"
    } else {
        ""
    };
    format!("learner, from {floor} on{wrong}")
}

fn describe_acceptor(record: &AcceptorReport, votes: bool) -> String {
    let mut line = record.committed.to_string();
    if votes {
        line.push_str(", voter");
    }
    if let Some(next) = &record.accepted {
        let word = if next.joint { "joint with" } else { "offered" };
        line = format!("{line}, {word} {}", next.version);
    }
    if record.cannot_persist {
        line.push_str(", can't keep more");
    }
    if record.lagging_placers > 0 {
        line = format!(
            "{line}, {} of {} placers behind",
            record.lagging_placers, record.connected_placers
        );
    }
    line
}
