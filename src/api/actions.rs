//! Actions: what a placer tells the caller to do.
//!
//! Today's algorithm never returns [`Action::Move`], [`Action::CloseIdle`], [`Action::Tell`],
//! [`Action::Fetch`] or `Action::Watch(false)`, and a refusal's `stay_away_us` is always `None`.
//! They are part of the interface that callers carry out.

use super::ids::{AttemptId, MachineId, Micros, RequestId};

/// Something to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer a task to a machine.
    Offer {
        /// The request.
        request: RequestId,
        /// The machine.
        machine: MachineId,
        /// Time-out in microseconds; `None` waits until the client gives up.
        within_us: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Stop(AttemptId),
    /// Final answer: refused, with the promise that another submission does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it submits again.
        stay_away_us: Option<Micros>,
    },
    /// Final answer: failed; the task may have run.
    Fail(RequestId),
    /// Stop a placed task, so that its client submits it again. Never returned today.
    Move(RequestId),
    /// Send a health check to a machine, whose answer holds its load report.
    Probe(MachineId),
    /// Close idle connections to a machine. Never returned today.
    CloseIdle(MachineId),
    /// Send a message to one scheduler, or to all. Never returned today.
    Tell {
        /// The number of the receiver; `None` for all.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Watch the machine list, or stop; only `true` is returned today.
    Watch(bool),
    /// Request a snapshot of the machine list. Never returned today.
    Fetch,
    /// Set a timer.
    Timer {
        /// Comes back in [`Event::Woken`](super::Event::Woken).
        token: u64,
        /// When it is due, from now.
        after_us: Micros,
    },
    /// A log line for the staff.
    Log(String),
}
