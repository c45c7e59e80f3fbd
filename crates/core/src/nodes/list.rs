//! The node list: adds, changes and unlists nodes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use reedring::names::machine_id;
use reedring_settings::{NodeEntry, NodeList};

use super::{LinkChange, ListChanges, Node, NodeRegistry};
use crate::ids::NodeNumber;

impl NodeRegistry {
    /// Replaces the names of the node kinds after a change of the settings.
    pub fn set_kinds(&mut self, kinds: Vec<String>) {
        self.kinds = kinds;
    }

    /// The number of a zone; an unknown zone gets the next free one.
    pub fn zone_number(&mut self, zone: &str) -> u16 {
        self.zones.number(zone)
    }

    /// The number of a node that the ledger of a former incarnation names; a new node is added with a placeholder address,
    /// and counts as listed until a node list is applied.
    pub fn restore(&mut self, name: &str) -> NodeNumber {
        if let Some(number) = self.numbers_by_name.get(name) {
            return *number;
        }
        let entry = NodeEntry::at(name, SocketAddr::from(([127, 0, 0, 1], 0)));
        self.add(Node {
            restored: true,
            ..Node::new(entry)
        })
    }

    fn add(&mut self, node: Node) -> NodeNumber {
        let number = NodeNumber(self.nodes.len() as u32);
        self.numbers_by_name.insert(node.name.clone(), number);
        self.numbers_by_machine.insert(node.machine, number);
        self.nodes.insert(number, node);
        number
    }

    /// Applies a complete node list. Returns what it changes.
    ///
    /// # Errors
    /// The current revision, if that of the list is lower; nothing is changed then.
    pub fn apply_list(&mut self, list: NodeList) -> Result<ListChanges, u64> {
        if list.revision < self.list_revision {
            return Err(self.list_revision);
        }
        self.list_revision = list.revision;
        let mut changes = ListChanges::default();
        let listed: BTreeSet<&str> = list.nodes.iter().map(|entry| entry.name.as_str()).collect();
        for (number, node) in &mut self.nodes {
            if node.listed && !listed.contains(node.name.as_str()) {
                node.listed = false;
                changes.links.push(LinkChange::Unlisted(*number));
            }
        }
        for entry in list.nodes {
            self.apply_entry(entry, &mut changes);
        }
        Ok(changes)
    }

    fn apply_entry(&mut self, entry: NodeEntry, changes: &mut ListChanges) {
        let Some(number) = self.number(&entry.name) else {
            if self
                .numbers_by_machine
                .contains_key(&machine_id(&entry.name))
            {
                return changes.collisions.push(entry.name);
            }
            let number = self.add(Node::new(entry));
            return changes.links.push(LinkChange::Connect(number));
        };
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        let first_listed = std::mem::take(&mut node.restored);
        let (returned, moved) = (!node.listed, node.address != entry.address);
        let other_zone = node.entry.hall != entry.hall;
        (node.listed, node.address, node.entry) = (true, entry.address, entry);
        if first_listed {
            changes.links.push(LinkChange::Connect(number));
        } else if moved {
            changes.links.push(LinkChange::Reconnect(number));
        } else {
            changes
                .links
                .extend(other_zone.then_some(LinkChange::ChangeZone(number)));
            changes
                .links
                .extend(returned.then_some(LinkChange::Connect(number)));
        }
    }

    /// Sets whether an operator drains the node with this name. Returns its number, or `None` if there is no such node.
    pub fn set_drained(&mut self, name: &str, drained: bool) -> Option<NodeNumber> {
        let number = self.number(name)?;
        self.nodes.get_mut(&number)?.drained = drained;
        Some(number)
    }
}
