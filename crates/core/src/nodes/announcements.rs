//! Announcements to the decision module: the state of each node, and the beliefs of a former incarnation about it.

use reedring::names::machine_id;
use reedring::{self as module, Belief, Beliefs, Event as ModuleEvent, Listing, Micros};
use reedring_settings::{Health, Site};
use reedring_state::NodeBeliefs;

use super::node::Link;
use super::{Node, NodeRegistry};
use crate::context::Context;
use crate::decide;
use crate::ids::NodeNumber;

impl NodeRegistry {
    /// Announces every node whose state differs from the last announcement, and passes on its restored beliefs.
    pub fn announce_all(&mut self, now: Micros, cx: &mut Context) {
        let numbers: Vec<NodeNumber> = self.nodes.keys().copied().collect();
        let mut changed = Vec::new();
        for number in numbers {
            if let Some(machine) = self.pending_announcement(number, now, &cx.settings().site) {
                changed.push((number, machine));
            }
        }
        if !changed.is_empty() {
            let (numbers, machines): (Vec<_>, Vec<_>) = changed.into_iter().unzip();
            cx.notify_module(ModuleEvent::Listed(Listing::Changes(machines)));
            numbers
                .into_iter()
                .for_each(|number| self.send_restored_beliefs(number, cx));
        }
    }

    /// Announces a node if its state differs from the last announcement, and passes on its restored beliefs.
    pub fn announce(&mut self, number: NodeNumber, now: Micros, cx: &mut Context) {
        if let Some(machine) = self.pending_announcement(number, now, &cx.settings().site) {
            cx.notify_module(ModuleEvent::Listed(Listing::Changes(vec![machine])));
        }
        self.send_restored_beliefs(number, cx);
    }

    /// The announcement of a node that is due, if its state differs from the last one, which is updated.
    ///
    /// A node is first announced once a connection to it was established or failed: before that, the module could only waste
    /// attempts on it. A node that is a control machine from the start is never announced.
    fn pending_announcement(
        &mut self,
        number: NodeNumber,
        now: Micros,
        site: &Site,
    ) -> Option<module::Machine> {
        let startup = self.startup;
        let node = self.nodes.get_mut(&number)?;
        let not_contacted_yet = matches!(node.link, Link::NeverConnected | Link::Reconciling(_));
        if (not_contacted_yet || node.entry.control) && node.announced.is_none() {
            return None;
        }
        let warming_until = node
            .started_at
            .zip(site.warm_after_us)
            .map(|(at, warm)| at.saturating_add(warm));
        let may_announce = decide::may_announce(
            now,
            startup.started_at,
            site.cold_window_us,
            warming_until,
            startup.slow_start_budgets_restored,
        );
        if !may_announce && node.announced.is_none() {
            return None;
        }
        let health = match node.health() {
            Health::Gone => module::Health::Gone,
            // The node became a control machine after it was announced: its tasks run to their end, and it gets no new
            // ones.
            _ if node.entry.control => module::Health::Draining,
            Health::Ready => module::Health::Ready,
            Health::Draining => module::Health::Draining,
        };
        let machine = module::Machine {
            id: node.machine,
            zone: self.zones.number(&node.entry.hall),
            kind: node.entry.kind,
            cell: self
                .racks
                .number(&format!("{}\n{}", node.entry.hall, node.entry.rack)),
            health,
            // The start time matters only for slow start, which the site enables by `warm_after`.
            ready_at: node.started_at.filter(|_| site.warm_after_us.is_some()),
            free_cores: node.entry.free_cores,
            free_memory: node.entry.free_memory,
        };
        (node.announced.as_ref() != Some(&machine)).then(|| {
            node.announced = Some(machine.clone());
            machine
        })
    }

    /// Stores the beliefs of a former incarnation about a node until they can be passed to the decision module.
    pub fn restore_beliefs(&mut self, known: NodeBeliefs) {
        let kept = self
            .restored_beliefs
            .entry(known.node.clone())
            .or_insert_with(|| NodeBeliefs {
                belief: Belief {
                    machine: known.belief.machine,
                    ..Belief::default()
                },
                ..known.clone()
            });
        // The ledger's record of offers to nodes that are warming up is exact, and takes precedence; the belief file may be
        // older.
        let slow_start_offers = std::mem::take(&mut kept.belief.slow_start_offers);
        kept.incarnation = known.incarnation;
        kept.belief = known.belief;
        if !slow_start_offers.is_empty() {
            kept.belief.slow_start_offers = slow_start_offers;
        }
    }

    /// Stores the times at which a former incarnation made offers to a node that was warming up, as the ledger has them.
    pub fn restore_slow_start_offers(&mut self, node: &str, slow_start_offers: Vec<Micros>) {
        let belief = Belief {
            machine: machine_id(node),
            slow_start_offers,
            ..Belief::default()
        };
        let known = NodeBeliefs {
            node: node.to_owned(),
            incarnation: None,
            belief,
        };
        self.restored_beliefs.insert(node.to_owned(), known);
    }

    /// Passes the beliefs of a former incarnation about a node to the decision module, once the node has been announced and
    /// its own incarnation is known.
    fn send_restored_beliefs(&mut self, number: NodeNumber, cx: &mut Context) {
        let is_known = |node: &&Node| node.announced.is_some() && node.incarnation.is_some();
        let Some(node) = self.nodes.get(&number).filter(is_known) else {
            return;
        };
        let Some(known) = self.restored_beliefs.remove(&node.name) else {
            return;
        };
        // Beliefs about another incarnation of the node no longer hold. Its slow-start offers are kept all the same: an
        // earlier start of the node used them up, and counting them for this one too does no harm.
        let belief = if known.incarnation.is_none() || known.incarnation == node.incarnation {
            known.belief
        } else {
            Belief {
                machine: node.machine,
                slow_start_offers: known.belief.slow_start_offers,
                ..Belief::default()
            }
        };
        let machines = vec![belief];
        cx.notify_module(ModuleEvent::BeliefsRestored(Beliefs {
            machines,
            ..Beliefs::default()
        }));
    }
}
