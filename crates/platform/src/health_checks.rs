//! Health checks of hosts, which the decision module requests.

use reedring::{Event, MachineId, Micros};
use reedring_platform_protocol::host::{Figures, ToHost};

use crate::state::{Engine, HealthCheck, Timer, connect_timeout_us};

impl Engine {
    /// Sends a health check to a host. If there is no link for it, the check fails at once.
    pub(crate) fn start_health_check(&mut self, now: Micros, machine: MachineId) {
        let Some(link) = self.link_for_message(now, machine) else {
            self.events.push(Event::Probed {
                machine,
                answered: false,
                took_us: 0,
                report: Vec::new(),
            });
            return;
        };
        let id = self.health_checks.add(HealthCheck {
            machine,
            link,
            sent_at: now,
        });
        if let Some(link) = self.hosts.link_mut(link) {
            link.health_checks += 1;
        }
        let wants_report = !self.settings.report.is_empty();
        self.send_to_host(link, ToHost::HealthCheck { id, wants_report });
        let timeout = connect_timeout_us(&self.settings);
        self.timers
            .set(now + timeout, Timer::HealthCheckTimeout(id));
    }

    /// Reports the result of a health check: the host answered, the check timed out, or its link ended.
    pub(crate) fn health_check_done(
        &mut self,
        now: Micros,
        id: u64,
        answered: bool,
        figures: &Figures,
    ) {
        let Some(check) = self.health_checks.take(id) else {
            return;
        };
        if let Some(link) = self.hosts.link_mut(check.link) {
            link.health_checks -= 1;
        }
        if !answered {
            self.suspect_link(check.link);
        }
        let took_us = now.saturating_sub(check.sent_at);
        let report = self.load_report(figures);
        self.events.push(Event::Probed {
            machine: check.machine,
            answered,
            took_us,
            report,
        });
    }
}
