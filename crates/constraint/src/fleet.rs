//! The nodes and the copies that constraints are evaluated against.

use std::collections::BTreeMap;

use fixedbitset::FixedBitSet;

use crate::tree::{DomainKind, Value};

/// The value of an attribute of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Attr {
    /// A text.
    Text(String),
    /// A number.
    Number(f64),
    /// A version: a text of the form `v6.1.4`.
    Version(Vec<u64>),
    /// A set of texts.
    Set(Vec<String>),
}

impl Attr {
    /// The name of the value's type, as it appears in messages.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Text(_) => "text",
            Self::Number(_) => "number",
            Self::Version(_) => "version",
            Self::Set(_) => "set",
        }
    }

    /// The name of a constant's type, as it appears in messages.
    pub(crate) const fn kind_of(value: &Value) -> &'static str {
        match value {
            Value::Text(_) => "text",
            Value::Number(_) => "number",
            Value::Version(_) => "version",
            Value::Set(_) => "set",
        }
    }

    /// An attribute value from a text: a [`Attr::Version`] if the text has the form of one, otherwise [`Attr::Text`].
    pub fn text(text: &str) -> Self {
        let parts = text
            .strip_prefix('v')
            .map(|rest| rest.split('.').map(str::parse::<u64>).collect());
        match parts {
            Some(Ok(parts)) => Self::Version(parts),
            _ => Self::Text(text.to_owned()),
        }
    }
}

/// One node of the node list, as constraints see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetNode {
    /// The node's name.
    pub name: String,
    /// The node's kind; empty if unknown.
    pub kind: String,
    /// The node's rack; empty if unknown.
    pub rack: String,
    /// The node's hall; empty if unknown.
    pub hall: String,
    /// The node's attributes, by name.
    pub attrs: BTreeMap<String, Attr>,
    /// Whether the node is in the node list. A node that was removed from the list keeps its index, because copies on
    /// it are counted by that index.
    pub listed: bool,
    /// Whether the node accepts tasks.
    pub ready: bool,
    /// Whether the node is gone: it is unknown whether copies on it still run, so they are not counted as running.
    pub gone: bool,
}

impl FleetNode {
    /// A listed, ready node of this name without kind, rack, hall and attributes.
    pub fn named(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            listed: true,
            ready: true,
            ..Self::default()
        }
    }

    /// Sets the node's hall.
    #[must_use]
    pub fn hall(self, hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..self
        }
    }

    /// Sets the node's rack.
    #[must_use]
    pub fn rack(self, rack: &str) -> Self {
        Self {
            rack: rack.to_owned(),
            ..self
        }
    }

    /// Adds an attribute, a text or a version; see [`Attr::text`].
    #[must_use]
    pub fn attr(mut self, name: &str, text: &str) -> Self {
        self.attrs.insert(name.to_owned(), Attr::text(text));
        self
    }
}

/// The nodes grouped by the domains of one kind. Domains are numbered in the order in which nodes first name them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domains {
    /// The domain of each node, by node index; `None` if the node's domain is unknown.
    pub domain_of: Vec<Option<usize>>,
    /// The nodes of each domain.
    pub nodes_in: Vec<FixedBitSet>,
    /// The nodes whose domain is known.
    pub nodes_with_domain: FixedBitSet,
}

impl Domains {
    fn new(nodes: &[FleetNode], name: impl Fn(&FleetNode) -> Option<String>) -> Self {
        let mut numbers: BTreeMap<String, usize> = BTreeMap::new();
        let mut domains = Self {
            nodes_with_domain: FixedBitSet::with_capacity(nodes.len()),
            ..Self::default()
        };
        for (index, node) in nodes.iter().enumerate() {
            let number = name(node).map(|name| {
                let next = numbers.len();
                *numbers.entry(name).or_insert(next)
            });
            if let Some(number) = number {
                if number == domains.nodes_in.len() {
                    domains
                        .nodes_in
                        .push(FixedBitSet::with_capacity(nodes.len()));
                }
                domains.nodes_in[number].insert(index);
                domains.nodes_with_domain.insert(index);
            }
            domains.domain_of.push(number);
        }
        domains
    }
}

