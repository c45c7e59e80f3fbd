//! The node list: one `[[node]]` table a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use reedring_constraint::Attr;
use serde::Deserialize;
use toml::Spanned;

use crate::problem::{Checker, Problems};
use crate::settings::Settings;

/// Whether a node may get new tasks, by the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It takes tasks.
    #[default]
    Ready,
    /// It wraps up its work.
    Draining,
    /// It was removed.
    Gone,
}

impl Health {
    /// The word of the list.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// Its name, the same at every placer.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its kind, by number in the settings.
    pub kind: u16,
    /// Its rack; empty where the list does not say.
    pub rack: String,
    /// Its hall; empty where the list does not say.
    pub hall: String,
    /// Its attributes, for constraints.
    pub attrs: BTreeMap<String, Attr>,
    /// Whether it takes tasks.
    pub health: Health,
    /// It is set aside for control: it votes on plans, and takes no tasks.
    pub control: bool,
    /// Cores that no accepted task asked for, where told.
    pub free_cores: Option<f64>,
    /// Memory that no accepted task asked for, where told.
    pub free_memory: Option<f64>,
}

impl NodeEntry {
    /// A line that says a name and an address, and nothing else.
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

/// A whole list. A node that it lacks is gone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeList {
    /// Its revision: a later list has a greater one. 0 where the file does not number its lists.
    pub revision: u64,
    /// The lines.
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

/// An attribute as constraints know it.
fn attr(value: &toml::Value) -> Option<Attr> {
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

/// Where there are control machines, one at least is there to vote.
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
        let message =
            "every control machine is gone, and no plan could be voted on; mark one that is up";
        check.wrong(
            span.clone(),
            format!("node[{n}].control"),
            message.to_owned(),
        );
    }
}

impl NodeList {
    /// The control machines: the nodes that vote on plans. Where there is none, every node votes.
    pub fn control(&self) -> impl Iterator<Item = &NodeEntry> {
        self.nodes.iter().filter(|node| node.control)
    }

    /// Reads and checks a text against the kinds of the settings.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    pub fn parse(text: &str, file: &str, settings: &Settings) -> Result<Self, Problems> {
        let mut check = Checker::new(file, text);
        let read: File = check.read()?;
        check.names(read.node.iter().map(|node| &node.name), "node");
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
                check.wrong(node.address.span(), key("address"), message);
                continue;
            };
            if let Some(other) = nodes.iter().find(|other| other.address == address) {
                let message = format!("{address} is the address of `{}` too", other.name);
                check.wrong(node.address.span(), key("address"), message);
            }
            let kind = match &node.kind {
                Some(kind) => check.find(kind, &kinds, &key("kind"), "kind"),
                None if kinds.len() <= 1 => Some(0),
                None => {
                    let fix = format!(
                        "the settings name several kinds; write one of {}",
                        kinds.join(", ")
                    );
                    check.wrong(node.name.span(), key("kind"), fix);
                    None
                }
            };
            let mut attrs = BTreeMap::new();
            for (name, value) in &node.attrs {
                match attr(value.get_ref()) {
                    Some(attr) => drop(attrs.insert(name.clone(), attr)),
                    None => {
                        let fix = "an attribute is a text, a number or a list of texts";
                        check.wrong(value.span(), key(&format!("attrs.{name}")), fix);
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
