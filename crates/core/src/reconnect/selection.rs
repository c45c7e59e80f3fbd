//! Which nodes are tried next: those that nothing limits, those of a sweep, and one of a zone for each token.

use std::sync::Arc;

use reedring::Micros;

use super::backoff::mix;
use super::{
    FEW_SILENT, LinkId, Node, PLACER_BURST, ReconnectPacing, SWEEP_BURST, SWEEP_TIME, State,
    ZONE_BURST,
};
use crate::event::Event;

impl ReconnectPacing {
    pub(super) fn due_unpaced(&mut self, now: Micros, due: &mut Vec<LinkId>) {
        let is_due = |(at, _): &&(Micros, LinkId)| *at <= now;
        let ids: Vec<LinkId> = self
            .zones
            .values()
            .flat_map(|zone| zone.unpaced.iter().take_while(is_due))
            .map(|(_, id)| *id)
            .collect();
        for id in ids {
            self.begin(now, id, false, due);
        }
    }

    /// A node whose turn it is in a sweep, zones that were swept least lately first.
    pub(super) fn next_of_sweeps(&mut self, now: Micros) -> Option<LinkId> {
        if self.sweeps.ready_at(SWEEP_BURST) > now {
            return None;
        }
        loop {
            let swept = self
                .zones
                .values_mut()
                .filter(|zone| !zone.sweep.is_empty() && zone.sweep_at <= now);
            let zone = swept.min_by_key(|zone| zone.sweep_at)?;
            if !zone.may_sweep(now) {
                zone.sweep.clear();
                continue;
            }
            let id = zone.sweep.pop_front()?;
            let waits = self
                .nodes
                .get(&id)
                .is_some_and(|node| matches!(node.state, State::Waiting { .. }));
            if waits {
                zone.sweep_at += zone.sweep_gap;
                zone.waste.take(now);
                self.sweeps.take(now);
                return Some(id);
            }
        }
    }

    /// A silent node whose turn it is to be tried, zones that were served least lately first.
    pub(super) fn next_limited(&mut self, now: Micros) -> Option<LinkId> {
        let mut limited_zones = Vec::new();
        let mut chosen: Option<(u64, Arc<str>, LinkId)> = None;
        for (name, zone) in &mut self.zones {
            let Some(id) = zone.next_due(now) else {
                continue;
            };
            if zone.limited.ready_at(ZONE_BURST) > now {
                if zone.silent > FEW_SILENT && !std::mem::replace(&mut zone.slow, true) {
                    limited_zones.push(Event::ZoneReconnectsLimited {
                        zone: name.to_string(),
                        silent: zone.silent,
                        nodes: zone.nodes,
                    });
                }
            } else if chosen
                .as_ref()
                .is_none_or(|(served, ..)| zone.served < *served)
            {
                chosen = Some((zone.served, name.clone(), id));
            }
        }
        self.events.extend(limited_zones);
        let (_, name, id) = chosen.filter(|_| self.limited.ready_at(PLACER_BURST) <= now)?;
        self.served += 1;
        let zone = self.zones.get_mut(&name)?;
        zone.served = self.served;
        zone.oldest_next = !zone.oldest_next;
        zone.limited.take(now);
        self.limited.take(now);
        Some(id)
    }

    pub(super) fn begin(&mut self, now: Micros, id: LinkId, in_sweep: bool, due: &mut Vec<LinkId>) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if let (State::Waiting { due, queue }, Some(zone)) =
            (node.state, self.zones.get_mut(&node.zone))
        {
            debug_assert!(in_sweep || due <= now);
            zone.queue(queue).remove(&(due, id));
        }
        node.state = State::Connecting { in_sweep };
        due.push(id);
    }

    /// All silent nodes of a zone are tried once, in an order of this placer's own.
    pub(super) fn sweep(&mut self, now: Micros, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if !zone.sweep.is_empty() || !zone.may_sweep(now) {
            return;
        }
        let waiting = zone.fresh.iter().chain(&zone.stale).map(|(_, id)| *id);
        let mut order: Vec<LinkId> = waiting.collect();
        order.sort_by_key(|id| mix(self.seed ^ id.0));
        zone.sweep_gap = SWEEP_TIME / (order.len() as u64).max(1);
        zone.sweep_at = now;
        zone.sweep = order.into();
    }

    /// Tells operators where a zone has few silent nodes again.
    pub(super) fn resume(&mut self, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if zone.slow && zone.silent <= FEW_SILENT / 2 {
            zone.slow = false;
            self.events.push_back(Event::ZoneReconnectsRestored {
                zone: name.to_string(),
                silent: zone.silent,
            });
        }
    }

    pub(super) fn take_node(&mut self, id: LinkId) -> Option<Node> {
        let node = self.nodes.remove(&id)?;
        let zone = self.zones.get_mut(&node.zone)?;
        if let State::Waiting { due, queue } = node.state {
            zone.queue(queue).remove(&(due, id));
        }
        zone.nodes -= 1;
        zone.connected -= usize::from(node.state == State::Connected);
        zone.silent -= usize::from(node.is_silent());
        if zone.nodes == 0 {
            self.zones.remove(&node.zone);
        }
        Some(node)
    }
}
