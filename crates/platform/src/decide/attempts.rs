//! Did an attempt run whose link ended?

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The host refused the connection: proof that nothing was sent on this link.
    Refused,
    /// The connection timed out or could not be made at all.
    ConnectFailed,
    /// It was established and ended without an error: the host closed its sending side (end of file), whether the link
    /// was idle or had attempts in flight. A link that the placer closed ends so too, once all is written; the engine
    /// has forgotten it by then.
    Closed,
    /// It was established, and an error ended it, or nothing could be written to it for too long. Links to a host that
    /// left the endpoint list are ended so by the placer.
    Reset,
    /// It was established, and the host sent what can't be read.
    Unreadable,
}

/// What is known of an attempt whose link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte of it was written: it may be sent on another link as the same attempt.
    Unsent,
    /// Its link was refused or could not be made, so it never ran. It is not sent again.
    NeverRan,
    /// Some of it was written, so it may have run.
    MayHaveRun,
}

/// What is known of an attempt after its link ended. `begun`: at least one byte of its message was written.
pub fn execution_after(end: LinkEnd, begun: bool) -> Execution {
    match (end, begun) {
        (LinkEnd::Refused | LinkEnd::ConnectFailed, _) => Execution::NeverRan,
        (LinkEnd::Closed | LinkEnd::Reset | LinkEnd::Unreadable, false) => Execution::Unsent,
        (LinkEnd::Closed | LinkEnd::Reset | LinkEnd::Unreadable, true) => Execution::MayHaveRun,
    }
}
