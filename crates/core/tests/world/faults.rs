//! What a test does to the site: nodes, connections, the node list and the placer itself.

use reedring_core::{Core, Input, Start};
use reedring_drmaa::rpc::Call;
use reedring_node_simulator::Node;
use reedring_settings::{Health, NodeList};

use super::{Due, LinkId, World};

impl World {
    /// What is sent to a node waits on its way for so long.
    pub fn stall(&mut self, n: usize, us: u64) {
        self.stalled.insert(n, self.now + us);
    }

    /// The placer is killed and started again so much later.
    pub fn restart_placer_after(&mut self, us: u64) {
        let core = Core::new(
            self.settings.clone(),
            Start {
                now: self.now,
                unix_us: self.now,
                incarnation: self.life,
                seed: 0,
            },
        );
        self.core = core;
        self.life += 1;
        self.run_for(us);
        self.restart_placer();
    }

    pub fn start_node(&mut self, n: usize) {
        let place = &mut self.places[n];
        place.lives += 1;
        place.node = Some(Node::new(place.config.clone(), place.lives, 5, self.now));
    }

    pub fn kill_node(&mut self, n: usize) {
        if let Some(mut node) = self.places[n].node.take() {
            node.die(&mut self.groups);
        }
        self.cut(n);
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.places[n].node.is_some()
    }

    pub fn hang(&mut self, n: usize, hangs: bool) {
        if let Some(node) = self.places[n].node.as_mut() {
            node.fault.hangs = hangs;
        }
    }

    /// Cuts the links of a node: bytes on their way are lost, and the placer hears of it a little later.
    pub fn cut(&mut self, n: usize) {
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
            if let Some(node) = self.places[n].node.as_mut() {
                node.link_gone(id);
            }
            let after = self.latency();
            self.later(after, Due::Down(id));
        }
    }

    /// A node lives on, and no connection reaches it, or does again.
    pub fn part(&mut self, n: usize, apart: bool) {
        if apart {
            self.apart.insert(n);
            self.cut(n);
        } else {
            self.apart.remove(&n);
        }
    }

    /// Loses everything that is on its way to or from a node without ending the link's life at the node
    /// before the placer's: the half-closed case, where the last answers never arrive.
    pub fn lose_answers(&mut self, n: usize) {
        let links = &self.links;
        self.due.retain(|_, due| match due {
            Due::AtPlacer(id, _) => links.get(id).is_none_or(|link| link.node != n),
            _ => true,
        });
        self.cut(n);
    }

    pub fn list(&mut self, n: usize, health: Health) {
        self.list[n].health = health;
        self.tell_list();
    }

    pub(super) fn tell_list(&mut self) {
        for (n, entry) in self.list.iter().enumerate() {
            if entry.health == Health::Ready {
                self.closed.remove(&n);
            } else {
                self.closed.entry(n).or_insert(self.now);
            }
        }
        let listed = self
            .list
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.unlisted.contains(n));
        let list = NodeList {
            revision: 0,
            nodes: listed.map(|(_, entry)| entry.clone()).collect(),
        };
        self.input(Input::NodeListChanged(list));
    }

    /// Takes a node's line from the list, or puts it back.
    pub fn unlist(&mut self, n: usize, away: bool) {
        if away {
            self.unlisted.insert(n);
        } else {
            self.unlisted.remove(&n);
        }
        self.tell_list();
    }

    /// Kills the placer and starts its successor; the client makes its open calls again.
    pub fn restart_placer(&mut self) {
        self.life += 1;
        let ids: Vec<LinkId> = self.links.keys().copied().collect();
        for id in ids {
            let Some(link) = self.links.remove(&id) else {
                continue;
            };
            if let Some(node) = self.places[link.node].node.as_mut() {
                node.link_gone(id);
            }
        }
        self.due.retain(|_, due| matches!(due, Due::AtNode(..)));
        self.wanted.clear();
        let start = Start {
            now: self.now,
            unix_us: self.now,
            incarnation: self.life,
            seed: self.life,
        };
        if let Some(kept) = self.kept.as_mut() {
            // Killed: what it had not handed to the system is lost, and nothing is closed in order.
            (kept.busy, kept.queue) = (false, Vec::new());
            if kept.keeper.is_some() {
                kept.folder.cut_at(0);
                kept.keeper = None;
                kept.folder = kept.folder.power_on(|| 0);
            }
        }
        self.core = match self.open_state() {
            Some(restored) => Core::with_state(self.settings.clone(), start, restored),
            None => Core::new(self.settings.clone(), start),
        };
        self.tell_list();
        self.init();
        let again: Vec<(u64, Call)> = self
            .open
            .iter()
            .map(|(n, call)| (*n, call.clone()))
            .collect();
        for (number, call) in again {
            self.input(Input::Call {
                conn: 1,
                id: number,
                call,
            });
        }
    }

    /// Every node is up, listed as ready and answers.
    pub fn heal(&mut self) {
        for n in 0..self.nodes() {
            self.hang(n, false);
            self.list(n, Health::Ready);
            if !self.is_up(n) {
                self.start_node(n);
            }
        }
    }
}
