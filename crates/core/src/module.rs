//! The decision module: it decides where tasks go, by the events that it is told.

use reedring::{Action, Beliefs, Micros, Placer};

use crate::context::Context;

/// A clock in nanoseconds.
type Stopwatch = fn() -> u64;

/// The decision module, and how long it takes.
pub(crate) struct DecisionModule {
    placer: Placer,
    /// Times the module for the counters; decides nothing.
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

    /// Nanoseconds spent deciding.
    pub const fn spent_ns(&self) -> u64 {
        self.spent_ns
    }

    /// Decides on all that it was told since the last step.
    pub fn step(&mut self, now: Micros, cx: &mut Context) -> Vec<Action> {
        let (events, mut actions) = (cx.take_module_events(), Vec::new());
        let from = self.stopwatch.map(|clock| clock());
        self.placer.step(now, &events, &mut actions);
        if let Some((clock, from)) = self.stopwatch.zip(from) {
            self.spent_ns += clock().saturating_sub(from);
        }
        cx.stats.module_steps += 1;
        actions
    }

    /// What it has learned of nodes and of the site.
    pub fn beliefs(&self, now: Micros) -> Beliefs {
        self.placer.beliefs(now)
    }
}
