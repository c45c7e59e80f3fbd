//! A model of one non-idempotent job between placer, ledger, disk, links and nodes. The checker explores every
//! interleaving: the job must start at most once, whenever links are cut, nodes or the placer are killed, or messages
//! are lost.
//!
//! The model decides by the core's own functions, `decide::reconcile` and `decide::recovery_action`. It models the
//! order of events by three rules: the ledger row is durable before its offer is sent, the row of an end is durable
//! before the end is acknowledged, and a new link discards the messages of the older one. Without any one of these
//! rules the check must fail.

use reedring::Effect;
use reedring_core::decide::{self, AttemptState, Reconciled, RecoveringJob, RecoveryAction};
use reedring_node_protocol::{InFlightState, TaskEnd};
use stateright::{Checker, Model, Property};

const NODES: usize = 2;

/// The state of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum JobState {
    /// The job is to be offered.
    Waiting,
    /// Offered: the node, the node's incarnation at that time, and the number of the attempt.
    Offered(u8, u8, u8),
    /// Accepted, with the fields of `Offered`.
    Accepted(u8, u8, u8),
    /// The job's outcome has been reported.
    Done,
}

/// The job's row in the placer's memory and in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Row {
    state: JobState,
    /// An earlier attempt may have run.
    may_have_run: bool,
    /// The number of offers so far.
    offers: u8,
}

/// A message to a node, with the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ToNode {
    Offer(u8),
    Ack(u8),
}

/// A message to the placer, with the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ToPlacer {
    Accepted(u8),
    Refused(u8),
    Ended(u8),
}

/// A node and its link.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// The node's incarnation.
    incarnation: u8,
    linked: bool,
    to_node: Vec<ToNode>,
    to_placer: Vec<ToPlacer>,
    /// The attempt that runs.
    running: Option<u8>,
    /// The attempt that has ended and whose end is not acknowledged.
    ended: Option<u8>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The row in the placer's memory, `None` while the placer is down.
    memory: Option<Row>,
    /// The row in memory differs from the ledger's; messages that need it to be durable wait.
    row_is_pending: bool,
    /// Messages that wait for the row to be durable, with their nodes.
    waiting_messages: Vec<(usize, ToNode)>,
    /// The durable row.
    ledger: Row,
    /// Whether each node has listed its tasks since the placer's start.
    reconciled: [bool; NODES],
    /// The restarted placer has not yet decided what to do with the job.
    recovering: bool,
    nodes: Vec<Node>,
    /// How often a node started the task.
    starts: u8,
    /// How often the placer was killed.
    kills: u8,
    /// How often a node was killed.
    deaths: u8,
    /// How often a link was cut.
    cuts: u8,
}

/// A transition of the model. A number is that of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The placer offers the job to a node.
    Offer(usize),
    /// The row in memory becomes durable.
    Write,
    /// A node reads its next message and, if that is an offer, accepts it or not.
    NodeReads(usize, bool),
    /// The placer reads its next message from a node.
    PlacerReads(usize),
    /// The running attempt ends.
    Finish(usize),
    /// The link to a node is cut.
    Cut(usize),
    /// A new link to a node is made.
    Link(usize),
    /// The placer is killed.
    Kill,
    /// The placer starts.
    Start,
    /// A node is killed and starts as a new incarnation.
    NodeDies(usize),
    /// The deadline for the job's answer is reached.
    LastCall,
}

/// The rules that the model keeps. Without any one of them the checker must find a second start.
#[derive(Clone, Copy, Debug)]
struct Rules {
    /// An offer waits until its row is durable.
    row_before_offer: bool,
    /// The acknowledgement of an end waits until the row of the end is durable.
    row_before_ack: bool,
    /// A new link discards the messages of the older one.
    link_discards_messages: bool,
}

const ALL_RULES: Rules = Rules {
    row_before_offer: true,
    row_before_ack: true,
    link_discards_messages: true,
};

impl Rules {
    /// Sends a message, once the row in memory is durable if a rule requires that.
    fn send(&self, world: &mut World, node: usize, message: ToNode) {
        let needs_durable_row = match message {
            ToNode::Offer(_) => self.row_before_offer,
            ToNode::Ack(_) => self.row_before_ack,
        };
        if needs_durable_row && world.row_is_pending {
            world.waiting_messages.push((node, message));
        } else if world.nodes[node].linked {
            world.nodes[node].to_node.push(message);
        }
    }

