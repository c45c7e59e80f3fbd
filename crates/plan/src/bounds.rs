//! What a plan binds: the figures and words of its text that two placers must not act on differently.

use std::collections::BTreeMap;

use reedring_node_protocol::{Group, Repeat};

/// When a task that was placed and lost comes again, from the freest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatPolicy {
    /// Whenever it is lost.
    Always,
    /// Where its end is known.
    Ended,
    /// Never.
    Never,
}

/// Over what the tasks of a service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadDomain {
    /// Machines.
    Machine,
    /// Racks.
    Rack,
    /// Halls.
    Hall,
}

/// What is told of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassBounds {
    /// What a second start may do.
    pub repeat: Repeat,
    /// Where a keyed task may be sent again: within this group of its first attempt.
    pub resend: Group,
    /// Which nodes drop repeats of a keyed task.
    pub drops: Group,
    /// For how long, in microseconds.
    pub window_us: Option<u64>,
    /// The only kind of machine that serves it.
    pub kind: Option<String>,
    /// Tasks of one service in one place at most.
    pub spread: Option<(SpreadDomain, u32)>,
    /// Whether a lost task comes again.
    pub again: RepeatPolicy,
    /// It takes new tasks.
    pub open: bool,
}

/// What a plan binds. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Placers that share the nodes.
    pub placers: u32,
    /// A node accepts until asks reach these multiples of its cores and memory.
    pub accepts: (f64, f64),
    /// Attempts at one placing of a task at most.
    pub max_attempts: u32,
    /// Nothing new reaches a node later than this after its drain was told.
    pub drain_grace_us: u64,
    /// A node is warm this long after its start.
    pub warm_after_us: Option<u64>,
    /// The window in which offers to a cold node are counted.
    pub cold_window_us: Option<u64>,
    /// Offers in that window, by all placers, that a cold node survives.
    pub cold_offers: Option<f64>,
    /// A node's yes means that the task runs.
    pub yes_when_running: bool,
    /// Classes, by name.
    pub classes: BTreeMap<String, ClassBounds>,
    /// Cores and memory of each kind of machine, by name.
    pub kinds: BTreeMap<String, (f64, f64)>,
}
