//! The context that is passed to every component: the settings, the clock, and queues for the component's effects.
//!
//! A component changes only its own state. It adds any other effect to the context as a typed value: an [`Output`] for
//! the shell, a [`Timer`], or an event for the decision module. Effects take place in the order in which they were
//! added.

use std::collections::VecDeque;

use reedring::timers::Timers;
use reedring::{Event as ModuleEvent, Micros};
use reedring_drmaa::rpc::Stats;
use reedring_settings::{Class, Settings};

use crate::decide::Lag;
use crate::event::Event;
use crate::io::{Output, Start};
use crate::timers::Timer;

/// Converts between the monotonic time of this incarnation ([`Micros`]) and the time since 1970.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Start,
}

impl Clock {
    /// The time at which this incarnation started.
    pub const fn started_at(&self) -> Micros {
        self.start.now
    }

    /// The number of this incarnation of the placer.
    pub const fn incarnation(&self) -> u64 {
        self.start.incarnation
    }

    /// Converts a time into microseconds since 1970.
    pub const fn unix_us(&self, at: Micros) -> u64 {
        self.start
            .unix_us
            .saturating_add(at)
            .saturating_sub(self.start.now)
    }

    /// Converts a time into seconds since 1970.
    pub fn unix_seconds(&self, at: Micros) -> f64 {
        let since_start = at as f64 - self.start.now as f64;
        (self.start.unix_us as f64 + since_start) / 1e6
    }

    /// Converts microseconds since 1970 into the time of this incarnation. The result may be before the start, but not
    /// before 0.
    pub const fn at_unix_us(&self, unix_us: u64) -> Micros {
        self.start
            .now
            .saturating_add(unix_us)
            .saturating_sub(self.start.unix_us)
    }

    /// Converts microseconds since 1970 into the time of this incarnation; the time of the start if that is later.
    pub const fn at_unix_us_or_start(&self, unix_us: u64) -> Micros {
        self.start.now + unix_us.saturating_sub(self.start.unix_us)
    }
}

/// The settings, the clock, and the queues for effects.
pub(crate) struct Context {
    settings: Settings,
    clock: Clock,
    timers: Timers<Timer>,
    /// Events for the next step of the decision module.
    module_events: Vec<ModuleEvent>,
    /// Outputs that the shell has not taken yet.
    outbox: VecDeque<Output>,
    /// How late the loop and the disk were recently.
    lag: Lag,
    /// Counters for operators; no decision depends on them.
    pub stats: Stats,
}

impl Context {
    pub fn new(settings: Settings, start: Start) -> Self {
        Self {
            settings,
            clock: Clock { start },
            timers: Timers::default(),
            module_events: Vec::new(),
            outbox: VecDeque::new(),
            lag: Lag::default(),
            stats: Stats::default(),
        }
    }

    /// The settings in use: those of the settings file, restricted by the active configuration.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A class, by its index in the settings in use.
    pub fn class(&self, class: u16) -> &Class {
        &self.settings.classes[usize::from(class)]
    }

    /// Replaces the settings in use.
    pub fn replace_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    // ---- Effects ----

    /// Adds an output for the shell to carry out.
    pub fn output(&mut self, output: Output) {
        self.outbox.push_back(output);
    }

    /// Outputs a log event for operators.
    pub fn log(&mut self, event: Event) {
        self.output(Output::Event(event));
    }

    /// Sets a timer that comes due at `at`.
    pub fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.set(at, timer);
    }

    /// Adds an event for the decision module, which handles it in its next step.
    pub fn notify_module(&mut self, event: ModuleEvent) {
        self.module_events.push(event);
    }

    // ---- Taking effects out, for the loop of the core ----

    pub fn next_output(&mut self) -> Option<Output> {
        self.outbox.pop_front()
    }

    /// The time at which the next timer is due; `None` if no timer is set.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn next_timer(&mut self, now: Micros) -> Option<Timer> {
        self.timers.pop(now)
    }

    pub fn has_module_events(&self) -> bool {
        !self.module_events.is_empty()
    }

    pub fn take_module_events(&mut self) -> Vec<ModuleEvent> {
        std::mem::take(&mut self.module_events)
    }

    // ---- How late the placer is ----

    /// Records that the loop or the disk was `late_us` microseconds late.
    pub fn note_lag(&mut self, now: Micros, late_us: Micros) {
        self.lag.record(now, late_us);
    }

    /// How late the loop and the disk were recently, in microseconds.
    pub fn lag(&self, now: Micros) -> Micros {
        self.lag.at(now)
    }
}
