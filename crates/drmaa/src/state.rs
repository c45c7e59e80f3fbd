//! Job states and controls with the numbers of the C binding (GFD.133, section 3).

use serde::{Deserialize, Serialize};

/// The state that `drmaa_job_ps` tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(i32)]
pub enum JobState {
    /// Not known.
    Undetermined = 0x00,
    /// Waits to be placed, or was placed and does not run yet.
    QueuedActive = 0x10,
    /// Held by the placer.
    SystemOnHold = 0x11,
    /// Held by its user.
    UserOnHold = 0x12,
    /// Held by both.
    UserSystemOnHold = 0x13,
    /// Runs.
    Running = 0x20,
    /// Suspended by the placer.
    SystemSuspended = 0x21,
    /// Suspended by its user.
    UserSuspended = 0x22,
    /// Suspended by both.
    UserSystemSuspended = 0x23,
    /// Ran to its end.
    Done = 0x30,
    /// Ended in any other way: refused, failed, lost, terminated.
    Failed = 0x40,
}

impl JobState {
    /// The number of `drmaa.h`.
    pub const fn number(self) -> i32 {
        self as i32
    }

    /// Whether the job is over.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed)
    }
}

/// What `drmaa_control` does to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[repr(i32)]
pub enum Control {
    /// Stop a running job so that it can go on later.
    Suspend = 0,
    /// Let a suspended job go on.
    Resume = 1,
    /// Keep a queued job from being placed.
    Hold = 2,
    /// Let a held job be placed.
    Release = 3,
    /// End the job.
    Terminate = 4,
}

impl Control {
    /// The control with this number of `drmaa.h`.
    pub fn from_number(number: i32) -> Option<Self> {
        let all = [
            Self::Suspend,
            Self::Resume,
            Self::Hold,
            Self::Release,
            Self::Terminate,
        ];
        all.into_iter().find(|control| *control as i32 == number)
    }
}
