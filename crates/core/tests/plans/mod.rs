//! Placers' cores and node models by hundreds, in simulated time, for tests and measurements of the plan.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_core::event::Event;
use reedring_core::{Core, Input, Output, Start, first_stamp};
use reedring_node_protocol::{ConfigRequest, Message, VersionInfo, VersionStamp};
use reedring_node_simulator::{Config, Effect, Groups, Keep, Node};
use reedring_plan::AcceptorState;
use reedring_settings::{NodeEntry, NodeList, Settings};

pub const SETTINGS: &str = r#"
    placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
    kind = [{ name = "k", cores = 32.0, memory = 96.0 }]
    class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "10s" }]
    [site]
    mean_cores = 0.5
    mean_memory = 1.5
"#;

pub fn settings(plan: u64, placers: usize) -> Settings {
    let plan = if plan > 0 {
        format!("[plan]\nnumber = {plan}\n")
    } else {
        String::new()
    };
    let text = SETTINGS.replace("[site]", &format!("[site]\nplacers = {placers}"));
    Settings::parse(&format!("{text}{plan}"), "bench").expect("the bench's own settings")
}

/// Settings whose plan has these tenants.
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
    .expect("the teams' settings")
}

/// A disk that takes everything.
struct Takes;

impl Keep for Takes {
    fn keep(&mut self, _: &[u8]) -> std::io::Result<()> {
        Ok(())
    }
}

pub enum Due {
    AtNode(usize, usize, Message),
    AtPlacer(usize, usize, Message),
}

/// A message that was sent.
#[derive(Debug)]
pub struct Sent {
    pub at: u64,
    pub placer: usize,
    pub node: usize,
    pub to_node: bool,
    pub message: Message,
}

/// Placers and nodes in simulated time, on a grid of a millisecond: what comes in one slot is one turn of a loop.
pub struct World {
    pub now: u64,
    pub cores: Vec<Core>,
    pub nodes: Vec<Node>,
    groups: Groups,
    pub queue: BTreeMap<(u64, u64), Due>,
    /// When the last message arrives on each way of each link.
    last: BTreeMap<(usize, usize, bool), u64>,
    made: u64,
    draw: Pcg32,
    /// How far ahead each placer's clock is, in microseconds.
    pub ahead: BTreeMap<usize, u64>,
    /// What operators were told, by placer.
    pub events: Vec<(usize, Event)>,
    /// Since when each placer acts by this plan alone.
    pub acts: Vec<(u64, u64)>,
    /// The life of each placer: its links' numbers end in it.
    lives: Vec<u64>,
    pub messages: u64,
    /// Every message, where they are recorded.
    pub sent: Vec<Sent>,
    pub records: bool,
    /// Messages of plans alone: orders, records and texts.
    pub plan_messages: u64,
    /// Nodes that nothing reaches, and that reach nobody.
    pub cut_off: BTreeSet<usize>,
    /// Orders to learners to raise their floor, by node.
    pub raises: BTreeMap<usize, u64>,
    /// Offers, by node.
    pub offers: BTreeMap<usize, u64>,
    pub list: NodeList,
}

pub const MS: u64 = 1_000;

fn node(n: usize, votes: bool, life: u64, now: u64) -> Node {
    let mut config = Config::named(&format!("node-{n}"));
    config.look_ms = 0.001;
    config.start_ms = 0.0;
    config.votes = votes;
    let mut node = Node::new(config, life, 1, now);
    node.remembers(AcceptorState::default(), Some(Box::new(Takes)), 0);
    node
}

impl World {
    /// Every node votes.
    pub fn new(placers: usize, nodes: usize) -> Self {
        Self::with_control(placers, 0, nodes)
    }

