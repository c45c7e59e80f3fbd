//! The check of plans, beside the five rules: no node accepts what is under its floor - a learner's rises with what it
//! reads -, no plan is in force without a majority of the voters, nobody acts by less than the stricter of two plans. Judged from records, stamps and texts alone.

use std::collections::{BTreeMap, BTreeSet};

use reedring_node_protocol::{
    AcceptorReport, AttemptId, ConfigRequest, ConfigVersion, Delta, DeltaStep, Edit, Message,
    Reason, SectionKey, VersionStamp, version_level,
};
use serde::Deserialize;

use super::told::time;
use super::{Judge, Rule};
use crate::trace::Frame;

/// What a plan's text says of cold nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Cold {
    placers: u32,
    offers: Option<f64>,
    window_us: Option<u64>,
    warm_us: Option<u64>,
}

#[derive(Deserialize)]
struct Text {
    site: TextSite,
}

#[derive(Deserialize)]
struct TextSite {
    placers: u32,
    cold_offers: Option<f64>,
    cold_window: Option<String>,
    warm_after: Option<String>,
}

/// What one node told of itself last.
#[derive(Debug, Default)]
struct Node {
    record: Option<AcceptorReport>,
    /// The floor that a learner has by what it told and by the offers that it read since; none where it keeps plans.
    learned: Option<u64>,
    /// The first plan that it told to be in force.
    first: Option<ConfigVersion>,
    /// Plans that it told to have kept as joint, or as in force.
    joint: BTreeSet<ConfigVersion>,
}

impl Node {
    /// What is under this level it refuses.
    fn floor(&self) -> u64 {
        self.learned
            .or(self.record.map(|record| record.floor()))
            .unwrap_or(0)
    }

    /// An offer by this stamp raises a learner's floor to the joint form of its plan.
    fn reads(&mut self, stamp: &VersionStamp) {
        let raised = version_level(stamp.version, true);
        self.learned = self.learned.map(|floor| floor.max(raised));
    }
}

/// By what a placer acted, since when.
#[derive(Debug)]
struct Acted {
    time_us: u64,
    stamp: VersionStamp,
}

#[derive(Debug, Default)]
struct Placer {
    /// It has begun another life.
    began: bool,
    acted: Vec<Acted>,
    superseded: usize,
    /// Offers to cold nodes, by node and in their order.
    cold: BTreeMap<String, Vec<(u64, usize)>>,
}

/// What the trace told of plans so far.
#[derive(Debug, Default)]
pub(super) struct Versions {
    nodes: BTreeMap<String, Node>,
    placers: BTreeMap<String, Placer>,
    texts: BTreeMap<ConfigVersion, Cold>,
    /// When a plan was first offered, joint anywhere, and in force anywhere.
    steps: BTreeMap<ConfigVersion, [Option<u64>; 3]>,
    /// Stamps of offers as nodes read them, with the floor there and then.
    read: BTreeMap<AttemptId, (Option<VersionStamp>, u64, usize)>,
}

impl Versions {
    fn step(&mut self, version: ConfigVersion, step: usize, time_us: u64) {
        if version.number > 0 {
            self.steps.entry(version).or_default()[step].get_or_insert(time_us);
        }
    }

    fn text(&mut self, version: ConfigVersion, text: &str) {
        if self.texts.contains_key(&version) {
            return;
        }
        if let Ok(Text { site }) = toml::from_str(text) {
            let window_us = time(site.cold_window.as_ref());
            let warm_us = time(site.warm_after.as_ref());
            let cold = Cold {
                placers: site.placers,
                offers: site.cold_offers,
                window_us,
                warm_us,
            };
            self.texts.insert(version, cold);
        }
    }

    /// A plan whose text was told as what changed: of cold nodes only `[site]` says anything.
    fn changed_text(&mut self, delta: &Delta) {
        let site = delta.edits.iter().find_map(|edit| match edit {
            Edit::Put {
                key: SectionKey::Site,
                text,
                ..
            } => Some(text),
            _ => None,
        });
        match (site, self.texts.get(&delta.base).copied()) {
            (Some(site), _) => self.text(delta.target, site),
            (None, Some(base)) => drop(self.texts.entry(delta.target).or_insert(base)),
            (None, None) => {}
        }
    }

    /// The stricter of a plan and, where joint, the one before.
    fn bound(&self, stamp: &VersionStamp) -> Option<Cold> {
        let new = *self.texts.get(&stamp.version)?;
        let before = |version: &&ConfigVersion| version.number + 1 == stamp.version.number;
        let old = self
            .texts
            .keys()
            .find(before)
            .filter(|_| stamp.joint)
            .map(|version| self.texts[version]);
        let Some(old) = old else { return Some(new) };
        Some(Cold {
            placers: new.placers.max(old.placers),
            offers: new.offers.into_iter().chain(old.offers).reduce(f64::min),
            window_us: new.window_us.max(old.window_us),
            warm_us: new.warm_us.max(old.warm_us),
        })
    }

