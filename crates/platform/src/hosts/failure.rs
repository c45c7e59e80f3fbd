//! Failure detection of hosts that run tasks, and when such hosts are connected to again.

use reedring::{MachineId, Micros, Outcome};
use reedring_platform_protocol::FAILED;
use reedring_platform_protocol::discovery::HostHealth;

use crate::decide::{self, HostLoss, HostObservation};
use crate::log_event::LogEvent;
use crate::state::{Engine, FIRST_RECONNECT_DELAY, Host, Timer};

const FIRST_RECONNECT_DELAY_US: Micros = FIRST_RECONNECT_DELAY.as_micros() as Micros;
/// A host that runs tasks is connected to again this long after the placer itself closed or gave up a link to it. The time
/// fits twice into the 8 s within which clients must be notified of a task end that the host could not report.
const DELAYED_RECONNECT_US: Micros = 3_500_000;

impl Engine {
    /// Ends the tasks of a host if they are lost, schedules the next connection to the host if its tasks need one, and
    /// removes the host if it is unused.
    pub(crate) fn evaluate_host(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host(machine) else {
            return;
        };
        let loss = decide::detect_host_loss(self.host_observation(now, machine, host));
        let runs_tasks = !host.running.is_empty();
        if let Some(reason) = loss {
            if runs_tasks {
                self.end_lost_tasks(now, machine, reason);
            }
            self.end_displaced_tasks(now, machine);
            self.pending_stops.remove_all_at(machine);
        }
        self.schedule_reconnect(now, machine);
        self.hosts.remove_if_unused(machine);
    }

    fn host_observation(&self, now: Micros, machine: MachineId, host: &Host) -> HostObservation {
        HostObservation {
            // A host that was never listed has no address. It counts as one that can't be connected to, not as one that
            // left.
            is_listed: host.entry.is_none() || host.is_listed(),
            is_draining: host.health() == Some(HostHealth::Draining),
            was_reset: host.was_reset,
            links_up: self
                .hosts
                .links_of(machine)
                .filter(|(_, link)| link.is_up)
                .count(),
            consecutive_refusals: host.consecutive_refusals,
            consecutive_connect_failures: if host.entry.is_some() {
                host.consecutive_connect_failures
            } else {
                u32::MAX
            },
            silent_us: now.saturating_sub(host.last_received),
        }
    }

    fn end_lost_tasks(&mut self, now: Micros, machine: MachineId, reason: HostLoss) {
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
            self.task_ended(now, request, FAILED, Outcome::Reset.into());
        }
    }

    fn schedule_reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host_mut(machine) else {
            return;
        };
        let is_scheduled = host.is_reconnect_scheduled || host.delayed_reconnect_at.is_some();
        if !host.needs_liveness_check() || is_scheduled || host.address().is_none() {
            return;
        }
        let delay = host.backoff.next_delay();
        // After lost input the host must learn that the former link has ended before it accepts the new one, as it would
        // send the next end on the former one again.
        let is_immediate = host.consecutive_refusals == 0
            && host.lost_input_before.is_none()
            && delay == FIRST_RECONNECT_DELAY;
        let delay_us = if is_immediate {
            0
        } else {
            delay.as_micros() as Micros
        };
        host.is_reconnect_scheduled = true;
        self.timers.set(now + delay_us, Timer::Reconnect(machine));
    }

    /// Schedules a connection to a host to which the placer itself closed or gave up a link, if the host's tasks need one
    /// and none is scheduled. It is not made at once, as links end like this while descriptors are short.
    pub(super) fn schedule_delayed_reconnect(&mut self, now: Micros, machine: MachineId) {
        let host = self.hosts.host_mut(machine);
        let needs_liveness_check =
            host.filter(|host| host.needs_liveness_check() && !host.is_reconnect_scheduled);
        if let Some(host) = needs_liveness_check {
            let reconnect_at = now + DELAYED_RECONNECT_US;
            host.delayed_reconnect_at = Some(reconnect_at);
            self.timers.set(reconnect_at, Timer::Reconnect(machine));
        }
    }

    /// Connects to a host again if a reconnect is due and its tasks still need a liveness check.
    pub(crate) fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.host_mut(machine) else {
            return;
        };
        if !host.is_reconnect_scheduled && host.delayed_reconnect_at.is_none_or(|at| now < at) {
            return;
        }
        (host.is_reconnect_scheduled, host.delayed_reconnect_at) = (false, None);
        if !host.needs_liveness_check() || self.start_liveness_check(now, machine) {
            return;
        }
        let host = self.hosts.host_mut(machine);
        if let Some(host) = host.filter(|host| host.address().is_some()) {
            // All links are needed elsewhere: the connection is tried again after the shortest delay, until there is
            // capacity.
            host.is_reconnect_scheduled = true;
            self.timers
                .set(now + FIRST_RECONNECT_DELAY_US, Timer::Reconnect(machine));
        }
    }

    /// Makes a link for a liveness check if there is capacity. Once it is established, it or an older one is closed, unless
    /// it takes the place of a link that was lost.
    pub(super) fn start_liveness_check(&mut self, now: Micros, machine: MachineId) -> bool {
        let host = self.hosts.host(machine);
        let replaces_lost_link = host.is_some_and(|host| host.lost_input_before.is_some());
        let link = self.link_within_capacity(now, machine, true);
        let link = link.and_then(|link| self.hosts.link_mut(link));
        link.map(|link| link.is_liveness_check = !replaces_lost_link)
            .is_some()
    }
}
