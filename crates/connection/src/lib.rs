//! What the tokio shells of the placer share: accepting connections, waits between tries, signals.
#![forbid(unsafe_code)]

use std::io;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Out of file descriptors, most likely: connections wait until some are closed, and the loop does not spin.
pub async fn accept_failed(error: &io::Error) {
    tracing::warn!(event = "connection_accept_failed", %error, "a connection could not be accepted");
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// Waits between tries: the first, doubled each time up to the last.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    last: Duration,
    next: Duration,
}

impl Backoff {
    /// Waits from `first` to `last`.
    pub const fn new(first: Duration, last: Duration) -> Self {
        Self {
            first,
            last,
            next: first,
        }
    }

    /// The next wait.
    pub fn wait(&mut self) -> Duration {
        let wait = self.next;
        self.next = (wait * 2).min(self.last);
        wait
    }

    /// A try went well.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}

/// The signals that a placer answers to. Made before its listener, so that none is missed.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// To end.
    End,
    /// To read the configuration again.
    Reload,
}

impl Signals {
    /// Takes the signals over from the system.
    ///
    /// # Errors
    /// Where the system does not let them be taken.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// The next signal.
    pub async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::End,
            _ = self.interrupt.recv() => Asked::End,
            _ = self.reload.recv() => Asked::Reload,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waits_double_up_to_the_last_and_begin_again() {
        let ms = Duration::from_millis;
        let mut backoff = Backoff::new(ms(50), ms(150));
        assert_eq!(
            [0; 4].map(|_| backoff.wait()),
            [ms(50), ms(100), ms(150), ms(150)]
        );
        backoff.reset();
        assert_eq!(backoff.wait(), ms(50));
    }
}