    /// The first nodes are control machines, all others learn; with none of those every node votes.
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
            ahead: BTreeMap::new(),
            events: Vec::new(),
            queue: BTreeMap::new(),
            last: BTreeMap::new(),
            made: 0,
            draw: Pcg32::new(1, 1),
            acts: vec![(0, 0); placers],
            lives: vec![0; placers.max(1)],
            messages: 0,
            sent: Vec::new(),
            records: false,
            plan_messages: 0,
            cut_off: BTreeSet::new(),
            raises: BTreeMap::new(),
            offers: BTreeMap::new(),
            list: NodeList {
                revision: 1,
                nodes: (0..nodes).map(entry).collect(),
            },
        };
        (0..placers).for_each(|p| world.start(p, settings(1, placers), 1));
        world
    }

    /// Room for so many placers.
    pub fn lives_for(&mut self, placers: usize) {
        self.lives.resize(placers.max(self.lives.len()), 0);
    }

    /// The time by a placer's clock.
    pub fn clock(&self, placer: usize) -> u64 {
        self.now + self.ahead.get(&placer).copied().unwrap_or(0)
    }

    /// What a placer's operators were told last.
    pub fn last_event(&self, placer: usize) -> Option<&Event> {
        let mut told = self.events.iter().rev().filter(|(of, _)| *of == placer);
        told.next().map(|(_, event)| event)
    }

    /// The last message of a placer about configurations.
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
        let mut told = self.events.iter().rev();
        let last = told.find(|(of, event)| *of == placer && about(event));
        last.map_or(String::new(), |(_, event)| event.to_string())
    }

    /// When a placer wants to be woken, by the world's clock.
    fn wakes(&self, placer: usize) -> Option<u64> {
        let ahead = self.ahead.get(&placer).copied().unwrap_or(0);
        self.cores[placer]
            .next_wake()
            .map(|at| at.saturating_sub(ahead))
    }

    /// A placer's new life.
    pub fn start(&mut self, placer: usize, mut settings: Settings, life: u64) {
        self.lives[placer] = life;
        settings.name = format!("placer-{placer}");
        let version_info = first_stamp(&settings).map(bench_build);
        let life = life * 1_000 + placer as u64;
        let now = self.clock(placer);
        let core = Core::new(
            settings,
            Start {
                now,
                unix_us: now,
                incarnation: life,
                seed: life,
            },
        );
        if placer < self.cores.len() {
            self.cores[placer] = core;
        } else {
            self.cores.push(core);
        }
        self.queue.retain(|_, due| match due {
            Due::AtNode(of, ..) | Due::AtPlacer(of, ..) => *of != placer,
        });
        for n in 0..self.nodes.len() {
            let hello = Message::Hello {
                placer: format!("placer-{placer}"),
                incarnation: life,
                link: 1,
                version_info: version_info.clone(),
            };
            self.send(Due::AtNode(placer, n, hello));
        }
        let list = self.list.clone();
        let now = self.clock(placer);
        self.cores[placer].handle(now, Input::NodeListChanged(list));
        self.turn(placer);
    }

    /// A placer's settings file says something else.
    pub fn change_file(&mut self, placer: usize, settings: Settings) {
        let now = self.clock(placer);
        self.cores[placer].handle(now, Input::SettingsChanged(Box::new(settings)));
        self.turn(placer);
    }

    /// Another machine takes a node's place, without any memory.
    pub fn replace_node(&mut self, n: usize, life: u64) {
        let votes = self.nodes[n].config().votes;
        self.nodes[n] = node(n, votes, life, self.now);
        for placer in 0..self.cores.len() {
            let (name, now) = (self.list.nodes[n].name.clone(), self.clock(placer));
            self.cores[placer].handle(
                now,
                Input::LinkDown {
                    node: name,
                    reason: "replaced".to_owned(),
                },
            );
            let (life, link) = (self.lives[placer] * 1_000 + placer as u64, life);
            let version_info = first_stamp(self.cores[placer].settings()).map(bench_build);
            let hello = Message::Hello {
                placer: format!("placer-{placer}"),
                incarnation: life,
                link,
                version_info,
            };
            self.send(Due::AtNode(placer, n, hello));
            self.turn(placer);
        }
    }

    /// The next list marks other control machines.
    pub fn mark_control(&mut self, control: &[usize]) {
        self.list.revision += 1;
        self.list
            .nodes
            .iter_mut()
            .enumerate()
            .for_each(|(n, node)| node.control = control.contains(&n));
        for placer in 0..self.cores.len() {
            let (now, list) = (self.clock(placer), self.list.clone());
            self.cores[placer].handle(now, Input::NodeListChanged(list));
            self.turn(placer);
        }
    }

    fn send(&mut self, due: Due) {
        let (Due::AtNode(_, n, message) | Due::AtPlacer(_, n, message)) = &due;
        if self.cut_off.contains(n) {
            return;
        }
        self.made += 1;
        self.messages += 1;
        if self.records {
            let (placer, node, to_node, message) = match &due {
                Due::AtNode(placer, node, message) => (*placer, *node, true, message.clone()),
                Due::AtPlacer(placer, node, message) => (*placer, *node, false, message.clone()),
            };
            self.sent.push(Sent {
                at: self.now,
                placer,
                node,
                to_node,
                message,
            });
        }
        match message {
            Message::ConfigRequest(ConfigRequest::RaiseFloor { .. }) => {
                *self.raises.entry(*n).or_default() += 1
            }
            Message::Offer { .. } => *self.offers.entry(*n).or_default() += 1,
            _ => {}
        }
        let of_plans = matches!(
            message,
            Message::ConfigRequest(_)
                | Message::AcceptorReport(_)
                | Message::ConfigText { .. }
                | Message::ConfigDelta(_)
        );
        self.plan_messages += u64::from(of_plans);
        let way = match &due {
            Due::AtNode(placer, n, _) => (*placer, *n, true),
            Due::AtPlacer(placer, n, _) => (*placer, *n, false),
        };
        let after = 1 + u64::from(self.draw.next_u32() % 2);
        // A link keeps the order of what is sent on it.
        let last = self.last.entry(way).or_default();
        *last = ((self.now / MS + after) * MS).max(*last);
        self.queue.insert((*last, self.made), due);
    }

    pub fn turn(&mut self, placer: usize) {
        let now = self.clock(placer);
        self.cores[placer].flush(now);
        while let Some(output) = self.cores[placer].poll() {
            match output {
                Output::Send { node, message } => {
                    let n = node
                        .trim_start_matches("node-")
                        .parse()
                        .expect("its number");
                    self.send(Due::AtNode(placer, n, message));
                }
                Output::Event(event) => self.events.push((placer, event)),
                Output::ActiveConfiguration(stamp)
                    if !stamp.joint && self.acts[placer].0 != stamp.version.number =>
                {
                    self.acts[placer] = (stamp.version.number, self.now);
                }
                _ => {}
            }
        }
    }

    fn effects(&mut self, n: usize) {
        for effect in self.nodes[n].effects() {
            if let Effect::Send(link, message) = effect {
                self.send(Due::AtPlacer((link / 10) as usize, n, message));
            }
        }
    }

    /// Runs until every placer acts by this plan, for so long at most; the moment.
    pub fn until_all(&mut self, plan: u64, most: u64) -> Option<u64> {
        let end = self.now + most;
        while self.now < end {
            let wakes = (0..self.cores.len())
                .filter_map(|placer| self.wakes(placer))
                .min();
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            self.now = next
                .into_iter()
                .chain(wakes)
                .min()
                .unwrap_or(end)
                .min(end)
                .max(self.now + MS);
            let mut turns: BTreeSet<usize> = BTreeSet::new();
            while let Some(due) = self
                .queue
                .first_entry()
                .filter(|due| due.key().0 <= self.now)
            {
                match due.remove() {
                    Due::AtNode(placer, n, message) => {
                        let link = placer as u64 * 10 + self.lives[placer];
                        let (now, groups) = (self.now, &mut self.groups);
                        self.nodes[n].message(now, link, message, groups);
                        self.effects(n);
                    }
                    Due::AtPlacer(placer, n, message) => {
                        let node = self.list.nodes[n].name.clone();
                        let input = match message {
                            Message::Welcome {
                                node: called,
                                incarnation: life,
                                up_ms,
                                can_suspend,
                                acceptor_report: record,
                            } => Input::LinkUp {
                                node,
                                reported_name: called,
                                incarnation: life,
                                up_ms,
                                can_suspend,
                                report: record,
                            },
                            message => Input::Message { node, message },
                        };
                        let now = self.clock(placer);
                        self.cores[placer].handle(now, input);
                        turns.insert(placer);
                    }
                }
            }
            let due = |placer: &usize| self.wakes(*placer).is_some_and(|at| at <= self.now);
            turns.extend((0..self.cores.len()).filter(due));
            turns.into_iter().for_each(|placer| self.turn(placer));
            if self.acts.iter().all(|(number, _)| *number == plan) {
                return self.acts.iter().map(|(_, at)| *at).max();
            }
        }
        None
    }
}

/// What a placer of the build `bench` says in its hello.
fn bench_build(stamp: VersionStamp) -> VersionInfo {
    VersionInfo {
        stamp,
        build: "bench".to_owned(),
    }
}
