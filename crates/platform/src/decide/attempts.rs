//! Whether an attempt may have run at a host after the link that carried it ended.

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The host refused the connection, so nothing was sent on this link.
    Refused,
    /// The connection attempt timed out, or failed for another reason than a refusal.
    ConnectFailed,
    /// The link was established and ended without an error: the host closed its sending side (end of file) after whole
    /// messages, whether the link was idle or had attempts in flight. A link closed by the placer also ends like this once
    /// its host has closed it too, but the engine has removed it by then.
    Closed,
    /// The link was established and was not read to its end: the host closed its sending side in the middle of a message,
    /// or the placer gave the link up before the host had closed it.
    Incomplete,
    /// The link was established and ended with an error, or nothing could be written to it for too long. The placer
    /// also ends links to a host that left the endpoint list like this.
    Reset,
    /// The link was established, and the host sent input that can't be read.
    Unreadable,
}

/// Whether an attempt whose link ended may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte of the attempt was written: it may be sent on another link as the same attempt.
    Unsent,
    /// The link was refused or could not be established, so the attempt never ran. It is not sent again.
    NeverRan,
    /// At least one byte of the attempt was written, so it may have run.
    MayHaveRun,
}

/// Whether messages that a host sent on a link may not have been received, given how the link ended. A host that sent the
/// end of a task there repeats it only on the next link that it accepts.
pub fn may_have_lost_input(end: LinkEnd) -> bool {
    match end {
        LinkEnd::Refused | LinkEnd::ConnectFailed | LinkEnd::Closed => false,
        LinkEnd::Incomplete | LinkEnd::Reset | LinkEnd::Unreadable => true,
    }
}

/// Whether an attempt may have run, given how its link ended. `begun`: at least one byte of the attempt's message was
/// written.
pub fn execution_after(end: LinkEnd, begun: bool) -> Execution {
    match (end, begun) {
        (LinkEnd::Refused | LinkEnd::ConnectFailed, _) => Execution::NeverRan,
        (LinkEnd::Closed | LinkEnd::Incomplete | LinkEnd::Reset | LinkEnd::Unreadable, false) => {
            Execution::Unsent
        }
        (LinkEnd::Closed | LinkEnd::Incomplete | LinkEnd::Reset | LinkEnd::Unreadable, true) => {
            Execution::MayHaveRun
        }
    }
}
