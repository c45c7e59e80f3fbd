//! The beliefs of a placer at one moment.

use reedring::{Belief, Beliefs, MachineId, Micros};
use serde::{Deserialize, Serialize};

/// The beliefs of a placer when they were saved.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeliefSnapshot {
    /// Microseconds since 1970 at which they were saved.
    #[serde(rename = "at")]
    pub saved_at: u64,
    /// About single nodes.
    pub nodes: Vec<NodeBeliefs>,
    /// Answer times in microseconds, the oldest first.
    #[serde(rename = "answers")]
    pub answer_times: Vec<Micros>,
    /// How long before `saved_at` tasks arrived here, and their sizes, the oldest first.
    pub arrivals: Vec<(Micros, f64)>,
    /// Measured ratio of used to requested cores and memory.
    #[serde(rename = "ratio")]
    pub use_ratio: Option<(f64, f64)>,
}

/// Beliefs about one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeBeliefs {
    /// The node's name.
    pub node: String,
    /// The node's incarnation at the time; for another incarnation the belief is void.
    #[serde(rename = "life")]
    pub incarnation: Option<u64>,
    /// The belief.
    pub belief: Belief,
}

/// The node that a machine of the decision module stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The node's name.
    pub name: String,
    /// Its incarnation, where it is known.
    pub incarnation: Option<u64>,
}

/// JSON has no infinity, and no task requests more than the greatest number.
fn finite_refusal((age, cores, memory): (Micros, f64, f64)) -> (Micros, f64, f64) {
    (age, cores.min(f64::MAX), memory.min(f64::MAX))
}

impl BeliefSnapshot {
    /// The beliefs of the decision module at `saved_at`, in microseconds since 1970. Machines for which `identify`
    /// knows no node are left out.
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
