//! What a placer asks of nodes next, so that a change of the plan comes in force: any placer carries on what another
//! began.

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring_node_protocol::{AcceptorReport, Ballot, ConfigRequest, ConfigVersion};

use crate::fleet::ClusterView;
use crate::membership::MemberRole;
use crate::text::ConfigDocument;

/// Texts of plans that a placer has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentCache(BTreeMap<ConfigVersion, Arc<str>>);

impl DocumentCache {
    /// Takes a plan in.
    pub fn add(&mut self, kept: &ConfigDocument) {
        self.0.insert(kept.version(), kept.text().into());
    }

    /// The text of a plan.
    pub fn get(&self, version: ConfigVersion) -> Option<&str> {
        self.0.get(&version).map(AsRef::as_ref)
    }

    /// A plan, if its text is here.
    pub fn kept(&self, version: ConfigVersion) -> Option<ConfigDocument> {
        ConfigDocument::checked(version, self.get(version)?).ok()
    }

    /// Forgets plans of smaller numbers than these.
    pub fn forget_before(&mut self, number: u64) {
        self.0.retain(|version, _| version.number >= number);
    }
}

/// The ballot that a placer has in the running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Running {
    follows: ConfigVersion,
    ballot: Ballot,
    /// What it proposes, once a majority has answered: never another for the same ballot.
    proposes: Option<ConfigVersion>,
}

/// Where a change stands, as one placer sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangePhase {
    /// No change is under way.
    Quiet,
    /// A plan is offered to nodes, and not decided.
    Offered,
    /// This plan is the next one; nodes become joint.
    Joint(ConfigVersion),
}

/// Brings plans in force, by orders to nodes. It knows no time: [`ProposalBackoff`](crate::Pace) says when.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// The placer's life: no other uses its ballots.
    life: u64,
    running: Option<Running>,
}

impl Proposer {
    /// The maker of a placer that has just begun this life.
    pub fn new(life: u64) -> Self {
        Self {
            life,
            running: None,
        }
    }

    /// What to ask of which node now.
    ///
    /// | what nodes told | order |
    /// | --- | --- |
    /// | a plan in force or decided, and its text is not here | fetch it from those that have it |
    /// | a node that keeps plans is behind the plan in force | force |
    /// | the next plan is decided, and a node that keeps plans is not joint | joint |
    /// | a majority of the voters is joint | force, to those that are joint |
    /// | not decided, and `proposes` is told or something was kept | see below |
    /// | else | nothing |
    ///
    /// Learners are asked nothing. Nodes that keep plans and do not vote by this list are told what is decided, as they
    /// check offers by that.
    ///
    /// A ballot of this placer's own runs in two rounds: prepare to all voters; once a majority of them has answered it,
    /// accept to all, with the plan that was kept with the greatest ballot among those that answered, and the own one only where
    /// none was. A ballot of another placer is left alone until `may_outbid`.
    pub fn next(
        &mut self,
        may_outbid: bool,
        fleet: &ClusterView,
        force: ConfigVersion,
        proposes: Option<&ConfigDocument>,
        texts: &DocumentCache,
    ) -> (ChangePhase, Vec<(u32, ConfigRequest)>) {
        let mut orders = Vec::new();
        let force = force.max(fleet.force());
        let records: Vec<(u32, AcceptorReport)> = fleet
            .keepers()
            .map(|(node, record)| (node, *record))
            .collect();
        if force.number > 0 {
            for (node, record) in &records {
                match texts.get(force) {
                    Some(text) if record.force.number < force.number => {
                        let text = text.to_owned();
                        orders.push((
                            *node,
                            ConfigRequest::Commit {
                                version: force,
                                text,
                                list: fleet.list,
                            },
                        ));
                    }
                    None if record.force == force => orders.push((
                        *node,
                        ConfigRequest::Fetch {
                            version: force,
                            have: None,
                        },
                    )),
                    _ => {}
                }
            }
        }
        let here = |record: &AcceptorReport| record.force == force;
        let step = match fleet.decided(force) {
            Some(next) => {
                self.running = None;
                self.bring(fleet, &records, force, next, texts, &mut orders);
                ChangePhase::Joint(next)
            }
            None => {
                let offered = fleet
                    .votes()
                    .any(|(_, record)| here(record) && record.next.is_some());
                let proposes = proposes.filter(|kept| {
                    kept.version().number > force.number
                        && (force.number == 0 || kept.version().number == force.number + 1)
                });
                if offered || proposes.is_some() {
                    self.run(
                        may_outbid,
                        fleet,
                        &records,
                        force,
                        proposes,
                        texts,
                        &mut orders,
                    );
                    ChangePhase::Offered
                } else {
                    ChangePhase::Quiet
                }
            }
        };
        (step, orders)
    }

