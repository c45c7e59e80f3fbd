//! What a scheduler has learned, in the form in which it is saved for its next process.

use super::ids::{MachineId, Micros};

/// What a scheduler has learned about one machine. Times are in microseconds: for past events the
/// time from then until the moment of saving, for restrictions the time that remains. The order and
/// the serialized names of the fields are part of the stored format.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Belief {
    /// The machine that this is about.
    pub machine: MachineId,
    /// How long ago the scheduler last learned what all tasks there request, and the cores and
    /// memory that they request; `None` if it never did.
    #[serde(rename = "asked")]
    pub requested: Option<(Micros, f64, f64)>,
    /// How long ago a report last stated what all tasks there use, and the cores and memory that
    /// they use; `None` if none did.
    pub used: Option<(Micros, f64, f64)>,
    /// How long ago the machine last rejected a task for lack of capacity, and the least cores and
    /// memory that the rejection rules out: infinite for a resource that was not short, 0 for both
    /// if the machine named neither. `None` without a rejection that is still valid.
    #[serde(rename = "refused")]
    pub rejected: Option<(Micros, f64, f64)>,
    /// Numbers of the tenants and classes whose tasks it rejects, and for how much longer such tasks
    /// are not offered to it.
    #[serde(rename = "shut")]
    pub rejecting: Vec<(u16, u16, Micros)>,
    /// Count of failures, each of which doubles the backoff; an answer to an offer halves it.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// For how much longer it gets no offers because of these failures.
    #[serde(rename = "barred_us")]
    pub backoff_us: Micros,
    /// How long ago each own offer was sent to it while it was warming up, the oldest first.
    #[serde(rename = "cold_offers")]
    pub slow_start_offers: Vec<Micros>,
}

/// What a scheduler has learned, for its process after a restart.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Beliefs {
    /// What is known about each machine, in the order of their ids; machines about which nothing is
    /// known are left out.
    pub machines: Vec<Belief>,
    /// Times from recent offers to their acceptance, in microseconds, the oldest first.
    pub answers: Vec<Micros>,
    /// How many microseconds before the moment of saving each recent task arrived at this scheduler,
    /// and its size in tasks of mean size; the oldest first.
    pub arrivals: Vec<(Micros, f64)>,
    /// The learned ratios of use to request, of cores and of memory; `None` if none is known.
    pub ratio: Option<(f64, f64)>,
}
