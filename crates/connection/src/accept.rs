//! The pause of an accept loop after an error, such as when the process has no file descriptors left.

use std::io;
use std::time::Duration;

/// How long the accept loop pauses after an error. In that time other connections may close and free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Logs an error of `accept` and waits for 50 ms before the caller accepts the next connection.
///
/// The usual cause is that the process has no file descriptors left. The pause keeps the accept loop from spinning on
/// the error; new connections wait in the accept queue of the socket.
pub async fn pause_after_accept_error(error: &io::Error) {
    tracing::warn!(event = "connection_accept_failed", %error, "a connection could not be accepted");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}
