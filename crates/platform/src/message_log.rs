//! The log of all messages that the engine receives and sends, one line each, so that a request can be followed by its
//! id. It is off by default (`--log reedring_platform::follow=debug` turns it on).

use reedring_platform_protocol::client::{FromClient, ToClient};
use reedring_platform_protocol::host::{FromHost, ToHost};

use crate::io::{Input, Output};

/// The log target with which operators turn these lines on. It is a documented option, so it stays when the module is
/// renamed.
const TARGET: &str = "reedring_platform::follow";

/// Writes a line. The line is only built while the log is on.
pub(crate) fn write(line: impl FnOnce() -> Option<String>) {
    if tracing::enabled!(target: TARGET, tracing::Level::DEBUG)
        && let Some(line) = line()
    {
        tracing::debug!(target: TARGET, event = "message", "{line}");
    }
}

/// The line for an input; `None` if the input is not logged.
pub(crate) fn input_line(input: &Input) -> Option<String> {
    Some(match input {
        Input::ClientConnected(conn) => format!("client {conn} connected"),
        Input::ClientInputRead { .. } => return None,
        Input::ClientEnding(conn) => format!("client {conn}: end of stream, with unread input"),
        Input::ClientEndOfStream(conn) => format!("client {conn}: end of stream"),
        Input::ClientUnreadable(conn, error) => format!("client {conn} can't be read: {error}"),
        Input::ClientDisconnected(conn) => format!("client {conn} disconnected"),
        Input::ClientMessage(conn, Ok(message)) => {
            return from_client(message).map(|line| format!("client {conn} {line}"));
        }
        Input::ClientMessage(conn, Err(error)) => {
            format!("client {conn} sent an invalid message: {error}")
        }
        Input::LinkUp(link) => format!("link {link} up"),
        Input::LinkDown {
            link,
            end,
            messages_begun,
        } => {
            format!("link {link} down: {end:?}, {messages_begun} messages begun")
        }
        Input::HostMessage(link, message) => {
            return from_host(message).map(|line| format!("link {link} {line}"));
        }
        Input::DiscoveryUpdate(update) => {
            format!(
                "discovery at revision {}: {} events",
                update.revision,
                update.events.len()
            )
        }
        Input::DiscoveryFailed(error) => format!("discovery failed: {error}"),
        Input::Terminate => "shutdown requested".to_owned(),
    })
}

fn from_client(message: &FromClient) -> Option<String> {
    Some(match message {
        FromClient::PlacementRequest(request) => {
            let (id, class, left_ms) = (request.id, &request.class, request.left_ms);
            let host = request.runs_at.as_ref();
            let runs_at = host.map_or(String::new(), |host| format!(", runs at {host}"));
            format!("requests {id:016x}: {class}, {left_ms} ms{runs_at}")
        }
        FromClient::Release { id, cause } => format!("releases {id:016x}: cause {cause}"),
        FromClient::HealthCheck(id) => format!("health check {id:016x}"),
        FromClient::ReleaseConfirmed(id) => format!("confirms the release of {id:016x}"),
        FromClient::Ignored => return None,
    })
}

fn from_host(message: &FromHost) -> Option<String> {
    Some(match message {
        FromHost::Answer { id, .. } => format!("answers {id:016x}"),
        FromHost::Release {
            id, cause, reason, ..
        } => {
            format!("releases {id:016x}: cause {cause}, {reason:?}")
        }
        FromHost::HealthCheckResult {
            id,
            passed,
            figures,
        } => {
            format!("health check result {id:016x}: {passed}, {figures:?}")
        }
        FromHost::ReleaseConfirmed(id) => format!("confirms the release of {id:016x}"),
        FromHost::TaskSignal { .. } | FromHost::Ignored => return None,
    })
}

/// The line for an output; `None` if the output is not logged.
pub(crate) fn output_line(output: &Output) -> Option<String> {
    Some(match output {
        Output::ToClient(conn, message) => format!("to client {conn}: {}", to_client(message)),
        Output::CloseClient(conn) => format!("close client {conn}"),
        Output::CloseIdleClient(conn) => format!("close client {conn} if it is idle"),
        Output::Connect(link, address) => format!("connect link {link} to {address}"),
        Output::ToHost(link, message) => format!("to link {link}: {}", to_host(message)),
        Output::CloseLink(link) => format!("close link {link}"),
        Output::StopListening => "stop listening".to_owned(),
        Output::MayExit => "finished".to_owned(),
        Output::Log(_) => return None,
    })
}

fn to_client(message: &ToClient) -> String {
    match message {
        ToClient::Answer { id, .. } => format!("answer {id:016x}"),
        ToClient::Release { id, cause, .. } => format!("release {id:016x}: cause {cause}"),
        ToClient::Moved(id) => format!("move {id:016x}"),
        ToClient::HealthCheckResult { id, passed } => {
            format!("health check result {id:016x}: {passed}")
        }
    }
}

fn to_host(message: &ToHost) -> String {
    match message {
        ToHost::PlacementRequest { id, left_ms, .. } => format!("request {id:016x}: {left_ms} ms"),
        ToHost::Release { id, cause } => format!("release {id:016x}: cause {cause}"),
        ToHost::HealthCheck { id, .. } => format!("health check {id:016x}"),
    }
}
