//! Asks hosts to stop tasks, and repeats that until they confirm it.

use reedring::{MachineId, Micros};
use reedring_platform_protocol::host::ToHost;

use crate::ids::LinkId;
use crate::log_event::LogEvent;
use crate::state::{Engine, Link, PendingStop};

impl Engine {
    /// Asks a host to stop a task, now if there is a link.
    pub(crate) fn send_stop(&mut self, now: Micros, machine: MachineId, id: u64, cause: u8) {
        let link = self.any_link(now, machine);
        if let Some(link) = link {
            self.send_to_host(link, ToHost::Release { id, cause });
        }
        let stop = PendingStop::new(now, machine, cause, link);
        self.pending_stops.add(id, stop);
    }

    /// Asks a host to stop a task on this link, on which the host may just have accepted it.
    pub(crate) fn send_stop_on(
        &mut self,
        now: Micros,
        link: LinkId,
        machine: MachineId,
        id: u64,
        cause: u8,
    ) {
        self.send_to_host(link, ToHost::Release { id, cause });
        let stop = PendingStop::new(now, machine, cause, Some(link));
        self.pending_stops.add(id, stop);
    }

    /// Sends the stops again that are due. A host that does not confirm one after many is given up.
    pub(super) fn repeat_stops(&mut self, now: Micros) {
        for (machine, id) in self.pending_stops.due(now) {
            let Some(stop) = self.pending_stops.get_mut(machine, id).copied() else {
                continue;
            };
            if stop.is_given_up() {
                self.pending_stops.remove(machine, id);
                self.log(LogEvent::StopUnconfirmed { request: id });
                continue;
            }
            let link = self.link_for_repeat(now, &stop);
            if let Some(link) = link {
                let cause = stop.cause;
                self.send_to_host(link, ToHost::Release { id, cause });
            }
            if let Some(stop) = self.pending_stops.get_mut(machine, id) {
                stop.sent_again(now, link);
            }
        }
    }

    /// The link for a stop that was not confirmed: another one than before, as the host may have forgotten that. Where there
    /// is none, every other time a new one, and the former one in between.
    fn link_for_repeat(&mut self, now: Micros, stop: &PendingStop) -> Option<LinkId> {
        let is_usable = |link: &Link| link.is_up && !link.is_suspect;
        let links = self.hosts.links_of(stop.machine);
        let usable = links.filter(|(_, link)| is_usable(link));
        let former = stop.link;
        let other = usable.map(|(id, _)| id).find(|link| Some(*link) != former);
        if other.is_some() {
            return other;
        }
        let is_former_usable = former
            .and_then(|link| self.hosts.link(link))
            .is_some_and(is_usable);
        if is_former_usable && stop.sends().is_multiple_of(2) {
            return former;
        }
        let new = self.link_within_capacity(now, stop.machine, true);
        new.or(former.filter(|_| is_former_usable))
    }
}
