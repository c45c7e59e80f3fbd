//! What a placer asks of nodes next, so that a change of the plan comes in force: any placer carries on what another
//! began.

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring_nodeproto::{Ballot, Order, Record, Version};

use crate::fleet::{Fleet, Kin};
use crate::text::Kept;

/// Texts of plans that a placer has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Texts(BTreeMap<Version, Arc<str>>);

impl Texts {
    /// Takes a plan in.
    pub fn add(&mut self, kept: &Kept) {
        self.0.insert(kept.version(), kept.text().into());
    }

    /// The text of a plan.
    pub fn get(&self, version: Version) -> Option<&str> {
        self.0.get(&version).map(AsRef::as_ref)
    }

    /// Forgets plans of smaller numbers than these.
    pub fn forget_before(&mut self, number: u64) {
        self.0.retain(|version, _| version.number >= number);
    }
}

/// The ballot that a placer has in the running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Running {
    follows: Version,
    ballot: Ballot,
    /// What it proposes, once a majority has answered: never another for the same ballot.
    proposes: Option<Version>,
}

/// Where a change stands, as one placer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// No change is under way.
    Quiet,
    /// A plan is offered to nodes, and not decided.
    Offered,
    /// This plan is the next one; nodes become joint.
    Joint(Version),
}

/// Brings plans in force, by orders to nodes. It knows no time: [`Pace`](crate::Pace) says when.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Maker {
    /// The placer's life: no other uses its ballots.
    life: u64,
    running: Option<Running>,
}

impl Maker {
    /// The maker of a placer that has just begun this life.
    pub fn new(life: u64) -> Self {
        Self { life, running: None }
    }

    /// What to ask of which node now.
    ///
    /// | what nodes told | order |
    /// | --- | --- |
    /// | a plan in force or decided, and its text is not here | fetch it from those that have it |
    /// | a node is behind the plan in force | force |
    /// | the next plan is decided, and a node is not joint | joint |
    /// | a majority of the list is joint | force, to those that are joint |
    /// | not decided, and `proposes` is told or something was kept | see below |
    /// | else | nothing |
    ///
    /// A ballot of this placer's own runs in two rounds: prepare to all; once a majority has answered it, accept to all,
    /// with the plan that was kept with the greatest ballot among those that answered, and the own one only where
    /// none was. A ballot of another placer is left alone until `may_outbid`.
    pub fn next(
        &mut self,
        may_outbid: bool,
        fleet: &Fleet,
        force: Version,
        proposes: Option<&Kept>,
        texts: &Texts,
    ) -> (Step, Vec<(u32, Order)>) {
        let mut orders = Vec::new();
        let force = force.max(fleet.force());
        let told = |kin: &Kin| kin.record().copied();
        let records: Vec<(u32, Record)> =
            fleet.nodes.iter().filter_map(|(node, kin)| Some((*node, told(kin)?))).collect();
        if force.number > 0 {
            for (node, record) in &records {
                match texts.get(force) {
                    Some(text) if record.force.number < force.number => {
                        let text = text.to_owned();
                        orders.push((*node, Order::Force { version: force, text, list: fleet.list }));
                    }
                    None if record.force == force => orders.push((*node, Order::Fetch { version: force })),
                    _ => {}
                }
            }
        }
        let here = |record: &Record| record.force == force;
        let step = match fleet.decided(force) {
            Some(next) => {
                self.running = None;
                self.bring(fleet, &records, force, next, texts, &mut orders);
                Step::Joint(next)
            }
            None => {
                let offered = records.iter().any(|(_, record)| here(record) && record.next.is_some());
                let proposes = proposes.filter(|kept| {
                    kept.version().number > force.number
                        && (force.number == 0 || kept.version().number == force.number + 1)
                });
                if offered || proposes.is_some() {
                    self.run(may_outbid, fleet, &records, force, proposes, texts, &mut orders);
                    Step::Offered
                } else {
                    Step::Quiet
                }
            }
        };
        (step, orders)
    }

    /// The next plan is decided: nodes become joint, and once a majority is, it comes in force.
    fn bring(
        &self,
        fleet: &Fleet,
        records: &[(u32, Record)],
        force: Version,
        next: Version,
        texts: &Texts,
        orders: &mut Vec<(u32, Order)>,
    ) {
        let has = |record: &Record| record.next.is_some_and(|kept| kept.version == next);
        let Some(text) = texts.get(next) else {
            let fetch = records.iter().filter(|(_, record)| has(record));
            return orders.extend(fetch.map(|(node, _)| (*node, Order::Fetch { version: next })));
        };
        let enough = fleet.joint_at(next) >= fleet.majority();
        for (node, record) in records.iter().filter(|(_, record)| record.force == force) {
            let joint = record.next.is_some_and(|kept| kept.joint && kept.version == next);
            let (version, text, list) = (next, text.to_owned(), fleet.list);
            if !joint {
                orders.push((*node, Order::Joint { follows: force, version, text, list }));
            } else if enough {
                orders.push((*node, Order::Force { version, text, list }));
            }
        }
    }

    /// Nothing is decided: a ballot of this placer's own, or of another that is given its time.
    #[allow(clippy::too_many_arguments)]
    fn run(
        &mut self,
        may_outbid: bool,
        fleet: &Fleet,
        records: &[(u32, Record)],
        force: Version,
        proposes: Option<&Kept>,
        texts: &Texts,
        orders: &mut Vec<(u32, Order)>,
    ) {
        let here = || records.iter().filter(|(_, record)| record.force == force);
        let greatest = here().map(|(_, record)| record.promised).max().unwrap_or_default();
        let mine = self.running.filter(|running| running.follows == force && running.ballot >= greatest);
        let Some(mut running) = mine else {
            if greatest.round > 0 && !may_outbid {
                return;
            }
            let ballot = Ballot { round: greatest.round + 1, by: self.life };
            self.running = Some(Running { follows: force, ballot, proposes: None });
            let prepare = Order::Prepare { follows: force, ballot, list: fleet.list };
            return orders.extend(here().map(|(node, _)| (*node, prepare.clone())));
        };
        let ballot = running.ballot;
        let answered = || here().filter(|(_, record)| record.promised == ballot);
        if running.proposes.is_none() && answered().count() >= fleet.majority() {
            let kept = answered().filter_map(|(_, record)| record.next).max_by_key(|next| next.ballot);
            running.proposes = kept.map(|next| next.version).or(proposes.map(Kept::version));
            self.running = Some(running);
        }
        let Some(version) = running.proposes else {
            let open = here().filter(|(_, record)| record.promised < ballot);
            let prepare = Order::Prepare { follows: force, ballot, list: fleet.list };
            return orders.extend(open.map(|(node, _)| (*node, prepare.clone())));
        };
        let Some(text) = texts.get(version) else {
            let has = here().filter(|(_, record)| record.next.is_some_and(|next| next.version == version));
            return orders.extend(has.map(|(node, _)| (*node, Order::Fetch { version })));
        };
        let open = here().filter(|(_, record)| record.next.is_none_or(|next| next.ballot != ballot));
        let (text, list) = (text.to_owned(), fleet.list);
        let accept = Order::Accept { follows: force, ballot, version, text, list };
        orders.extend(open.map(|(node, _)| (*node, accept.clone())));
    }
}