    /// The next plan is decided: nodes become joint, and once a majority is, it comes in force.
    fn bring(
        &self,
        fleet: &ClusterView,
        records: &[(u32, AcceptorReport)],
        force: ConfigVersion,
        next: ConfigVersion,
        texts: &DocumentCache,
        orders: &mut Vec<(u32, ConfigRequest)>,
    ) {
        let has = |record: &AcceptorReport| record.next.is_some_and(|kept| kept.version == next);
        let Some(text) = texts.get(next) else {
            let fetch = records.iter().filter(|(_, record)| has(record));
            return orders.extend(fetch.map(|(node, _)| {
                (
                    *node,
                    ConfigRequest::Fetch {
                        version: next,
                        have: None,
                    },
                )
            }));
        };
        let enough = fleet.joint_at(next) >= fleet.majority();
        for (node, record) in records.iter().filter(|(_, record)| record.force == force) {
            let joint = record
                .next
                .is_some_and(|kept| kept.joint && kept.version == next);
            let (version, text, list) = (next, text.to_owned(), fleet.list);
            if !joint {
                orders.push((
                    *node,
                    ConfigRequest::EnterJoint {
                        follows: force,
                        version,
                        text,
                        list,
                    },
                ));
            } else if enough {
                orders.push((
                    *node,
                    ConfigRequest::Commit {
                        version,
                        text,
                        list,
                    },
                ));
            }
        }
    }

