//! Nodes: the list's line, the operator's word, and the link.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use reedring::names::machine_id;
use reedring::{self as module, AttemptId, MachineId, Micros};
use reedring_drmaa::rpc::NodeLine;
use reedring_node_protocol::{Held, Reason};
use reedring_settings::{Health, NodeEntry, Site};

use crate::decide;
use crate::jobs::NodeNo;

/// Numbers for racks and halls, in the order in which they are first named.
#[derive(Debug, Default)]
pub(crate) struct Places(BTreeMap<String, u16>);

impl Places {
    pub fn number(&mut self, name: &str) -> u16 {
        let next = self.0.len() as u16;
        *self.0.entry(name.to_owned()).or_insert(next)
    }
}

/// The link to a node.
#[derive(Debug, Default)]
pub(crate) enum Link {
    /// Never made, and no try has failed yet.
    #[default]
    Fresh,
    Down,
    /// It stands; what the node holds is being told.
    Greeted(Vec<Held>),
    Up,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub name: String,
    pub machine: MachineId,
    pub address: SocketAddr,
    pub entry: NodeEntry,
    /// The list holds it.
    pub listed: bool,
    /// An operator drains it.
    pub drained: bool,
    pub link: Link,
    /// Counts links, so that a timer knows its own.
    pub links: u64,
    /// The node's life and its start, once it was met.
    pub life: Option<u64>,
    pub started: Option<Micros>,
    pub can_suspend: bool,
    /// It has told what it holds since this placer started.
    pub told: bool,
    /// Own attempts at it.
    pub attempts: BTreeSet<AttemptId>,
    /// Its refusals, by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Until when offers that it answered late count against it while it is cold.
    pub late_until: Micros,
    /// Only a former life's ledger names it so far: where it is the list will say.
    pub remembered: bool,
    /// What the module was told last.
    line: Option<module::Machine>,
}

impl Node {
    fn new(entry: NodeEntry) -> Self {
        Self {
            name: entry.name.clone(),
            machine: machine_id(&entry.name),
            address: entry.address,
            entry,
            listed: true,
            drained: false,
            link: Link::Fresh,
            links: 0,
            life: None,
            started: None,
            can_suspend: false,
            told: false,
            attempts: BTreeSet::new(),
            refusals: BTreeMap::new(),
            late_until: 0,
            remembered: false,
            line: None,
        }
    }

    /// The module knows it.
    pub fn is_told(&self) -> bool {
        self.line.is_some()
    }

    pub fn is_up(&self) -> bool {
        matches!(self.link, Link::Up)
    }

    /// Ready, draining or gone, by the list and the operator.
    pub fn health(&self) -> Health {
        match self.entry.health {
            _ if !self.listed => Health::Gone,
            Health::Ready if self.drained => Health::Draining,
            health => health,
        }
    }

    /// It was met at this life of its own: a new life has a start of its own.
    pub fn met(&mut self, now: Micros, life: u64, up_ms: u64) -> bool {
        let same = self.life == Some(life);
        // A life that only the ledger tells of has no start yet.
        if !same || self.started.is_none() {
            self.life = Some(life);
            self.started = Some(now.saturating_sub(up_ms.saturating_mul(1_000)));
        }
        same
    }

    pub fn node_line(
        &self,
        waiting: usize,
        held: usize,
        asked: (f64, f64),
        kind: &str,
        plan: Option<String>,
    ) -> NodeLine {
        let refusal = |(reason, count): (&Reason, &u64)| (reason.word().to_owned(), *count);
        let listed = if self.listed {
            self.entry.health
        } else {
            Health::Gone
        };
        NodeLine {
            node: self.name.clone(),
            address: self.address.to_string(),
            kind: kind.to_owned(),
            rack: self.entry.rack.clone(),
            hall: self.entry.hall.clone(),
            listed: listed.word().to_owned(),
            drained: self.drained,
            linked: self.is_up(),
            waiting,
            held,
            cores: asked.0,
            memory: asked.1,
            plan,
            refusals: self.refusals.iter().map(refusal).collect(),
        }
    }
}

/// All nodes that were ever listed in this life.
#[derive(Debug, Default)]
pub(crate) struct Nodes {
    pub all: BTreeMap<NodeNo, Node>,
    numbers: BTreeMap<String, NodeNo>,
    machines: BTreeMap<MachineId, NodeNo>,
    pub halls: Places,
    racks: Places,
    /// Names of the settings' kinds.
    kinds: Vec<String>,
}

/// What a placer's own start means for cold nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Born {
    pub at: Micros,
    /// Every offer of its former life to a cold node is known.
    pub budgets_known: bool,
}

/// What a new list means for one node's link.
pub(crate) enum Relink {
    Connect(NodeNo),
    /// It moved to another address.
    Move(NodeNo),
    /// It is in another zone, at the same address.
    MoveZone(NodeNo),
    /// It left the list.
    Left(NodeNo),
}

impl Nodes {
    pub fn new(kinds: Vec<String>) -> Self {
        Self {
            kinds,
            ..Self::default()
        }
    }

    /// The names of kinds, where the settings have others now.
    pub fn name_kinds(&mut self, kinds: Vec<String>) {
        self.kinds = kinds;
    }

