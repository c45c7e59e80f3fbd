//! The life of one unsafe job between placer, ledger, disk, links and nodes, with every interleaving explored:
//! it starts once at most, whatever is cut, killed or lost at whichever moment.
//!
//! The placer here decides by the core's own functions, `decide::reconcile` and `decide::recovery_action`; what is
//! modelled is the order of things: the row before the offer, the end's row before its acknowledgement, a new
//! link that voids what the older one held. The same model without one of these rules must fail.

use reedring::Effect;
use reedring_core::decide::{self, AttemptState, Reconciled, RecoveringJob, RecoveryAction};
use reedring_node_protocol::{InFlightState, TaskEnd};
use stateright::{Checker, Model, Property};

const NODES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum At {
    /// To be offered.
    Waits,
    /// Offered to this node, in its life then, as attempt of this number.
    Out(u8, u8, u8),
    Accepted(u8, u8, u8),
    /// Its owner has its answer.
    Over,
}

/// What a placer knows of the job, and the ledger too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Row {
    at: At,
    may_have_run: bool,
    tries: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ToNode {
    Offer(u8),
    Ack(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ToPlacer {
    Accepted(u8),
    Refused(u8),
    Ended(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    life: u8,
    linked: bool,
    to_node: Vec<ToNode>,
    to_placer: Vec<ToPlacer>,
    running: Option<u8>,
    /// Over, and not acknowledged.
    ended: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// `None` while the placer is down.
    memory: Option<Row>,
    /// The memory's row is being written; what waits for it may not leave.
    unwritten: bool,
    waiting: Vec<(usize, ToNode)>,
    ledger: Row,
    /// Nodes that have told since the placer's start.
    told: [bool; NODES],
    recovering: bool,
    nodes: Vec<Node>,
    starts: u8,
    kills: u8,
    deaths: u8,
    cuts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Offer(usize),
    Write,
    NodeReads(usize, bool),
    PlacerReads(usize),
    Finish(usize),
    Cut(usize),
    Link(usize),
    Kill,
    Start,
    NodeDies(usize),
    /// The owner's patience is over.
    LastCall,
}

/// Which rule is kept; the model without one must find the harm.
#[derive(Clone, Copy, Debug)]
struct Rules {
    row_before_offer: bool,
    row_before_ack: bool,
    link_voids: bool,
}

const ALL: Rules = Rules {
    row_before_offer: true,
    row_before_ack: true,
    link_voids: true,
};

impl Rules {
    fn send(&self, world: &mut World, node: usize, message: ToNode) {
        let gated = match message {
            ToNode::Offer(_) => self.row_before_offer,
            ToNode::Ack(_) => self.row_before_ack,
        };
        if gated && world.unwritten {
            world.waiting.push((node, message));
        } else if world.nodes[node].linked {
            world.nodes[node].to_node.push(message);
        }
    }

    fn change(&self, world: &mut World, row: Row) {
        if world.memory != Some(row) {
            world.memory = Some(row);
            world.unwritten = true;
        }
    }

    /// An attempt's fate, as the core takes it.
    fn judge(&self, world: &mut World, verdict: Reconciled) {
        let Some(row) = world.memory else { return };
        let at = match (verdict, row.at) {
            (Reconciled::Accepted, At::Out(node, life, number)) => At::Accepted(node, life, number),
            (Reconciled::Ended { .. } | Reconciled::Lost, _) => At::Over,
            (Reconciled::NeverRan, _) => At::Waits,
            (Reconciled::MayHaveRun, _) => {
                let row = Row {
                    at: At::Waits,
                    may_have_run: true,
                    ..row
                };
                self.change(world, row);
                // The module, too, fails an unsafe task that may have run.
                return if world.recovering {
                    self.recover(world, false)
                } else {
                    self.over(world)
                };
            }
            _ => return,
        };
        self.change(world, Row { at, ..row });
        if at != At::Waits {
            world.recovering = false;
        } else if world.recovering {
            self.recover(world, false);
        }
    }

    fn over(&self, world: &mut World) {
        if let Some(row) = world.memory {
            world.recovering = false;
            self.change(
                world,
                Row {
                    at: At::Over,
                    ..row
                },
            );
        }
    }

    fn recover(&self, world: &mut World, last: bool) {
        let Some(row) = world.memory.filter(|_| world.recovering) else {
            return;
        };
        let open = matches!(row.at, At::Out(..));
        let told = world.told.iter().all(|told| *told);
        match decide::recovery_action(RecoveringJob {
            effect: Effect::Unsafe,
            has_open_attempts: open,
            may_have_run: row.may_have_run,
            all_reconciled: told,
            is_overdue: false,
            is_last_call: last,
        }) {
            RecoveryAction::Wait => {}
            RecoveryAction::Abandon => {
                self.change(
                    world,
                    Row {
                        at: At::Waits,
                        may_have_run: true,
                        ..row
                    },
                );
                self.recover(world, true);
            }
            RecoveryAction::Request => world.recovering = false,
            RecoveryAction::Reject | RecoveryAction::Fail => self.over(world),
        }
    }

    /// A new link: what the older one held is void, and the node tells what it holds.
    fn link(&self, world: &mut World, n: usize) {
        if self.link_voids {
            world.nodes[n].to_node.clear();
            world.waiting.retain(|(node, _)| *node != n);
        }
        let node = &mut world.nodes[n];
        (node.linked, node.to_placer) = (true, Vec::new());
        world.told[n] = true;
        let node = world.nodes[n].clone();
        if let Some(Row {
            at: At::Out(at, life, number) | At::Accepted(at, life, number),
            ..
        }) = world.memory
            && usize::from(at) == n
        {
            let known = if matches!(world.memory.unwrap().at, At::Out(..)) {
                AttemptState::Offered
            } else {
                AttemptState::Accepted
            };
            let ended = InFlightState::Ended {
                end: TaskEnd::Exited(0),
                ran: true,
            };
            let held = match () {
                () if node.ended == Some(number) => Some(&ended),
                () if node.running == Some(number) => Some(&InFlightState::Running),
                () => None,
            };
            self.judge(world, decide::reconcile(known, held, life == node.life));
        }
        if let Some(number) = node.ended {
            self.send(world, n, ToNode::Ack(number));
        }
        self.recover(world, false);
    }
}

impl Model for Rules {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = Node {
            life: 0,
            linked: true,
            to_node: Vec::new(),
            to_placer: Vec::new(),
            running: None,
            ended: None,
        };
        let row = Row {
            at: At::Waits,
            may_have_run: false,
            tries: 0,
        };
        vec![World {
            memory: Some(row),
            unwritten: false,
            waiting: Vec::new(),
            ledger: row,
            told: [true; NODES],
            recovering: false,
            nodes: vec![node; NODES],
            starts: 0,
            kills: 0,
            deaths: 0,
            cuts: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for n in 0..NODES {
            let node = &world.nodes[n];
            if let Some(row) = world.memory {
                let may = row.at == At::Waits && !world.recovering && row.tries < 3;
                steps.extend((may && node.linked).then_some(Step::Offer(n)));
                steps.extend((!node.linked).then_some(Step::Link(n)));
                steps.extend((!node.to_placer.is_empty()).then_some(Step::PlacerReads(n)));
            }
            if !node.to_node.is_empty() {
                steps.extend([Step::NodeReads(n, true), Step::NodeReads(n, false)]);
            }
            steps.extend(node.running.is_some().then_some(Step::Finish(n)));
            steps.extend((node.linked && world.cuts < 2).then_some(Step::Cut(n)));
            steps.extend((world.deaths < 1).then_some(Step::NodeDies(n)));
        }
        match world.memory {
            Some(_) => {
                steps.extend(world.unwritten.then_some(Step::Write));
                steps.extend((world.kills < 2).then_some(Step::Kill));
                steps.extend(world.recovering.then_some(Step::LastCall));
            }
            None => steps.push(Step::Start),
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "one arm for each action of the model"
    )]
    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Offer(n) => {
                let row = world.memory?;
                let (number, life) = (row.tries, world.nodes[n].life);
                self.change(
                    &mut world,
                    Row {
                        at: At::Out(n as u8, life, number),
                        tries: number + 1,
                        ..row
                    },
                );
                self.send(&mut world, n, ToNode::Offer(number));
            }
            Step::Write => {
                (world.ledger, world.unwritten) = (world.memory?, false);
                for (n, message) in std::mem::take(&mut world.waiting) {
                    if world.nodes[n].linked {
                        world.nodes[n].to_node.push(message);
                    }
                }
            }
            Step::NodeReads(n, yes) => {
                let node = &mut world.nodes[n];
                match node.to_node.remove(0) {
                    ToNode::Offer(number) if yes => {
                        node.running = Some(number);
                        world.starts += 1;
                        node.to_placer.push(ToPlacer::Accepted(number));
                    }
                    ToNode::Offer(number) => node.to_placer.push(ToPlacer::Refused(number)),
                    ToNode::Ack(number) => node.ended = node.ended.filter(|ended| *ended != number),
                }
            }
            Step::PlacerReads(n) => {
                let message = world.nodes[n].to_placer.remove(0);
                let row = world.memory?;
                match (message, row.at) {
                    (ToPlacer::Accepted(said), At::Out(at, _, number))
                        if (usize::from(at), number) == (n, said) =>
                    {
                        self.judge(&mut world, Reconciled::Accepted);
                    }
                    (ToPlacer::Refused(said), At::Out(at, _, number))
                        if (usize::from(at), number) == (n, said) =>
                    {
                        self.judge(&mut world, Reconciled::NeverRan);
                    }
                    (ToPlacer::Ended(said), at) => {
                        let mine = matches!(at, At::Out(at, _, number) | At::Accepted(at, _, number)
                            if (usize::from(at), number) == (n, said));
                        if mine {
                            self.judge(
                                &mut world,
                                Reconciled::Ended {
                                    end: TaskEnd::Exited(0),
                                    ran: true,
                                },
                            );
                        }
                        self.send(&mut world, n, ToNode::Ack(said));
                    }
                    _ => {}
                }
            }
            Step::Finish(n) => {
                let node = &mut world.nodes[n];
                let number = node.running.take()?;
                node.ended = Some(number);
                node.to_placer.push(ToPlacer::Ended(number));
            }
            Step::Cut(n) => {
                world.cuts += 1;
                let node = &mut world.nodes[n];
                (node.linked, node.to_placer) = (false, Vec::new());
                // Bytes that were sent may still lie in the node's buffer.
            }
            Step::Link(n) => self.link(&mut world, n),
            Step::Kill => {
                world.kills += 1;
                (world.memory, world.unwritten, world.waiting) = (None, false, Vec::new());
                for node in &mut world.nodes {
                    (node.linked, node.to_placer) = (false, Vec::new());
                }
            }
            Step::Start => {
                world.memory = Some(world.ledger);
                world.told = [false; NODES];
                world.recovering = matches!(world.ledger.at, At::Waits | At::Out(..));
                self.recover(&mut world, false);
            }
            Step::NodeDies(n) => {
                world.deaths += 1;
                let life = world.nodes[n].life + 1;
                let (to_node, to_placer) = (Vec::new(), Vec::new());
                world.nodes[n] = Node {
                    life,
                    linked: false,
                    to_node,
                    to_placer,
                    running: None,
                    ended: None,
                };
            }
            Step::LastCall => self.recover(&mut world, true),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("it starts once at most", |_, world: &World| {
                world.starts <= 1
            }),
            Property::sometimes("it is placed after a kill", |_, world: &World| {
                let placed = world
                    .memory
                    .is_some_and(|row| matches!(row.at, At::Accepted(..)));
                placed && world.kills > 0
            }),
            Property::sometimes("it starts after a kill", |_, world: &World| {
                world.starts == 1 && world.kills == 2
            }),
        ]
    }
}

fn explore(rules: Rules) -> (usize, bool) {
    let checker = rules.checker().threads(2).spawn_bfs().join();
    let harm = checker.discovery("it starts once at most").is_some();
    if !harm {
        checker.assert_properties();
    }
    (checker.unique_state_count(), harm)
}

#[test]
fn an_unsafe_job_starts_once_at_most_in_every_interleaving() {
    let (states, harm) = explore(ALL);
    assert!(!harm);
    assert!(
        states > 10_000,
        "{states} states are too few to mean anything"
    );
    eprintln!("{states} states");
}

#[test]
fn without_any_one_of_its_rules_the_model_finds_a_second_start() {
    for rules in [
        Rules {
            row_before_offer: false,
            ..ALL
        },
        Rules {
            row_before_ack: false,
            ..ALL
        },
        Rules {
            link_voids: false,
            ..ALL
        },
    ] {
        assert!(explore(rules).1, "{rules:?} did no harm");
    }
}
