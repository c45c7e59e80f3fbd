//! Executes the actions of the decision module.

use reedring::{Action, Micros, RequestId};
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::{CANCELLED, FAILED};

use crate::log_event::LogEvent;
use crate::state::{Engine, Phase, Timer};

impl Engine {
    pub(super) fn execute_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => {
                self.offer(now, request, machine, within_us);
            }
            Action::Stop(attempt) => self.stop_attempt(now, attempt),
            Action::Refuse {
                request,
                stay_away_us,
            } => self.refuse(request, stay_away_us),
            Action::Fail(request) => self.answer(request, |id| ToClient::failure(id, FAILED)),
            Action::Move(request) => self.move_task(now, request),
            Action::Probe(machine) => self.start_health_check(now, machine),
            Action::CloseIdle(machine) => self.close_idle_links(machine),
            Action::Tell { .. } => self.log(LogEvent::UnsupportedAction),
            Action::Watch(on) => self.is_list_requested = on,
            Action::Fetch => self.send_endpoints(),
            Action::Timer { token, after_us } => {
                self.timers.set(now + after_us, Timer::Module(token));
            }
            Action::Log(message) => self.log(LogEvent::Module { message }),
        }
    }

    /// Refuses a request, and sends its client the time for which it should not submit the task again, if there is one.
    fn refuse(&mut self, request: RequestId, stay_away_us: Option<Micros>) {
        let retry_after_ms = stay_away_us.map(|us| us.div_ceil(1_000));
        self.answer(request, |id| ToClient::refusal(id, retry_after_ms));
    }

    /// Sends the final answer to an open request.
    fn answer(&mut self, request: RequestId, answer: impl FnOnce(u64) -> ToClient) {
        if let Some(closed) = self.requests.close(request) {
            self.send_to_client(closed.conn, answer(closed.id));
            self.request_closed(closed.conn, closed.id);
        }
    }

    /// Stops a running task and notifies its client that it is moved, so that the client requests a new place for it.
    fn move_task(&mut self, now: Micros, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let Phase::Running(_) = entry.phase else {
            return;
        };
        let (id, conn) = (entry.wire_id(), entry.conn);
        self.stop_task(now, request, CANCELLED);
        for conn in self.notification_connections(conn) {
            self.send_to_client(conn, ToClient::Moved(id));
        }
    }

    /// Asks a host to stop a running task.
    pub(crate) fn stop_task(&mut self, now: Micros, request: RequestId, cause: u8) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::Running(mut placement) = entry.phase else {
            return;
        };
        placement.since = now;
        entry.phase = Phase::Stopping(placement);
        let id = entry.wire_id();
        self.send_stop(now, placement.machine, id, cause);
    }
}
