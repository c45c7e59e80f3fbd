//! The lines that a process prints, on either of its streams.

use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lines that an error shows.
const SHOWN_LINES: usize = 16;
/// Lines with this word are left out of errors: they only repeat, and would hide what led to them.
const REPEATED: &str = "holding";

/// Lines so far, and how many streams may bring more.
#[derive(Default)]
struct Lines {
    all: Vec<String>,
    open_streams: usize,
}

/// The output of one process, which threads read as it is printed.
#[derive(Clone, Default)]
pub(crate) struct Output {
    shared: Arc<(Mutex<Lines>, Condvar)>,
}

/// What was waited for did not happen.
pub(crate) struct NotSeen {
    /// What the process printed last.
    pub last_lines: String,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Lines> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a stream to its end, in a thread of its own.
    pub fn read(&self, stream: impl Read + Send + 'static) {
        self.lock().open_streams += 1;
        let output = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                output.lock().all.push(line);
                output.shared.1.notify_all();
            }
            output.lock().open_streams -= 1;
            output.shared.1.notify_all();
        });
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lock().all.clone()
    }

    /// How many lines there are so far.
    pub fn line_count(&self) -> usize {
        self.lock().all.len()
    }

    /// Waits for the first line from number `from` on that is wanted.
    pub fn wait_line(
        &self,
        from: usize,
        timeout: Duration,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Result<String, NotSeen> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.lock();
        let mut seen = from;
        loop {
            if let Some(line) = lines.all.iter().skip(seen).find(|line| is_wanted(line)) {
                return Ok(line.clone());
            }
            seen = lines.all.len().max(from);
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || lines.open_streams == 0 {
                return Err(NotSeen {
                    last_lines: last_lines(&lines.all),
                });
            }
            lines = self.wait(lines, left);
        }
    }

    /// Waits until all streams are closed; false where they are not in time.
    pub fn wait_closed(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut lines = self.lock();
        while lines.open_streams > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            lines = self.wait(lines, left);
        }
        true
    }

    fn wait<'a>(&self, lines: MutexGuard<'a, Lines>, timeout: Duration) -> MutexGuard<'a, Lines> {
        self.shared
            .1
            .wait_timeout(lines, timeout)
            .unwrap_or_else(PoisonError::into_inner)
            .0
    }
}

fn last_lines(all: &[String]) -> String {
    let telling: Vec<&str> = all
        .iter()
        .map(String::as_str)
        .filter(|line| !line.contains(REPEATED))
        .collect();
    telling[telling.len().saturating_sub(SHOWN_LINES)..].join("\n")
}
