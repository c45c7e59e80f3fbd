//! The part of a configuration on which two placers must not act differently.

use std::collections::BTreeMap;

use reedring_node_protocol::{DeduplicationScope, Idempotency};

/// When a task that was placed and then lost is scheduled again, from the most to the least permissive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReschedulePolicy {
    /// Whenever it is lost.
    Always,
    /// Only where the lost attempt is known to have ended.
    AfterKnownEnd,
    /// Never.
    Never,
}

/// The failure domain over which the tasks of a service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadDomain {
    /// Machines.
    Machine,
    /// Racks.
    Rack,
    /// Zones (`hall` in settings files).
    Zone,
}

/// How many tasks of one service a failure domain may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadLimit {
    /// The failure domain that is counted.
    pub domain: SpreadDomain,
    /// Tasks of one service in one such domain, at most.
    pub max_per_domain: u32,
}

/// An amount of each resource, or a factor on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// Memory, in the unit of the settings file.
    pub memory: f64,
}

impl Resources {
    /// The smaller of both in each resource.
    pub(super) fn min(self, other: Self) -> Self {
        Self {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }
}

/// The bounds of one class of tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassBounds {
    /// What a second start of the same task may do.
    pub repeat: Idempotency,
    /// Where a task that is idempotent by key may be retried: within this group of its first attempt.
    pub retry_group: DeduplicationScope,
    /// Which nodes deduplicate attempts of a task that is idempotent by key.
    pub deduplication_group: DeduplicationScope,
    /// For how long they do, in microseconds; `None` where the class is not idempotent by key.
    pub deduplication_window_us: Option<u64>,
    /// The only kind of machine that may run it.
    pub machine_kind: Option<String>,
    /// How its services are spread.
    pub spread: Option<SpreadLimit>,
    /// Whether a lost task is scheduled again.
    pub rescheduling: ReschedulePolicy,
    /// Whether it takes new tasks.
    pub accepts_new_tasks: bool,
}

/// The bounds of a configuration. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigBounds {
    /// Placers that share the nodes.
    pub placers: u32,
    /// A node accepts tasks until their requests reach these multiples of its resources.
    pub overcommit: Resources,
    /// Attempts at one placing of a task, at most.
    pub max_attempts: u32,
    /// Nothing new reaches a node later than this after its drain was announced.
    pub drain_grace_us: u64,
    /// A node is warming up for this long after its start.
    pub warm_up_us: Option<u64>,
    /// The window in which offers to a node that is warming up are counted.
    pub slow_start_window_us: Option<u64>,
    /// Offers in that window, by all placers together, that such a node withstands.
    pub slow_start_offers: Option<f64>,
    /// A node's acceptance means that the task runs, not only that it was taken.
    pub accept_means_running: bool,
    /// Classes, by name.
    pub classes: BTreeMap<String, ClassBounds>,
    /// The size of each kind of machine, by name.
    pub machine_kinds: BTreeMap<String, Resources>,
}
