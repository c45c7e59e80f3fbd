//! Did an attempt run whose link ended?

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// The host refused the connection: proof that nothing ran.
    Refused,
    /// The connection timed out or could not be made at all.
    ConnectFailed,
    /// It was established, and the host closed it in good order, as one that is idle.
    Closed,
    /// It was established, and was reset.
    Reset,
    /// It was established, and the host sent what can't be read.
    Unreadable,
}

/// What is known of an attempt whose link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte of it was written: it may be sent on another link as the same attempt.
    Unsent,
    /// It could not be sent, and the machine does not answer.
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
