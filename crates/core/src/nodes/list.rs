//! The node list: which nodes there are, and where.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use reedring::names::machine_id;
use reedring_settings::{NodeEntry, NodeList};

use super::{LinkChange, ListChanges, Node, NodeRegistry};
use crate::ids::NodeNumber;

impl NodeRegistry {
    /// The names of kinds, where the settings have others now.
    pub fn set_kinds(&mut self, kinds: Vec<String>) {
        self.kinds = kinds;
    }

    /// The number of a zone.
    pub fn zone_number(&mut self, zone: &str) -> u16 {
        self.zones.number(zone)
    }

    /// The number of a node that a former incarnation knew. It counts as listed until a list says otherwise.
    pub fn restore(&mut self, name: &str) -> NodeNumber {
        if let Some(number) = self.numbers.get(name) {
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
        self.numbers.insert(node.name.clone(), number);
        self.machines.insert(node.machine, number);
        self.nodes.insert(number, node);
        number
    }

    /// Takes a whole node list in; what it changes, or the known revision where the list is older.
    ///
    /// # Errors
    /// The revision known before, where that of the list is lower.
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
            if self.machines.contains_key(&machine_id(&entry.name)) {
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

    /// An operator drains a node, or no longer does; its number, if there is one of this name.
    pub fn set_drained(&mut self, name: &str, drained: bool) -> Option<NodeNumber> {
        let number = self.number(name)?;
        self.nodes.get_mut(&number)?.drained = drained;
        Some(number)
    }
}
