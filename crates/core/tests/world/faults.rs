//! Faults of nodes, connections and the placer, and changes of the node list.

use reedring_core::{Core, Input, Start};
use reedring_drmaa::rpc::Call;
use reedring_node_simulator::Node;
use reedring_settings::{Health, NodeList};

use super::{LinkId, ScheduledEvent, World};

impl World {
    /// Delays the messages to a node until this many microseconds from now; they then arrive together.
    pub fn delay_messages(&mut self, n: usize, us: u64) {
        self.stalled_until.insert(n, self.now + us);
    }

    /// Kills the placer and restarts it after this many microseconds.
    pub fn restart_placer_after(&mut self, us: u64) {
        let core = Core::new(
            self.settings.clone(),
            Start {
                now: self.now,
                unix_us: self.now,
                incarnation: self.incarnation,
                seed: 0,
            },
        );
        self.core = core;
        self.incarnation += 1;
        self.run_for(us);
        self.restart_placer();
    }

    pub fn start_node(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        machine.incarnation += 1;
        machine.node = Some(Node::new(
            machine.config.clone(),
            machine.incarnation,
            5,
            self.now,
        ));
    }

    pub fn kill_node(&mut self, n: usize) {
        if let Some(mut node) = self.machines[n].node.take() {
            node.die(&mut self.groups);
        }
        self.cut_links(n);
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.machines[n].node.is_some()
    }

    pub fn set_hanging(&mut self, n: usize, hanging: bool) {
        if let Some(node) = self.machines[n].node.as_mut() {
            node.fault.hangs = hanging;
        }
    }

    /// Cuts the links of a node: messages in flight are lost, and the placer is notified after a random latency.
    pub fn cut_links(&mut self, n: usize) {
        let ids: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| link.node == n && link.alive)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(link) = self.links.get_mut(&id) {
                link.alive = false;
            }
            if let Some(node) = self.machines[n].node.as_mut() {
                node.link_gone(id);
            }
            let after = self.latency();
            self.schedule(after, ScheduledEvent::LinkEnded(id));
        }
    }

    /// Makes a running node unreachable for connections, or reachable again.
    pub fn set_unreachable(&mut self, n: usize, unreachable: bool) {
        if unreachable {
            self.unreachable.insert(n);
            self.cut_links(n);
        } else {
            self.unreachable.remove(&n);
        }
    }

    /// Loses the messages in flight from a node to the placer, and cuts its links. What the node has received stays
    /// received, but its last answers never arrive.
    pub fn lose_answers(&mut self, n: usize) {
        let links = &self.links;
        self.scheduled.retain(|_, event| match event {
            ScheduledEvent::AtPlacer(id, _) => links.get(id).is_none_or(|link| link.node != n),
            _ => true,
        });
        self.cut_links(n);
    }

    /// Changes a node's health in the node list.
    pub fn set_health(&mut self, n: usize, health: Health) {
        self.node_list[n].health = health;
        self.send_node_list();
    }

    pub(super) fn send_node_list(&mut self) {
        for (n, entry) in self.node_list.iter().enumerate() {
            if entry.health == Health::Ready {
                self.closed_since.remove(&n);
            } else {
                self.closed_since.entry(n).or_insert(self.now);
            }
        }
        let listed = self
            .node_list
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.unlisted.contains(n));
        let list = NodeList {
            revision: 0,
            nodes: listed.map(|(_, entry)| entry.clone()).collect(),
        };
        self.input(Input::NodeListChanged(list));
    }

    /// Removes a node from the node list, or adds it again.
    pub fn set_unlisted(&mut self, n: usize, unlisted: bool) {
        if unlisted {
            self.unlisted.insert(n);
        } else {
            self.unlisted.remove(&n);
        }
        self.send_node_list();
    }

    /// Kills the placer and starts its next incarnation; the client repeats its open calls.
    pub fn restart_placer(&mut self) {
        self.incarnation += 1;
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            let Some(link) = self.links.remove(&id) else {
                continue;
            };
            if let Some(node) = self.machines[link.node].node.as_mut() {
                node.link_gone(id);
            }
        }
        self.scheduled
            .retain(|_, event| matches!(event, ScheduledEvent::AtNode(..)));
        self.wanted_links.clear();
        let start = Start {
            now: self.now,
            unix_us: self.now,
            incarnation: self.incarnation,
            seed: self.incarnation,
        };
        if let Some(disk) = self.state_disk.as_mut() {
            // A killed process loses the batches that it had not written yet, and does not close its files.
            (disk.write_scheduled, disk.pending) = (false, Vec::new());
            if disk.writer.is_some() {
                disk.folder.cut_power_after(0);
                disk.writer = None;
                disk.folder = disk.folder.after_power_cut(|| 0);
            }
        }
        self.core = match self.open_state() {
            Some(restored) => Core::with_state(self.settings.clone(), start, restored),
            None => Core::new(self.settings.clone(), start),
        };
        self.send_node_list();
        self.init_session();
        let open_calls: Vec<(u64, Call)> = self
            .open_calls
            .iter()
            .map(|(n, call)| (*n, call.clone()))
            .collect();
        for (number, call) in open_calls {
            self.input(Input::Call {
                conn: 1,
                id: number,
                call,
            });
        }
    }

    /// Starts all nodes that are down, lists all as ready and ends their hangs.
    pub fn heal(&mut self) {
        for n in 0..self.node_count() {
            self.set_hanging(n, false);
            self.set_health(n, Health::Ready);
            if !self.is_up(n) {
                self.start_node(n);
            }
        }
    }
}
