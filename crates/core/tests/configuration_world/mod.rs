//! The cores of many placers with node models whose acceptors store the plan, the versioned configuration, in simulated
//! time, for tests and benchmarks. All times are microseconds.
#![allow(
    dead_code,
    reason = "each test binary and benchmark uses a part of this module"
)]

use std::collections::{BTreeMap, BTreeSet};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_core::event::Event;
use reedring_core::{Core, Input, Output, Start, first_stamp};
use reedring_node_protocol::{ConfigRequest, Message, VersionInfo, VersionStamp};
use reedring_node_simulator::{Config, Effect, Groups, Keep, Node};
use reedring_plan::AcceptorState;
use reedring_settings::{NodeEntry, NodeList, Settings};

/// The settings of every placer, to which the number of placers and the plan are added.
pub const SETTINGS: &str = r#"
    placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
    kind = [{ name = "k", cores = 32.0, memory = 96.0 }]
    class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "10s" }]
    [site]
    mean_cores = 0.5
    mean_memory = 1.5
"#;

/// Settings for this many placers and this plan number; 0 leaves out the plan.
pub fn settings(plan: u64, placers: usize) -> Settings {
    let plan = if plan > 0 {
        format!("[plan]\nnumber = {plan}\n")
    } else {
        String::new()
    };
    let text = SETTINGS.replace("[site]", &format!("[site]\nplacers = {placers}"));
    Settings::parse(&format!("{text}{plan}"), "bench").expect("the settings of the test are valid")
}

/// Settings like those of `settings`, with these tenants in the plan.
pub fn settings_of_teams(plan: u64, placers: usize, teams: &[String]) -> Settings {
    let tenants: String = teams
        .iter()
        .map(|team| format!("[[tenant]]\nname = {team:?}\n"))
        .collect();
    let site = SETTINGS.replace("[site]", &format!("[site]\nplacers = {placers}"));
    Settings::parse(
        &format!("{site}[plan]\nnumber = {plan}\n{tenants}"),
        "teams",
    )
    .expect("the settings of the test with tenants are valid")
}

/// A disk on which every write of the acceptor's state succeeds.
struct AcceptingDisk;

impl Keep for AcceptingDisk {
    fn keep(&mut self, _: &[u8]) -> std::io::Result<()> {
        Ok(())
    }
}

/// A message in flight: the placer, the node and the message.
pub enum InFlight {
    AtNode(usize, usize, Message),
    AtPlacer(usize, usize, Message),
}

/// A message that was sent, and when.
#[derive(Debug)]
pub struct SentMessage {
    pub at: u64,
    pub placer: usize,
    pub node: usize,
    pub to_node: bool,
    pub message: Message,
}

/// Placers and nodes in simulated time, which advances in steps of at least a millisecond: a placer handles all
/// messages of one step in one pass of its event loop.
pub struct World {
    pub now: u64,
    pub cores: Vec<Core>,
    pub nodes: Vec<Node>,
    groups: Groups,
    /// Messages in flight, by the time of their arrival and then by the order in which they were sent.
    pub in_flight: BTreeMap<(u64, u64), InFlight>,
    /// When the last message in each direction of each link arrives, by placer, node and whether it goes to the node.
    last_arrivals: BTreeMap<(usize, usize, bool), u64>,
    /// The number of messages sent, which orders those that arrive at the same time.
    sequence: u64,
    rng: Pcg32,
    /// How far each placer's clock is ahead, in microseconds. It is 0 for a placer that is not in the map.
    pub clock_offsets: BTreeMap<usize, u64>,
    /// The events for operators, each with its placer.
    pub events: Vec<(usize, Event)>,
    /// The number of the plan that each placer put out as active, and since when. Joint configurations don't count.
    pub active_plans: Vec<(u64, u64)>,
    /// The number of each placer's current start, which is the last digit of the numbers of its links at the node
    /// models.
    start_numbers: Vec<u64>,
    /// The number of messages sent.
    pub messages: u64,
    /// Every message sent while `record_messages` was set.
    pub sent_messages: Vec<SentMessage>,
    pub record_messages: bool,
    /// The number of messages about plans: requests, acceptor reports, texts and deltas.
    pub plan_messages: u64,
    /// Nodes whose messages are lost in both directions.
    pub cut_off: BTreeSet<usize>,
    /// The number of requests to raise the floor, by node.
    pub floor_raises: BTreeMap<usize, u64>,
    /// The number of offers, by node.
    pub offers: BTreeMap<usize, u64>,
    pub node_list: NodeList,
}

