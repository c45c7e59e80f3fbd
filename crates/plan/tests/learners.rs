//! Model checking of a configuration change with three voting control machines and two learners, one of which is
//! warming up. Every interleaving of these events is explored: two placers propose two configurations of one number or
//! complete each other's change, placers use outdated reports of voters and learners, an offer is delayed. `model.rs`
//! explores ballots with more faults.
//!
//! Placers use [`Proposer`], [`lease_state`] and [`dispatch_block`], voters use [`AcceptorState::apply`] and learners
//! [`LearnerState`]; only the order of events is modelled. The tests also check that the same model violates a property
//! once one of the rules is disabled.

use std::collections::BTreeSet;

use reedring_plan::{
    AcceptorState, ActiveConfig, ActiveVersion, Ballot, ClusterView, ConfigDocument, ConfigRequest,
    ConfigVersion, DocumentCache, Incarnation, LearnerState, LeaseInputs, LeaseState, LocalConfig,
    Membership, NodeRequest, PeerState, Proposer, ProposerInputs, QuorumContact, SlowStart,
    Usability, VersionStamp, dispatch_block, lease_state,
};
use stateright::{Checker, Model, Property};

const VOTERS: usize = 3;
const LEARNERS: usize = 2;
/// The index of the learner that is warming up; the other one is warm.
const WARMING_UP: usize = 0;
/// The length of the slow-start window, which is also that of one tick of the model's clock.
const WINDOW_MS: u64 = 1_000;
/// States with a ballot of a greater round are not explored.
const MAX_ROUND: u64 = 2;

/// The floor of a learner, and the tick at which it rose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LearnerFloor {
    state: LearnerState,
    rose_at: u8,
}

/// A placer of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Placer {
    proposer: Proposer,
    /// The configuration that the placer applies since its last evaluation of the voters' reports.
    active: ActiveVersion,
    /// The floor in the last report of each learner.
    reported_floors: [LearnerFloor; LEARNERS],
    /// Offers that were sent and have not arrived yet.
    delayed: Vec<DelayedOffer>,
}

/// An offer to a learner, stamped with the version that its placer applied when it sent the offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct DelayedOffer {
    learner: usize,
    version: ActiveVersion,
}

/// A learner of the model, with what the properties need to know about its offers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Learner {
    floor: LearnerFloor,
    /// The greatest version level of the offers that the learner admitted.
    greatest_level: u64,
    /// The numbers of the configurations of the offers that the learner admitted in the current window.
    numbers_in_window: BTreeSet<u64>,
    /// Whether the learner admitted an offer more than one version level below an offer that it admitted before.
    admitted_outdated: bool,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    voters: [AcceptorState; VOTERS],
    learners: [Learner; LEARNERS],
    placers: [Placer; 2],
    /// The time, in slow-start windows.
    tick: u8,
    /// The number of offers that were delayed so far.
    delays: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    /// A placer's request reaches a voter, and the voter's answer reaches the placer.
    Deliver { placer: usize, voter: usize },
    /// A placer evaluates the reports of the voters to find the configuration that it applies.
    Evaluate { placer: usize },
    /// A placer sends a learner an offer, which arrives at once.
    Offer { placer: usize, learner: usize },
    /// A placer sends a learner an offer, which is delayed.
    DelayOffer { placer: usize, learner: usize },
    /// A delayed offer arrives.
    DeliverDelayed { placer: usize, index: usize },
    /// A placer requests a learner that is warming up to raise its floor.
    RaiseFloor { placer: usize, learner: usize },
    /// One slow-start window passes.
    Tick,
}

/// The rules of the protocol that are enabled, and the scenario to explore. With a rule disabled, a property must be
/// violated.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// An admitted offer raises the floor of its learner.
    offers_raise_floor: bool,
    /// A majority is counted among all voters, not among the reachable ones.
    majority_of_voters: bool,
    /// A placer dispatches to a learner that is warming up only after the learner reported the floor of the placer's
    /// configuration.
    waits_for_floor: bool,
    /// A placer then also waits until one window has passed since that floor rose.
    waits_for_window: bool,
    /// For each placer, which voters it reaches.
    reachable: [[bool; VOTERS]; 2],
    /// The second placer also proposes a configuration, and placers preempt each other's ballots.
    has_rivals: bool,
    /// At the start, two of the three voters have accepted configuration 2.
    starts_chosen: bool,
    /// At the start, the learners have no floor yet; otherwise their floor is that of configuration 1 for one window.
    starts_fresh: bool,
    /// How many windows may pass.
    ticks: u8,
    /// How many offers may be delayed.
    delays: u8,
}

const ALL_RULES: Rules = Rules {
    offers_raise_floor: true,
    majority_of_voters: true,
    waits_for_floor: true,
    waits_for_window: true,
    reachable: [[true; VOTERS]; 2],
    has_rivals: false,
    starts_chosen: true,
    starts_fresh: false,
    ticks: 2,
    delays: 1,
};

