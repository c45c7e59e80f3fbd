//! The outputs of the core and their effects.

use reedring_core::{Input, Output};
use reedring_node_protocol::{Message, encode};

use super::{MS, ScheduledEvent, World};

impl World {
    /// Passes an input to the core and carries out its outputs.
    pub fn input(&mut self, input: Input) {
        self.core.handle(self.now, input);
        self.process_outputs();
    }

    /// Carries out all outputs of the core.
    pub(super) fn process_outputs(&mut self) {
        self.core.flush(self.now);
        while let Some(output) = self.core.poll() {
            self.apply_output(output);
        }
    }

    /// Adds a text and the time to the fingerprint.
    pub(super) fn add_to_fingerprint(&mut self, text: &str) {
        for byte in text.bytes().chain(self.now.to_be_bytes()) {
            self.fingerprint =
                (self.fingerprint ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Adds an output to the digest, except for events, which are log lines for operators.
    pub(super) fn add_to_digest(&mut self, output: &Output) {
        let now = self.now;
        let digest = &mut self.digest;
        match output {
            Output::Connect { node, .. } => digest.add("connect", now, node.as_bytes()),
            Output::Disconnect { node } => digest.add("disconnect", now, node.as_bytes()),
            Output::Send { node, message } => {
                digest.add("to node", now, node.as_bytes());
                digest.add("message", now, &encode(message));
            }
            Output::Reply { conn, response } => {
                digest.add("reply", now, &conn.to_be_bytes());
                digest.add("response", now, &serde_json::to_vec(response).unwrap());
            }
            Output::Persist { is_rewrite, .. } => {
                digest.add("persist", now, &[u8::from(*is_rewrite)])
            }
            Output::PersistBeliefs(_) => digest.add("beliefs", now, &[]),
            Output::ActiveConfiguration(stamp) => {
                digest.add("active configuration", now, &stamp.level().to_be_bytes())
            }
            Output::ChangeZone { .. } => digest.add("zone changed", now, &[]),
            Output::Settings(_) => digest.add("settings", now, &[]),
            Output::Fenced(_) => digest.add("fenced", now, &[]),
            Output::Event(_) => {}
        }
    }

    /// The position of a node in the node list.
    pub(super) fn node_index(&self, name: &str) -> usize {
        self.node_list
            .iter()
            .position(|entry| entry.name == name)
            .unwrap()
    }

    pub(super) fn apply_output(&mut self, output: Output) {
        self.add_to_fingerprint(&format!("{output:?}"));
        self.add_to_digest(&output);
        match output {
            Output::Connect { node, .. } => {
                self.connect_requests += 1;
                let n = self.node_index(&node);
                self.wanted_links.insert(n);
                self.schedule(MS, ScheduledEvent::Connect(n));
            }
            Output::Disconnect { node } => {
                let n = self.node_index(&node);
                self.wanted_links.remove(&n);
                self.cut_links(n);
            }
            Output::Send { node, message } => self.send(&node, message),
            Output::Reply { response, .. } => {
                let after = self.latency();
                self.schedule(
                    after,
                    ScheduledEvent::Reply(self.incarnation, Box::new(response)),
                );
            }
            Output::Persist { batch, is_rewrite } => {
                let latency = self.write_latency_us.unwrap_or(self.latency() * 4);
                let disk = self.state_disk.as_mut().unwrap();
                disk.pending.push((batch, is_rewrite));
                if disk.writer.is_some() && !std::mem::replace(&mut disk.write_scheduled, true) {
                    self.schedule(latency, ScheduledEvent::WritesDone(self.incarnation));
                }
            }
            Output::PersistBeliefs(_) if self.is_power_lost() => {}
            Output::PersistBeliefs(beliefs) => {
                let _ = self
                    .state_disk
                    .as_ref()
                    .and_then(|disk| disk.writer.as_ref()?.save_beliefs(&beliefs).ok());
            }
            Output::ChangeZone { .. }
            | Output::ActiveConfiguration(_)
            | Output::Settings(_)
            | Output::Fenced(_) => {}
            Output::Event(event) => self.events.push(event),
        }
    }

    /// Sends a message if there is a link to its node. Offers are checked and recorded either way.
    pub(super) fn send(&mut self, node: &str, message: Message) {
        let n = self.node_index(node);
        if let (Message::Offer { attempt, .. }, Some(since)) = (&message, self.closed_since.get(&n))
            && self.now > since + 100 * MS
        {
            self.late_offers.push(format!("{attempt:?} to {node}"));
        }
        if let Message::Offer { attempt, task, .. } = &message {
            self.check_offer(*attempt, task, n);
        }
        let id = self
            .links
            .iter()
            .find(|(_, link)| link.node == n && link.alive && link.open_at_placer);
        match (id.map(|(id, _)| *id), message) {
            (Some(id), message) => self.transmit(id, 0, ScheduledEvent::AtNode(id, message)),
            (None, Message::Offer { attempt, .. }) => self.unwritten.push(attempt),
            _ => {}
        }
    }
}
