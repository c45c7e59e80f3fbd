//! Events: what the caller tells a placer.

use super::beliefs::Beliefs;
use super::ids::{AttemptId, MachineId, Micros, RequestId};
use super::machines::Listing;
use super::outcomes::{Ended, Note};
use super::settings::Settings;
use super::tasks::Task;

/// Something that happened, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The settings changed while the scheduler runs. Classes, kinds and tenants keep their
    /// numbers: what was removed stays as it was, what is new comes after it. All that was learned
    /// stays.
    SettingsChanged(Box<Settings>),
    /// What a previous process of this scheduler had learned, as long ago as its times say. What is
    /// about machines that no list has named yet is ignored.
    BeliefsRestored(Beliefs),
    /// The machine list changed, or the watch on it failed.
    Listed(Listing),
    /// A task needs a place, and its client one final answer.
    Arrived {
        /// The task.
        task: Task,
        /// Time until its client gives up.
        grace_us: Micros,
    },
    /// From now on only these machines may take a request. It comes again whenever they change; a
    /// request for which it never comes may go anywhere.
    EligibilityChanged {
        /// The request.
        request: RequestId,
        /// The machines, in the order of their ids.
        machines: Vec<MachineId>,
    },
    /// A running task becomes one of this scheduler, as attempt 0 of its request.
    Adopted {
        /// The task.
        task: Task,
        /// The machine that runs it.
        machine: MachineId,
    },
    /// A machine accepted a task.
    Placed {
        /// The attempt that placed it.
        attempt: AttemptId,
        /// Its machine.
        machine: MachineId,
        /// Time since it was sent.
        took_us: Micros,
    },
    /// A machine says something of a task that it runs.
    TaskSignal {
        /// The attempt.
        attempt: AttemptId,
        /// Its machine.
        machine: MachineId,
        /// What it says.
        note: Note,
    },
    /// An attempt ended; this comes exactly once for each.
    Ended(Ended),
    /// The client wants the task no more.
    Withdrawn(RequestId),
    /// The client disconnected or will send nothing more: no attempt begins from now on. One in
    /// flight may still place the task; without one the final answer comes at once.
    NoFurtherAttempts(RequestId),
    /// The timer with this token came due.
    Woken(u64),
    /// A health check came back.
    Probed {
        /// Which machine.
        machine: MachineId,
        /// The machine answered.
        answered: bool,
        /// Time since it was sent.
        took_us: Micros,
        /// Its load report; may be empty.
        report: Vec<f64>,
    },
    /// A message from another scheduler.
    Peer {
        /// Its position.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
}
