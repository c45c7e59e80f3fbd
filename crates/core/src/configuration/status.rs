//! Descriptions of the configuration for operators.

use reedring_node_protocol::AcceptorReport;
use reedring_plan::{ActiveConfig, LeaseState, PeerState};

use super::agreement::Agreement;
use crate::event::{Event, FileStatus};
use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;

impl Agreement {
    /// The event that describes the configuration in use. `rejected` is why that of the settings file can't be proposed.
    pub(super) fn status(&self, rejected: Option<String>) -> Event {
        let (own, committed) = (self.own_version(), self.committed());
        let is_behind = committed.number > 0 && own != committed && own.number <= committed.number;
        let superseded = (is_behind && self.fence_reason().is_none()).then_some(own);
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

    /// Describes for operators the configuration that a node stores. `None` if the node has not reported yet.
    pub fn describe_node(&self, number: NodeNumber, nodes: &NodeRegistry) -> Option<String> {
        let report = match self.peers().state(number)? {
            PeerState::Unknown => return None,
            PeerState::Legacy => return Some("keeps none".to_owned()),
            PeerState::Reported(report) => report,
        };
        let is_listed_as_voter = nodes.get(number).is_some_and(|node| node.entry().control);
        Some(if report.is_learner {
            describe_learner(report, is_listed_as_voter)
        } else {
            describe_acceptor(report, is_listed_as_voter)
        })
    }
}

fn describe_learner(report: &AcceptorReport, is_listed_as_voter: bool) -> String {
    let floor = report.accepted.map_or("no plan yet".to_owned(), |next| {
        format!("plan {}", next.version)
    });
    let voter_warning = if is_listed_as_voter {
        ", listed as control and votes for nothing"
    } else {
        ""
    };
    format!("learner, from {floor} on{voter_warning}")
}

fn describe_acceptor(report: &AcceptorReport, is_listed_as_voter: bool) -> String {
    let mut line = report.committed.to_string();
    if is_listed_as_voter {
        line.push_str(", voter");
    }
    if let Some(next) = &report.accepted {
        let word = if next.joint { "joint with" } else { "offered" };
        line = format!("{line}, {word} {}", next.version);
    }
    if report.cannot_persist {
        line.push_str(", can't keep more");
    }
    if report.lagging_placers > 0 {
        line = format!(
            "{line}, {} of {} placers behind",
            report.lagging_placers, report.connected_placers
        );
    }
    line
}
