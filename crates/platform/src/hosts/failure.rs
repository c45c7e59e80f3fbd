//! Whether a host that runs tasks is still there, and when it is connected to again.

use reedring::{MachineId, Micros, Outcome};
use reedring_platform_protocol::CUT;
use reedring_platform_protocol::discovery::HostHealth;

use crate::decide::{self, HostLoss, HostObservation};
use crate::log_event::LogEvent;
use crate::state::{Engine, FIRST_RECONNECT_DELAY, Host, Timer};

const FIRST_RECONNECT_DELAY_US: Micros = FIRST_RECONNECT_DELAY.as_micros() as Micros;

impl Engine {
    /// Checks whether the tasks of a host are lost, and schedules the next connection to it if it has none.
    pub(crate) fn evaluate_host(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host(machine) else {
            return;
        };
        let loss = decide::detect_host_loss(self.observe(now, machine, host));
        if let Some(reason) = loss.filter(|_| !host.running.is_empty()) {
            self.lose_tasks(now, machine, reason);
        }
        self.schedule_reconnect(now, machine);
        self.hosts.remove_if_unused(machine);
    }

    fn observe(&self, now: Micros, machine: MachineId, host: &Host) -> HostObservation {
        HostObservation {
            // One that no list ever had can't be connected to.
            is_listed: host.entry.is_none() || host.is_listed(),
            is_draining: host.health() == Some(HostHealth::Draining),
            was_reset: host.was_reset,
            links_up: self
                .hosts
                .links_of(machine)
                .filter(|(_, link)| link.is_up)
                .count(),
            refused: host.refused,
            connect_failures: if host.entry.is_some() {
                host.connect_failures
            } else {
                u32::MAX
            },
            silent_us: now.saturating_sub(host.last_received),
        }
    }

    fn lose_tasks(&mut self, now: Micros, machine: MachineId, reason: HostLoss) {
        let Some(host) = self.hosts.host(machine) else {
            return;
        };
        let running = host.running_requests();
        let entry = host.entry.as_ref();
        let name = entry.map_or("(not in the endpoint list)", |entry| entry.name.as_str());
        let event = LogEvent::HostTasksLost {
            host: name.to_owned(),
            tasks: running.len(),
            reason,
        };
        self.log(event);
        for request in running {
            self.task_ended(now, request, CUT, Outcome::Reset.into());
        }
    }

    fn schedule_reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host_mut(machine) else {
            return;
        };
        let is_scheduled = host.is_reconnect_scheduled || host.evicted_until.is_some();
        if !host.needs_check() || is_scheduled || host.address().is_none() {
            return;
        }
        let delay = host.backoff.next_delay();
        let is_immediate = host.refused == 0 && delay == FIRST_RECONNECT_DELAY;
        let delay_us = if is_immediate {
            0
        } else {
            delay.as_micros() as Micros
        };
        host.is_reconnect_scheduled = true;
        self.timers.set(now + delay_us, Timer::Reconnect(machine));
    }

    /// A host may be due for another connection.
    pub(crate) fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host_mut(machine) else {
            return;
        };
        if !host.is_reconnect_scheduled && host.evicted_until.is_none_or(|at| now < at) {
            return;
        }
        (host.is_reconnect_scheduled, host.evicted_until) = (false, None);
        if !host.needs_check() || self.check_host(now, machine) {
            return;
        }
        let host = self.hosts.host_mut(machine);
        if let Some(host) = host.filter(|host| host.address().is_some()) {
            // All links are needed elsewhere: the first that becomes free is this host's.
            host.is_reconnect_scheduled = true;
            self.timers
                .set(now + FIRST_RECONNECT_DELAY_US, Timer::Reconnect(machine));
        }
    }

    /// Makes a link to check on a host, if there is capacity: it is closed again if others are established.
    pub(super) fn check_host(&mut self, now: Micros, machine: MachineId) -> bool {
        let link = self.link_within_capacity(now, machine, true);
        let link = link.and_then(|link| self.hosts.link_mut(link));
        link.map(|link| link.is_check = true).is_some()
    }
}
