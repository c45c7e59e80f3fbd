//! The way of messages between placer and nodes.

use rand_core::Rng;
use reedring_core::Input;
use reedring_node_protocol::{Message, TaskEnd, VersionInfo, encode};
use reedring_node_simulator::Effect;

use super::{Due, Link, LinkId, MS, World};

impl World {
    pub(super) fn later(&mut self, after: u64, due: Due) {
        self.made += 1;
        self.due.insert((self.now + after, self.made), due);
    }

    pub(super) fn latency(&mut self) -> u64 {
        200 + u64::from(self.draw.next_u32() % 800)
    }

    /// A message goes over a link, after those before it.
    pub(super) fn over(&mut self, id: LinkId, direction: usize, due: Due) {
        let at = self.now + self.latency();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let held = self
            .stalled
            .get(&link.node)
            .filter(|_| direction == 0)
            .copied()
            .unwrap_or(0);
        link.last[direction] = link.last[direction].max(at).max(held);
        let after = link.last[direction] - self.now;
        self.later(after, due);
    }

    pub(super) fn effects(&mut self, n: usize) {
        let Some(node) = self.places[n].node.as_mut() else {
            return;
        };
        for effect in node.effects() {
            match effect {
                Effect::Send(id, message) => {
                    self.digest
                        .add("from node", self.now, &(n as u64).to_be_bytes());
                    self.digest.add("message", self.now, &encode(&message));
                    self.saw(&message);
                    self.over(id, 1, Due::AtPlacer(id, message));
                }
                Effect::Close(id) => {
                    if let Some(link) = self.links.get_mut(&id).filter(|link| link.alive) {
                        link.alive = false;
                        let after = self.latency();
                        self.later(after, Due::Down(id));
                    }
                }
                Effect::FellOver => self.kill_node(n),
            }
        }
        // Copies that stand, whether or not anybody is told.
        if let Some(node) = self.places[n].node.as_ref() {
            for (attempt, task) in node.held() {
                let copies = self.copies.entry(task.job.clone()).or_default();
                copies.repeat = Some(task.idempotency);
                copies.ran.insert(attempt);
            }
        }
    }

    pub(super) fn saw(&mut self, message: &Message) {
        // Handed back before it started: it never ran.
        if let Message::Ended {
            attempt,
            end: TaskEnd::Stopped,
            ran: false,
            ..
        } = message
        {
            for copies in self.copies.values_mut() {
                copies.ran.remove(attempt);
            }
        }
    }

    pub(super) fn happen(&mut self, due: Due) {
        match due {
            Due::AtNode(id, message) => self.arrive_at_node(id, message),
            Due::AtPlacer(id, message) => self.arrive_at_placer(id, message),
            Due::Connect(n) => self.connect(n),
            Due::Down(id) => self.link_ended(id),
            Due::Written(life) | Due::Retry(life) if life != self.life => {}
            Due::Written(_) => self.written(),
            Due::Retry(_) => self.retry_disk(),
            Due::Answer(life, response) => {
                if life == self.life {
                    self.answered(*response);
                }
            }
        }
    }

    pub(super) fn arrive_at_node(&mut self, id: LinkId, message: Message) {
        let Some(n) = self
            .links
            .get(&id)
            .filter(|link| link.alive)
            .map(|link| link.node)
        else {
            return;
        };
        if matches!(message, Message::Offer { .. }) {
            self.arrivals.push((self.now, n));
        }
        let (now, groups) = (self.now, &mut self.groups);
        if let Some(node) = self.places[n].node.as_mut() {
            node.message(now, id, message, groups);
        }
        self.effects(n);
    }

    pub(super) fn arrive_at_placer(&mut self, id: LinkId, message: Message) {
        let Some(link) = self
            .links
            .get_mut(&id)
            .filter(|link| link.known && link.alive)
        else {
            return;
        };
        let node = self.list[link.node].name.clone();
        let first = !link.greeted;
        link.greeted = true;
        match message {
            Message::Welcome {
                node: called,
                incarnation: life,
                up_ms,
                can_suspend,
                acceptor_report: record,
            } if first => {
                self.input(Input::LinkUp {
                    node,
                    reported_name: called,
                    incarnation: life,
                    up_ms,
                    can_suspend,
                    report: record,
                });
            }
            message => {
                if let Message::Rejected { attempt, .. } | Message::Ended { attempt, .. } = &message
                {
                    self.known.remove(attempt);
                }
                self.input(Input::Message { node, message });
            }
        }
    }

    /// The placer tries to connect.
    pub(super) fn connect(&mut self, n: usize) {
        if !self.wanted.contains(&n) || self.links.values().any(|link| link.node == n && link.known)
        {
            return;
        }
        if self.places[n].node.is_none() || self.apart.contains(&n) {
            let node = self.list[n].name.clone();
            self.input(Input::LinkDown {
                node,
                reason: "refused".to_owned(),
            });
            return self.later(100 * MS, Due::Connect(n));
        }
        self.made += 1;
        let id = self.made;
        self.links.insert(
            id,
            Link {
                node: n,
                known: true,
                alive: true,
                greeted: false,
                last: [0; 2],
            },
        );
        let hello = Message::Hello {
            placer: "p".to_owned(),
            incarnation: self.life,
            link: id,
            version_info: reedring_core::first_stamp(&self.settings).map(|stamp| VersionInfo {
                stamp,
                build: "test".to_owned(),
            }),
        };
        self.over(id, 0, Due::AtNode(id, hello));
    }

    /// The placer learns that a link ended.
    pub(super) fn link_ended(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let node = self.list[link.node].name.clone();
        self.input(Input::LinkDown {
            node,
            reason: "cut".to_owned(),
        });
        self.later(50 * MS, Due::Connect(link.node));
    }
}
