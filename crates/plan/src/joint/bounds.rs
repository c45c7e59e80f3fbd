//! The part of a configuration in which two placers must not differ.

use std::collections::BTreeMap;

use reedring_node_protocol::{DeduplicationScope, Idempotency};

/// When a task that was placed and then lost is scheduled again, from the most to the least permissive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReschedulePolicy {
    /// Whenever the task is lost.
    Always,
    /// Only if the lost attempt is known to have ended.
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

/// How many tasks of one service a failure domain may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadLimit {
    /// The failure domain that is counted.
    pub domain: SpreadDomain,
    /// The largest number of tasks of one service in one such domain.
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
    /// The smaller amount of each resource.
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
    /// Whether the same task may be started a second time.
    pub repeat: Idempotency,
    /// A task that is idempotent by key is retried only within this group of its first attempt.
    pub retry_group: DeduplicationScope,
    /// The group of nodes that deduplicates attempts of a task that is idempotent by key.
    pub deduplication_group: DeduplicationScope,
    /// How long these nodes deduplicate attempts, in microseconds; `None` if the class is not idempotent by key.
    pub deduplication_window_us: Option<u64>,
    /// The only kind of machine that may run the class; `None` if any kind may.
    pub machine_kind: Option<String>,
    /// The limit on tasks per failure domain for services of the class; `None` without a limit.
    pub spread: Option<SpreadLimit>,
    /// When a lost task is scheduled again.
    pub rescheduling: ReschedulePolicy,
    /// Whether new tasks of the class are accepted.
    pub accepts_new_tasks: bool,
}

/// The bounds of a configuration. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigBounds {
    /// The number of placers that share the nodes.
    pub placers: u32,
    /// A node accepts tasks until their requested resources reach its own resources times these factors.
    pub overcommit: Resources,
    /// The largest number of attempts at one placing of a task.
    pub max_attempts: u32,
    /// The time after the announcement of a node's drain within which the last new tasks reach the node.
    pub drain_grace_us: u64,
    /// How long a node is warming up after its start.
    pub warm_up_us: Option<u64>,
    /// The window in which offers to a node that is warming up are counted.
    pub slow_start_window_us: Option<u64>,
    /// How many offers by all placers together a node that is warming up can take within that window.
    pub slow_start_offers: Option<f64>,
    /// Whether a node's acceptance means that the task runs; otherwise it means only that the node has taken the task.
    pub accept_means_running: bool,
    /// The bounds of each class, by its name.
    pub classes: BTreeMap<String, ClassBounds>,
    /// The size of each kind of machine, by the name of the kind.
    pub machine_kinds: BTreeMap<String, Resources>,
}