    /// Changes the row in memory, which has to be written then.
    fn set_row(&self, world: &mut World, row: Row) {
        if world.memory != Some(row) {
            world.memory = Some(row);
            world.row_is_pending = true;
        }
    }

    /// Applies what the core concluded about the open attempt.
    fn apply_reconciled(&self, world: &mut World, reconciled: Reconciled) {
        let Some(row) = world.memory else { return };
        let state = match (reconciled, row.state) {
            (Reconciled::Accepted, JobState::Offered(node, incarnation, number)) => {
                JobState::Accepted(node, incarnation, number)
            }
            (Reconciled::Ended { .. } | Reconciled::Lost, _) => JobState::Done,
            (Reconciled::NeverRan, _) => JobState::Waiting,
            (Reconciled::MayHaveRun, _) => {
                let row = Row {
                    state: JobState::Waiting,
                    may_have_run: true,
                    ..row
                };
                self.set_row(world, row);
                // The decision module too fails a non-idempotent task that may have run.
                return if world.recovering {
                    self.recover(world, false)
                } else {
                    self.finish(world)
                };
            }
            _ => return,
        };
        self.set_row(world, Row { state, ..row });
        if state != JobState::Waiting {
            world.recovering = false;
        } else if world.recovering {
            self.recover(world, false);
        }
    }

    /// Reports the job's outcome.
    fn finish(&self, world: &mut World) {
        if let Some(row) = world.memory {
            world.recovering = false;
            self.set_row(
                world,
                Row {
                    state: JobState::Done,
                    ..row
                },
            );
        }
    }

    /// Does what the core decides for a job that is being recovered. `is_last_call` says that the deadline is reached.
    fn recover(&self, world: &mut World, is_last_call: bool) {
        let Some(row) = world.memory.filter(|_| world.recovering) else {
            return;
        };
        let open = matches!(row.state, JobState::Offered(..));
        let reconciled = world.reconciled.iter().all(|reconciled| *reconciled);
        match decide::recovery_action(RecoveringJob {
            effect: Effect::Unsafe,
            has_open_attempts: open,
            may_have_run: row.may_have_run,
            all_reconciled: reconciled,
            is_overdue: false,
            is_last_call,
        }) {
            RecoveryAction::Wait => {}
            RecoveryAction::Abandon => {
                self.set_row(
                    world,
                    Row {
                        state: JobState::Waiting,
                        may_have_run: true,
                        ..row
                    },
                );
                self.recover(world, true);
            }
            RecoveryAction::Request => world.recovering = false,
            RecoveryAction::Reject | RecoveryAction::Fail => self.finish(world),
        }
    }

