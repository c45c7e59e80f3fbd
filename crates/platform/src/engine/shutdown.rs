//! Shutdown: for a while new requests are still accepted. Each accepted request is answered, and while tasks run the
//! placer stays for as long as a client may wait for the notification of their end.
//!
//! | after the signal | what happens | where |
//! | --- | --- | --- |
//! | at once | SIGTERM becomes `Input::Terminate`; the request is recorded and logged; health checks of clients fail from now on | `run/control.rs`, [`Engine::terminate`], `clients/mod.rs` |
//! | 0.7 s | [`Output::StopListening`]: connections that wait in the queue are accepted, then the listener is closed; requests on open connections are still taken | [`Engine::advance_shutdown`], `run/shell.rs`, `sockets/client.rs` |
//! | 1 s; while tasks run, the longest wait of a client (at most 3 s) plus 0.4 s if that is longer | [`Output::MayExit`], once no request is open | [`Engine::advance_shutdown`] |
//! | then | if no input waits, the loop ends after it has written the write buffers, which may take 0.3 s at most | `run/event_loop.rs`, `Shell::write_all` |
//!
//! Input that arrives after [`Output::MayExit`] is processed first, and the next flush repeats that output.
//!
//! No timer is set for these times: each [`Engine::flush`] checks them. The periodic sweep timer (250 ms) causes a
//! flush, so a step may be that much late.

use reedring::Micros;

use crate::io::Output;
use crate::log_event::LogEvent;
use crate::state::{Engine, Phase, Request};

/// For how long after the shutdown request new connections are accepted, and requests on open connections served: as
/// long as the platform specifies that they may come, plus a margin.
const ACCEPT_CONNECTIONS_US: Micros = 700_000;
const SERVE_REQUESTS_US: Micros = 1_000_000;
/// While tasks run, the placer stays for the longest wait of a client, at most this long, plus a margin, and notifies
/// clients of task ends until it exits.
const MAX_CLIENT_WAIT_US: Micros = 3_000_000;
const EXIT_MARGIN_US: Micros = 400_000;

impl Engine {
    pub(super) fn terminate(&mut self, now: Micros) {
        if self.shutdown.requested_at.is_none() {
            self.shutdown.requested_at = Some(now);
            let count = |predicate: fn(&Request) -> bool| {
                self.requests
                    .iter()
                    .filter(|(_, request)| predicate(request))
                    .count()
            };
            let open_requests = count(|request| request.phase == Phase::Open);
            let running_tasks = count(|request| matches!(request.phase, Phase::Running(_)));
            self.log(LogEvent::ShutdownRequested {
                open_requests,
                running_tasks,
            });
        }
    }

    /// Takes the shutdown steps that are due: stops listening, and reports that the placer may exit.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let Some(requested_at) = self.shutdown.requested_at else {
            return;
        };
        if now >= requested_at + ACCEPT_CONNECTIONS_US && !self.shutdown.has_stopped_listening {
            self.shutdown.has_stopped_listening = true;
            self.outputs.push_back(Output::StopListening);
        }
        let has = |predicate: fn(&Request) -> bool| {
            self.requests.iter().any(|(_, request)| predicate(request))
        };
        let longest_wait = self
            .settings
            .longest_wait_us
            .unwrap_or(0)
            .min(MAX_CLIENT_WAIT_US);
        let exit_after_us = if has(|request| matches!(request.phase, Phase::Running(_))) {
            SERVE_REQUESTS_US.max(longest_wait + EXIT_MARGIN_US)
        } else {
            SERVE_REQUESTS_US
        };
        let has_open_requests = has(|request| request.phase == Phase::Open);
        if now >= requested_at + exit_after_us
            && !has_open_requests
            && !self.shutdown.is_exit_reported
        {
            self.shutdown.is_exit_reported = true;
            self.outputs.push_back(Output::MayExit);
        }
    }
}