/// A partition: the first placer reaches one voter, the second placer the other two.
const PARTITIONED: [[bool; VOTERS]; 2] = [[true, false, false], [false, true, true]];

const ONE_COMMITTED: &str = "at most one configuration of a number is committed";
const NO_OUTDATED_OFFER: &str =
    "no learner admits an offer more than one level below one that it admitted before";
const ONE_NUMBER_PER_WINDOW: &str =
    "a learner that is warming up admits offers of one configuration number within a window";
/// The only property that must be reached in some state; all others must hold in every state.
const ALL_LEARNED: &str = "every learner admits offers by configuration 2";

fn config(number: u64, name: &str) -> ConfigDocument {
    ConfigDocument::new(number, name).unwrap()
}

fn documents() -> DocumentCache {
    let mut documents = DocumentCache::default();
    for document in [config(1, "one"), config(2, "a"), config(2, "b")] {
        documents.insert(&document);
    }
    documents
}

fn stamp(active: ActiveVersion) -> VersionStamp {
    VersionStamp {
        version: active.version,
        joint: active.joint,
        ..VersionStamp::default()
    }
}

/// The version of configuration 1 when it is applied alone.
fn first_version() -> ActiveVersion {
    ActiveVersion {
        version: config(1, "one").version(),
        joint: false,
    }
}

impl Rules {
    /// The configuration that a placer proposes, if any.
    fn proposal(&self, placer: usize) -> Option<ConfigDocument> {
        match placer {
            0 => Some(config(2, "a")),
            _ => self.has_rivals.then(|| config(2, "b")),
        }
    }

    /// The nodes as one placer sees them. Voters have the numbers from 0, learners follow.
    fn cluster(&self, world: &World, placer: usize) -> ClusterView {
        let voter = |node: usize| {
            if self.reachable[placer][node] {
                PeerState::Reported(world.voters[node].report())
            } else {
                PeerState::Unknown
            }
        };
        let voters = (0..VOTERS).map(|node| (node as u32, voter(node)));
        let mut nodes: Vec<(u32, PeerState)> = voters.collect();
        if !self.majority_of_voters {
            nodes.retain(|(_, peer)| *peer != PeerState::Unknown);
        }
        let control = nodes.iter().map(|(node, _)| *node).collect();
        let floors = world.placers[placer].reported_floors.iter();
        let learners = floors.map(|floor| PeerState::Reported(floor.state.report()));
        nodes.extend((VOTERS as u32..).zip(learners));
        ClusterView {
            membership: Membership::from_control_nodes(control),
            nodes: nodes.into_iter().collect(),
            ..ClusterView::default()
        }
    }

    /// The requests that a placer sends next. Advances the given proposer.
    fn requests(&self, world: &World, placer: usize, proposer: &mut Proposer) -> Vec<NodeRequest> {
        let progress = proposer.advance(&ProposerInputs {
            cluster: &self.cluster(world, placer),
            known_committed: ConfigVersion::default(),
            proposal: self.proposal(placer).as_ref(),
            documents: &documents(),
            may_preempt: self.has_rivals,
        });
        progress.requests
    }

    /// The version that a placer applies after it evaluated the reports; `None` if it is suspended, as without a
    /// majority of the voters.
    fn evaluate(&self, world: &World, placer: usize) -> Option<ActiveVersion> {
        let cluster = self.cluster(world, placer);
        let is_reachable = |node: u32| {
            let reachable = self.reachable[placer].get(node as usize);
            reachable.copied().unwrap_or(false)
        };
        let contact = if cluster.has_quorum(is_reachable) {
            QuorumContact::Recent
        } else {
            QuorumContact::Expired
        };
        let proposal = self.proposal(placer);
        let proposed = proposal.map_or(first_version().version, |own| own.version());
        let inputs = LeaseInputs {
            local: LocalConfig {
                version: proposed,
                pinned: false,
            },
            cluster: &cluster,
            known_committed: ConfigVersion::default(),
            contact,
        };
        match lease_state(&inputs, |_| Usability::Usable) {
            LeaseState::Active(active) => Some(active.version()),
            _ => None,
        }
    }

