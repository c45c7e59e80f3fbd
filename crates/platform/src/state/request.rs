//! Placement requests and their attempts.

use std::collections::BTreeMap;

use reedring::timers::TimerId;
use reedring::{MachineId, Micros, RequestId};
use reedring_platform_protocol::client::PlacementRequest;

use super::unconfirmed::UnconfirmedTasks;
use crate::ids::{ConnId, LinkId};

/// Subtracted from the time for which a client waits, to leave time for the transfer of the answer.
const ANSWER_RESERVE_US: Micros = 10_000;
/// An upper bound of the memory of an unanswered request, beside its texts: in all tables of the engine and the decision
/// module, with its timers and the attempt in flight.
const REQUEST_RECORD_BYTES: usize = 2_560;

/// An attempt that waits for its host's answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// The number of the attempt among those of its request, from 0.
    pub number: u16,
    pub machine: MachineId,
    pub link: LinkId,
    /// The index of the attempt's message among those of its link.
    pub message_index: u64,
    pub sent_at: Micros,
    /// When the attempt times out.
    pub deadline: Micros,
    /// The timer for that, which is cancelled when the attempt ends: clients choose how long it is set.
    pub timeout: TimerId,
    /// How often the attempt was sent again because no byte of it had been written.
    pub resends: u8,
}

/// Where a task runs, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Placement {
    pub machine: MachineId,
    /// The number of the attempt that was accepted; 0 for a task that a client handed over.
    pub attempt: u16,
    /// When the task was accepted or handed over; when its stop was requested if it is being stopped.
    pub since: Micros,
    /// When the link was established on which the task was accepted; `None` if it was handed over.
    pub connected_at: Option<Micros>,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// The client waits for an answer.
    Open,
    /// The client gets no further message about the request; an attempt may still be in flight.
    Closed,
    /// The task runs.
    Running(Placement),
    /// The task may still run, and its host was asked to stop it.
    Stopping(Placement),
}

impl Phase {
    /// Where the task runs; `None` unless it runs or is being stopped.
    pub fn placement(self) -> Option<Placement> {
        match self {
            Self::Running(placement) | Self::Stopping(placement) => Some(placement),
            Self::Open | Self::Closed => None,
        }
    }
}

/// A client's placement request and its progress.
pub(crate) struct Request {
    /// The request as it was received; its texts are dropped once the task runs.
    pub placement_request: PlacementRequest,
    /// The client's connection that the request came on.
    pub conn: ConnId,
    /// When the request times out: the end of the client's wait less [`ANSWER_RESERVE_US`].
    pub deadline: Micros,
    /// How many attempts were made.
    pub attempts: u16,
    pub in_flight: Option<InFlightAttempt>,
    pub phase: Phase,
    pub received_at: Micros,
    /// Whether the request was submitted to the decision module.
    pub is_submitted: bool,
    /// The timer of its deadline, if one is set: until it is submitted, or is closed before that.
    pub deadline_timer: Option<TimerId>,
    /// Whether the client has departed: no further attempt begins.
    pub client_departed: bool,
    /// The memory that the request counts for until it is answered, in bytes.
    pending_bytes: usize,
}

impl Request {
    /// Whether the client waits and the request was not submitted to the decision module yet.
    pub fn is_unsubmitted(&self) -> bool {
        self.phase == Phase::Open && !self.is_submitted
    }

    /// The memory that a request counts for until it is answered, in bytes.
    pub fn pending_bytes_of(request: &PlacementRequest) -> usize {
        request.text_bytes() + REQUEST_RECORD_BYTES
    }

    /// The id that the client chose. It is used in the protocols of clients and hosts; the decision module identifies
    /// the request by its [`RequestId`].
    pub fn wire_id(&self) -> u64 {
        self.placement_request.id
    }
}

/// A request that was found by its id on the wire.
pub(crate) struct FoundRequest<'a> {
    /// The id that the decision module uses.
    pub id: RequestId,
    pub request: &'a Request,
}

/// An open request that was just closed, whose client is to get the final answer.
pub(crate) struct ClosedRequest {
    pub conn: ConnId,
    /// The request's id on the wire.
    pub id: u64,
}

/// All requests that are open, have a running task or have an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Requests by their ids on the wire; if several have the same id, the newest.
    by_wire_id: BTreeMap<u64, RequestId>,
    /// The memory that unanswered requests count for, in bytes.
    pending_bytes: usize,
    /// The same, by the connection of the request.
    pending_bytes_of: BTreeMap<ConnId, usize>,
    unconfirmed: UnconfirmedTasks,
    last_id: u64,
}

impl RequestTable {
    /// How many requests there are.
    pub fn len(&self) -> usize {
        self.requests.len().max(self.by_wire_id.len())
    }

    /// The memory that unanswered requests count for, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// The memory that the unanswered requests of a connection count for, in bytes.
    pub fn pending_bytes_of(&self, conn: ConnId) -> usize {
        self.pending_bytes_of.get(&conn).copied().unwrap_or(0)
    }

