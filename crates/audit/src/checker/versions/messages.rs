//! Messages on configurations, and the stamps of offers.

use std::collections::BTreeSet;

use reedring_node_protocol::{
    AcceptorReport, AttemptId, ConfigRequest, ConfigVersion, DeltaStep, Message, RejectionReason,
    VersionInfo, VersionStamp,
};

use super::OfferRead;
use crate::checker::observed::ReadOffer;
use crate::checker::{Checker, Rule};
use crate::trace::Frame;

impl Checker {
    /// A placer wrote a message to a node.
    pub(in crate::checker) fn config_message_to_node(&mut self, frame: &Frame, message: &Message) {
        match message {
            Message::Hello {
                version_info: Some(VersionInfo { stamp, .. }),
                ..
            } => self.versions.acts_by(&frame.place, frame.time_us, stamp),
            Message::Offer {
                stamp: Some(stamp), ..
            } => {
                self.versions.acts_by(&frame.place, frame.time_us, stamp);
                self.check_slow_start_part(frame, *stamp);
            }
            Message::ConfigRequest(request) => self.config_request(frame, request),
            _ => {}
        }
    }

    fn config_request(&mut self, frame: &Frame, request: &ConfigRequest) {
        let versions = &mut self.versions;
        match request {
            ConfigRequest::Query { stamp } => {
                versions.acts_by(&frame.place, frame.time_us, stamp);
            }
            ConfigRequest::Accept { version, text, .. } => {
                versions.read_text(*version, text);
                versions.proposed(*version, frame.time_us);
            }
            ConfigRequest::ByDelta { step, delta, .. } => {
                versions.read_delta(delta);
                if let DeltaStep::Accept { .. } = step {
                    versions.proposed(delta.target, frame.time_us);
                }
            }
            ConfigRequest::EnterJoint { version, text, .. }
            | ConfigRequest::Commit { version, text, .. } => versions.read_text(*version, text),
            _ => {}
        }
    }

    /// A placer's part of the budget of a node that is warming up, by the stricter of the configurations of its stamp.
    fn check_slow_start_part(&mut self, frame: &Frame, stamp: VersionStamp) {
        let started_us = self.nodes.get(&frame.peer).map(|run| run.started_us);
        let Some((bounds, started_us)) = self.versions.bounds_of(&stamp).zip(started_us) else {
            return;
        };
        let Some(window) = bounds.window() else {
            return;
        };
        if frame.time_us >= started_us + window.warm_after_us {
            return;
        }
        let placers = &mut self.versions.placers;
        let placer = placers.entry(frame.place.clone()).or_default();
        let offers = placer.warm_up_offers.entry(frame.peer.clone()).or_default();
        offers.retain(|offer| offer.time_us + window.length_us > frame.time_us);
        offers.push(ReadOffer {
            time_us: frame.time_us,
            frame: frame.number,
        });
        let part = bounds.part_of_one_placer(window.offers);
        if offers.len() as f64 > part {
            let frames = offers.iter().map(|offer| offer.frame).collect();
            let text = format!(
                "placer {} sent {} offers to {} in a window while it was warming up, its part by configuration {} is {part}",
                frame.place,
                offers.len(),
                frame.peer,
                stamp.version
            );
            self.breach(Rule::Versions, frames, text);
        }
    }

    /// A node read a message.
    pub(in crate::checker) fn offer_read_by_version(&mut self, frame: &Frame, message: &Message) {
        if let Message::Offer { attempt, stamp, .. } = message {
            let node = self.versions.nodes.entry(frame.place.clone()).or_default();
            let read = OfferRead {
                stamp: *stamp,
                floor: node.floor(),
                frame: frame.number,
            };
            if let Some(stamp) = stamp {
                node.read_offer(stamp);
            }
            self.versions.offers_read.insert(*attempt, read);
        }
    }

    /// A node wrote a message.
    pub(in crate::checker) fn config_message_from_node(
        &mut self,
        frame: &Frame,
        message: &Message,
    ) {
        match message {
            Message::Welcome {
                acceptor_report: Some(report),
                ..
            }
            | Message::AcceptorReport(report) => self.acceptor_report(frame, report),
            Message::Accepted { attempt, .. } => self.check_floor(frame, attempt),
            Message::Rejected {
                reason: RejectionReason::Superseded,
                attempt,
                ..
            } => {
                if let Some(placer) = self.incarnations.get(&attempt.incarnation).cloned() {
                    let placer = self.versions.placers.entry(placer).or_default();
                    placer.superseded += 1;
                }
            }
            _ => {}
        }
    }

    /// A node accepted an offer, which must not be below its floor.
    fn check_floor(&mut self, frame: &Frame, attempt: &AttemptId) {
        let Some(read) = self.versions.offers_read.get(attempt).copied() else {
            return;
        };
        let floor = read.floor;
        let node = self.versions.nodes.get(&frame.place);
        let below = match read.stamp {
            Some(stamp) => stamp.level() < floor,
            None => node.is_some_and(|node| node.requires_stamp(floor)),
        };
        if below {
            let level = read.stamp.map(|stamp| format!("level {}", stamp.level()));
            let text = format!(
                "{} accepted an offer by {}, its floor was {floor}",
                frame.place,
                level.unwrap_or("no configuration".to_owned())
            );
            self.breach(Rule::Versions, vec![read.frame, frame.number], text);
        }
    }

    fn acceptor_report(&mut self, frame: &Frame, report: &AcceptorReport) {
        let versions = &mut self.versions;
        let node = versions.nodes.entry(frame.place.clone()).or_default();
        let before = node.report.replace(*report);
        // What a learner reports is its floor of then, also that of a new incarnation.
        node.learner_floor = report.is_learner.then(|| report.floor());
        if report.committed.number > 0 {
            node.first_committed.get_or_insert(report.committed);
        }
        let joint = report.accepted.filter(|next| next.joint);
        if !report.cannot_persist {
            node.joint.extend(joint.map(|next| next.version));
        }
        if let Some(next) = joint {
            versions.joint(next.version, frame.time_us);
        }
        let advanced =
            before.is_some_and(|before| before.committed.number < report.committed.number);
        let first = !versions.is_committed(report.committed);
        versions.committed(report.committed, frame.time_us);
        if advanced && first {
            self.check_majority(frame, report.committed);
        }
    }

    /// At the first node that reports a configuration as committed: a majority of the voters had accepted it as joint.
    fn check_majority(&mut self, frame: &Frame, version: ConfigVersion) {
        let voters = self.voters();
        let nodes = self.versions.nodes.iter();
        let accepted = nodes
            .filter(|(name, node)| node.joint.contains(&version) && voters.contains(name.as_str()));
        let accepted = accepted.count();
        if accepted < voters.len() / 2 + 1 {
            let text = format!(
                "configuration {version} was committed at {} when {accepted} of {} voters had accepted it",
                frame.place,
                voters.len()
            );
            self.breach(Rule::Versions, vec![frame.number], text);
        }
    }

    /// The nodes that vote on configurations: those that the lists mark, or all.
    fn voters(&self) -> BTreeSet<&str> {
        let placers = self.placers.values();
        let marked: BTreeSet<&str> = placers
            .flat_map(|placer| &placer.control)
            .map(String::as_str)
            .collect();
        if !marked.is_empty() {
            return marked;
        }
        let placers = self.placers.values();
        let listed = placers.flat_map(|placer| placer.locations.keys());
        listed.map(String::as_str).collect()
    }
}
