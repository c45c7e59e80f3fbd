//! Handles signals: shutdown and reload of the configuration.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reedring_connection::SignalRequest;
use tokio::sync::{mpsc, watch};

use crate::io::Input;
use crate::sockets::Incoming;

use super::{log, read_config};

/// Delay before a configuration that was rejected is read again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Handles signals until the placer exits. On a reload only the address of discovery is applied. A configuration that
/// is rejected leaves the previous one in force, and the file is read again until it is valid.
pub(super) async fn handle_signals(
    mut signals: mpsc::Receiver<SignalRequest>,
    path: PathBuf,
    discovery: watch::Sender<SocketAddr>,
    incoming: mpsc::Sender<Incoming>,
) {
    let mut must_read_again = false;
    loop {
        let signal = tokio::select! {
            signal = signals.recv() => signal,
            () = tokio::time::sleep(READ_RETRY_DELAY), if must_read_again => Some(SignalRequest::Reload),
        };
        let Some(signal) = signal else {
            return;
        };
        match signal {
            SignalRequest::Shutdown => {
                if incoming
                    .send(Incoming::Input(Input::Terminate))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            SignalRequest::Reload => match read_config(&path) {
                Ok(config) => {
                    must_read_again = false;
                    log::configuration_reloaded(config.discovery);
                    discovery.send_replace(config.discovery);
                }
                Err(error) => {
                    must_read_again = true;
                    log::configuration_rejected(&error);
                }
            },
        }
    }
}
