//! What becomes of the requests of a client that departs, and which client is notified of the end of a task.

/// How a client departs, or gives up one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDeparture {
    /// It closed its sending side (end of file): it closed both sides, or it still reads.
    EndOfStream,
    /// It closed its sending side, and the grace period after that is over.
    GraceOver,
    /// Its connection was reset, can't be written to, or was closed by the placer.
    Reset,
    /// It cancelled the request.
    Cancelled,
}

/// How far a request is when its client departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// It was received and not yet submitted to the decision module.
    Received,
    /// It is between attempts, or waits for a machine that may accept it.
    Queued,
    /// Its attempt waits for a link: no byte of it was written.
    Connecting,
    /// Its attempt is in flight.
    InFlight,
    /// Its task runs.
    Running,
    /// Nothing is owed to its client any more.
    Done,
}

/// What is done with a request whose client departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAction {
    /// Nothing.
    Nothing,
    /// Keep it for the grace period: a client that sends a request and closes its sending side at once is served.
    AllowGrace,
    /// Have it answered at once; the answer is written if the connection still takes it.
    Answer,
    /// Take its attempt back from the link that is being made, and have it answered at once.
    RecallAndAnswer,
    /// Let its attempt finish and deliver the answer; no other attempt follows.
    FinishAttempt,
    /// Owe no answer. An attempt that waits for its link is taken back; one that was sent is left to the decision
    /// module, which is told that the request was withdrawn. It may stop the attempt, where the settings let it;
    /// otherwise the attempt ends as any other, and a task that its host accepts by then is stopped.
    Abandon,
    /// Stop its task at its host.
    StopTask,
}

/// What is done with a request whose client departs. No attempt begins later than the grace period after it.
///
/// | request | end of stream | grace over | reset | cancelled |
/// | --- | --- | --- | --- | --- |
/// | received | allow grace | answer | abandon | abandon |
/// | queued, or between attempts | answer | answer | abandon | abandon |
/// | its attempt waits for a link | allow grace | recall and answer | abandon | abandon |
/// | its attempt is in flight | finish attempt | finish attempt | abandon | abandon |
/// | its task runs | - | - | - | stop task |
/// | done | - | - | - | - |
pub fn departure_action(stage: RequestStage, departure: ClientDeparture) -> DepartureAction {
    use ClientDeparture::{Cancelled, EndOfStream, GraceOver, Reset};
    match (stage, departure) {
        (RequestStage::Done, _) => DepartureAction::Nothing,
        (RequestStage::Running, Cancelled) => DepartureAction::StopTask,
        (RequestStage::Running, _) => DepartureAction::Nothing,
        (_, Reset | Cancelled) => DepartureAction::Abandon,
        (RequestStage::InFlight, EndOfStream | GraceOver) => DepartureAction::FinishAttempt,
        (RequestStage::Queued, EndOfStream | GraceOver) => DepartureAction::Answer,
        (RequestStage::Received | RequestStage::Connecting, EndOfStream) => {
            DepartureAction::AllowGrace
        }
        (RequestStage::Received, GraceOver) => DepartureAction::Answer,
        (RequestStage::Connecting, GraceOver) => DepartureAction::RecallAndAnswer,
    }
}

/// A client's connection on which the end of a task may be notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotificationRoute {
    /// Answers were sent on it, or running tasks were handed over on it.
    pub was_answered: bool,
    /// It carried a valid request.
    pub sent_valid_request: bool,
    /// When it last sent something.
    pub last_received: u64,
}

/// The connection for the end of a task whose own connection is gone: one that carried answers, else one that carried
/// a valid request, of each the one that sent something last. `None`: the end waits for the next client that does.
pub fn choose_route<T>(routes: impl Iterator<Item = (T, NotificationRoute)>) -> Option<T> {
    let usable = routes.filter(|(_, route)| route.was_answered || route.sent_valid_request);
    usable
        .max_by_key(|(_, route)| (route.was_answered, route.last_received))
        .map(|(id, _)| id)
}