    /// A placer begins a life: it may act by less than in the one before.
    pub(super) fn began(&mut self, placer: &str) {
        self.placers.entry(placer.to_owned()).or_default().began = true;
    }

    /// Offers of a stamp that is under this node's floor are turned away at the door.
    pub(super) fn turned_away(&self, node: &str, stamp: Option<&VersionStamp>) -> bool {
        let floor = self.nodes.get(node).map_or(0, Node::floor);
        stamp.is_some_and(|stamp| stamp.level() < floor)
    }
}

impl Judge {
    /// What a placer sent to a node.
    pub(super) fn plan_sent(&mut self, frame: &Frame, message: &Message) {
        let versions = &mut self.versions;
        match message {
            Message::Hello {
                acts: Some((stamp, _)),
                ..
            }
            | Message::ConfigRequest(ConfigRequest::Query { stamp }) => {
                acts(versions, frame, stamp);
            }
            Message::Offer {
                stamp: Some(stamp), ..
            } => {
                acts(versions, frame, stamp);
                self.cold_part(frame, *stamp);
            }
            Message::ConfigRequest(ConfigRequest::Accept { version, text, .. }) => {
                versions.text(*version, text);
                versions.step(*version, 0, frame.time_us);
            }
            Message::ConfigRequest(ConfigRequest::ByDelta { step, delta, .. }) => {
                versions.changed_text(delta);
                if let DeltaStep::Accept { .. } = step {
                    versions.step(delta.target, 0, frame.time_us);
                }
            }
            Message::ConfigRequest(
                ConfigRequest::EnterJoint { version, text, .. }
                | ConfigRequest::Commit { version, text, .. },
            ) => {
                versions.text(*version, text);
            }
            _ => {}
        }
    }

    /// Its part of a cold node's budget, by the stricter of the plans that it acts by.
    fn cold_part(&mut self, frame: &Frame, stamp: VersionStamp) {
        let born = self.nodes.get(&frame.peer).map(|life| life.started_us);
        let Some((bound, born)) = self.versions.bound(&stamp).zip(born) else {
            return;
        };
        let Some(((offers, window), warm)) = bound.offers.zip(bound.window_us).zip(bound.warm_us)
        else {
            return;
        };
        if frame.time_us >= born + warm {
            return;
        }
        let placer = self
            .versions
            .placers
            .entry(frame.place.clone())
            .or_default();
        let sent = placer.cold.entry(frame.peer.clone()).or_default();
        sent.retain(|(at, _)| at + window > frame.time_us);
        sent.push((frame.time_us, frame.number));
        let part = (offers / f64::from(bound.placers.max(1))).floor().max(1.0);
        if sent.len() as f64 > part {
            let frames = sent.iter().map(|(_, number)| *number).collect();
            let text = format!(
                "placer {} sent {} offers to cold {} in a window, its part by plan {} is {part}",
                frame.place,
                sent.len(),
                frame.peer,
                stamp.version
            );
            self.breach(Rule::Versions, frames, text);
        }
    }

    /// What a node read.
    pub(super) fn plan_read(&mut self, frame: &Frame, message: &Message) {
        if let Message::Offer { attempt, stamp, .. } = message {
            let node = self.versions.nodes.entry(frame.place.clone()).or_default();
            let floor = node.floor();
            stamp.iter().for_each(|stamp| node.reads(stamp));
            self.versions
                .read
                .insert(*attempt, (*stamp, floor, frame.number));
        }
    }

    /// What a node told.
    pub(super) fn plan_told(&mut self, frame: &Frame, message: &Message) {
        match message {
            Message::Welcome {
                record: Some(record),
                ..
            }
            | Message::AcceptorReport(record) => self.recorded(frame, record),
            Message::Accepted { attempt, .. } => {
                let Some((stamp, floor, read)) = self.versions.read.get(attempt).copied() else {
                    return;
                };
                let node = self.versions.nodes.get(&frame.place);
                let replaced = node.is_some_and(|node| {
                    let later = |record: AcceptorReport| {
                        Some(record.force) != node.first && node.first.is_some()
                    };
                    node.record.is_some_and(later) || node.learned.is_some() && floor > 0
                });
                let level = stamp.map(|stamp| stamp.level());
                if level.is_some_and(|level| level < floor) || level.is_none() && replaced {
                    let told = level.map_or("no plan".to_owned(), |level| format!("level {level}"));
                    let text = format!(
                        "{} accepted an offer by {told}, its floor was {floor}",
                        frame.place
                    );
                    self.breach(Rule::Versions, vec![read, frame.number], text);
                }
            }
            Message::Refused {
                reason: Reason::Superseded,
                attempt,
                ..
            } => {
                if let Some(placer) = self.lives.get(&attempt.life).cloned() {
                    self.versions.placers.entry(placer).or_default().superseded += 1;
                }
            }
            _ => {}
        }
    }