    /// Nothing is decided: a ballot of this placer's own, or of another that is given its time.
    #[allow(clippy::too_many_arguments)]
    fn run(
        &mut self,
        may_outbid: bool,
        fleet: &ClusterView,
        records: &[(u32, AcceptorReport)],
        force: ConfigVersion,
        proposes: Option<&ConfigDocument>,
        texts: &DocumentCache,
        orders: &mut Vec<(u32, ConfigRequest)>,
    ) {
        let votes = |node: u32| fleet.member(node) == MemberRole::Voter;
        let here = || {
            records
                .iter()
                .filter(|(node, record)| votes(*node) && record.force == force)
        };
        let greatest = here()
            .map(|(_, record)| record.promised)
            .max()
            .unwrap_or_default();
        let mine = self
            .running
            .filter(|running| running.follows == force && running.ballot >= greatest);
        let Some(mut running) = mine else {
            if greatest.round > 0 && !may_outbid {
                return;
            }
            let ballot = Ballot {
                round: greatest.round + 1,
                by: self.life,
            };
            self.running = Some(Running {
                follows: force,
                ballot,
                proposes: None,
            });
            let prepare = ConfigRequest::Prepare {
                follows: force,
                ballot,
                list: fleet.list,
            };
            return orders.extend(here().map(|(node, _)| (*node, prepare.clone())));
        };
        let ballot = running.ballot;
        let answered = || here().filter(|(_, record)| record.promised == ballot);
        if running.proposes.is_none() && answered().count() >= fleet.majority() {
            let kept = answered()
                .filter_map(|(_, record)| record.next)
                .max_by_key(|next| next.ballot);
            running.proposes = kept
                .map(|next| next.version)
                .or(proposes.map(ConfigDocument::version));
            self.running = Some(running);
        }
        let Some(version) = running.proposes else {
            let open = here().filter(|(_, record)| record.promised < ballot);
            let prepare = ConfigRequest::Prepare {
                follows: force,
                ballot,
                list: fleet.list,
            };
            return orders.extend(open.map(|(node, _)| (*node, prepare.clone())));
        };
        let Some(text) = texts.get(version) else {
            let kept = records.iter().filter(|(_, record)| record.force == force);
            let has =
                kept.filter(|(_, record)| record.next.is_some_and(|next| next.version == version));
            return orders.extend(has.map(|(node, _)| {
                (
                    *node,
                    ConfigRequest::Fetch {
                        version,
                        have: None,
                    },
                )
            }));
        };
        let open =
            here().filter(|(_, record)| record.next.is_none_or(|next| next.ballot != ballot));
        let (text, list) = (text.to_owned(), fleet.list);
        let accept = ConfigRequest::Accept {
            follows: force,
            ballot,
            version,
            text,
            list,
        };
        orders.extend(open.map(|(node, _)| (*node, accept.clone())));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::PeerState;
    use crate::membership::Membership;
    use reedring_node_protocol::AcceptedVersion;

    fn plan(number: u64, text: &str) -> ConfigDocument {
        ConfigDocument::new(number, text).unwrap()
    }

    fn texts() -> DocumentCache {
        let mut texts = DocumentCache::default();
        [plan(1, "one"), plan(2, "a"), plan(2, "b")]
            .iter()
            .for_each(|kept| texts.add(kept));
        texts
    }

    fn record(promised: Ballot, next: Option<(u64, &ConfigDocument, bool)>) -> AcceptorReport {
        let introduced = |(round, kept, joint): (u64, &ConfigDocument, bool)| AcceptedVersion {
            ballot: Ballot { round, by: 5 },
            version: kept.version(),
            joint,
        };
        AcceptorReport {
            force: plan(1, "one").version(),
            promised,
            next: next.map(introduced),
            ..AcceptorReport::default()
        }
    }

    fn fleet(records: &[AcceptorReport]) -> ClusterView {
        let nodes = records
            .iter()
            .enumerate()
            .map(|(n, record)| (n as u32, PeerState::Told(*record)))
            .collect();
        ClusterView {
            nodes,
            ..ClusterView::default()
        }
    }

    fn next(
        maker: &mut Proposer,
        fleet: &ClusterView,
        own: Option<&ConfigDocument>,
    ) -> (ChangePhase, Vec<(u32, ConfigRequest)>) {
        maker.next(false, fleet, ConfigVersion::default(), own, &texts())
    }

    /// The ballot that a maker of life 9 begins with among nodes that have answered none.
    const FIRST: Ballot = Ballot { round: 1, by: 9 };

    /// It prepares, and once a majority has answered it accepts what that says: the newest kept, else its own.
    #[test]
    fn what_is_accepted_is_the_newest_plan_that_was_kept_among_those_that_answered() {
        let (a, b) = (plan(2, "a"), plan(2, "b"));
        let none = Ballot::default();
        // What two of three nodes that answered had kept, with which rounds, and what must be proposed then.
        for (kept, want) in [
            ([None, None], &a),
            ([Some((0, &b, false)), None], &b),
            ([Some((0, &a, false)), Some((1, &b, false))], &b),
            ([Some((1, &a, false)), Some((0, &b, false))], &a),
        ] {
            let mut maker = Proposer::new(9);
            let quiet = [record(none, None); 3];
            let (step, orders) = next(&mut maker, &fleet(&quiet), Some(&a));
            assert_eq!((step, orders.len()), (ChangePhase::Offered, 3));
            assert!(orders.iter().all(
                |(_, order)| matches!(order, ConfigRequest::Prepare { ballot, .. } if *ballot == FIRST)
            ));
            // One answer is none yet.
            let one = [
                record(FIRST, kept[0]),
                record(none, None),
                record(none, None),
            ];
            let (_, orders) = next(&mut maker, &fleet(&one), Some(&a));
            assert!(
                orders
                    .iter()
                    .all(|(_, order)| matches!(order, ConfigRequest::Prepare { .. })),
                "{orders:?}"
            );
            let two = [
                record(FIRST, kept[0]),
                record(FIRST, kept[1]),
                record(none, None),
            ];
            let (_, orders) = next(&mut maker, &fleet(&two), Some(&a));
            assert!(!orders.is_empty());
            for (_, order) in &orders {
                let ConfigRequest::Accept {
                    ballot, version, ..
                } = order
                else {
                    panic!("{order:?}")
                };
                assert_eq!((*ballot, *version), (FIRST, want.version()), "{kept:?}");
            }
            // Another answer that comes later changes nothing of that ballot.
            let three = [two[0], two[1], record(FIRST, Some((3, &b, false)))];
            let (_, orders) = next(&mut maker, &fleet(&three), Some(&a));
            let same = |(_, order): &(u32, ConfigRequest)| matches!(order, ConfigRequest::Accept { version, .. } if *version == want.version());
            assert!(orders.iter().all(same), "{kept:?}: {orders:?}");
        }
    }

    #[test]
    fn a_decided_plan_is_made_joint_and_comes_in_force_once_a_majority_has_kept_that() {
        let a = plan(2, "a");
        let at = Ballot { round: 1, by: 5 };
        let (kept, joint) = (
            record(at, Some((1, &a, false))),
            record(at, Some((1, &a, true))),
        );
        for (records, joints, forces) in [
            ([kept, kept, kept], vec![0, 1, 2], vec![]),
            ([joint, kept, kept], vec![1, 2], vec![]),
            ([joint, joint, kept], vec![2], vec![0, 1]),
            ([joint, joint, joint], vec![], vec![0, 1, 2]),
            (
                [
                    joint,
                    AcceptorReport {
                        stuck: true,
                        ..joint
                    },
                    kept,
                ],
                vec![2],
                vec![],
            ),
        ] {
            let (step, orders) = next(&mut Proposer::new(9), &fleet(&records), None);
            assert_eq!(step, ChangePhase::Joint(a.version()));
            let of = |wanted: fn(&ConfigRequest) -> bool| {
                let nodes = orders
                    .iter()
                    .filter(|(_, order)| wanted(order))
                    .map(|(node, _)| *node);
                nodes.collect::<Vec<u32>>()
            };
            assert_eq!(
                of(|order| matches!(order, ConfigRequest::EnterJoint { .. })),
                joints
            );
            assert_eq!(
                of(|order| matches!(order, ConfigRequest::Commit { .. })),
                forces
            );
        }
    }

    #[test]
    fn nodes_that_are_behind_are_told_and_texts_that_are_missing_are_fetched() {
        let one = plan(1, "one");
        let (there, behind) = (record(Ballot::default(), None), AcceptorReport::default());
        let (step, orders) = next(&mut Proposer::new(9), &fleet(&[there, behind]), None);
        assert_eq!(step, ChangePhase::Quiet);
        assert!(
            matches!(&orders[..], [(1, ConfigRequest::Commit { version, .. })] if *version == one.version()),
            "{orders:?}"
        );
        let none = DocumentCache::default();
        let (_, orders) = Proposer::new(9).next(
            false,
            &fleet(&[there, behind]),
            ConfigVersion::default(),
            None,
            &none,
        );
        assert_eq!(
            orders,
            [(
                0,
                ConfigRequest::Fetch {
                    version: one.version(),
                    have: None
                }
            )]
        );
    }

    /// A ballot of another is left alone until it has had its time, and is then carried on, not undone.
    #[test]
    fn a_change_whose_maker_died_is_carried_on_by_another() {
        let (a, b) = (plan(2, "a"), plan(2, "b"));
        let other = Ballot { round: 4, by: 5 };
        let records = [
            record(other, Some((4, &a, false))),
            record(other, None),
            record(other, None),
        ];
        let mut maker = Proposer::new(9);
        assert_eq!(next(&mut maker, &fleet(&records), Some(&b)).1, []);
        let (_, orders) = maker.next(
            true,
            &fleet(&records),
            ConfigVersion::default(),
            Some(&b),
            &texts(),
        );
        let mine = Ballot { round: 5, by: 9 };
        assert!(orders.iter().all(
            |(_, order)| matches!(order, ConfigRequest::Prepare { ballot, .. } if *ballot == mine)
        ));
        let answered = [
            record(mine, Some((4, &a, false))),
            record(mine, None),
            record(mine, None),
        ];
        let (_, orders) = next(&mut maker, &fleet(&answered), Some(&b));
        let carries = |(_, order): &(u32, ConfigRequest)| matches!(order, ConfigRequest::Accept { version, .. } if *version == a.version());
        assert!(
            !orders.is_empty() && orders.iter().all(carries),
            "{orders:?}"
        );
    }

    /// Voters 0 to 2; what else there is keeps plans and does not vote, or learns.
    fn control(records: &[AcceptorReport]) -> ClusterView {
        ClusterView {
            membership: Membership::of([0, 1, 2].into()),
            ..fleet(records)
        }
    }

    fn asked(orders: &[(u32, ConfigRequest)], wanted: fn(&ConfigRequest) -> bool) -> Vec<u32> {
        orders
            .iter()
            .filter(|(_, order)| wanted(order))
            .map(|(node, _)| *node)
            .collect()
    }

    #[test]
    fn ballots_are_asked_of_voters_and_what_is_decided_is_told_to_all_that_keep_plans() {
        let a = plan(2, "a");
        let quiet = record(Ballot::default(), None);
        let learner = AcceptorReport {
            learns: true,
            stuck: true,
            ..AcceptorReport::default()
        };
        let mut maker = Proposer::new(9);
        let (_, orders) = next(
            &mut maker,
            &control(&[quiet, quiet, quiet, quiet, learner]),
            Some(&a),
        );
        assert_eq!(
            asked(&orders, |order| matches!(
                order,
                ConfigRequest::Prepare { .. }
            )),
            [0, 1, 2]
        );
        assert_eq!(orders.len(), 3, "{orders:?}");
        // Two voters have answered; a node that does not vote changes neither the count nor what is proposed.
        let answered = record(FIRST, None);
        let b = plan(2, "b");
        let other = record(FIRST, Some((1, &b, false)));
        let (_, orders) = next(
            &mut maker,
            &control(&[answered, quiet, quiet, other, learner]),
            Some(&a),
        );
        assert_eq!(
            asked(&orders, |order| matches!(
                order,
                ConfigRequest::Accept { .. }
            )),
            Vec::<u32>::new()
        );
        let (_, orders) = next(
            &mut maker,
            &control(&[answered, answered, quiet, other, learner]),
            Some(&a),
        );
        let own = |order: &ConfigRequest| matches!(order, ConfigRequest::Accept { version, .. } if version.digest == plan(2, "a").version().digest);
        assert_eq!((asked(&orders, own), orders.len()), (vec![0, 1, 2], 3));
        let kept = record(FIRST, Some((1, &a, false)));
        let (step, orders) = next(
            &mut maker,
            &control(&[kept, kept, quiet, quiet, learner]),
            Some(&a),
        );
        assert_eq!(step, ChangePhase::Joint(a.version()));
        assert_eq!(
            asked(&orders, |order| matches!(
                order,
                ConfigRequest::EnterJoint { .. }
            )),
            [0, 1, 2, 3]
        );
        assert_eq!(orders.len(), 4, "{orders:?}");
    }

    #[test]
    fn a_majority_of_the_voters_is_joint_before_anything_is_in_force() {
        let a = plan(2, "a");
        let (kept, joint) = (
            record(FIRST, Some((1, &a, false))),
            record(FIRST, Some((1, &a, true))),
        );
        let force = |order: &ConfigRequest| matches!(order, ConfigRequest::Commit { .. });
        let (_, orders) = next(
            &mut Proposer::new(9),
            &control(&[joint, kept, kept, joint, joint]),
            None,
        );
        assert_eq!(asked(&orders, force), Vec::<u32>::new());
        let (_, orders) = next(
            &mut Proposer::new(9),
            &control(&[joint, joint, kept, joint, kept]),
            None,
        );
        assert_eq!(asked(&orders, force), [0, 1, 3]);
    }

    /// A list that marks control machines which never kept the plan in force: they are taught it, and nothing is brought
    /// in before most of them have it.
    #[test]
    fn empty_voters_are_taught_the_plan_in_force_and_asked_to_vote_for_nothing_before() {
        let (one, two) = (plan(1, "one"), plan(2, "a"));
        let (empty, there) = (AcceptorReport::default(), record(Ballot::default(), None));
        let mut maker = Proposer::new(9);
        let (_, orders) = next(
            &mut maker,
            &control(&[empty, empty, empty, there, there]),
            Some(&two),
        );
        assert_eq!(orders.len(), 3, "{orders:?}");
        for (_, order) in &orders {
            assert!(
                matches!(order, ConfigRequest::Commit { version, .. } if *version == one.version()),
                "{order:?}"
            );
        }
        // One of three: a ballot may be prepared there, and nothing can be accepted.
        let mut told = [there, empty, empty, there, there];
        let (_, orders) = next(&mut maker, &control(&told), Some(&two));
        assert_eq!(
            asked(&orders, |order| matches!(
                order,
                ConfigRequest::Commit { .. }
            )),
            [1, 2]
        );
        told[0] = record(FIRST, None);
        let (_, orders) = next(&mut maker, &control(&told), Some(&two));
        assert_eq!(
            asked(&orders, |order| matches!(
                order,
                ConfigRequest::Accept { .. }
            )),
            Vec::<u32>::new()
        );
    }

    /// Nodes that do not vote and learners tell nothing that would have the placer offer a plan.
    #[test]
    fn what_non_voters_keep_without_a_decision_starts_no_ballot() {
        let quiet = record(Ballot::default(), None);
        let kept = record(FIRST, Some((1, &plan(2, "b"), false)));
        let (step, orders) = next(
            &mut Proposer::new(9),
            &control(&[quiet, quiet, quiet, kept, kept]),
            None,
        );
        assert_eq!((step, orders), (ChangePhase::Quiet, Vec::new()));
    }
}
