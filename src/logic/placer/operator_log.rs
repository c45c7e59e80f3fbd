//! Log lines for operators, at a limited rate.

use crate::api::{Action, Micros};

/// Minimum time in microseconds between two log lines; lines that come sooner are dropped.
const LOG_INTERVAL_US: Micros = 2_000_000;

/// Limits the rate of log lines.
#[derive(Default)]
pub(super) struct OperatorLog {
    last_line_at: Option<Micros>,
}

impl OperatorLog {
    /// Returns a line as an [`Action::Log`], or drops it if the last one is younger than
    /// [`LOG_INTERVAL_US`].
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
