//! The selection of the nodes that are tried next: those that wait for their backoff only, those of sweeps, and one node
//! for each token of a zone.

use std::sync::Arc;

use reedring::Micros;

use super::backoff::mix;
use super::{
    LinkId, Node, PLACER_BURST, REPORT_SILENT_ABOVE, ReconnectPacing, SWEEP_BURST, SWEEP_TIME,
    State, ZONE_BURST,
};
use crate::event::Event;

impl ReconnectPacing {
    /// Begins the attempts that are due and that no token bucket limits.
    pub(super) fn begin_unlimited(&mut self, now: Micros, due: &mut Vec<LinkId>) {
        let is_due = |(at, _): &&(Micros, LinkId)| *at <= now;
        let ids: Vec<LinkId> = self
            .zones
            .values()
            .flat_map(|zone| zone.unlimited.iter().take_while(is_due))
            .map(|(_, id)| *id)
            .collect();
        for id in ids {
            self.begin_attempt(now, id, false, due);
        }
    }

    /// Takes the tokens for the next due attempt of a sweep, that of the zone whose sweep has been due for longest. Returns
    /// its link. The sweep of a zone without a token for a failure is cancelled.
    pub(super) fn take_next_of_sweeps(&mut self, now: Micros) -> Option<LinkId> {
        if self.sweep_tokens.ready_at(SWEEP_BURST) > now {
            return None;
        }
        loop {
            let swept = self
                .zones
                .values_mut()
                .filter(|zone| !zone.sweep.is_empty() && zone.next_sweep_attempt_at <= now);
            let zone = swept.min_by_key(|zone| zone.next_sweep_attempt_at)?;
            if !zone.may_sweep(now) {
                zone.sweep.clear();
                continue;
            }
            let id = zone.sweep.pop_front()?;
            let is_waiting = self
                .nodes
                .get(&id)
                .is_some_and(|node| matches!(node.state, State::Waiting { .. }));
            if is_waiting {
                zone.next_sweep_attempt_at += zone.sweep_interval_us;
                zone.sweep_failures.take(now);
                self.sweep_tokens.take(now);
                return Some(id);
            }
        }
    }

    /// Takes the tokens for the next rate-limited attempt, in the zone that was served least recently. Returns its link.
    /// A zone that has a due node and no token, and more than [`REPORT_SILENT_ABOVE`] silent nodes, is reported to operators.
    pub(super) fn take_next_limited(&mut self, now: Micros) -> Option<LinkId> {
        let mut limited_zones = Vec::new();
        let mut chosen: Option<(u64, Arc<str>, LinkId)> = None;
        for (name, zone) in &mut self.zones {
            let Some(id) = zone.next_due(now) else {
                continue;
            };
            if zone.attempt_tokens.ready_at(ZONE_BURST) > now {
                if zone.silent > REPORT_SILENT_ABOVE
                    && !std::mem::replace(&mut zone.limit_reported, true)
                {
                    limited_zones.push(Event::ZoneReconnectsLimited {
                        zone: name.to_string(),
                        silent: zone.silent,
                        nodes: zone.nodes,
                    });
                }
            } else if chosen
                .as_ref()
                .is_none_or(|(last_attempt, ..)| zone.last_limited_attempt < *last_attempt)
            {
                chosen = Some((zone.last_limited_attempt, name.clone(), id));
            }
        }
        self.events.extend(limited_zones);
        let (_, name, id) = chosen.filter(|_| self.attempt_tokens.ready_at(PLACER_BURST) <= now)?;
        self.limited_attempts += 1;
        let zone = self.zones.get_mut(&name)?;
        zone.last_limited_attempt = self.limited_attempts;
        zone.oldest_next = !zone.oldest_next;
        zone.attempt_tokens.take(now);
        self.attempt_tokens.take(now);
        Some(id)
    }

    /// Removes the link from its queue, marks it as being attempted, and adds it to `due`.
    pub(super) fn begin_attempt(
        &mut self,
        now: Micros,
        id: LinkId,
        in_sweep: bool,
        due: &mut Vec<LinkId>,
    ) {
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

    /// Begins a sweep, which tries once all nodes of the zone that wait for a token. The order comes from the seed, so it
    /// differs between placers. Nothing happens if a sweep is in progress or the zone has no token for a failure.
    pub(super) fn begin_sweep(&mut self, now: Micros, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if !zone.sweep.is_empty() || !zone.may_sweep(now) {
            return;
        }
        let waiting = zone.fresh.iter().chain(&zone.stale).map(|(_, id)| *id);
        let mut order: Vec<LinkId> = waiting.collect();
        order.sort_by_key(|id| mix(self.seed ^ id.0));
        zone.sweep_interval_us = SWEEP_TIME / (order.len() as u64).max(1);
        zone.next_sweep_attempt_at = now;
        zone.sweep = order.into();
    }

    /// Notifies operators if a zone that was reported as rate-limited has few silent nodes again.
    pub(super) fn report_if_restored(&mut self, name: &Arc<str>) {
        let Some(zone) = self.zones.get_mut(name) else {
            return;
        };
        if zone.limit_reported && zone.silent <= REPORT_SILENT_ABOVE / 2 {
            zone.limit_reported = false;
            self.events.push_back(Event::ZoneReconnectsRestored {
                zone: name.to_string(),
                silent: zone.silent,
            });
        }
    }

    /// Removes a node from its zone, and the zone if it was the last node.
    pub(super) fn remove_node(&mut self, id: LinkId) -> Option<Node> {
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
