//! Signals: the exit, and the configuration read again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use reedring_connection::SignalRequest;
use tokio::sync::{mpsc, watch};

use crate::io::Input;
use crate::sockets::Incoming;

use super::{log, read_config};

/// The delay before a configuration that can't be used is read again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Answers signals until the placer exits. A configuration that can't be used leaves the former one in force and is
/// read again until it can.
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
