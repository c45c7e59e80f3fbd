//! The messages, in the words of the field.

use crate::delta::Delta;
use crate::versions::{AcceptorReport, ConfigRequest, ConfigVersion, VersionStamp};

/// One attempt to place a task: the life of the placer that made it, its request there, its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The placer's life; a placer that is started again has another.
    pub life: u64,
    /// The request, within that life.
    pub request: u64,
    /// The attempt, within that request, from 0.
    pub number: u16,
}

/// What a second start of a task may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeat {
    /// No harm.
    Safe,
    /// A node of the group drops it while it remembers the first.
    Keyed,
    /// Harm: it must never happen.
    #[default]
    Unsafe,
}

/// The nodes that drop each other's repeats of a keyed task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// Those of one hall.
    Hall,
    /// Those of one rack.
    #[default]
    Rack,
}

/// A task as a node is told of it. A node gives it back unchanged in [`Held`], so that a placer that
/// lost its memory knows what it placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    /// The session of its submitter.
    pub session: String,
    /// The job.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Whose it is.
    pub tenant: String,
    /// Its service: tasks of one program.
    pub service: String,
    /// What a second start may do.
    pub repeat: Repeat,
    /// Who drops repeats.
    pub group: Group,
    /// Milliseconds for which repeats are dropped, from the first that may have run.
    pub window_ms: u32,
    /// The key that repeats share.
    pub key: u64,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// Milliseconds that it should run; 0 where that is not known.
    pub life_ms: u64,
    /// What to run, opaque to the protocol: the job's DRMAA spec as JSON.
    pub payload: Vec<u8>,
}

/// Why a node refuses an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Not told.
    Untold,
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many offers wait.
    Crowded,
    /// It drains.
    Draining,
    /// A copy of the keyed task stands, or stood within its window.
    CopyStands,
    /// The offer came too late to be answered in its time.
    TooLate,
    /// The offer is not for this node: kind, class or form.
    NotHere,
    /// The offer was decided by a plan that is under the node's floor, or that the node was not told of yet.
    /// Told only to placers that say by which plan they decide.
    Superseded,
}

impl Reason {
    /// Every reason, in the order of its code on the wire.
    pub const ALL: [Self; 9] = [
        Self::Untold,
        Self::NoCores,
        Self::NoMemory,
        Self::Crowded,
        Self::Draining,
        Self::CopyStands,
        Self::TooLate,
        Self::NotHere,
        Self::Superseded,
    ];

    /// The word for operators.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Untold => "untold",
            Self::NoCores => "no cores",
            Self::NoMemory => "no memory",
            Self::Crowded => "crowded",
            Self::Draining => "draining",
            Self::CopyStands => "copy stands",
            Self::TooLate => "too late",
            Self::NotHere => "not here",
            Self::Superseded => "superseded",
        }
    }
}

/// How a task that a node had accepted ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It exited by itself, with this status.
    Exited(u8),
    /// A signal of this number ended it.
    Signaled(u8),
    /// The node ran out of memory and evicted it.
    Evicted,
    /// A task of higher priority pushed it out.
    PushedOut,
    /// The node drains and sent it away.
    SentAway,
    /// The placer stopped it.
    Stopped,
    /// The node could not run it.
    Error(String),
    /// The node knows no such attempt: it was never accepted, and will not be.
    Unknown,
}

/// News of a task that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// It runs.
    Runs,
    /// Cores it uses.
    Cores,
    /// Memory it uses.
    Memory,
    /// Fraction of full service that it gets.
    Served,
    /// Fraction of the node's memory in use.
    Pressure,
    /// It is suspended.
    Suspended,
    /// It goes on.
    Resumed,
}

impl Topic {
    /// Every topic, in the order of its code on the wire, which starts at 1.
    pub const ALL: [Self; 7] = [
        Self::Runs,
        Self::Cores,
        Self::Memory,
        Self::Served,
        Self::Pressure,
        Self::Suspended,
        Self::Resumed,
    ];
}