/// A node list, with its nodes grouped by machine, rack and hall.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    nodes: Vec<FleetNode>,
    domains: [Domains; 3],
    ready: FixedBitSet,
    indexes: BTreeMap<String, usize>,
}

impl Fleet {
    /// A fleet of these nodes. The index of a node is its position in the list.
    pub fn new(nodes: Vec<FleetNode>) -> Self {
        let non_empty = |text: &str| (!text.is_empty()).then(|| text.to_owned());
        let rack =
            |node: &FleetNode| non_empty(&node.rack).map(|rack| format!("{}\n{rack}", node.hall));
        let domains = [
            Domains::new(&nodes, |node| Some(node.name.clone())),
            Domains::new(&nodes, rack),
            Domains::new(&nodes, |node| non_empty(&node.hall)),
        ];
        let mut ready = FixedBitSet::with_capacity(nodes.len());
        nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.ready)
            .for_each(|(index, _)| ready.insert(index));
        let indexes = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.name.clone(), index))
            .collect();
        Self {
            nodes,
            domains,
            ready,
            indexes,
        }
    }

    /// The nodes, in the order of their indexes, including those that are no longer listed.
    pub fn nodes(&self) -> &[FleetNode] {
        &self.nodes
    }

    /// The index of the node of this name; `None` if there is none.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    pub(crate) fn domains(&self, domain_kind: DomainKind) -> &Domains {
        &self.domains[domain_kind as usize]
    }

    pub(crate) fn ready(&self) -> &FixedBitSet {
        &self.ready
    }

    /// The nodes that are in the node list.
    pub(crate) fn all(&self) -> FixedBitSet {
        let mut all = FixedBitSet::with_capacity(self.nodes.len());
        let listed = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.listed);
        listed.for_each(|(index, _)| all.insert(index));
        all
    }

    /// Updates the health of one node. An index that does not exist is ignored.
    pub fn set_health(&mut self, index: usize, ready: bool, gone: bool) {
        if let Some(node) = self.nodes.get_mut(index) {
            (node.ready, node.gone) = (ready, gone);
            self.ready.set(index, ready);
        }
    }
}

/// A group of copies that a [`Census`] counts together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The copies of a service in one class, as (class, service).
    ClassService(String, String),
    /// The copies of a service in any class.
    Service(String),
    /// The copies with a label, as (key, value).
    Label(String, String),
}

/// The number of copies that run or may run, by topic and node index. A copy whose outcome is unknown is counted.
#[derive(Clone, Debug, Default)]
pub struct Census {
    counts: BTreeMap<Topic, BTreeMap<usize, u32>>,
}

impl Census {
    /// Adds a copy on a node under each of its topics.
    pub fn add(&mut self, topics: &[Topic], node: usize) {
        for topic in topics {
            *self
                .counts
                .entry(topic.clone())
                .or_default()
                .entry(node)
                .or_default() += 1;
        }
    }

    /// Removes a copy on a node under each of its topics. Topics without a copy there are ignored.
    pub fn remove(&mut self, topics: &[Topic], node: usize) {
        for topic in topics {
            let Some(counts) = self.counts.get_mut(topic) else {
                continue;
            };
            if let Some(count) = counts.get_mut(&node) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    counts.remove(&node);
                }
            }
            if counts.is_empty() {
                self.counts.remove(topic);
            }
        }
    }

    /// The nodes with copies of a topic, as (node index, number of copies), in ascending order of the index.
    pub fn of(&self, topic: &Topic) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.counts
            .get(topic)
            .into_iter()
            .flatten()
            .map(|(node, count)| (*node, *count))
    }
}