    fn recorded(&mut self, frame: &Frame, record: &AcceptorReport) {
        let versions = &mut self.versions;
        let node = versions.nodes.entry(frame.place.clone()).or_default();
        let before = node.record.replace(*record);
        // What a learner tells is its floor of then, also that of a new life.
        node.learned = record.learns.then(|| record.floor());
        if record.force.number > 0 {
            node.first.get_or_insert(record.force);
        }
        if let Some(next) = record.next.filter(|next| next.joint) {
            versions.step(next.version, 1, frame.time_us);
        }
        let node = versions.nodes.entry(frame.place.clone()).or_default();
        if !record.stuck {
            node.joint.extend(
                record
                    .next
                    .filter(|next| next.joint)
                    .map(|next| next.version),
            );
        }
        let rose = before.is_some_and(|before| before.force.number < record.force.number);
        let new = versions
            .steps
            .get(&record.force)
            .is_none_or(|steps| steps[2].is_none());
        versions.step(record.force, 2, frame.time_us);
        if rose && new {
            // The first node at which it is in force: a majority of the voters had kept it as joint by then.
            let control: BTreeSet<&String> = self
                .placers
                .values()
                .flat_map(|placer| &placer.control)
                .collect();
            let listed = self.placers.values().flat_map(|placer| placer.spots.keys());
            let voters: BTreeSet<&String> = if control.is_empty() {
                listed.collect()
            } else {
                control
            };
            let kept = self
                .versions
                .nodes
                .iter()
                .filter(|(_, node)| node.joint.contains(&record.force));
            let kept: Vec<&String> = kept
                .map(|(name, _)| name)
                .filter(|name| voters.contains(name))
                .collect();
            if kept.len() < voters.len() / 2 + 1 {
                let text = format!(
                    "plan {} was in force at {} when {} of {} voters had kept it",
                    record.force,
                    frame.place,
                    kept.len(),
                    voters.len()
                );
                self.breach(Rule::Versions, vec![frame.number], text);
            }
        }
    }

    /// One plan a number, and what became of each plan and placer, in lines.
    pub(super) fn plans_at_the_end(&mut self) {
        let in_force: Vec<ConfigVersion> = self
            .versions
            .steps
            .iter()
            .filter(|(_, steps)| steps[2].is_some())
            .map(|(v, _)| *v)
            .collect();
        for two in in_force
            .windows(2)
            .filter(|two| two[0].number == two[1].number)
        {
            self.breach(
                Rule::Versions,
                Vec::new(),
                format!("plans {} and {} were both in force", two[0], two[1]),
            );
        }
        let at = |time: Option<u64>| {
            time.map_or("never".to_owned(), |us| format!("{:.3} s", us as f64 / 1e6))
        };
        let mut lines: Vec<String> = Vec::new();
        for (version, [offered, joint, force]) in &self.versions.steps {
            let (offered, joint, force) = (at(*offered), at(*joint), at(*force));
            lines.push(format!(
                "plan {version}: offered {offered}, joint {joint}, in force {force}"
            ));
        }
        for (name, placer) in self
            .versions
            .placers
            .iter()
            .filter(|(_, placer)| !placer.acted.is_empty())
        {
            let acted = placer.acted.iter().map(|acted| {
                let joint = if acted.stamp.joint { "joint " } else { "" };
                let Acted { time_us, stamp } = acted;
                let at = *time_us as f64 / 1e6;
                format!(
                    "{joint}{} from {at:.3} s (list {}, build {:08x})",
                    stamp.version, stamp.list, stamp.build
                )
            });
            let acted: Vec<String> = acted.collect();
            let behind = self.behind(placer);
            lines.push(format!(
                "placer {name}: {}; behind for {:.3} s, {} offers superseded",
                acted.join(", "),
                behind as f64 / 1e6,
                placer.superseded
            ));
        }
        self.report.plans = lines;
    }

    /// For how long a placer acted by a plan that another had replaced.
    fn behind(&self, placer: &Placer) -> u64 {
        let ends = placer
            .acted
            .iter()
            .skip(1)
            .map(|next| next.time_us)
            .chain([self.last_us]);
        let spans = placer.acted.iter().zip(ends);
        let late = spans.map(|(acted, end)| {
            let newer = self
                .versions
                .steps
                .iter()
                .filter(|(v, _)| v.number > acted.stamp.version.number);
            let replaced = newer.filter_map(|(_, steps)| steps[2]).min();
            replaced.map_or(0, |replaced| {
                end.saturating_sub(replaced.max(acted.time_us))
            })
        });
        late.sum()
    }
}

fn acts(versions: &mut Versions, frame: &Frame, stamp: &VersionStamp) {
    let placer = versions.placers.entry(frame.place.clone()).or_default();
    // Links write by themselves, so what was decided before may be written after: only what goes on is news.
    let last = placer.acted.last().map_or(0, |acted| acted.stamp.level());
    if std::mem::take(&mut placer.began) || stamp.level() > last {
        placer.acted.push(Acted {
            time_us: frame.time_us,
            stamp: *stamp,
        });
    }
}