/// The state of a task that a node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldState {
    /// Offered and not decided yet: it waits in the line of offers.
    Waiting,
    /// Accepted, not running yet.
    Accepted,
    /// Running.
    Running,
    /// Suspended.
    Suspended,
    /// Over, and the placer has not acknowledged it yet.
    Ended {
        /// How.
        end: End,
        /// It ran, or may have.
        ran: bool,
    },
}

/// A task that a node holds for a placer.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The attempt that brought it.
    pub attempt: AttemptId,
    /// The task, as it was offered.
    pub task: Task,
    /// Its state.
    pub state: HeldState,
}

/// A message, either way.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Placer to node, first on each link: who calls. A newer link of the same placer ends the older
    /// one; a node drops what it has not yet read from that.
    Hello {
        /// The placer's name, which outlives restarts.
        placer: String,
        /// Its life.
        life: u64,
        /// Counts its links to this node, from 1; larger is newer.
        link: u64,
        /// By what it decides, and its build; from version 2 on.
        acts: Option<(VersionStamp, String)>,
    },
    /// Placer to node: take this task?
    Offer {
        /// The attempt.
        attempt: AttemptId,
        /// The task.
        task: Box<Task>,
        /// Milliseconds within which an answer is of use; 0 without a bound.
        within_ms: u32,
        /// By what it was decided; from version 2 on.
        stamp: Option<VersionStamp>,
    },
    /// Placer to node, from version 2 on: what concerns the plans that the node keeps.
    ConfigRequest(ConfigRequest),
    /// Placer to node: give the attempt up. It is answered by [`Message::Ended`].
    Stop {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: report your load.
    Probe {
        /// Comes back in the report.
        nonce: u64,
    },
    /// Placer to node: suspend a running task.
    Suspend {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: let a suspended task go on.
    Resume {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: the end of this attempt is known and can be forgotten.
    Ack {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Node to placer, first on each link.
    Welcome {
        /// The node's name.
        node: String,
        /// The node's life; one that was started again has another and holds nothing of the one before.
        life: u64,
        /// Milliseconds since its start.
        up_ms: u64,
        /// It can suspend tasks.
        can_suspend: bool,
        /// What it keeps of plans; from version 2 on.
        record: Option<AcceptorReport>,
    },
    /// Node to placer, from version 2 on: what it keeps of plans, each time that changes and when it is asked.
    AcceptorReport(AcceptorReport),
    /// Node to placer, from version 2 on: the text of a plan; empty where it has none of that digest.
    ConfigText {
        /// The plan.
        version: ConfigVersion,
        /// Its text.
        text: String,
    },
    /// Node to placer, from version 3 on: in place of a plan's text, what changed from the plan that the placer has.
    ConfigDelta(Delta),
    /// Node to placer, after the welcome: what it holds for this placer, in as many messages as it takes.
    Holds {
        /// The tasks.
        held: Vec<Held>,
        /// No more follow.
        last: bool,
    },
    /// Node to placer: the task was accepted or, where the site says so, runs.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// Load report; empty where none is made.
        report: Vec<f64>,
    },
    /// Node to placer: the task was not taken and never ran.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: Reason,
        /// Why, for the staff; may be empty.
        text: String,
        /// Load report.
        report: Vec<f64>,
    },
    /// Node to placer: news of a task.
    Note {
        /// The attempt.
        attempt: AttemptId,
        /// What about.
        topic: Topic,
        /// How much, where the topic has an amount.
        amount: f64,
    },
    /// Node to placer: an accepted or stopped attempt is over. Sent again on each link until acknowledged.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: End,
        /// It ran, or may have.
        ran: bool,
        /// Load report.
        report: Vec<f64>,
    },
    /// Node to placer: the answer to a probe.
    Report {
        /// Of the probe.
        nonce: u64,
        /// Load report.
        report: Vec<f64>,
    },
}
