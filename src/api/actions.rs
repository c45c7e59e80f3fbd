//! Actions: what the decision module asks its caller to do.
//!
//! The current algorithm never returns [`Action::Move`], [`Action::CloseIdle`], [`Action::Tell`],
//! [`Action::Fetch`] or `Action::Watch(false)`, and a refusal's `stay_away_us` is always `None`.
//! They are part of the interface for algorithms that need them.

use super::ids::{AttemptId, MachineId, Micros, RequestId};

/// An action for the caller. Actions are to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer the task of a request to a machine, as the next attempt of the request; the first
    /// attempt is number 0.
    Offer {
        /// The request whose task is offered.
        request: RequestId,
        /// The machine that gets the offer.
        machine: MachineId,
        /// Time-out of the attempt, in microseconds from now; `None` waits until the client gives
        /// up.
        within_us: Option<Micros>,
    },
    /// Stop an attempt that is in flight. Its end is reported by
    /// [`Event::Ended`](super::Event::Ended).
    Stop(AttemptId),
    /// Answer the request finally: refused, with the promise that another submission of the task
    /// does no harm.
    Refuse {
        /// The request that is refused.
        request: RequestId,
        /// How long the client should wait before it submits the task again, in microseconds;
        /// `None` states no time.
        stay_away_us: Option<Micros>,
    },
    /// Answer the request finally: failed; the task may have run.
    Fail(RequestId),
    /// Stop a placed task, so that its client submits it again. Not returned by the current
    /// algorithm.
    Move(RequestId),
    /// Send a health check to a machine, whose answer contains its load report where machines
    /// report their load.
    Probe(MachineId),
    /// Close idle connections to a machine. Not returned by the current algorithm.
    CloseIdle(MachineId),
    /// Send a message to one other scheduler, or to all. Not returned by the current algorithm.
    Tell {
        /// The position of the receiver, from 0; `None` for all.
        to: Option<u32>,
        /// The content of the message, in a format of the decision module.
        body: Vec<u8>,
    },
    /// Start to watch the machine list (`true`), or stop; the current algorithm returns only `true`.
    Watch(bool),
    /// Request a snapshot of the machine list. Not returned by the current algorithm.
    Fetch,
    /// Set a timer.
    Timer {
        /// The value that [`Event::TimerDue`](super::Event::TimerDue) has when the timer is due.
        token: u64,
        /// Time until the timer is due, in microseconds from now.
        after_us: Micros,
    },
    /// Write a log line for operators.
    Log(String),
}
