//! The shell around the engine: runs sockets, signals, the clock and the configuration file on one thread.

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

/// Capacity of the channel between the signal handlers and [`control::handle_signals`].
const SIGNAL_QUEUE: usize = 4;

/// Reason why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration file can't be read.
    #[error("{path}: {error}; name a file that can be read")]
    Read {
        /// Path of the configuration file.
        path: PathBuf,
        /// Error that reading the file returned.
        error: io::Error,
    },
    /// The configuration file is invalid.
    #[error("{path}: {error}")]
    Config {
        /// Path of the configuration file.
        path: PathBuf,
        /// Why the content is invalid.
        error: config::Error,
    },
    /// The listening socket can't be bound.
    #[error("can't listen on {address}: {error}; give it an address of this machine that is free")]
    Listen {
        /// Address that was to be listened on.
        address: SocketAddr,
        /// Error that binding returned.
        error: io::Error,
    },
    /// The tokio runtime or the signal handlers can't be set up.
    #[error("can't set up the tokio runtime or the signal handlers: {0}")]
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

/// Reads the configuration file at `path` and serves until a signal requests shutdown.
///
/// `listen`, if given, replaces the listen address of the file.
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
        // Signal handlers are installed before the listener is bound, so that a placer that accepts connections can
        // already be shut down by a signal.
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