    /// The messages that a placer may send to a learner, as actions of the model.
    fn actions_to_learner(&self, world: &World, placer: usize, learner: usize) -> Vec<ModelAction> {
        let Placer {
            active,
            reported_floors,
            ..
        } = &world.placers[placer];
        let active = ActiveConfig {
            committed: if active.joint {
                first_version().version
            } else {
                active.version
            },
            next: active.joint.then_some(active.version),
            local_ahead: None,
        };
        let LearnerFloor { state, rose_at } = reported_floors[learner];
        let mut report = state.report();
        report.floor_age_ms = u64::from(world.tick - rose_at) * WINDOW_MS;
        let peer = PeerState::Reported(report);
        let slow_start = SlowStart {
            is_warming_up: learner == WARMING_UP && self.waits_for_floor,
            window_ms: if self.waits_for_window { WINDOW_MS } else { 0 },
        };
        match dispatch_block(&LeaseState::Active(active), &peer, slow_start) {
            None if world.delays < self.delays => vec![
                ModelAction::Offer { placer, learner },
                ModelAction::DelayOffer { placer, learner },
            ],
            None => vec![ModelAction::Offer { placer, learner }],
            Some(block) if block.is_lifted_by_raising_floor(&peer) => {
                vec![ModelAction::RaiseFloor { placer, learner }]
            }
            Some(_) => Vec::new(),
        }
    }

    /// Delivers an offer to a learner. If the offer is rejected, its placer receives the learner's report.
    fn deliver_offer(&self, world: &mut World, placer: usize, offer: DelayedOffer) {
        let DelayedOffer { learner, version } = offer;
        let (stamp, tick) = (stamp(version), world.tick);
        let receiver = &mut world.learners[learner];
        if receiver.floor.state.check_offer(Some(&stamp)).is_err() {
            world.placers[placer].reported_floors[learner] = receiver.floor;
            return;
        }
        receiver.admitted_outdated |= stamp.level() + 1 < receiver.greatest_level;
        receiver.greatest_level = receiver.greatest_level.max(stamp.level());
        let is_warming_up = learner == WARMING_UP;
        if is_warming_up {
            receiver.numbers_in_window.insert(stamp.version.number);
        }
        if self.offers_raise_floor && receiver.floor.state.raise_floor(&stamp) && is_warming_up {
            receiver.floor.rose_at = tick;
        }
    }
}