    fn add_pending_bytes(&mut self, conn: ConnId, bytes: usize) {
        if bytes > 0 {
            self.pending_bytes += bytes;
            *self.pending_bytes_of.entry(conn).or_default() += bytes;
        }
    }

    fn subtract_pending_bytes(&mut self, conn: ConnId, bytes: usize) {
        self.pending_bytes -= bytes;
        if let Some(of_conn) = self.pending_bytes_of.get_mut(&conn) {
            *of_conn -= bytes;
            if *of_conn == 0 {
                self.pending_bytes_of.remove(&conn);
            }
        }
    }

    pub fn get(&self, request: RequestId) -> Option<&Request> {
        self.requests.get(&request)
    }

    pub fn get_mut(&mut self, request: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&request)
    }

    /// All requests, in the order in which they were received.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// The newest request with this id on the wire.
    pub fn find(&self, wire_id: u64) -> Option<FoundRequest<'_>> {
        let id = *self.by_wire_id.get(&wire_id)?;
        Some(FoundRequest {
            id,
            request: self.requests.get(&id)?,
        })
    }

    /// How many running tasks were handed over without a report of their hosts since.
    pub fn unconfirmed_tasks(&self) -> usize {
        self.unconfirmed.len()
    }

    /// The unconfirmed task that is least likely to exist, which is to be displaced and counts as unconfirmed no more;
    /// `None` if there is none.
    pub fn take_least_likely_task(&mut self, now: Micros) -> Option<RequestId> {
        self.unconfirmed.take_least_likely(now)
    }

    /// Whether a task was handed over on this connection, and no host has sent anything about it.
    pub fn is_unconfirmed(&self, id: RequestId, conn: ConnId) -> bool {
        self.unconfirmed.contains(conn, id)
    }

    /// Records that a connection of a client has ended.
    pub fn connection_ended(&mut self, now: Micros, conn: ConnId) {
        self.unconfirmed.connection_ended(now, conn);
    }

    /// Records that a host sent something about a displaced task, which was handed over on this connection.
    pub fn confirm_connection(&mut self, now: Micros, conn: ConnId) {
        self.unconfirmed.confirm_connection(now, conn);
    }

    /// Records that a host sent something about a running task.
    pub fn confirm_task(&mut self, now: Micros, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            self.unconfirmed.confirm(now, request.conn, id);
        }
    }

    /// Adds a request: an open one, or one whose task runs already, which is unconfirmed and whose texts are dropped.
    pub fn add(
        &mut self,
        now: Micros,
        mut placement_request: PlacementRequest,
        conn: ConnId,
        phase: Phase,
    ) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let is_open = phase == Phase::Open;
        let mut pending_bytes = 0;
        if is_open {
            pending_bytes = Request::pending_bytes_of(&placement_request);
        } else {
            placement_request.discard_texts();
            self.unconfirmed.add(now, conn, id);
        }
        self.add_pending_bytes(conn, pending_bytes);
        self.by_wire_id.insert(placement_request.id, id);
        let request = Request {
            deadline: now + (placement_request.left_ms * 1_000).saturating_sub(ANSWER_RESERVE_US),
            placement_request,
            conn,
            attempts: u16::from(!is_open),
            in_flight: None,
            phase,
            received_at: now,
            is_submitted: !is_open,
            deadline_timer: None,
            client_departed: false,
            pending_bytes,
        };
        self.requests.insert(id, request);
        id
    }

    /// Removes a request from the table.
    pub fn remove(&mut self, id: RequestId) {
        let Some(removed) = self.requests.remove(&id) else {
            return;
        };
        self.subtract_pending_bytes(removed.conn, removed.pending_bytes);
        self.unconfirmed.remove(removed.conn, id);
        if self.by_wire_id.get(&removed.wire_id()) == Some(&id) {
            self.by_wire_id.remove(&removed.wire_id());
        }
    }

    /// Records that a task was accepted by the process of another host than the one that the request was sent to.
    pub fn move_placement(&mut self, id: RequestId, machine: MachineId) {
        let request = self.requests.get_mut(&id);
        if let Some(Phase::Running(placement) | Phase::Stopping(placement)) =
            request.map(|request| &mut request.phase)
        {
            placement.machine = machine;
        }
    }

    /// Closes an open request: its client gets the final answer and nothing more. `None` if it is not open.
    pub fn close(&mut self, id: RequestId) -> Option<ClosedRequest> {
        let request = self.requests.get_mut(&id)?;
        if request.phase != Phase::Open {
            return None;
        }
        request.phase = Phase::Closed;
        let closed = ClosedRequest {
            conn: request.conn,
            id: request.wire_id(),
        };
        if request.in_flight.is_none() {
            self.remove(id);
        }
        Some(closed)
    }

    /// Records that the task of an open request runs. The texts are dropped, as they are not needed any more.
    pub fn start_running(&mut self, id: RequestId, placement: Placement) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.in_flight = None;
        request.phase = Phase::Running(placement);
        request.placement_request.discard_texts();
        let (conn, bytes) = (request.conn, std::mem::take(&mut request.pending_bytes));
        self.subtract_pending_bytes(conn, bytes);
    }
}
