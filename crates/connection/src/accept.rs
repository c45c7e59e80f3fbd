//! Accepting connections while the process has no file descriptor left.

use std::io;
use std::time::Duration;

/// How long nothing is accepted after an error: some connection may be closed by then.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Logs that a connection could not be accepted, and waits before the next is.
///
/// Most likely the process has no file descriptor left. Connections wait in the accept queue meanwhile, and the loop
/// does not spin.
pub async fn pause_after_accept_error(error: &io::Error) {
    tracing::warn!(event = "connection_accept_failed", %error, "a connection could not be accepted");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}
