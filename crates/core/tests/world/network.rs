//! Connections and messages between the placer and its nodes.

use rand_core::Rng;
use reedring_core::Input;
use reedring_node_protocol::{Message, TaskEnd, VersionInfo, encode};
use reedring_node_simulator::Effect;

use super::{Link, LinkId, MS, ScheduledEvent, World};

impl World {
    /// Schedules an event in `after` microseconds.
    pub(super) fn schedule(&mut self, after: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled
            .insert((self.now + after, self.sequence), event);
    }

    /// A random latency of 200 to 999 microseconds.
    pub(super) fn latency(&mut self) -> u64 {
        200 + u64::from(self.rng.next_u32() % 800)
    }

    /// Schedules the arrival of a message after those sent before it on its link. Direction 0 is to the node, 1 to the
    /// placer.
    pub(super) fn transmit(&mut self, id: LinkId, direction: usize, event: ScheduledEvent) {
        let at = self.now + self.latency();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let stalled_until = self
            .stalled_until
            .get(&link.node)
            .filter(|_| direction == 0)
            .copied()
            .unwrap_or(0);
        link.last_arrival[direction] = link.last_arrival[direction].max(at).max(stalled_until);
        let after = link.last_arrival[direction] - self.now;
        self.schedule(after, event);
    }

    /// Carries out the effects of a node model, and records the copies that it holds.
    pub(super) fn apply_node_effects(&mut self, n: usize) {
        let Some(node) = self.machines[n].node.as_mut() else {
            return;
        };
        for effect in node.effects() {
            match effect {
                Effect::Send(id, message) => {
                    self.digest
                        .add("from node", self.now, &(n as u64).to_be_bytes());
                    self.digest.add("message", self.now, &encode(&message));
                    self.remove_if_unstarted(&message);
                    self.transmit(id, 1, ScheduledEvent::AtPlacer(id, message));
                }
                Effect::Close(id) => {
                    if let Some(link) = self.links.get_mut(&id).filter(|link| link.alive) {
                        link.alive = false;
                        let after = self.latency();
                        self.schedule(after, ScheduledEvent::LinkEnded(id));
                    }
                }
                Effect::FellOver => self.kill_node(n),
            }
        }
        // Copies that the node holds count whether or not its messages arrive.
        if let Some(node) = self.machines[n].node.as_ref() {
            for (attempt, task) in node.held() {
                let copies = self.copies.entry(task.job.clone()).or_default();
                copies.idempotency = Some(task.idempotency);
                copies.ran.insert(attempt);
            }
        }
    }

    /// Removes an attempt from those that ran if its node returned it before it started.
    pub(super) fn remove_if_unstarted(&mut self, message: &Message) {
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

    pub(super) fn handle_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::AtNode(id, message) => self.deliver_to_node(id, message),
            ScheduledEvent::AtPlacer(id, message) => self.deliver_to_placer(id, message),
            ScheduledEvent::Connect(n) => self.connect(n),
            ScheduledEvent::LinkEnded(id) => self.link_ended(id),
            ScheduledEvent::WritesDone(incarnation) | ScheduledEvent::RetryDisk(incarnation)
                if incarnation != self.incarnation => {}
            ScheduledEvent::WritesDone(_) => self.complete_writes(),
            ScheduledEvent::RetryDisk(_) => self.retry_disk(),
            ScheduledEvent::Reply(incarnation, response) => {
                if incarnation == self.incarnation {
                    self.handle_reply(*response);
                }
            }
        }
    }

    pub(super) fn deliver_to_node(&mut self, id: LinkId, message: Message) {
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
        if let Some(node) = self.machines[n].node.as_mut() {
            node.message(now, id, message, groups);
        }
        self.apply_node_effects(n);
    }

    pub(super) fn deliver_to_placer(&mut self, id: LinkId, message: Message) {
        let Some(link) = self
            .links
            .get_mut(&id)
            .filter(|link| link.open_at_placer && link.alive)
        else {
            return;
        };
        let node = self.node_list[link.node].name.clone();
        let first = !link.handshake_done;
        link.handshake_done = true;
        match message {
            Message::Welcome {
                node: reported_name,
                incarnation,
                up_ms,
                can_suspend,
                acceptor_report: report,
            } if first => {
                self.input(Input::LinkUp {
                    node,
                    reported_name,
                    incarnation,
                    up_ms,
                    can_suspend,
                    report,
                });
            }
            message => {
                if let Message::Rejected { attempt, .. } | Message::Ended { attempt, .. } = &message
                {
                    self.known_copies.remove(attempt);
                }
                self.input(Input::Message { node, message });
            }
        }
    }

    /// Connects the placer to a node, or reports a refused connection.
    pub(super) fn connect(&mut self, n: usize) {
        if !self.wanted_links.contains(&n)
            || self
                .links
                .values()
                .any(|link| link.node == n && link.open_at_placer)
        {
            return;
        }
        if self.machines[n].node.is_none() || self.unreachable.contains(&n) {
            let node = self.node_list[n].name.clone();
            self.input(Input::LinkDown {
                node,
                reason: "refused".to_owned(),
            });
            return self.schedule(100 * MS, ScheduledEvent::Connect(n));
        }
        self.sequence += 1;
        let id = self.sequence;
        self.links.insert(
            id,
            Link {
                node: n,
                open_at_placer: true,
                alive: true,
                handshake_done: false,
                last_arrival: [0; 2],
            },
        );
        let hello = Message::Hello {
            placer: "p".to_owned(),
            incarnation: self.incarnation,
            link: id,
            version_info: reedring_core::first_stamp(&self.settings).map(|stamp| VersionInfo {
                stamp,
                build: "test".to_owned(),
            }),
        };
        self.transmit(id, 0, ScheduledEvent::AtNode(id, hello));
    }

    /// Notifies the placer that a link ended.
    pub(super) fn link_ended(&mut self, id: LinkId) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let node = self.node_list[link.node].name.clone();
        self.input(Input::LinkDown {
            node,
            reason: "cut".to_owned(),
        });
        self.schedule(50 * MS, ScheduledEvent::Connect(link.node));
    }
}