pub const MS: u64 = 1_000;

/// A node without stored state.
fn node(n: usize, votes: bool, incarnation: u64, now: u64) -> Node {
    let mut config = Config::named(&format!("node-{n}"));
    config.look_ms = 0.001;
    config.start_ms = 0.0;
    config.votes = votes;
    let mut node = Node::new(config, incarnation, 1, now);
    node.remembers(AcceptorState::default(), Some(Box::new(AcceptingDisk)), 0);
    node
}

impl World {
    /// A world in which every node votes.
    pub fn new(placers: usize, nodes: usize) -> Self {
        Self::with_control(placers, 0, nodes)
    }

    /// The first `control` nodes are control machines, which vote; the others are learners. Without control machines
    /// every node votes.
    pub fn with_control(placers: usize, control: usize, others: usize) -> Self {
        let nodes = control + others;
        let entry = |n: usize| NodeEntry {
            control: n < control,
            ..NodeEntry::at(
                format!("node-{n}"),
                ([127, 0, 0, 1], 1_000 + n as u16).into(),
            )
        };
        let node = |n: usize| node(n, control == 0 || n < control, 1, 0);
        let mut world = Self {
            now: 1_000_000,
            cores: Vec::new(),
            nodes: (0..nodes).map(node).collect(),
            groups: Groups::default(),
            clock_offsets: BTreeMap::new(),
            events: Vec::new(),
            in_flight: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            sequence: 0,
            rng: Pcg32::new(1, 1),
            active_plans: vec![(0, 0); placers],
            start_numbers: vec![0; placers.max(1)],
            messages: 0,
            sent_messages: Vec::new(),
            record_messages: false,
            plan_messages: 0,
            cut_off: BTreeSet::new(),
            floor_raises: BTreeMap::new(),
            offers: BTreeMap::new(),
            node_list: NodeList {
                revision: 1,
                nodes: (0..nodes).map(entry).collect(),
            },
        };
        (0..placers).for_each(|p| world.start_placer(p, settings(1, placers), 1));
        world
    }

    /// Makes room for this many placers, which `start_placer` then adds in order.
    pub fn reserve_placers(&mut self, placers: usize) {
        self.start_numbers
            .resize(placers.max(self.start_numbers.len()), 0);
    }

    /// The current time on a placer's clock.
    pub fn clock(&self, placer: usize) -> u64 {
        self.now + self.clock_offsets.get(&placer).copied().unwrap_or(0)
    }

    /// The last event of a placer.
    pub fn last_event(&self, placer: usize) -> Option<&Event> {
        let mut events = self.events.iter().rev().filter(|(of, _)| *of == placer);
        events.next().map(|(_, event)| event)
    }

    /// The text of a placer's last event about configurations, empty if there was none.
    pub fn last_configuration_message(&self, placer: usize) -> String {
        let about = |event: &Event| {
            matches!(
                event,
                Event::ConfigurationTextInvalid { .. }
                    | Event::ConfigurationDeltaInvalid { .. }
                    | Event::ConfigurationUnsupported { .. }
                    | Event::DispatchSuspended { .. }
                    | Event::PlacerFenced { .. }
                    | Event::ConfigurationFirst { .. }
                    | Event::ConfigurationJoint { .. }
                    | Event::ConfigurationActive { .. }
            )
        };
        let mut events = self.events.iter().rev();
        let last = events.find(|(of, event)| *of == placer && about(event));
        last.map_or(String::new(), |(_, event)| event.to_string())
    }

    /// When a placer's next timer is due, on the clock of the world.
    fn next_wake(&self, placer: usize) -> Option<u64> {
        let ahead = self.clock_offsets.get(&placer).copied().unwrap_or(0);
        self.cores[placer]
            .next_wake()
            .map(|at| at.saturating_sub(ahead))
    }

