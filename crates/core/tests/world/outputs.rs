//! What the core puts out, and what becomes of it.

use reedring_core::{Input, Output};
use reedring_node_protocol::{Message, encode};

use super::{Due, MS, World};

impl World {
    pub fn input(&mut self, input: Input) {
        self.core.handle(self.now, input);
        self.settle();
    }

    pub(super) fn settle(&mut self) {
        self.core.flush(self.now);
        while let Some(output) = self.core.poll() {
            self.carry_out(output);
        }
    }

    pub(super) fn fold(&mut self, text: &str) {
        for byte in text.bytes().chain(self.now.to_be_bytes()) {
            self.fingerprint =
                (self.fingerprint ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// Adds what leaves the placer to the digest. Lines for the staff are not part of it.
    pub(super) fn record(&mut self, output: &Output) {
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
            Output::Persist {
                is_rewrite: whole, ..
            } => digest.add("persist", now, &[u8::from(*whole)]),
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

    pub(super) fn number(&self, name: &str) -> usize {
        self.list
            .iter()
            .position(|entry| entry.name == name)
            .unwrap()
    }

    pub(super) fn carry_out(&mut self, output: Output) {
        self.fold(&format!("{output:?}"));
        self.record(&output);
        match output {
            Output::Connect { node, .. } => {
                self.connects += 1;
                let n = self.number(&node);
                self.wanted.insert(n);
                self.later(MS, Due::Connect(n));
            }
            Output::Disconnect { node } => {
                let n = self.number(&node);
                self.wanted.remove(&n);
                self.cut(n);
            }
            Output::Send { node, message } => self.send(&node, message),
            Output::Reply { response, .. } => {
                let after = self.latency();
                self.later(after, Due::Answer(self.life, Box::new(response)));
            }
            Output::Persist {
                batch,
                is_rewrite: whole,
            } => {
                let slow = self.disk_us.unwrap_or(self.latency() * 4);
                let kept = self.kept.as_mut().unwrap();
                kept.queue.push((batch, whole));
                if kept.keeper.is_some() && !std::mem::replace(&mut kept.busy, true) {
                    self.later(slow, Due::Written(self.life));
                }
            }
            Output::PersistBeliefs(_) if self.is_dark() => {}
            Output::PersistBeliefs(learned) => {
                let _ = self
                    .kept
                    .as_ref()
                    .and_then(|kept| kept.keeper.as_ref()?.save_beliefs(&learned).ok());
            }
            Output::ChangeZone { .. }
            | Output::ActiveConfiguration(_)
            | Output::Settings(_)
            | Output::Fenced(_) => {}
            Output::Event(event) => self.events.push(event),
        }
    }

    /// A message leaves the placer, if there is a link to its node.
    pub(super) fn send(&mut self, node: &str, message: Message) {
        let n = self.number(node);
        if let (Message::Offer { attempt, .. }, Some(since)) = (&message, self.closed.get(&n))
            && self.now > since + 100 * MS
        {
            self.late_offers.push(format!("{attempt:?} to {node}"));
        }
        if let Message::Offer { attempt, task, .. } = &message {
            self.judge_offer(*attempt, task, n);
        }
        let id = self
            .links
            .iter()
            .find(|(_, link)| link.node == n && link.alive && link.known);
        match (id.map(|(id, _)| *id), message) {
            (Some(id), message) => self.over(id, 0, Due::AtNode(id, message)),
            (None, Message::Offer { attempt, .. }) => self.unwritten.push(attempt),
            _ => {}
        }
    }
}
