//! What came and what was done, one line each, so that a task can be followed by its id through a placer's log. Off by
//! default (`--log reedring_platform::follow=debug` turns it on), and made only where it is on.

use reedring_platform_protocol::client::{FromClient, ToClient};
use reedring_platform_protocol::host::{FromHost, ToHost};

use crate::io::{Input, Output};

/// The line of an input.
pub(crate) fn input(input: &Input) -> Option<String> {
    Some(match input {
        Input::ClientCame(conn) => format!("client {conn} came"),
        Input::ClientRead { .. } => return None,
        Input::ClientEnded(conn) => format!("client {conn} says nothing more"),
        Input::ClientSpoilt(conn, why) => format!("client {conn} can't be read: {why}"),
        Input::ClientGone(conn) => format!("client {conn} went"),
        Input::Client(conn, Ok(message)) => match message {
            FromClient::PlacementRequest(setup) => {
                let (class, left) = (&setup.class, setup.left_ms);
                let held = setup
                    .at
                    .as_ref()
                    .map_or(String::new(), |host| format!(", held by {host}"));
                format!(
                    "client {conn} asks {:016x}: {class}, {left} ms{held}",
                    setup.id
                )
            }
            FromClient::Release { id, cause } => {
                format!("client {conn} ends {id:016x}: cause {cause}")
            }
            FromClient::Test(id) => format!("client {conn} tests {id:016x}"),
            FromClient::Released(id) => format!("client {conn} heard {id:016x}"),
            FromClient::Free => return None,
        },
        Input::Client(conn, Err(unusable)) => {
            format!("client {conn} says what can't be used: {unusable}")
        }
        Input::LinkUp(link) => format!("link {link} up"),
        Input::LinkDown { link, down, begun } => {
            format!("link {link} down: {down:?}, {begun} written")
        }
        Input::Host(link, message) => match message {
            FromHost::Answer { id, .. } => format!("link {link} answers {id:016x}"),
            FromHost::Release {
                id, cause, reason, ..
            } => {
                format!("link {link} ends {id:016x}: cause {cause}, {reason:?}")
            }
            FromHost::Tested {
                id,
                passed,
                figures,
            } => {
                format!("link {link} tested {id:016x}: {passed}, {figures:?}")
            }
            FromHost::Note { .. } | FromHost::Free => return None,
        },
        Input::Discovery(update) => {
            format!(
                "discovery at {}: {} notices",
                update.rev,
                update.notices.len()
            )
        }
        Input::DiscoveryLost(why) => format!("discovery lost: {why}"),
        Input::Terminate => "asked to end".to_owned(),
    })
}

/// The line of an output.
pub(crate) fn output(output: &Output) -> Option<String> {
    Some(match output {
        Output::ToClient(conn, message) => match message {
            ToClient::Answer { id, .. } => format!("to client {conn}: answer {id:016x}"),
            ToClient::Release { id, cause, .. } => {
                format!("to client {conn}: release {id:016x}: cause {cause}")
            }
            ToClient::Moved(id) => format!("to client {conn}: move {id:016x}"),
            ToClient::Tested { id, passed } => {
                format!("to client {conn}: tested {id:016x}: {passed}")
            }
        },
        Output::CloseClient(conn) => format!("close client {conn}"),
        Output::CloseIdleClient(conn) => format!("close client {conn} if it says nothing"),
        Output::Connect(link, address) => format!("link {link} to {address}"),
        Output::ToHost(link, message) => match message {
            ToHost::PlacementRequest { id, left_ms, .. } => {
                format!("to link {link}: set-up {id:016x}: {left_ms} ms")
            }
            ToHost::Release { id, cause } => {
                format!("to link {link}: release {id:016x}: cause {cause}")
            }
            ToHost::Test { id, .. } => format!("to link {link}: test {id:016x}"),
        },
        Output::CloseLink(link) => format!("close link {link}"),
        Output::StopListening => "stop listening".to_owned(),
        Output::Finished => "finished".to_owned(),
        Output::Log(_) => return None,
    })
}