    pub fn kind(&self, kind: u16) -> &str {
        self.kinds.get(usize::from(kind)).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<NodeNo> {
        self.numbers.get(name).copied()
    }

    pub fn of_machine(&self, machine: MachineId) -> Option<NodeNo> {
        self.machines.get(&machine).copied()
    }

    pub fn named(&mut self, name: &str) -> Option<(NodeNo, &mut Node)> {
        let number = self.numbers.get(name).copied()?;
        self.all.get_mut(&number).map(|node| (number, node))
    }

    /// The number of a node that a former life knew. It counts as listed until a list says otherwise.
    pub fn remember(&mut self, name: &str) -> NodeNo {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.all.len() as NodeNo;
        let entry = NodeEntry::at(name, SocketAddr::from(([127, 0, 0, 1], 0)));
        let node = Node {
            remembered: true,
            ..Node::new(entry)
        };
        self.numbers.insert(name.to_owned(), number);
        self.machines.insert(node.machine, number);
        self.all.insert(number, node);
        number
    }

    pub fn health_of(&self, name: &str) -> Option<Health> {
        self.all.get(&self.number(name)?).map(Node::health)
    }

    /// It has started lately, and bears little.
    pub fn is_cold(&self, number: NodeNo, now: Micros, site: &Site) -> bool {
        let started = self.all.get(&number).and_then(|node| node.started);
        started
            .zip(site.warm_after_us)
            .is_some_and(|(at, warm)| now < at.saturating_add(warm))
    }

    /// Takes a whole list in; answers what it means for links, and names that can't be told apart.
    pub fn list(&mut self, entries: Vec<NodeEntry>) -> (Vec<Relink>, Vec<String>) {
        let (mut relinks, mut clashes) = (Vec::new(), Vec::new());
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        for (number, node) in &mut self.all {
            if node.listed && !listed.contains(node.name.as_str()) {
                node.listed = false;
                relinks.push(Relink::Left(*number));
            }
        }
        for entry in entries {
            let machine = machine_id(&entry.name);
            match self.numbers.get(&entry.name).copied() {
                None if self.machines.contains_key(&machine) => clashes.push(entry.name),
                None => {
                    let number = self.all.len() as NodeNo;
                    self.numbers.insert(entry.name.clone(), number);
                    self.machines.insert(machine, number);
                    self.all.insert(number, Node::new(entry));
                    relinks.push(Relink::Connect(number));
                }
                Some(number) => {
                    if let Some(node) = self.all.get_mut(&number) {
                        let first = std::mem::take(&mut node.remembered);
                        let (back, moved) = (!node.listed, node.address != entry.address);
                        let another_zone = node.entry.hall != entry.hall;
                        (node.listed, node.address, node.entry) = (true, entry.address, entry);
                        if first {
                            relinks.push(Relink::Connect(number));
                        } else if moved {
                            relinks.push(Relink::Move(number));
                        } else {
                            relinks.extend(another_zone.then_some(Relink::MoveZone(number)));
                            relinks.extend(back.then_some(Relink::Connect(number)));
                        }
                    }
                }
            }
        }
        (relinks, clashes)
    }

    /// The lines that the module does not know yet. A node is told of once its link was made or has failed
    /// once: before, the module could only spend attempts on it. Of a control machine it is never told.
    pub fn news(&mut self, now: Micros, born: Born, site: &Site) -> Vec<module::Machine> {
        let mut news = Vec::new();
        let numbers: Vec<NodeNo> = self.all.keys().copied().collect();
        for number in numbers {
            if let Some(line) = self.line(now, born, number, site) {
                news.push(line);
            }
        }
        news
    }

    /// The line of one node, where the module does not know it yet.
    pub fn line(
        &mut self,
        now: Micros,
        born: Born,
        number: NodeNo,
        site: &Site,
    ) -> Option<module::Machine> {
        let node = self.all.get_mut(&number)?;
        let not_met = matches!(node.link, Link::Fresh | Link::Greeted(_));
        if (not_met || node.entry.control) && node.line.is_none() {
            return None;
        }
        let cold_until = node
            .started
            .zip(site.warm_after_us)
            .map(|(at, warm)| at.saturating_add(warm));
        if !decide::may_tell(
            now,
            born.at,
            site.cold_window_us,
            cold_until,
            born.budgets_known,
        ) && node.line.is_none()
        {
            return None;
        }
        let health = match node.health() {
            Health::Gone => module::Health::Gone,
            // Set aside while it had tasks: they run to their end, and nothing new comes.
            _ if node.entry.control => module::Health::Draining,
            Health::Ready => module::Health::Ready,
            Health::Draining => module::Health::Draining,
        };
        let line = module::Machine {
            id: node.machine,
            zone: self.halls.number(&node.entry.hall),
            kind: node.entry.kind,
            cell: self
                .racks
                .number(&format!("{}\n{}", node.entry.hall, node.entry.rack)),
            health,
            // Only a young node's start matters, and only where the site tells what young means.
            ready_at: node.started.filter(|_| site.warm_after_us.is_some()),
            free_cores: node.entry.free_cores,
            free_memory: node.entry.free_memory,
        };
        (node.line.as_ref() != Some(&line)).then(|| {
            node.line = Some(line.clone());
            line
        })
    }

    /// Every node that could hold a task has told since this placer started.
    pub fn all_told(&self) -> bool {
        self.all
            .values()
            .filter(|node| node.listed)
            .all(|node| node.told)
    }
}
