//! Log lines for the staff, at a bounded rate.

use crate::api::{Action, Micros};

/// Microseconds between two log lines at least; lines that come sooner are dropped.
const LOG_INTERVAL_US: Micros = 2_000_000;

/// The limiter of log lines.
#[derive(Default)]
pub(super) struct OperatorLog {
    last_line_at: Option<Micros>,
}

impl OperatorLog {
    /// Emits a line, unless one was emitted a moment ago.
    pub fn write(&mut self, now: Micros, line: String, actions: &mut Vec<Action>) {
        if self
            .last_line_at
            .is_none_or(|at| at + LOG_INTERVAL_US <= now)
        {
            self.last_line_at = Some(now);
            actions.push(Action::Log(line));
        }
    }
}
