//! Clients: what becomes of their requests when they leave, and where the ends of their tasks are told.

/// How a client leaves, or leaves one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leaving {
    /// It says nothing more (end of file): it went, or it still reads.
    Ended,
    /// It said nothing more a moment ago, and that moment is over.
    EndedLong,
    /// Its connection was reset, can't be written to, or was closed on it.
    Reset,
    /// It took the request back.
    Cancelled,
}

/// Where a request stands when its client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It came just now, and the module was not asked to place it yet.
    Fresh,
    /// It is between attempts, or waits for a machine that may take it.
    Held,
    /// Its attempt waits for a connection: not a byte of it left.
    Connecting,
    /// Its attempt is out.
    Out,
    /// It was placed, and stands.
    Standing,
    /// Nothing is owed for it any more.
    Over,
}

/// What becomes of a request whose client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parting {
    /// Nothing changes.
    Nothing,
    /// It may have its first attempt for a moment yet: a client that asks and says at once that it said all is
    /// served.
    Moment,
    /// It gets its final answer at once, which is written if the connection still takes it.
    Answer,
    /// Its attempt is taken back, and it gets its final answer at once.
    Recall,
    /// Its attempt may finish, and its answer is delivered; none follows.
    LastAttempt,
    /// No answer is owed; its attempt is given up, on the wire too where it left.
    GiveUp,
    /// Its task is ended at its host.
    End,
}

/// What becomes of a request whose client leaves? No attempt begins more than a moment after.
///
/// | it | ended | ended, a moment ago | reset | cancelled |
/// | --- | --- | --- | --- | --- |
/// | came just now | a moment | answer | given up | given up |
/// | held, or between attempts | answer | answer | given up | given up |
/// | its attempt connects | a moment | recall, answer | given up | given up |
/// | its attempt is out | last attempt | last attempt | given up | given up |
/// | stands | - | - | - | ended at its host |
/// | over | - | - | - | - |
pub fn parting(stage: Stage, leaving: Leaving) -> Parting {
    match (stage, leaving) {
        (Stage::Over, _) => Parting::Nothing,
        (Stage::Standing, Leaving::Cancelled) => Parting::End,
        (Stage::Standing, _) => Parting::Nothing,
        (_, Leaving::Reset | Leaving::Cancelled) => Parting::GiveUp,
        (Stage::Out, Leaving::Ended | Leaving::EndedLong) => Parting::LastAttempt,
        (Stage::Held, Leaving::Ended | Leaving::EndedLong) => Parting::Answer,
        (Stage::Fresh | Stage::Connecting, Leaving::Ended) => Parting::Moment,
        (Stage::Fresh, Leaving::EndedLong) => Parting::Answer,
        (Stage::Connecting, Leaving::EndedLong) => Parting::Recall,
    }
}

/// A client's connection on which the end of a task may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// Answers passed on it, and standing tasks handed over on it.
    pub answered: bool,
    /// It carried a set-up that could be used.
    pub good: bool,
    /// When it last said something.
    pub heard_at: u64,
}

/// On which connection is an end told whose own is gone? On one that carried answers, else on one that carried a good
/// set-up, the last heard of each; else on the next one that does.
pub fn which_route<T>(routes: impl Iterator<Item = (T, Route)>) -> Option<T> {
    let usable = routes.filter(|(_, route)| route.answered || route.good);
    usable
        .max_by_key(|(_, route)| (route.answered, route.heard_at))
        .map(|(id, _)| id)
}
