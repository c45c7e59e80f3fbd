//! Snapshot of a placer's beliefs.

use reedring::{Belief, Beliefs, MachineId, Micros};
use serde::{Deserialize, Serialize};

/// The beliefs of a placer at the time at which they were saved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeliefSnapshot {
    /// Time at which the beliefs were saved, in microseconds since 1970.
    #[serde(rename = "at")]
    pub saved_at: u64,
    /// Beliefs about single nodes.
    pub nodes: Vec<NodeBeliefs>,
    /// Times from an offer to its acceptance in microseconds, the oldest first.
    #[serde(rename = "answers")]
    pub answer_times: Vec<Micros>,
    /// Tasks that arrived at this placer, the oldest first: how many microseconds before `saved_at`, and the size as a
    /// multiple of the mean task size.
    pub arrivals: Vec<(Micros, f64)>,
    /// Measured ratio of used to requested resources, for cores and for memory; `None` where nothing was measured.
    #[serde(rename = "ratio")]
    pub use_ratio: Option<(f64, f64)>,
}

/// Beliefs about one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeBeliefs {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node when the beliefs were saved; `None` where it was not known. The belief is void for another
    /// incarnation.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// The decision module's belief about the node's machine.
    pub belief: Belief,
}

/// The node that a machine of the decision module represents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Name of the node.
    pub name: String,
    /// Incarnation of the node; `None` where it is not known.
    pub incarnation: Option<u64>,
}

/// Replaces infinity, which JSON can't represent, by the greatest finite number. The meaning is the same, as no task
/// requests more than that.
fn finite_refusal((age, cores, memory): (Micros, f64, f64)) -> (Micros, f64, f64) {
    (age, cores.min(f64::MAX), memory.min(f64::MAX))
}

impl BeliefSnapshot {
    /// Creates a snapshot of the decision module's beliefs at `saved_at`, in microseconds since 1970. Machines for which
    /// `identify` returns `None` are left out.
    pub fn new(
        saved_at: u64,
        beliefs: Beliefs,
        identify: impl Fn(MachineId) -> Option<NodeIdentity>,
    ) -> Self {
        let of_node = |belief: Belief| {
            let identity = identify(belief.machine)?;
            Some(NodeBeliefs {
                node: identity.name,
                incarnation: identity.incarnation,
                belief: Belief {
                    rejected: belief.rejected.map(finite_refusal),
                    ..belief
                },
            })
        };
        Self {
            saved_at,
            nodes: beliefs.machines.into_iter().filter_map(of_node).collect(),
            answer_times: beliefs.answers,
            arrivals: beliefs.arrivals,
            use_ratio: beliefs.ratio,
        }
    }
}
