//! Shutdown: requests are taken for a while, all that was taken is answered, and running tasks keep the placer for as
//! long as a client may wait for their end.
//!
//! | after the signal | what happens | where |
//! | --- | --- | --- |
//! | at once | SIGTERM becomes `Input::Terminate`; the time is kept and logged; health checks of clients fail from now on | `run/control.rs`, [`Engine::terminate`], `clients/mod.rs` |
//! | 0.7 s | [`Output::StopListening`]: connections that wait in the queue are accepted, then the listener is closed; requests on open connections are still taken | [`Engine::advance_shutdown`], `run/shell.rs`, `sockets/client.rs` |
//! | 1 s, or while tasks run the longest wait of a client (3 s at most) and 0.4 s if that is more | [`Output::MayExit`], once no request is open | [`Engine::advance_shutdown`] |
//! | then | if no input waits, what is left in the write buffers is written for 0.3 s at most, and the loop ends | `run/event_loop.rs`, `Shell::write_all` |
//!
//! Input that comes after [`Output::MayExit`] is handled first, and the output comes again at the next flush.
//!
//! No timer is set for these times: they are checked in each [`Engine::flush`]. The periodic sweep timer (250 ms) makes
//! sure that one comes, so a step may be that much later.

use reedring::Micros;

use crate::io::Output;
use crate::log_event::LogEvent;
use crate::state::{Engine, Phase, Request};

/// How long new connections are still accepted, and requests on open ones taken: as long as the platform says that they
/// come, and a little.
const ACCEPT_FOR_US: Micros = 700_000;
const SERVE_FOR_US: Micros = 1_000_000;
/// While tasks run the placer stays for the longest wait of a client, at most this long, and a little: it notifies
/// clients of their ends until it exits.
const MAX_STAY_US: Micros = 3_000_000;
const EXTRA_STAY_US: Micros = 400_000;

impl Engine {
    pub(super) fn terminate(&mut self, now: Micros) {
        if self.shutdown.requested_at.is_none() {
            self.shutdown.requested_at = Some(now);
            let count = |is_counted: fn(&Request) -> bool| {
                self.requests
                    .iter()
                    .filter(|(_, request)| is_counted(request))
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

    /// Takes the steps whose time has come: stops listening, and reports that the placer may exit.
    pub(super) fn advance_shutdown(&mut self, now: Micros) {
        let Some(requested_at) = self.shutdown.requested_at else {
            return;
        };
        if now >= requested_at + ACCEPT_FOR_US && !self.shutdown.has_stopped_listening {
            self.shutdown.has_stopped_listening = true;
            self.outputs.push_back(Output::StopListening);
        }
        let has = |is_meant: fn(&Request) -> bool| {
            self.requests.iter().any(|(_, request)| is_meant(request))
        };
        let longest_wait = self.settings.longest_wait_us.unwrap_or(0).min(MAX_STAY_US);
        let stay_us = if has(|request| matches!(request.phase, Phase::Running(_))) {
            SERVE_FOR_US.max(longest_wait + EXTRA_STAY_US)
        } else {
            SERVE_FOR_US
        };
        let has_open_requests = has(|request| request.phase == Phase::Open);
        if now >= requested_at + stay_us && !has_open_requests && !self.shutdown.is_finished {
            self.shutdown.is_finished = true;
            self.outputs.push_back(Output::MayExit);
        }
    }
}
