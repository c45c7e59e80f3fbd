//! What is done with the requests of a client that departs, and which connection is notified of the end of a task.

/// How a client departs, or cancels one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDeparture {
    /// The client closed its sending side (end of file): either it closed both sides, or it still reads.
    EndOfStream,
    /// The client closed its sending side, and the grace period after that is over.
    GraceExpired,
    /// The connection was reset, can't be written to, or was closed by the placer.
    Reset,
    /// The client cancelled the request.
    Cancelled,
}

/// The stage of a request when its client departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// The request was received and not yet submitted to the decision module.
    Received,
    /// The request is between attempts, or waits for a machine that may accept it.
    Queued,
    /// An attempt of the request waits for a link to be established: no byte of it was written.
    Connecting,
    /// An attempt of the request was sent and not answered yet.
    InFlight,
    /// The task of the request runs.
    Running,
    /// The client of the request gets no further message about it.
    Done,
}

/// What is done with a request whose client departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureAction {
    /// Leave the request as it is.
    Nothing,
    /// Keep the request for the grace period: a client that sends a request and closes its sending side at once is
    /// served.
    AllowGrace,
    /// Request the final answer at once; it is written if the connection still accepts it.
    Answer,
    /// Recall the attempt from the link that is being established, and request the final answer at once.
    RecallAndAnswer,
    /// Let the attempt finish and deliver the answer; no other attempt follows.
    FinishAttempt,
    /// Close the request without an answer. An attempt that waits for its link is recalled. The decision module is
    /// notified that the request was withdrawn and may stop an attempt that was sent, if the settings allow it;
    /// otherwise the attempt ends as any other, and a task that its host accepts afterwards is stopped.
    Abandon,
    /// Stop the task at its host.
    StopTask,
}

/// What is done with a request whose client departs. No attempt begins later than the grace period after the departure.
///
/// | request | end of stream | grace expired | reset | cancelled |
/// | --- | --- | --- | --- | --- |
/// | received | allow grace | answer | abandon | abandon |
/// | queued, or between attempts | answer | answer | abandon | abandon |
/// | attempt waits for a link | allow grace | recall and answer | abandon | abandon |
/// | attempt in flight | finish attempt | finish attempt | abandon | abandon |
/// | task runs | nothing | nothing | nothing | stop task |
/// | done | nothing | nothing | nothing | nothing |
pub fn departure_action(stage: RequestStage, departure: ClientDeparture) -> DepartureAction {
    use ClientDeparture::{Cancelled, EndOfStream, GraceExpired, Reset};
    match (stage, departure) {
        (RequestStage::Done, _) => DepartureAction::Nothing,
        (RequestStage::Running, Cancelled) => DepartureAction::StopTask,
        (RequestStage::Running, _) => DepartureAction::Nothing,
        (_, Reset | Cancelled) => DepartureAction::Abandon,
        (RequestStage::InFlight, EndOfStream | GraceExpired) => DepartureAction::FinishAttempt,
        (RequestStage::Queued, EndOfStream | GraceExpired) => DepartureAction::Answer,
        (RequestStage::Received | RequestStage::Connecting, EndOfStream) => {
            DepartureAction::AllowGrace
        }
        (RequestStage::Received, GraceExpired) => DepartureAction::Answer,
        (RequestStage::Connecting, GraceExpired) => DepartureAction::RecallAndAnswer,
    }
}

/// What shows that the client of a connection owns running tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskOwnership {
    /// Nothing.
    #[default]
    None,
    /// The client says so: it handed over a task, or ended one, of which no host has sent anything.
    Claimed,
    /// A host has confirmed a task of the client: one that was placed for it, that it handed over, or that it ended.
    Confirmed,
}

/// A client's connection on which the end of a task may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotificationRoute {
    /// What the connection has shown of its client's tasks.
    pub ownership: TaskOwnership,
    /// Whether the connection carried a valid request.
    pub sent_valid_request: bool,
    /// When the client was last active on the connection, in microseconds.
    pub last_received: u64,
}

/// The connections for the end of a task whose own connection is gone: one whose client owns confirmed tasks; else each one
/// whose client claims to own tasks, as nothing tells which of them does; else one that carried a valid request. Among equals
/// the one that was active last. Empty if there is no such connection: the end is kept until there is one.
pub fn choose_routes<T>(routes: impl Iterator<Item = (T, NotificationRoute)>) -> Vec<T> {
    let usable = |route: &NotificationRoute| {
        route.ownership > TaskOwnership::None || route.sent_valid_request
    };
    let mut routes: Vec<(T, NotificationRoute)> =
        routes.filter(|(_, route)| usable(route)).collect();
    routes.sort_by_key(|(_, route)| std::cmp::Reverse((route.ownership, route.last_received)));
    let best = routes.first().map(|(_, route)| route.ownership);
    if best == Some(TaskOwnership::Claimed) {
        routes.retain(|(_, route)| route.ownership == TaskOwnership::Claimed);
    } else {
        routes.truncate(1);
    }
    routes.into_iter().map(|(id, _)| id).collect()
}