    /// Starts a placer, or restarts it and drops its messages in flight. `start_number` is the number of this start.
    pub fn start_placer(&mut self, placer: usize, mut settings: Settings, start_number: u64) {
        self.start_numbers[placer] = start_number;
        settings.name = format!("placer-{placer}");
        let version_info = first_stamp(&settings).map(version_info_of);
        let incarnation = start_number * 1_000 + placer as u64;
        let now = self.clock(placer);
        let core = Core::new(
            settings,
            Start {
                now,
                unix_us: now,
                incarnation,
                seed: incarnation,
            },
        );
        if placer < self.cores.len() {
            self.cores[placer] = core;
        } else {
            self.cores.push(core);
        }
        self.in_flight.retain(|_, in_flight| match in_flight {
            InFlight::AtNode(of, ..) | InFlight::AtPlacer(of, ..) => *of != placer,
        });
        for n in 0..self.nodes.len() {
            let hello = Message::Hello {
                placer: format!("placer-{placer}"),
                incarnation,
                link: 1,
                version_info: version_info.clone(),
            };
            self.send(InFlight::AtNode(placer, n, hello));
        }
        let list = self.node_list.clone();
        let now = self.clock(placer);
        self.cores[placer].handle(now, Input::NodeListChanged(list));
        self.process_outputs(placer);
    }

    /// Notifies a placer that its settings file has changed.
    pub fn change_settings_file(&mut self, placer: usize, settings: Settings) {
        let now = self.clock(placer);
        self.cores[placer].handle(now, Input::SettingsChanged(Box::new(settings)));
        self.process_outputs(placer);
    }

    /// Replaces a node by one without stored state.
    pub fn replace_node(&mut self, n: usize, incarnation: u64) {
        let votes = self.nodes[n].config().votes;
        self.nodes[n] = node(n, votes, incarnation, self.now);
        for placer in 0..self.cores.len() {
            let (name, now) = (self.node_list.nodes[n].name.clone(), self.clock(placer));
            self.cores[placer].handle(
                now,
                Input::LinkDown {
                    node: name,
                    reason: "replaced".to_owned(),
                },
            );
            let (placer_incarnation, link) = (
                self.start_numbers[placer] * 1_000 + placer as u64,
                incarnation,
            );
            let version_info = first_stamp(self.cores[placer].settings()).map(version_info_of);
            let hello = Message::Hello {
                placer: format!("placer-{placer}"),
                incarnation: placer_incarnation,
                link,
                version_info,
            };
            self.send(InFlight::AtNode(placer, n, hello));
            self.process_outputs(placer);
        }
    }

    /// Sends all placers a node list that marks these nodes as control machines, and no others.
    pub fn mark_control(&mut self, control: &[usize]) {
        self.node_list.revision += 1;
        self.node_list
            .nodes
            .iter_mut()
            .enumerate()
            .for_each(|(n, node)| node.control = control.contains(&n));
        for placer in 0..self.cores.len() {
            let (now, list) = (self.clock(placer), self.node_list.clone());
            self.cores[placer].handle(now, Input::NodeListChanged(list));
            self.process_outputs(placer);
        }
    }

    /// Counts and records a message, and puts it in flight for one or two milliseconds.
    fn send(&mut self, in_flight: InFlight) {
        let (InFlight::AtNode(_, n, message) | InFlight::AtPlacer(_, n, message)) = &in_flight;
        if self.cut_off.contains(n) {
            return;
        }
        self.sequence += 1;
        self.messages += 1;
        if self.record_messages {
            let (placer, node, to_node, message) = match &in_flight {
                InFlight::AtNode(placer, node, message) => (*placer, *node, true, message.clone()),
                InFlight::AtPlacer(placer, node, message) => {
                    (*placer, *node, false, message.clone())
                }
            };
            self.sent_messages.push(SentMessage {
                at: self.now,
                placer,
                node,
                to_node,
                message,
            });
        }
        match message {
            Message::ConfigRequest(ConfigRequest::RaiseFloor { .. }) => {
                *self.floor_raises.entry(*n).or_default() += 1
            }
            Message::Offer { .. } => *self.offers.entry(*n).or_default() += 1,
            _ => {}
        }
        let is_about_plans = matches!(
            message,
            Message::ConfigRequest(_)
                | Message::AcceptorReport(_)
                | Message::ConfigText { .. }
                | Message::ConfigDelta(_)
        );
        self.plan_messages += u64::from(is_about_plans);
        let direction = match &in_flight {
            InFlight::AtNode(placer, n, _) => (*placer, *n, true),
            InFlight::AtPlacer(placer, n, _) => (*placer, *n, false),
        };
        let after = 1 + u64::from(self.rng.next_u32() % 2);
        // A link keeps the order of its messages.
        let last = self.last_arrivals.entry(direction).or_default();
        *last = ((self.now / MS + after) * MS).max(*last);
        self.in_flight.insert((*last, self.sequence), in_flight);
    }

