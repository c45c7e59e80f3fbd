//! What the core's timers are for.

use reedring::AttemptId;

/// What a timer is for. None is ever withdrawn: what it asks is checked when it comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// One of the module's own.
    Module(u64),
    /// The time of an attempt is over.
    Attempt(AttemptId),
    /// A node's word on a stopped attempt is overdue.
    StopWait(AttemptId),
    /// The fate of what was on a cut link counts as unknown now; the number is the link's.
    Reattach { node: u32, link: u64 },
    /// What was accepted over a link that is still down counts as lost now.
    LinkLost { node: u32, link: u64 },
    /// Nodes that were kept back are told of.
    Lines,
    /// What is known of plans is looked at.
    Plans,
    /// A cold node's offers are looked at: some may be unanswered for too long, or none any more.
    Cold(u32),
    /// A probe is overdue.
    Probe(u64),
    /// A job's start time has come, or the wait of a lost one is over.
    Ask(u64),
    /// A job's last moment to be placed.
    GiveUp { job: u64, request: u64 },
    /// A job has run for as long as it may.
    WallLimit(u64),
    /// A client has waited long enough.
    Wait { session: u32, call: u64 },
    /// Repeated submissions wait no longer for nodes to say what they hold.
    Settle,
    /// Jobs that are over are forgotten.
    Sweep,
    /// What was learned is to be kept.
    Learn,
    /// A job of a former life is looked at, for the last time or not.
    Recover { job: u64, last: bool },
}
