//! Attempts: did one run whose connection ended?

/// How a connection to a host ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Nobody listens there: proof that nothing ran.
    Refused,
    /// It did not come up in time, or could not be made at all.
    Unmade,
    /// It stood, and its other end closed it in good order, as one that is idle.
    Closed,
    /// It stood, and was reset.
    Broke,
    /// It stood, and carried what can't be read.
    Spoilt,
}

/// What is known of an attempt whose connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Not a byte of it left: it may be sent on another connection as the same attempt.
    Unsent,
    /// It could not be sent, and the machine does not answer.
    NeverRan,
    /// Some of it left, so it may have run.
    MayHaveRun,
}

/// Did an attempt run? `begun` says whether a byte of its set-up left.
pub fn did_it_run(down: Down, begun: bool) -> Execution {
    match (down, begun) {
        (Down::Refused | Down::Unmade, _) => Execution::NeverRan,
        (Down::Closed | Down::Broke | Down::Spoilt, false) => Execution::Unsent,
        (Down::Closed | Down::Broke | Down::Spoilt, true) => Execution::MayHaveRun,
    }
}