    /// Carries out all outputs of a placer's core.
    pub fn process_outputs(&mut self, placer: usize) {
        let now = self.clock(placer);
        self.cores[placer].flush(now);
        while let Some(output) = self.cores[placer].poll() {
            match output {
                Output::Send { node, message } => {
                    let n = node
                        .trim_start_matches("node-")
                        .parse()
                        .expect("node names end in the number of the node");
                    self.send(InFlight::AtNode(placer, n, message));
                }
                Output::Event(event) => self.events.push((placer, event)),
                Output::ActiveConfiguration(stamp)
                    if !stamp.joint && self.active_plans[placer].0 != stamp.version.number =>
                {
                    self.active_plans[placer] = (stamp.version.number, self.now);
                }
                _ => {}
            }
        }
    }

    /// Sends the messages of a node model.
    fn send_effects(&mut self, n: usize) {
        for effect in self.nodes[n].effects() {
            if let Effect::Send(link, message) = effect {
                self.send(InFlight::AtPlacer((link / 10) as usize, n, message));
            }
        }
    }

    /// Runs until every placer acts by this plan, for at most this many microseconds. Returns the time at which the
    /// last placer began to, or `None` if some placer did not. With a plan that never becomes active it only lets the
    /// time pass.
    pub fn run_until_active(&mut self, plan: u64, limit: u64) -> Option<u64> {
        let end = self.now + limit;
        while self.now < end {
            let wakes = (0..self.cores.len())
                .filter_map(|placer| self.next_wake(placer))
                .min();
            let next = self.in_flight.first_key_value().map(|((at, _), _)| *at);
            self.now = next
                .into_iter()
                .chain(wakes)
                .min()
                .unwrap_or(end)
                .min(end)
                .max(self.now + MS);
            let mut woken: BTreeSet<usize> = BTreeSet::new();
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|entry| entry.key().0 <= self.now)
            {
                match entry.remove() {
                    InFlight::AtNode(placer, n, message) => {
                        let link = placer as u64 * 10 + self.start_numbers[placer];
                        let (now, groups) = (self.now, &mut self.groups);
                        self.nodes[n].message(now, link, message, groups);
                        self.send_effects(n);
                    }
                    InFlight::AtPlacer(placer, n, message) => {
                        let node = self.node_list.nodes[n].name.clone();
                        let input = match message {
                            Message::Welcome {
                                node: reported_name,
                                incarnation,
                                up_ms,
                                can_suspend,
                                acceptor_report: report,
                            } => Input::LinkUp {
                                node,
                                reported_name,
                                incarnation,
                                up_ms,
                                can_suspend,
                                report,
                            },
                            message => Input::Message { node, message },
                        };
                        let now = self.clock(placer);
                        self.cores[placer].handle(now, input);
                        woken.insert(placer);
                    }
                }
            }
            let due = |placer: &usize| self.next_wake(*placer).is_some_and(|at| at <= self.now);
            woken.extend((0..self.cores.len()).filter(due));
            woken
                .into_iter()
                .for_each(|placer| self.process_outputs(placer));
            if self.active_plans.iter().all(|(number, _)| *number == plan) {
                return self.active_plans.iter().map(|(_, at)| *at).max();
            }
        }
        None
    }
}

/// The version information in a placer's hello, with the build name `bench`.
fn version_info_of(stamp: VersionStamp) -> VersionInfo {
    VersionInfo {
        stamp,
        build: "bench".to_owned(),
    }
}
