//! The shell: sockets, signals, the clock and the configuration file around the engine, in one thread.

mod control;
mod event_loop;
mod log;
mod shell;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use reedring_connection::{SignalRequest, Signals};
use reedring_platform_protocol::config::{self, Config};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub use event_loop::serve;

/// Signals that wait to be answered.
const SIGNAL_QUEUE: usize = 4;

/// Why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Its configuration can't be opened.
    #[error("{path}: {error}; name a file that can be read")]
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// Its configuration is invalid.
    #[error("{path}: {error}")]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: config::Error,
    },
    /// Its address can't be listened on.
    #[error("can't listen on {address}: {error}; give it an address of this machine that is free")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        error: io::Error,
    },
    /// Its runtime can't be made.
    #[error("can't start: {0}")]
    Runtime(#[from] io::Error),
}

fn read_config(path: &Path) -> Result<Config, RunError> {
    let text = std::fs::read_to_string(path).map_err(|error| RunError::Read {
        path: path.to_owned(),
        error,
    })?;
    Config::read(&text).map_err(|error| RunError::Config {
        path: path.to_owned(),
        error,
    })
}

/// Serves until a signal asks the placer to exit.
///
/// # Errors
/// See [`RunError`].
pub fn run(path: &Path, listen: Option<SocketAddr>) -> Result<(), RunError> {
    let mut config = read_config(path)?;
    config.listen = listen.unwrap_or(config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let served = runtime.block_on(async {
        // Signals are handled before the listener exists: whoever can connect can also ask for the exit.
        let mut signals = Signals::new()?;
        let (send, requests) = mpsc::channel::<SignalRequest>(SIGNAL_QUEUE);
        tokio::spawn(async move { while send.send(signals.next().await).await.is_ok() {} });
        let address = config.listen;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|error| RunError::Listen { address, error })?;
        serve(path, config, listener, requests).await;
        Ok(())
    });
    runtime.shutdown_background();
    served
}
