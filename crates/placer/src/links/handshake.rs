//! The handshake on a new connection: the placer's hello, the node's welcome and, if necessary, a version probe.

use reedring_node_protocol::{ConfigRequest, Message, VersionInfo};

use super::connection::Connection;
use super::error::ConnectError;
use super::versions::VersionNegotiation;
use crate::inbound::NodeWelcome;

/// Sends the hello and reads the welcome. The wait for the welcome, and for the answer to a version probe, is limited
/// to the placer's connect timeout each.
///
/// After a version probe the connection can't be used for a link. The probe's result is returned as
/// [`ConnectError::SpeaksVersion1`] or [`ConnectError::SpeaksVersion2`], and the caller connects again.
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
    if in_version_1
        && welcome.acceptor_report.is_none()
        && versions.needs_probe(welcome.incarnation)
    {
        return Err(probe(connection, versions, welcome.incarnation).await);
    }
    Ok(welcome)
}

/// Builds the hello. In version 2 it names the placer's active configuration; a placer without one sends the form of
/// version 1.
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

/// Reads the node's first message, which must be a welcome.
fn welcome(message: Message) -> Result<NodeWelcome, ConnectError> {
    let Message::Welcome {
        node: name,
        incarnation,
        up_ms,
        can_suspend,
        acceptor_report,
    } = message
    else {
        return Err(ConnectError::UnexpectedAnswer);
    };
    Ok(NodeWelcome {
        name,
        incarnation,
        up_ms,
        can_suspend,
        acceptor_report,
    })
}

/// Finds out whether a node that answered a version 1 hello supports version 2. Connections close for many reasons,
/// so a node is taken to support only version 1 if it closes the connection on this probe, and not after rejected
/// version 2 hellos alone.
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

/// Sends a request that only a node with version 2 can answer; a node without it closes the connection. Returns whether
/// the node answered.
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
