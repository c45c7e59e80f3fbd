//! Events: what the caller reports to the decision module.

use super::beliefs::Beliefs;
use super::ids::{AttemptId, MachineId, Micros, RequestId};
use super::machines::Listing;
use super::outcomes::{Ended, Note};
use super::settings::Settings;
use super::tasks::Task;

/// Something that happened. Events are applied in the order in which they are given.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings changed while the scheduler runs. Classes, kinds and tenants keep their numbers:
    /// removed ones keep their entry, and new ones are appended. Everything learned is kept.
    SettingsChanged(Box<Settings>),
    /// What a previous process of this scheduler had learned. Its times count back from now. Beliefs
    /// about machines that no list has named yet are ignored.
    BeliefsRestored(Beliefs),
    /// The machine list changed, or the watch on it failed.
    Listed(Listing),
    /// A client requests a place for a task, and expects one final answer.
    Arrived {
        /// The task to place.
        task: Task,
        /// Time until the client stops waiting, in microseconds from now.
        grace_us: Micros,
    },
    /// From now on only these machines may take a request. The event is repeated whenever they
    /// change; a request without such an event may go to any machine.
    EligibilityChanged {
        /// The request that is restricted.
        request: RequestId,
        /// The eligible machines, sorted by id; none may take the request if it is empty.
        machines: Vec<MachineId>,
    },
    /// A running task becomes one of this scheduler, as attempt 0 of its request. The request needs
    /// no answer.
    Adopted {
        /// The running task.
        task: Task,
        /// The machine that runs it.
        machine: MachineId,
    },
    /// A task that became one of this scheduler by [`Event::Adopted`] is not known to run, and no
    /// longer counts. It may end later without a further event.
    Untracked {
        /// The attempt that the task became.
        attempt: AttemptId,
    },
    /// A machine accepted a task, which is the final answer to its request.
    Placed {
        /// The attempt that was accepted.
        attempt: AttemptId,
        /// The machine that accepted it.
        machine: MachineId,
        /// Time from the offer until the acceptance arrived, in microseconds.
        took_us: Micros,
    },
    /// A machine sent a signal about a task that it runs.
    TaskSignal {
        /// The attempt that placed the task.
        attempt: AttemptId,
        /// The machine that runs it.
        machine: MachineId,
        /// The content of the signal.
        note: Note,
    },
    /// An attempt ended; this event occurs exactly once for each attempt.
    Ended(Ended),
    /// The client withdrew the request: it no longer needs the task or an answer.
    Withdrawn(RequestId),
    /// The client disconnected or will send nothing more: no attempt of the request begins from now
    /// on. One in flight may still place the task; without one the final answer is given at once.
    NoFurtherAttempts(RequestId),
    /// The timer that was set with this token is due.
    TimerDue(u64),
    /// A health check was answered, or failed.
    Probed {
        /// The machine that was checked.
        machine: MachineId,
        /// Whether the machine answered.
        answered: bool,
        /// Time since the health check was sent, in microseconds.
        took_us: Micros,
        /// The machine's load report, in the order of [`Settings::report_fields`]; may be empty.
        report: Vec<f64>,
    },
    /// A message from another scheduler. The current algorithm ignores it.
    Peer {
        /// The position of the sender, from 0.
        from: u32,
        /// The content of the message, in a format of the decision module.
        body: Vec<u8>,
    },
}