impl Model for Rules {
    type State = World;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<World> {
        let one = config(1, "one");
        let commit = ConfigRequest::Commit {
            version: one.version(),
            text: "one".into(),
            list: 0,
        };
        let voter = AcceptorState {
            installed_by_catch_up: false,
            ..AcceptorState::default().apply(&commit, true).unwrap()
        };
        let two = config(2, "a");
        let accept = ConfigRequest::Accept {
            follows: one.version(),
            ballot: Ballot {
                round: 1,
                proposer: 1,
            },
            version: two.version(),
            text: two.text().to_owned(),
            list: 0,
        };
        let accepted = voter.apply(&accept, true).unwrap();
        let voter_at = |node: usize| {
            let starts_accepted = self.starts_chosen && node < 2;
            if starts_accepted {
                accepted.clone()
            } else {
                voter.clone()
            }
        };
        let mut floor = LearnerFloor {
            state: LearnerState::default(),
            rose_at: 0,
        };
        if !self.starts_fresh {
            floor.state.raise_floor(&stamp(first_version()));
        }
        let placer = |incarnation| Placer {
            proposer: Proposer::new(Incarnation(incarnation)),
            active: first_version(),
            reported_floors: [floor; LEARNERS],
            delayed: Vec::new(),
        };
        let learner = Learner {
            floor,
            greatest_level: 0,
            numbers_in_window: BTreeSet::new(),
            admitted_outdated: false,
        };
        vec![World {
            voters: std::array::from_fn(voter_at),
            learners: std::array::from_fn(|_| learner.clone()),
            placers: [placer(1), placer(2)],
            tick: u8::from(!self.starts_fresh),
            delays: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<ModelAction>) {
        for (placer, state) in world.placers.iter().enumerate() {
            let requests = self.requests(world, placer, &mut state.proposer.clone());
            actions.extend(requests.iter().map(|request| ModelAction::Deliver {
                placer,
                voter: request.node as usize,
            }));
            let evaluated = self.evaluate(world, placer);
            if evaluated.is_some_and(|active| active != state.active) {
                actions.push(ModelAction::Evaluate { placer });
            }
            for learner in 0..LEARNERS {
                actions.extend(self.actions_to_learner(world, placer, learner));
            }
            let delayed = 0..state.delayed.len();
            actions.extend(delayed.map(|index| ModelAction::DeliverDelayed { placer, index }));
        }
        if world.tick < self.ticks {
            actions.push(ModelAction::Tick);
        }
    }

    fn next_state(&self, before: &World, action: ModelAction) -> Option<World> {
        let mut world = before.clone();
        match action {
            ModelAction::Deliver { placer, voter } => {
                let mut proposer = world.placers[placer].proposer.clone();
                let requests = self.requests(&world, placer, &mut proposer);
                let mut requests = requests.into_iter();
                let request = requests.find(|request| request.node as usize == voter)?;
                world.placers[placer].proposer = proposer;
                if let Ok(new) = world.voters[voter].apply(&request.request, true) {
                    world.voters[voter] = new;
                }
            }
            ModelAction::Evaluate { placer } => {
                world.placers[placer].active = self.evaluate(&world, placer)?;
            }
            ModelAction::Offer { placer, learner } => {
                let version = world.placers[placer].active;
                self.deliver_offer(&mut world, placer, DelayedOffer { learner, version });
            }
            ModelAction::DelayOffer { placer, learner } => {
                world.delays += 1;
                let sender = &mut world.placers[placer];
                let version = sender.active;
                sender.delayed.push(DelayedOffer { learner, version });
            }
            ModelAction::DeliverDelayed { placer, index } => {
                let offer = world.placers[placer].delayed.remove(index);
                self.deliver_offer(&mut world, placer, offer);
            }
            ModelAction::RaiseFloor { placer, learner } => {
                let (stamp, tick) = (stamp(world.placers[placer].active), world.tick);
                let floor = &mut world.learners[learner].floor;
                if floor.state.raise_floor(&stamp) {
                    floor.rose_at = tick;
                }
                world.placers[placer].reported_floors[learner] = *floor;
            }
            ModelAction::Tick => {
                world.tick += 1;
                for learner in &mut world.learners {
                    learner.numbers_in_window.clear();
                }
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_COMMITTED, |_, world: &World| {
                let voters = world.voters.iter();
                let committed = voters.map(|voter| voter.report().committed);
                let mut all: Vec<ConfigVersion> = committed.collect();
                all.sort();
                all.dedup();
                all.windows(2).all(|pair| pair[0].number != pair[1].number)
            }),
            Property::always(NO_OUTDATED_OFFER, |_, world: &World| {
                world
                    .learners
                    .iter()
                    .all(|learner| !learner.admitted_outdated)
            }),
            Property::always(ONE_NUMBER_PER_WINDOW, |_, world: &World| {
                world.learners[WARMING_UP].numbers_in_window.len() <= 1
            }),
            Property::sometimes(ALL_LEARNED, |_, world: &World| {
                let mut learners = world.learners.iter();
                learners.all(|learner| learner.greatest_level == 4)
            }),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        let mut voters = world.voters.iter();
        voters.all(|voter| voter.promised.round <= MAX_ROUND)
    }
}

/// Explores every state and checks that no property is violated and that [`ALL_LEARNED`] is reached in some state.
fn assert_no_violation(rules: Rules) {
    let checker = rules.checker().threads(3).spawn_bfs().join();
    eprintln!("{} states: {rules:?}", checker.unique_state_count());
    let discoveries = checker.discoveries();
    assert_eq!(discoveries.keys().collect::<Vec<_>>(), [&ALL_LEARNED]);
}

#[test]
fn learners_admit_no_outdated_or_mixed_offers_with_delayed_offers_and_outdated_reports() {
    assert_no_violation(Rules {
        delays: 0,
        ..ALL_RULES
    });
    assert_no_violation(Rules {
        starts_fresh: true,
        delays: 0,
        ..ALL_RULES
    });
    assert_no_violation(ALL_RULES);
}

#[test]
#[ignore = "takes minutes; run it after changes to the floors of learners or to the dispatch block"]
fn learners_admit_no_outdated_or_mixed_offers_while_two_configurations_of_one_number_compete() {
    assert_no_violation(Rules {
        has_rivals: true,
        starts_chosen: false,
        delays: 0,
        ..ALL_RULES
    });
}

/// Checks that the model with a disabled rule violates this property.
fn assert_violates(rules: Rules, property: &str) {
    let checker = rules.checker().threads(3).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(
        found.contains_key(property),
        "{property:?} is not violated with {rules:?}, found {:?}",
        found.keys()
    );
}

#[test]
fn a_learner_admits_outdated_offers_if_offers_do_not_raise_its_floor() {
    let rules = Rules {
        offers_raise_floor: false,
        delays: 0,
        ..ALL_RULES
    };
    assert_violates(rules, NO_OUTDATED_OFFER);
}

#[test]
fn two_configurations_are_committed_if_only_reachable_voters_count_for_a_majority() {
    let rules = Rules {
        majority_of_voters: false,
        reachable: PARTITIONED,
        has_rivals: true,
        starts_chosen: false,
        ticks: 0,
        delays: 0,
        ..ALL_RULES
    };
    assert_violates(rules, ONE_COMMITTED);
}

#[test]
fn a_learner_admits_mixed_offers_if_placers_do_not_wait_for_its_floor_or_the_window() {
    let without_floor = Rules {
        waits_for_floor: false,
        delays: 0,
        ..ALL_RULES
    };
    assert_violates(without_floor, ONE_NUMBER_PER_WINDOW);
    let without_window = Rules {
        waits_for_window: false,
        delays: 0,
        ..ALL_RULES
    };
    assert_violates(without_window, ONE_NUMBER_PER_WINDOW);
}
