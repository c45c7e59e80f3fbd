//! What the decision module knows of nodes: their state, and what a former incarnation of the placer learned of them.

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
    /// Announces every node of which the decision module does not know what is so.
    pub fn announce_all(&mut self, now: Micros, cx: &mut Context) {
        let numbers: Vec<NodeNumber> = self.nodes.keys().copied().collect();
        let mut changed = Vec::new();
        for number in numbers {
            if let Some(machine) = self.unannounced(number, now, &cx.settings().site) {
                changed.push((number, machine));
            }
        }
        if !changed.is_empty() {
            let (numbers, machines): (Vec<_>, Vec<_>) = changed.into_iter().unzip();
            cx.notify_module(ModuleEvent::Listed(Listing::Changes(machines)));
            numbers
                .into_iter()
                .for_each(|number| self.hand_over_beliefs(number, cx));
        }
    }

    /// Announces a node, if the decision module does not know what is so.
    pub fn announce(&mut self, number: NodeNumber, now: Micros, cx: &mut Context) {
        if let Some(machine) = self.unannounced(number, now, &cx.settings().site) {
            cx.notify_module(ModuleEvent::Listed(Listing::Changes(vec![machine])));
        }
        self.hand_over_beliefs(number, cx);
    }

    /// What the decision module is to know of a node and does not know yet. A node is announced once it has connected
    /// or failed to once: before, the module could only spend attempts on it. A control machine never is.
    fn unannounced(
        &mut self,
        number: NodeNumber,
        now: Micros,
        site: &Site,
    ) -> Option<module::Machine> {
        let startup = self.startup;
        let node = self.nodes.get_mut(&number)?;
        let not_met = matches!(node.link, Link::NeverConnected | Link::Reconciling(_));
        if (not_met || node.entry.control) && node.announced.is_none() {
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
            // A control machine that had tasks: they run to their end, and nothing new comes.
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
            // Only a young node's start matters, and only where the site says what young means.
            ready_at: node.started_at.filter(|_| site.warm_after_us.is_some()),
            free_cores: node.entry.free_cores,
            free_memory: node.entry.free_memory,
        };
        (node.announced.as_ref() != Some(&machine)).then(|| {
            node.announced = Some(machine.clone());
            machine
        })
    }

    /// Keeps what a former incarnation learned of a node, until the node is known.
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
        // The ledger's count of offers to nodes that are warming up is exact; the file's may be older.
        let slow_start_offers = std::mem::take(&mut kept.belief.slow_start_offers);
        kept.incarnation = known.incarnation;
        kept.belief = known.belief;
        if !slow_start_offers.is_empty() {
            kept.belief.slow_start_offers = slow_start_offers;
        }
    }

    /// Keeps when a former incarnation made offers to a node that was warming up.
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

    /// Hands over what a former incarnation learned of a node, once the node's own incarnation is known and the
    /// decision module knows the node.
    fn hand_over_beliefs(&mut self, number: NodeNumber, cx: &mut Context) {
        let is_known = |node: &&Node| node.announced.is_some() && node.incarnation.is_some();
        let Some(node) = self.nodes.get(&number).filter(is_known) else {
            return;
        };
        let Some(known) = self.restored_beliefs.remove(&node.name) else {
            return;
        };
        // What was learned of another incarnation of the node is void, but for the spent budget: it was another start
        // of the node that spent it, and to count it again does no harm.
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
