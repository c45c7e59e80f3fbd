//! Plans: what the node keeps of them, whom it tells, and which offers it admits by them. A learner keeps none and goes
//! by the floor that it has learned.

use std::io;

use reedring::names::machine_id;
use reedring_node_protocol::{
    AcceptorReport, ConfigRequest, Message, RejectionReason, VersionStamp,
};
use reedring_plan::{
    AcceptorState, ConfigDocument, ConfigVersion, Delta, DeltaStep, LearnerState, OfferRejection,
    PlacerRecord, RequestRejection, delta,
};

use super::Node;
use super::types::{Effect, LinkId};

/// Where a node keeps its memory of plans: what it was given is durable once this returns.
pub trait Keep: Send {
    /// Keeps these bytes in place of those before, whole or not at all.
    ///
    /// # Errors
    /// Where they could not be made durable; those before still are.
    fn keep(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Microseconds within which a placer that was seen is written down.
const SEEN_US: u64 = 1_000_000;

/// A memory of plans, and what of it could not be written.
#[derive(Default)]
pub(super) struct Plans {
    /// What is acted by: further than what is durable where that could not be written.
    acts: AcceptorState,
    keep: Option<Box<dyn Keep>>,
    /// The plan that was in force here before, for placers that are one behind; a restart loses it.
    former: Option<ConfigDocument>,
    /// What a learner goes by, in place of all the rest.
    learned: LearnerState,
    /// What should be kept can't be written.
    stuck: bool,
    /// Since when the floor is what it is.
    floor_us: u64,
    /// Seconds since 1970 when the node's clock was 0.
    epoch_s: u64,
    /// When placers that were seen are written at the latest: each of them by itself would be a sync a greeting.
    pub(super) seen_due: Option<u64>,
    /// How much was written, for whoever measures.
    pub(super) writes: (u64, u64),
}

impl Plans {
    /// Makes this the memory, durable first. Whether it is.
    fn keep(&mut self, memory: AcceptorState) -> bool {
        if let Some(keep) = &mut self.keep {
            let bytes = memory.encode();
            self.writes = (self.writes.0 + 1, self.writes.1 + bytes.len() as u64);
            self.seen_due = None;
            self.stuck = keep.keep(&bytes).is_err();
            if self.stuck {
                return false;
            }
        }
        self.take(memory);
        true
    }

    /// Acts by this memory from now on.
    fn take(&mut self, memory: AcceptorState) {
        if memory.committed_version() != self.acts.committed_version() {
            self.former = self.acts.committed.take();
        }
        self.acts = memory;
    }

    /// What changed from a plan that a placer has to the one that it asks for, where that is known and shorter.
    fn delta(&self, have: ConfigVersion, wanted: ConfigVersion) -> Option<Delta> {
        let former = || {
            let base = self.former.as_ref().filter(|kept| kept.version() == have)?;
            delta::shorter_than_text(
                base,
                self.acts
                    .committed
                    .as_ref()
                    .filter(|kept| kept.version() == wanted)?,
            )
        };
        self.acts.delta(have, wanted).or_else(former)
    }
}

impl Node {
    /// Gives the node what a life before kept, and where it keeps what comes. `unix_s` is the time of day, in seconds
    /// since 1970, when the node's clock was 0.
    pub fn remembers(&mut self, memory: AcceptorState, keep: Option<Box<dyn Keep>>, unix_s: u64) {
        let floor_us = self.started_us;
        self.plans = Plans {
            acts: memory,
            keep,
            floor_us,
            epoch_s: unix_s,
            ..Plans::default()
        };
    }

    /// What it keeps of plans, as placers are told.
    pub fn record(&self, now_us: u64) -> AcceptorReport {
        let kept = if self.config.votes {
            self.plans.acts.report()
        } else {
            self.plans.learned.report()
        };
        let floor = kept.floor();
        let linked = self.placers.values().filter(|placer| placer.link.is_some());
        let stamps = linked.filter_map(|placer| placer.stamp);
        let (mut linked, mut behind) = (0, 0);
        for stamp in stamps {
            linked += 1;
            behind += u16::from(stamp.level() < floor);
        }
        let floor_ms = now_us.saturating_sub(self.plans.floor_us) / 1_000;
        let stuck = kept.cannot_persist
            || self.plans.stuck
            || self.plans.acts.installed_by_catch_up && !self.has_settled(now_us);
        AcceptorReport {
            floor_age_ms: floor_ms,
            connected_placers: linked,
            lagging_placers: behind,
            cannot_persist: stuck,
            reads_deltas: true,
            ..kept
        }
    }

    /// Writes of its memory of plans, and their bytes.
    pub fn plan_writes(&self) -> (u64, u64) {
        self.plans.writes
    }

    /// It is up for longer than any change takes, so what it may have voted for in a life before is over.
    fn has_settled(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.started_us) >= self.config.vote_after_ms * 1_000
    }

    /// Remembers by what a placer acts; a row that can't be written is no reason to turn it away.
    pub(super) fn sees(&mut self, now_us: u64, placer: &str, stamp: Option<VersionStamp>) {
        if !self.config.votes {
            return;
        }
        let (level, build) = stamp.map_or((0, 0), |stamp| (stamp.level(), stamp.build));
        let last_seen_s = self.plans.epoch_s + now_us / 1_000_000;
        if self.plans.acts.record_placer(
            machine_id(placer).0,
            PlacerRecord {
                level,
                last_seen_s,
                build,
            },
        ) {
            self.plans.seen_due.get_or_insert(now_us + SEEN_US);
        }
    }

    /// Writes the placers that were seen, once that is due.
    pub(super) fn keep_seen(&mut self, now_us: u64) {
        if self.plans.seen_due.take_if(|due| *due <= now_us).is_some() && !self.plans.stuck {
            let memory = self.plans.acts.clone();
            self.plans.keep(memory);
        }
    }

    /// Tells every placer that knows plans what is kept now.
    fn tell_record(&mut self, now_us: u64) {
        let record = self.record(now_us);
        let links: Vec<LinkId> = self
            .placers
            .values()
            .filter(|placer| placer.stamp.is_some())
            .filter_map(|p| p.link)
            .collect();
        self.effects.extend(
            links
                .into_iter()
                .map(|link| Effect::Send(link, Message::AcceptorReport(record))),
        );
    }

    /// An order to the node's memory.
    pub(super) fn ordered(&mut self, now_us: u64, link: LinkId, order: &ConfigRequest) {
        if let ConfigRequest::Fetch { version, have } = order {
            if let Some(delta) = have.and_then(|have| self.plans.delta(have, *version)) {
                return self
                    .effects
                    .push(Effect::Send(link, Message::ConfigDelta(delta)));
            }
            let text = self
                .plans
                .acts
                .text(*version)
                .unwrap_or_default()
                .to_owned();
            return self.effects.push(Effect::Send(
                link,
                Message::ConfigText {
                    version: *version,
                    text,
                },
            ));
        }
        if let ConfigRequest::Query { stamp } = order
            && let Some(name) = self.links.get(&link).cloned()
        {
            self.sees(now_us, &name, Some(*stamp));
            self.placers.entry(name).or_default().stamp = Some(*stamp);
        }
        if !self.config.votes {
            return self.ordered_learner(now_us, link, order);
        }
        let floor = self.plans.acts.floor();
        match self.plans.acts.apply(order, self.has_settled(now_us)) {
            Ok(new) => {
                let vote = matches!(
                    order,
                    ConfigRequest::Prepare { .. }
                        | ConfigRequest::Accept { .. }
                        | ConfigRequest::ByDelta {
                            step: DeltaStep::Accept { .. },
                            ..
                        }
                );
                if !self.plans.keep(new.clone()) && !vote {
                    // What a majority has kept is acted by all the same; it only counts for nothing here.
                    self.plans.take(new);
                }
                if self.plans.acts.floor() != floor {
                    self.plans.floor_us = now_us;
                }
                if let ConfigRequest::Prepare { .. } = order {
                    // A promise concerns the placer that asked for it alone.
                    self.effects.push(Effect::Send(
                        link,
                        Message::AcceptorReport(self.record(now_us)),
                    ));
                } else {
                    self.tell_record(now_us);
                }
            }
            Err(RequestRejection::Unchanged) if self.plans.stuck => {
                // The same again, and there may be room now.
                let memory = self.plans.acts.clone();
                self.plans.keep(memory);
                self.tell_record(now_us);
            }
            Err(_) => {
                let record = self.record(now_us);
                self.effects
                    .push(Effect::Send(link, Message::AcceptorReport(record)));
            }
        }
    }

    /// A placer acts by this stamp: a learner's floor rises to the joint form of its plan. Nobody is told: whoever is
    /// behind hears of it where it sends something, so that a change costs no message a learner.
    pub(super) fn learn(&mut self, now_us: u64, stamp: &VersionStamp) {
        if !self.config.votes && self.plans.learned.raise_floor(stamp) {
            self.plans.floor_us = now_us;
        }
    }

    /// An order to a learner: it casts no vote, and takes what its sender acts by or says is decided for its floor.
    fn ordered_learner(&mut self, now_us: u64, link: LinkId, order: &ConfigRequest) {
        match order {
            ConfigRequest::RaiseFloor { stamp } => self.learn(now_us, stamp),
            ConfigRequest::EnterJoint { version, list, .. }
            | ConfigRequest::Commit { version, list, .. } => {
                let stamp = VersionStamp {
                    version: *version,
                    joint: true,
                    list_revision: *list,
                    build: 0,
                };
                self.learn(now_us, &stamp);
            }
            ConfigRequest::ByDelta {
                step: DeltaStep::EnterJoint | DeltaStep::Commit,
                delta,
                list,
            } => {
                let stamp = VersionStamp {
                    version: delta.target,
                    joint: true,
                    list_revision: *list,
                    build: 0,
                };
                self.learn(now_us, &stamp);
            }
            ConfigRequest::Query { .. }
            | ConfigRequest::Fetch { .. }
            | ConfigRequest::Prepare { .. }
            | ConfigRequest::Accept { .. }
            | ConfigRequest::ByDelta {
                step: DeltaStep::Accept { .. },
                ..
            } => {}
        }
        let record = self.record(now_us);
        self.effects
            .push(Effect::Send(link, Message::AcceptorReport(record)));
    }

    fn admits(&self, stamp: Option<&VersionStamp>) -> Result<(), OfferRejection> {
        if self.config.votes {
            self.plans.acts.check_offer(stamp)
        } else {
            self.plans.learned.check_offer(stamp)
        }
    }

    /// Why an offer is not admitted, if it is not. Its placer is told what is kept here, so that it can catch up.
    pub(super) fn superseded(
        &mut self,
        now_us: u64,
        placer: &str,
        stamp: Option<&VersionStamp>,
    ) -> Option<RejectionReason> {
        if !self.config.plans || self.admits(stamp).is_ok() {
            return None;
        }
        if stamp.is_none() {
            // Who knows no plans knows no such reason.
            return Some(RejectionReason::Unsupported);
        }
        let record = self.record(now_us);
        self.tell(placer, Message::AcceptorReport(record));
        Some(RejectionReason::Superseded)
    }
}