    /// Makes a new link: the messages of the older one are discarded, and the node lists its tasks.
    fn connect(&self, world: &mut World, n: usize) {
        if self.link_discards_messages {
            world.nodes[n].to_node.clear();
            world.waiting_messages.retain(|(node, _)| *node != n);
        }
        let node = &mut world.nodes[n];
        (node.linked, node.to_placer) = (true, Vec::new());
        world.reconciled[n] = true;
        let node = world.nodes[n].clone();
        if let Some(Row {
            state:
                JobState::Offered(at_node, incarnation, number)
                | JobState::Accepted(at_node, incarnation, number),
            ..
        }) = world.memory
            && usize::from(at_node) == n
        {
            let attempt_state = if matches!(world.memory.unwrap().state, JobState::Offered(..)) {
                AttemptState::Offered
            } else {
                AttemptState::Accepted
            };
            let ended = InFlightState::Ended {
                end: TaskEnd::Exited(0),
                ran: true,
            };
            let reported = match () {
                () if node.ended == Some(number) => Some(&ended),
                () if node.running == Some(number) => Some(&InFlightState::Running),
                () => None,
            };
            self.apply_reconciled(
                world,
                decide::reconcile(attempt_state, reported, incarnation == node.incarnation),
            );
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
            incarnation: 0,
            linked: true,
            to_node: Vec::new(),
            to_placer: Vec::new(),
            running: None,
            ended: None,
        };
        let row = Row {
            state: JobState::Waiting,
            may_have_run: false,
            offers: 0,
        };
        vec![World {
            memory: Some(row),
            row_is_pending: false,
            waiting_messages: Vec::new(),
            ledger: row,
            reconciled: [true; NODES],
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
                let may_offer =
                    row.state == JobState::Waiting && !world.recovering && row.offers < 3;
                steps.extend((may_offer && node.linked).then_some(Step::Offer(n)));
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
                steps.extend(world.row_is_pending.then_some(Step::Write));
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
                let (number, incarnation) = (row.offers, world.nodes[n].incarnation);
                self.set_row(
                    &mut world,
                    Row {
                        state: JobState::Offered(n as u8, incarnation, number),
                        offers: number + 1,
                        ..row
                    },
                );
                self.send(&mut world, n, ToNode::Offer(number));
            }
            Step::Write => {
                (world.ledger, world.row_is_pending) = (world.memory?, false);
                for (n, message) in std::mem::take(&mut world.waiting_messages) {
                    if world.nodes[n].linked {
                        world.nodes[n].to_node.push(message);
                    }
                }
            }
            Step::NodeReads(n, accepts) => {
                let node = &mut world.nodes[n];
                match node.to_node.remove(0) {
                    ToNode::Offer(number) if accepts => {
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
                match (message, row.state) {
                    (
                        ToPlacer::Accepted(reported_number),
                        JobState::Offered(at_node, _, number),
                    ) if (usize::from(at_node), number) == (n, reported_number) => {
                        self.apply_reconciled(&mut world, Reconciled::Accepted);
                    }
                    (ToPlacer::Refused(reported_number), JobState::Offered(at_node, _, number))
                        if (usize::from(at_node), number) == (n, reported_number) =>
                    {
                        self.apply_reconciled(&mut world, Reconciled::NeverRan);
                    }
                    (ToPlacer::Ended(reported_number), state) => {
                        let is_open_attempt = matches!(
                            state,
                            JobState::Offered(at_node, _, number) | JobState::Accepted(at_node, _, number)
                                if (usize::from(at_node), number) == (n, reported_number)
                        );
                        if is_open_attempt {
                            self.apply_reconciled(
                                &mut world,
                                Reconciled::Ended {
                                    end: TaskEnd::Exited(0),
                                    ran: true,
                                },
                            );
                        }
                        self.send(&mut world, n, ToNode::Ack(reported_number));
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
                // The node may still read messages that were sent on the link.
            }
            Step::Link(n) => self.connect(&mut world, n),
            Step::Kill => {
                world.kills += 1;
                (world.memory, world.row_is_pending, world.waiting_messages) =
                    (None, false, Vec::new());
                for node in &mut world.nodes {
                    (node.linked, node.to_placer) = (false, Vec::new());
                }
            }
            Step::Start => {
                world.memory = Some(world.ledger);
                world.reconciled = [false; NODES];
                world.recovering = matches!(
                    world.ledger.state,
                    JobState::Waiting | JobState::Offered(..)
                );
                self.recover(&mut world, false);
            }
            Step::NodeDies(n) => {
                world.deaths += 1;
                let incarnation = world.nodes[n].incarnation + 1;
                let (to_node, to_placer) = (Vec::new(), Vec::new());
                world.nodes[n] = Node {
                    incarnation,
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
            Property::always("the job starts at most once", |_, world: &World| {
                world.starts <= 1
            }),
            Property::sometimes(
                "the job is accepted after the placer was killed",
                |_, world: &World| {
                    let placed = world
                        .memory
                        .is_some_and(|row| matches!(row.state, JobState::Accepted(..)));
                    placed && world.kills > 0
                },
            ),
            Property::sometimes(
                "the job starts in a run with two kills of the placer",
                |_, world: &World| world.starts == 1 && world.kills == 2,
            ),
        ]
    }
}

/// Explores all states. Returns their number, and whether the job started twice in one of them.
fn explore(rules: Rules) -> (usize, bool) {
    let checker = rules.checker().threads(2).spawn_bfs().join();
    let second_start = checker.discovery("the job starts at most once").is_some();
    if !second_start {
        checker.assert_properties();
    }
    (checker.unique_state_count(), second_start)
}

#[test]
fn an_unsafe_job_starts_at_most_once_in_every_interleaving() {
    let (states, second_start) = explore(ALL_RULES);
    assert!(!second_start);
    assert!(
        states > 10_000,
        "only {states} states were explored, expected more than 10000"
    );
    eprintln!("{states} states");
}

#[test]
fn without_any_one_of_its_rules_the_model_finds_a_second_start() {
    for rules in [
        Rules {
            row_before_offer: false,
            ..ALL_RULES
        },
        Rules {
            row_before_ack: false,
            ..ALL_RULES
        },
        Rules {
            link_discards_messages: false,
            ..ALL_RULES
        },
    ] {
        assert!(explore(rules).1, "no second start was found with {rules:?}");
    }
}
