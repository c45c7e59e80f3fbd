//! Requests and their attempts: the ledger that every part of the engine reads and writes.

use reedring::{MachineId, Micros, RequestId};
use reedring_platform_protocol::client::PlacementRequest;

use super::Engine;
use crate::io::{ConnId, LinkId};

/// Kept in hand of a client's time, for the way of the last answer.
const ANSWER_US: Micros = 10_000;

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    pub number: u16,
    pub machine: MachineId,
    pub link: LinkId,
    /// Which message of its link it is.
    pub position: u64,
    pub sent: Micros,
    pub until: Micros,
    /// Times that it was sent again, as no byte of it had left.
    pub resent: u8,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Its client waits.
    Open,
    /// Nothing is owed any more, and an attempt may still be out.
    Closed,
    /// It was accepted there by this attempt.
    Standing {
        machine: MachineId,
        number: u16,
        since: Micros,
    },
    /// It stands there still, and was told to end.
    Ending {
        machine: MachineId,
        number: u16,
        since: Micros,
    },
}

pub(crate) struct Request {
    pub setup: PlacementRequest,
    /// The client's connection that it came on.
    pub conn: ConnId,
    pub deadline: Micros,
    pub attempts: u16,
    pub out: Option<Out>,
    pub phase: Phase,
    pub arrived_at: Micros,
    /// The decision module was asked to place it.
    pub submitted: bool,
    /// No attempt begins any more: its client has gone.
    pub client_left: bool,
    /// Bytes that it holds while it waits for its answer.
    pub weight: usize,
}

impl Request {
    /// Its client waits, and the decision module was not asked to place it yet.
    pub fn is_fresh(&self) -> bool {
        self.phase == Phase::Open && !self.submitted
    }
}

impl Engine {
    pub(crate) fn new_request(
        &mut self,
        now: Micros,
        setup: PlacementRequest,
        conn: ConnId,
        phase: Phase,
    ) -> RequestId {
        self.last_request += 1;
        let (request, id) = (RequestId(self.last_request), setup.id);
        let deadline = now + (setup.left_ms * 1_000).saturating_sub(ANSWER_US);
        let (open, weight) = (
            phase == Phase::Open,
            setup.description.len() + std::mem::size_of::<Request>(),
        );
        let (attempts, weight) = (u16::from(!open), if open { weight } else { 0 });
        self.waiting += weight;
        self.by_id.insert(id, request);
        let (out, submitted, client_left) = (None, !open, false);
        let entry = Request {
            setup,
            conn,
            deadline,
            attempts,
            out,
            phase,
            arrived_at: now,
            submitted,
            client_left,
            weight,
        };
        self.requests.insert(request, entry);
        request
    }

    /// Forgets a request of which nothing is left.
    pub(crate) fn forget(&mut self, request: RequestId) {
        let Some(gone) = self.requests.remove(&request) else {
            return;
        };
        self.waiting -= gone.weight;
        if self.by_id.get(&gone.setup.id) == Some(&request) {
            self.by_id.remove(&gone.setup.id);
        }
    }

    /// The request under an id on the wire.
    pub(crate) fn request_of(&self, id: u64) -> Option<(RequestId, &Request)> {
        let request = *self.by_id.get(&id)?;
        Some((request, self.requests.get(&request)?))
    }

    /// Owes an open request nothing any more; on which connection it came, and its id.
    pub(crate) fn close(&mut self, request: RequestId) -> Option<(ConnId, u64)> {
        let entry = self
            .requests
            .get_mut(&request)
            .filter(|entry| entry.phase == Phase::Open)?;
        entry.phase = Phase::Closed;
        let (whose, out) = ((entry.conn, entry.setup.id), entry.out.is_some());
        if !out {
            self.forget(request);
        }
        Some(whose)
    }
}
