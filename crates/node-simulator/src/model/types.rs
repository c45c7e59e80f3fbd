//! What a node is made of: jobs, offers in line, placers that it holds tasks for.

use std::collections::{BTreeMap, BTreeSet};

use reedring_node_protocol::{AttemptId, Message, Task, TaskEnd, VersionStamp};

/// A link, as the shell numbers it.
pub type LinkId = u64;

/// What a node does to the outside, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message on a link.
    Send(LinkId, Message),
    /// Close a link.
    Close(LinkId),
    /// It fell over under starts while cold, and stays down.
    FellOver,
}

/// Troubles that a script can switch on and off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// It takes asks and answers none.
    pub hangs: bool,
    /// It never answers asks of these classes.
    pub deaf_to: BTreeSet<String>,
    /// It refuses asks of these tenants and names no reason.
    pub throttles: BTreeSet<String>,
    /// Each start takes this many times longer; 0 counts as 1.
    pub slow: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) enum State {
    /// Accepted; waits for one of the places to start in.
    Queued,
    Starting,
    Running,
    Suspended {
        left_us: u64,
    },
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) placer: String,
    pub(super) task: Task,
    pub(super) state: State,
    /// When its start or its life is over.
    pub(super) until_us: u64,
    pub(super) life_us: u64,
    pub(super) end: TaskEnd,
    pub(super) uses: f64,
    pub(super) order: u64,
}

#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) attempt: AttemptId,
    pub(super) placer: String,
    pub(super) task: Task,
    pub(super) too_late_us: u64,
    pub(super) stamp: Option<VersionStamp>,
}

#[derive(Debug, Default)]
pub(super) struct Placer {
    pub(super) link: Option<LinkId>,
    /// By what it acts, where it says so.
    pub(super) stamp: Option<VersionStamp>,
    /// Lives and link numbers only go up; what is older is not read any more.
    pub(super) newest: (u64, u64),
    /// Ends that it has not acknowledged.
    pub(super) ends: BTreeMap<AttemptId, (Task, TaskEnd, bool)>,
}
