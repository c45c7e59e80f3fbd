//! The handshake on a new connection: the placer's hello, the node's welcome, and a version probe where it is needed.

use reedring_node_protocol::{ConfigRequest, Message, VersionInfo};

use super::connection::Connection;
use super::error::ConnectError;
use super::versions::VersionNegotiation;
use crate::inbound::NodeWelcome;

/// Greets the node and reads its welcome, each within the placer's connect timeout.
///
/// After a version probe the connection has to be closed: [`ConnectError::SpeaksVersion1`] and
/// [`ConnectError::SpeaksVersion2`] say what it showed.
pub(super) async fn handshake(
    connection: &mut Connection,
    versions: &mut VersionNegotiation,
) -> Result<NodeWelcome, ConnectError> {
    let in_version_1 = versions.uses_version_1();
    let hello = hello(connection, in_version_1);
    let is_version_2 = matches!(
        hello,
        Message::Hello {
            version_info: Some(_),
            ..
        }
    );
    connection
        .write_message(hello)
        .await
        .map_err(ConnectError::SendHello)?;
    let limit = connection.context().connect_timeout;
    let answer = tokio::time::timeout(limit, connection.read_first_message()).await;
    let welcome = match answer.map_err(|_| ConnectError::HandshakeTimeout)?? {
        Some(message) => welcome(message)?,
        None if is_version_2 => return Err(ConnectError::HelloRejected),
        None => return Err(ConnectError::ClosedBeforeWelcome),
    };
    if in_version_1 && welcome.record.is_none() && versions.needs_probe(welcome.incarnation) {
        return Err(probe(connection, versions, welcome.incarnation).await);
    }
    Ok(welcome)
}

/// The hello; in version 2 it states the configuration that the placer acts by, if there is one.
fn hello(connection: &Connection, in_version_1: bool) -> Message {
    let context = connection.context();
    let active_config = if in_version_1 {
        None
    } else {
        context.active_config()
    };
    Message::Hello {
        placer: context.name.clone(),
        incarnation: context.incarnation,
        link: connection.link().get(),
        version_info: active_config.map(|stamp| VersionInfo {
            stamp,
            build: reedring_core::BUILD.to_owned(),
        }),
    }
}

fn welcome(message: Message) -> Result<NodeWelcome, ConnectError> {
    let Message::Welcome {
        node: name,
        incarnation,
        up_ms,
        can_suspend,
        acceptor_report: record,
    } = message
    else {
        return Err(ConnectError::NoWelcome);
    };
    Ok(NodeWelcome {
        name,
        incarnation,
        up_ms,
        can_suspend,
        record,
    })
}

/// Finds out whether a node that was greeted in version 1 speaks version 2. Connections end for many reasons, so that a
/// node speaks version 1 alone is believed only once it has closed the connection on this question.
async fn probe(
    connection: &mut Connection,
    versions: &mut VersionNegotiation,
    incarnation: u64,
) -> ConnectError {
    let limit = connection.context().connect_timeout;
    match tokio::time::timeout(limit, answers_version_2(connection)).await {
        Err(_) => ConnectError::ProbeTimeout,
        Ok(true) => {
            versions.probed_version_2();
            ConnectError::SpeaksVersion2
        }
        Ok(false) => {
            versions.probed_version_1(incarnation);
            ConnectError::SpeaksVersion1
        }
    }
}

/// Asks what only a node that speaks version 2 can answer; another closes the connection.
async fn answers_version_2(connection: &mut Connection) -> bool {
    let stamp = connection.context().active_config().unwrap_or_default();
    if connection
        .write_message(Message::ConfigRequest(ConfigRequest::Query { stamp }))
        .await
        .is_err()
    {
        return false;
    }
    connection
        .read_until(|message| matches!(message, Message::AcceptorReport(_)))
        .await
}
