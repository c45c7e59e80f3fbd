//! Periodic work on hosts: unused links, stopped tasks, silent hosts, and hosts that left.

use reedring::{MachineId, Micros, Outcome, RequestId};
use reedring_platform_protocol::CANCELLED;

use crate::decide::LinkEnd;
use crate::ids::LinkId;
use crate::io::Output;
use crate::state::{Engine, Host, Link, Phase};

/// A host that runs tasks and sends nothing for this long gets a liveness check, repeated at this interval. Nothing
/// else shows whether the host is still there, as only the decision module requests health checks.
const SILENCE_BEFORE_LIVENESS_CHECK_US: Micros = 2_500_000;
const LIVENESS_CHECK_INTERVAL_US: Micros = 1_000_000;
/// A task whose host does not confirm within this time that it stopped it no longer counts; its host is still asked to stop
/// it.
const STOP_TIMEOUT_US: Micros = 5_000_000;
/// For how long a host that left the endpoint list may finish its work on the links that it has.
const LEFT_HOST_GRACE_US: Micros = 3_000_000;

impl Engine {
    pub(crate) fn sweep_hosts(&mut self, now: Micros) {
        self.close_unused_links(now);
        self.repeat_stops(now);
        self.end_stopped_tasks(now);
        self.check_silent_hosts(now);
        self.disconnect_left_hosts(now);
    }

    /// Closes links that were not used for a while, a little before hosts close them, so that no message is sent while
    /// the host closes the link. A host that runs tasks keeps one link.
    fn close_unused_links(&mut self, now: Micros) {
        let Some(idle_close) = self.settings.idle_close_us else {
            return;
        };
        let limit = idle_close / 10 * 9;
        let is_unused = |link: &Link| link.is_up && link.is_idle() && link.last_used + limit <= now;
        let unused = self.hosts.links().filter(|(_, link)| is_unused(link));
        let unused: Vec<(LinkId, MachineId)> =
            unused.map(|(id, link)| (id, link.machine)).collect();
        for (id, machine) in unused {
            let host = self.hosts.host(machine);
            let is_needed = host.is_some_and(|host| !host.running.is_empty());
            if !is_needed || self.hosts.has_other_established_link(id, machine) {
                self.close_link(id);
            }
        }
    }

    fn end_stopped_tasks(&mut self, now: Micros) {
        let is_timed_out = |phase: Phase| match phase {
            Phase::Stopping(placement) => placement.since + STOP_TIMEOUT_US <= now,
            Phase::Open | Phase::Closed | Phase::Running(_) => false,
        };
        let timed_out = self
            .requests
            .iter()
            .filter(|(_, request)| is_timed_out(request.phase));
        for request in timed_out.map(|(id, _)| id).collect::<Vec<RequestId>>() {
            self.task_ended(now, request, CANCELLED, Outcome::Stopped.into());
        }
    }

    fn check_silent_hosts(&mut self, now: Micros) {
        let is_silent = |host: &Host| {
            !host.running.is_empty()
                // The host is connected to again then.
                && host.delayed_reconnect_at.is_none()
                && !host.is_reconnect_scheduled
                && host.last_received + SILENCE_BEFORE_LIVENESS_CHECK_US <= now
                && host.last_liveness_check + LIVENESS_CHECK_INTERVAL_US <= now
        };
        for machine in self.hosts_where(is_silent) {
            self.evaluate_host(now, machine);
            self.start_liveness_check(now, machine);
            if let Some(host) = self.hosts.host_mut(machine) {
                host.last_liveness_check = now;
            }
        }
    }

    fn disconnect_left_hosts(&mut self, now: Micros) {
        let is_grace_over = |host: &Host| {
            host.left_at
                .is_some_and(|at| at + LEFT_HOST_GRACE_US <= now)
        };
        for machine in self.hosts_where(is_grace_over) {
            // The host is considered gone even if its links are open, and its address may belong to another host by
            // now.
            let links: Vec<LinkId> = self.hosts.links_of(machine).map(|(id, _)| id).collect();
            for link in links {
                self.outputs.push_back(Output::CloseLink(link));
                self.link_down(now, link, LinkEnd::Reset, u64::MAX);
            }
            self.evaluate_host(now, machine);
        }
    }

    fn hosts_where(&self, predicate: impl Fn(&Host) -> bool) -> Vec<MachineId> {
        let hosts = self.hosts.hosts().filter(|(_, host)| predicate(host));
        hosts.map(|(machine, _)| machine).collect()
    }
}
