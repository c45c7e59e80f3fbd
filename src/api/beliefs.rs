//! What a scheduler has learned, as it is saved for its next process.

use super::ids::{MachineId, Micros};

/// What a scheduler has learned of one machine. Times are in microseconds before the moment of
/// saving, or after it where they end something. The order and the serialized names of the fields
/// are the stored form.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Belief {
    /// Which machine.
    pub machine: MachineId,
    /// When it last learned what all tasks there request, and the cores and memory of that.
    pub asked: Option<(Micros, f64, f64)>,
    /// When a report last said what all tasks there use, and the cores and memory of that.
    pub used: Option<(Micros, f64, f64)>,
    /// When the machine last rejected a task for lack of capacity, and the least cores and memory
    /// that this speaks against; infinite for a resource that was not short.
    pub refused: Option<(Micros, f64, f64)>,
    /// Tenants and classes whose tasks it rejects, and for how long they still avoid it.
    #[serde(rename = "shut")]
    pub rejecting: Vec<(u16, u16, Micros)>,
    /// Failures without an answer; each answer halves the count.
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    /// For how long it still gets no offers after these failures.
    #[serde(rename = "barred_us")]
    pub backoff_us: Micros,
    /// When own offers were sent there while it was warming up.
    #[serde(rename = "cold_offers")]
    pub slow_start_offers: Vec<Micros>,
}

/// What a scheduler has learned, for the process that takes its place after a restart.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Beliefs {
    /// By machine; one of which nothing is known is left out.
    pub machines: Vec<Belief>,
    /// Remembered times from an offer to its acceptance, the oldest first.
    pub answers: Vec<Micros>,
    /// When own tasks arrived, and their sizes in tasks of mean size, the oldest first.
    pub arrivals: Vec<(Micros, f64)>,
    /// The learned ratio of use to request, of cores and memory.
    pub ratio: Option<(f64, f64)>,
}
