//! The decision module, which chooses nodes for tasks based on the events it receives.

use reedring::{Action, Beliefs, Micros, Placer};

use crate::context::Context;

/// A function that returns the current time of some monotonic clock, in nanoseconds.
type Stopwatch = fn() -> u64;

/// Runs the decision module, and measures its run time.
pub(crate) struct DecisionModule {
    placer: Placer,
    /// Measures the run time for the counters, if it is set; no decision depends on it.
    stopwatch: Option<Stopwatch>,
    spent_ns: u64,
}

impl DecisionModule {
    pub const fn new(placer: Placer) -> Self {
        Self {
            placer,
            stopwatch: None,
            spent_ns: 0,
        }
    }

    pub fn set_stopwatch(&mut self, stopwatch: Stopwatch) {
        self.stopwatch = Some(stopwatch);
    }

    /// Total run time of the decision module in nanoseconds; 0 if no stopwatch is set.
    pub const fn spent_ns(&self) -> u64 {
        self.spent_ns
    }

    /// Runs one step of the decision module on the events since the last step; returns the actions to carry out.
    pub fn step(&mut self, now: Micros, cx: &mut Context) -> Vec<Action> {
        let (events, mut actions) = (cx.take_module_events(), Vec::new());
        let started_ns = self.stopwatch.map(|clock| clock());
        self.placer.step(now, &events, &mut actions);
        if let Some((clock, started_ns)) = self.stopwatch.zip(started_ns) {
            self.spent_ns += clock().saturating_sub(started_ns);
        }
        cx.stats.module_steps += 1;
        actions
    }

    /// The beliefs of the decision module at `now`: its estimates about single nodes and about the fleet.
    pub fn beliefs(&self, now: Micros) -> Beliefs {
        self.placer.beliefs(now)
    }
}
