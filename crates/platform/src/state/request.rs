//! Placement requests and their attempts.

use std::collections::BTreeMap;

use reedring::{MachineId, Micros, RequestId};
use reedring_platform_protocol::client::PlacementRequest;

use crate::ids::{ConnId, LinkId};

/// Kept in reserve of a client's deadline, for the transfer of the answer.
const ANSWER_RESERVE_US: Micros = 10_000;
/// What an unanswered request is counted with beside its description. A constant, so that the limit on pending requests
/// does not move with the layout of [`Request`], which takes about as much.
const REQUEST_RECORD_BYTES: usize = 296;

/// An attempt that waits for its host's answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightAttempt {
    /// Its number among the attempts of its request.
    pub number: u16,
    pub machine: MachineId,
    pub link: LinkId,
    /// The index of its message among those of its link.
    pub position: u64,
    pub sent_at: Micros,
    /// When it times out.
    pub deadline: Micros,
    /// How often it was sent again, as no byte of it had been written.
    pub resends: u8,
}

/// Where a task runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Placement {
    pub machine: MachineId,
    /// The number of the attempt that was accepted.
    pub attempt: u16,
    pub since: Micros,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Its client waits for an answer.
    Open,
    /// Nothing is owed to its client any more; an attempt may still be in flight.
    Closed,
    /// Its task runs.
    Running(Placement),
    /// Its task still runs, and its host was asked to stop it.
    Stopping(Placement),
}

impl Phase {
    /// Where its task runs, if it does.
    pub fn placement(self) -> Option<Placement> {
        match self {
            Self::Running(placement) | Self::Stopping(placement) => Some(placement),
            Self::Open | Self::Closed => None,
        }
    }
}

/// A placement request of a client.
pub(crate) struct Request {
    /// The request as it was received.
    pub placement_request: PlacementRequest,
    /// The client's connection that it came on.
    pub conn: ConnId,
    pub deadline: Micros,
    /// How many attempts were made.
    pub attempts: u16,
    pub in_flight: Option<InFlightAttempt>,
    pub phase: Phase,
    pub received_at: Micros,
    /// The decision module was asked to place it.
    pub is_submitted: bool,
    /// Its client has departed: no further attempt begins.
    pub client_departed: bool,
    /// Bytes that it holds until it is answered.
    pending_bytes: usize,
}

impl Request {
    /// Its client waits, and the decision module was not asked to place it yet.
    pub fn is_unsubmitted(&self) -> bool {
        self.phase == Phase::Open && !self.is_submitted
    }

    /// The id that its client gave it. Both protocols carry it; the decision module knows the request by its
    /// [`RequestId`].
    pub fn wire_id(&self) -> u64 {
        self.placement_request.id
    }
}

/// A request that was found by its id on the wire.
pub(crate) struct FoundRequest<'a> {
    /// Its number for the decision module.
    pub id: RequestId,
    pub request: &'a Request,
}

/// A request whose client is to get the final answer.
pub(crate) struct ClosedRequest {
    pub conn: ConnId,
    /// The id on the wire.
    pub id: u64,
}

/// All requests that are open, run or have an attempt in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    /// Requests by their id on the wire; of equal ones the newest.
    by_wire_id: BTreeMap<u64, RequestId>,
    /// Bytes that unanswered requests hold.
    pending_bytes: usize,
    last_id: u64,
}

impl RequestTable {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.requests.len().max(self.by_wire_id.len())
    }

    /// Bytes that unanswered requests hold.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
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

    /// The request with an id on the wire.
    pub fn find(&self, wire_id: u64) -> Option<FoundRequest<'_>> {
        let id = *self.by_wire_id.get(&wire_id)?;
        Some(FoundRequest {
            id,
            request: self.requests.get(&id)?,
        })
    }

    /// Adds a request: one that waits for an answer, or one whose task runs already.
    pub fn add(
        &mut self,
        now: Micros,
        setup: PlacementRequest,
        conn: ConnId,
        phase: Phase,
    ) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let is_open = phase == Phase::Open;
        let size = setup.description.len() + REQUEST_RECORD_BYTES;
        let pending_bytes = if is_open { size } else { 0 };
        self.pending_bytes += pending_bytes;
        self.by_wire_id.insert(setup.id, id);
        let request = Request {
            deadline: now + (setup.left_ms * 1_000).saturating_sub(ANSWER_RESERVE_US),
            placement_request: setup,
            conn,
            attempts: u16::from(!is_open),
            in_flight: None,
            phase,
            received_at: now,
            is_submitted: !is_open,
            client_departed: false,
            pending_bytes,
        };
        self.requests.insert(id, request);
        id
    }

    /// Forgets a request of which nothing is left.
    pub fn remove(&mut self, id: RequestId) {
        let Some(removed) = self.requests.remove(&id) else {
            return;
        };
        self.pending_bytes -= removed.pending_bytes;
        if self.by_wire_id.get(&removed.wire_id()) == Some(&id) {
            self.by_wire_id.remove(&removed.wire_id());
        }
    }

    /// Closes an open request: its client gets the final answer and nothing more.
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

    /// The task of an open request runs: its description is needed no more.
    pub fn start_running(&mut self, id: RequestId, placement: Placement) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.in_flight = None;
        request.phase = Phase::Running(placement);
        request.placement_request.description = String::new();
        self.pending_bytes -= std::mem::take(&mut request.pending_bytes);
    }
}
