//! The node list: a TOML file with one `[[node]]` table for each node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use reedring_constraint::Attr;
use serde::Deserialize;
use toml::Spanned;

use crate::problem::{Checker, Problems};
use crate::settings::Settings;

/// The state of a node according to the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The node accepts new tasks.
    #[default]
    Ready,
    /// The node finishes its running tasks and accepts no new ones.
    Draining,
    /// The node was removed from the cluster.
    Gone,
}

impl Health {
    /// The value of `health` in the node list.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// One entry of the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The name of the node, the same in the lists of all placers.
    pub name: String,
    /// The address on which the node listens for placers.
    pub address: SocketAddr,
    /// The machine kind of the node: an index into [`Settings::kinds`].
    pub kind: u16,
    /// The rack of the node; empty if the list does not state it.
    pub rack: String,
    /// The hall (zone) of the node; empty if the list does not state it.
    pub hall: String,
    /// Attributes of the node by name, which constraints refer to.
    pub attrs: BTreeMap<String, Attr>,
    /// Whether the node accepts new tasks.
    pub health: Health,
    /// Whether the node is a control machine, which votes on plans and runs no tasks.
    pub control: bool,
    /// Cores that no accepted task requests; `None` if the list does not state them.
    pub free_cores: Option<f64>,
    /// Memory that no accepted task requests, in the unit of [`Kind::memory`](crate::Kind::memory); `None` if the list
    /// does not state it.
    pub free_memory: Option<f64>,
}

impl NodeEntry {
    /// A node with this name and address, and the default for each other field.
    pub fn at(name: impl Into<String>, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            address,
            kind: 0,
            rack: String::new(),
            hall: String::new(),
            attrs: BTreeMap::new(),
            health: Health::Ready,
            control: false,
            free_cores: None,
            free_memory: None,
        }
    }
}

/// The complete list of nodes. A node that is not in it counts as gone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeList {
    /// The revision of the list, which increases with each change; 0 if the file states none.
    pub revision: u64,
    /// The entries in the order of the file.
    pub nodes: Vec<NodeEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    node: Vec<NodeTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeTable {
    name: Spanned<String>,
    address: Spanned<String>,
    kind: Option<Spanned<String>>,
    #[serde(default)]
    rack: String,
    #[serde(default)]
    hall: String,
    #[serde(default)]
    attrs: BTreeMap<String, Spanned<toml::Value>>,
    #[serde(default)]
    health: Health,
    control: Option<Spanned<bool>>,
    free_cores: Option<f64>,
    free_memory: Option<f64>,
}

/// Converts a TOML value to an attribute; `None` if its type is not supported.
fn parse_attr(value: &toml::Value) -> Option<Attr> {
    Some(match value {
        toml::Value::String(text) => Attr::text(text),
        toml::Value::Integer(number) => Attr::Number(*number as f64),
        toml::Value::Float(number) if number.is_finite() => Attr::Number(*number),
        toml::Value::Boolean(yes) => Attr::Text(yes.to_string()),
        toml::Value::Array(all) => Attr::Set(
            all.iter()
                .map(|one| one.as_str().map(str::to_owned))
                .collect::<Option<_>>()?,
        ),
        _ => return None,
    })
}

/// Reports a list that marks control machines of which each is gone, so that none could vote.
fn check_control(check: &mut Checker, nodes: &[NodeTable]) {
    let marked = nodes.iter().enumerate().filter_map(|(n, node)| {
        let control = node.control.as_ref().filter(|control| *control.get_ref())?;
        Some((n, node, control.span()))
    });
    let marked: Vec<_> = marked.collect();
    if let Some((n, _, span)) = marked.first()
        && marked
            .iter()
            .all(|(_, node, _)| node.health == Health::Gone)
    {
        let message = "every control machine is gone, so no plan could be voted on; mark one that is not gone";
        check.report(
            span.clone(),
            format!("node[{n}].control"),
            message.to_owned(),
        );
    }
}

impl NodeList {
    /// The control machines: the nodes that vote on plans. If there are none, all nodes vote.
    pub fn control(&self) -> impl Iterator<Item = &NodeEntry> {
        self.nodes.iter().filter(|node| node.control)
    }

    /// Parses the text of a node list and checks it against the machine kinds of the settings. `file` is the file name
    /// in error messages.
    ///
    /// # Errors
    /// The error of the TOML parser, or else all problems that the checks find.
    pub fn parse(text: &str, file: &str, settings: &Settings) -> Result<Self, Problems> {
        let mut check = Checker::new(file, text);
        let read: File = check.deserialize()?;
        check.check_names(read.node.iter().map(|node| &node.name), "node");
        let kinds: Vec<&str> = settings
            .kinds
            .iter()
            .map(|kind| kind.name.as_str())
            .collect();
        let mut nodes: Vec<NodeEntry> = Vec::new();
        for (n, node) in read.node.iter().enumerate() {
            let key = |field: &str| format!("node[{n}].{field}");
            let Ok(address) = node.address.get_ref().parse::<SocketAddr>() else {
                let fix = "write it as `127.0.0.1:7000` or `[::1]:7000`";
                let message = format!("`{}` is no address; {fix}", node.address.get_ref());
                check.report(node.address.span(), key("address"), message);
                continue;
            };
            if let Some(other) = nodes.iter().find(|other| other.address == address) {
                let message = format!("{address} is the address of `{}` too", other.name);
                check.report(node.address.span(), key("address"), message);
            }
            let kind = match &node.kind {
                Some(kind) => check.find_name(kind, &kinds, &key("kind"), "kind"),
                None if kinds.len() <= 1 => Some(0),
                None => {
                    let fix = format!(
                        "the settings name several kinds; write one of {}",
                        kinds.join(", ")
                    );
                    check.report(node.name.span(), key("kind"), fix);
                    None
                }
            };
            let mut attrs = BTreeMap::new();
            for (name, value) in &node.attrs {
                match parse_attr(value.get_ref()) {
                    Some(attr) => drop(attrs.insert(name.clone(), attr)),
                    None => {
                        let fix = "an attribute is a text, a number or a list of texts";
                        check.report(value.span(), key(&format!("attrs.{name}")), fix);
                    }
                }
            }
            nodes.push(NodeEntry {
                name: node.name.get_ref().clone(),
                address,
                kind: kind.unwrap_or(0) as u16,
                rack: node.rack.clone(),
                hall: node.hall.clone(),
                attrs,
                health: node.health,
                control: node
                    .control
                    .as_ref()
                    .is_some_and(|control| *control.get_ref()),
                free_cores: node.free_cores,
                free_memory: node.free_memory,
            });
        }
        check_control(&mut check, &read.node);
        check.finish(Self {
            revision: read.revision,
            nodes,
        })
    }
}
