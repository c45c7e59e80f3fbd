//! What every component is given beside its own state: the settings, the clock, and the places for its effects.
//!
//! A component changes its own state and nothing else. Whatever else is to happen it pushes here, as a typed value:
//! an [`Output`] for the shell, a [`Timer`], or an event for the decision module. The order in which components push
//! is the order in which effects take place.

use std::collections::VecDeque;

use reedring::timers::Timers;
use reedring::{Event as ModuleEvent, Micros};
use reedring_drmaa::rpc::Stats;
use reedring_settings::{Class, Settings};

use crate::decide::Lag;
use crate::event::Event;
use crate::io::{Output, Start};
use crate::timers::Timer;

/// The time of this incarnation beside the time of day.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Start,
}

impl Clock {
    /// When this incarnation started.
    pub const fn started_at(&self) -> Micros {
        self.start.now
    }

    /// This incarnation of the placer.
    pub const fn incarnation(&self) -> u64 {
        self.start.incarnation
    }

    /// Microseconds since 1970 at a moment.
    pub const fn unix_us(&self, at: Micros) -> u64 {
        self.start
            .unix_us
            .saturating_add(at)
            .saturating_sub(self.start.now)
    }

    /// Seconds since 1970 at a moment.
    pub fn unix_seconds(&self, at: Micros) -> f64 {
        let since = at as f64 - self.start.now as f64;
        (self.start.unix_us as f64 + since) / 1e6
    }

    /// The moment of a time of day, also of one long before the start where the clock began late enough.
    pub const fn at_unix_us(&self, unix_us: u64) -> Micros {
        self.start
            .now
            .saturating_add(unix_us)
            .saturating_sub(self.start.unix_us)
    }

    /// The moment of a time of day, or the start where that is later.
    pub const fn at_unix_us_or_start(&self, unix_us: u64) -> Micros {
        self.start.now + unix_us.saturating_sub(self.start.unix_us)
    }
}

/// The settings, the clock, and the places for effects.
pub(crate) struct Context {
    settings: Settings,
    clock: Clock,
    timers: Timers<Timer>,
    module_events: Vec<ModuleEvent>,
    outbox: VecDeque<Output>,
    lag: Lag,
    /// Counters for operators; they decide nothing.
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

    /// The settings in use: those of the settings file, bound by the active configuration.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// A class of the settings in use, by its number there.
    pub fn class(&self, class: u16) -> &Class {
        &self.settings.classes[usize::from(class)]
    }

    /// Uses other settings from now on.
    pub fn replace_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    pub const fn clock(&self) -> &Clock {
        &self.clock
    }

    // ---- Effects ----

    /// Has the shell carry something out.
    pub fn output(&mut self, output: Output) {
        self.outbox.push_back(output);
    }

    /// Records an event for operators.
    pub fn log(&mut self, event: Event) {
        self.output(Output::Event(event));
    }

    /// Has a timer come due.
    pub fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.set(at, timer);
    }

    /// Has the decision module decide on an event, with the next flush.
    pub fn notify_module(&mut self, event: ModuleEvent) {
        self.module_events.push(event);
    }

    // ---- What the loop takes out ----

    pub fn next_output(&mut self) -> Option<Output> {
        self.outbox.pop_front()
    }

    /// When the next timer is due.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.timers.next()
    }

    /// The next timer that is due.
    pub fn next_timer(&mut self, now: Micros) -> Option<Timer> {
        self.timers.pop(now)
    }

    pub fn has_module_events(&self) -> bool {
        !self.module_events.is_empty()
    }

    pub fn take_module_events(&mut self) -> Vec<ModuleEvent> {
        std::mem::take(&mut self.module_events)
    }

    // ---- How far the placer is behind ----

    /// The loop or the disk was late by so much.
    pub fn note_lag(&mut self, now: Micros, late_us: Micros) {
        self.lag.record(now, late_us);
    }

    /// How far the loop and the disk were behind lately.
    pub fn lag(&self, now: Micros) -> Micros {
        self.lag.at(now)
    }
}
