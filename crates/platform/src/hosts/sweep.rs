//! Periodic work on hosts: idle links, tasks that were stopped, hosts that are silent or left.

use reedring::{MachineId, Micros, Outcome, RequestId};
use reedring_platform_protocol::CANCELLED;

use crate::decide::LinkEnd;
use crate::ids::LinkId;
use crate::io::Output;
use crate::state::{Engine, Host, Link, Phase};

/// A host that runs tasks and sends nothing for this long is connected to once more, and again at this interval:
/// nothing else shows whether it is still there, as health checks are the decision module's to ask for.
const SILENCE_BEFORE_CHECK_US: Micros = 2_500_000;
const CHECK_INTERVAL_US: Micros = 1_000_000;
/// A host that was asked to stop a task and does not confirm it in this time does not run it any more.
const STOP_TIMEOUT_US: Micros = 5_000_000;
/// A host that left the endpoint list and still has a link may finish its work for this long.
const LEFT_HOST_GRACE_US: Micros = 3_000_000;

impl Engine {
    pub(crate) fn sweep_hosts(&mut self, now: Micros) {
        self.close_unused_links(now);
        self.end_stopped_tasks(now);
        self.check_silent_hosts(now);
        self.disconnect_left_hosts(now);
    }

    /// Closes links that were not used for a while, a little before hosts do, so that no message crosses their close.
    /// A host that runs tasks keeps one.
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
            if !is_needed || self.hosts.has_other_link_up(id, machine) {
                self.close_link(id);
            }
        }
    }

    fn end_stopped_tasks(&mut self, now: Micros) {
        let is_over = |phase: Phase| match phase {
            Phase::Stopping(placement) => placement.since + STOP_TIMEOUT_US <= now,
            Phase::Open | Phase::Closed | Phase::Running(_) => false,
        };
        let over = self
            .requests
            .iter()
            .filter(|(_, request)| is_over(request.phase));
        for request in over.map(|(id, _)| id).collect::<Vec<RequestId>>() {
            self.task_ended(now, request, CANCELLED, Outcome::Stopped.into());
        }
    }

    fn check_silent_hosts(&mut self, now: Micros) {
        let is_silent = |host: &Host| {
            !host.running.is_empty()
                // One whose link was closed for another is connected to when its time comes.
                && host.evicted_until.is_none()
                && !host.is_reconnect_scheduled
                && host.last_received + SILENCE_BEFORE_CHECK_US <= now
                && host.checked_at + CHECK_INTERVAL_US <= now
        };
        for machine in self.hosts_where(is_silent) {
            self.evaluate_host(now, machine);
            self.check_host(now, machine);
            if let Some(host) = self.hosts.host_mut(machine) {
                host.checked_at = now;
            }
        }
    }

    fn disconnect_left_hosts(&mut self, now: Micros) {
        let is_over = |host: &Host| {
            host.left_at
                .is_some_and(|at| at + LEFT_HOST_GRACE_US <= now)
        };
        for machine in self.hosts_where(is_over) {
            // Whatever its links show, this host is gone, and its address may be another's by now.
            let links: Vec<LinkId> = self.hosts.links_of(machine).map(|(id, _)| id).collect();
            for link in links {
                self.outputs.push_back(Output::CloseLink(link));
                self.link_down(now, link, LinkEnd::Reset, u64::MAX);
            }
            self.evaluate_host(now, machine);
        }
    }

    fn hosts_where(&self, is_meant: impl Fn(&Host) -> bool) -> Vec<MachineId> {
        let hosts = self.hosts.hosts().filter(|(_, host)| is_meant(host));
        hosts.map(|(machine, _)| machine).collect()
    }
}
