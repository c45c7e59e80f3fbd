//! Reduces the weight of beliefs with their age.
//!
//! The weight of each kind of belief halves after a half-life that is derived from the settings. Below [`MIN_WEIGHT`] the
//! belief is dropped. As they age, loads converge to the mean of the fleet, and the use ratio to the value that the
//! settings imply, so that an old belief file has the same effect as none.

use reedring::{Belief, Beliefs, Micros};
use reedring_settings::{Class, Settings};

use super::snapshot::{BeliefSnapshot, NodeBeliefs};

/// Weight below which a belief is dropped; a new belief has weight 1.
const MIN_WEIGHT: f64 = 1.0 / 16.0;
/// How long an offer to a node that was warming up is remembered, in microseconds: longer than any node takes to warm up.
const WARM_UP_OFFER_RETENTION_US: Micros = 3_600_000_000;
/// Age in microseconds that is assumed for a file with a time in the future. At this age every weight is 0.
const UNKNOWN_AGE_US: Micros = Micros::MAX / 4;
/// Half-life of answer times, as a multiple of the longest time for which a client waits for a placement. Overloads last
/// several times that long.
const ANSWER_HALF_LIVES: Micros = 8;

/// Load of a node: age of the measurement in microseconds, cores and memory.
type Load = (Micros, f64, f64);

/// Time in microseconds after which each kind of belief has half of its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeliefHalfLives {
    /// Half-life of a node's load: the longest time for which a client waits for a placement. By then, requests that were
    /// pending have been placed or given up.
    pub load: Micros,
    /// Half-life of a refusal for lack of capacity, and of tenants and classes that a node rejects: the longest latency
    /// objective of any class.
    pub refusal: Micros,
    /// Half-life of consecutive failures: the time after which the tasks of an unreachable node count as lost.
    pub failures: Micros,
    /// Half-life of answer times.
    pub answer: Micros,
    /// Half-life of the ratio of used to requested resources: the time for which ended jobs are kept. The ratio depends on
    /// the programs more than on the moment.
    pub ratio: Micros,
    /// Ratio of used to requested resources that is assumed without a measurement, for cores and for memory.
    pub default_ratio: (f64, f64),
}

impl BeliefHalfLives {
    /// Derives the half-lives from the settings.
    pub fn from_settings(settings: &Settings) -> Self {
        let longest = |of: fn(&Class) -> Micros| settings.classes.iter().map(of).max();
        let longest_wait = longest(|class| class.give_up_us).unwrap_or(1);
        let ratio_of = |accepted: f64| 1.0 / accepted.max(1.0);
        Self {
            load: longest_wait,
            refusal: longest(|class| class.aim_us).unwrap_or(1),
            failures: settings.links.lost_after_us,
            answer: longest_wait.saturating_mul(ANSWER_HALF_LIVES),
            ratio: settings.limits.keep_ended_us,
            default_ratio: (
                ratio_of(settings.site.accepts_cores),
                ratio_of(settings.site.accepts_memory),
            ),
        }
    }
}

/// Weight of a belief of this age, from 1 at age 0 down to [`MIN_WEIGHT`]; 0 where the belief is dropped.
fn weight(age: Micros, half_life: Micros) -> f64 {
    let weight = (-(age as f64) / half_life.max(1) as f64).exp2();
    if weight < MIN_WEIGHT { 0.0 } else { weight }
}

/// Beliefs with weights reduced by their age.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgedBeliefs {
    /// Beliefs about single nodes. Nodes about which every belief was dropped are left out.
    pub nodes: Vec<NodeBeliefs>,
    /// Beliefs about the whole fleet; the list of machines in it is empty.
    pub fleet: Beliefs,
}

impl BeliefSnapshot {
    /// The beliefs aged to `now`, in microseconds since 1970.
    ///
    /// If `saved_at` lies in the future, the age is unknown, and all weights are 0. Offers to nodes that are warming up have
    /// no weight: their age is increased, or set to 0 if `saved_at` lies in the future, so that a node's offer budget is
    /// not freed too early.
    pub fn aged(&self, now: u64, half_lives: &BeliefHalfLives) -> AgedBeliefs {
        let aging = Aging::new(self, now, half_lives);
        let nodes = self.nodes.iter().map(|node| aging.node(node));
        AgedBeliefs {
            nodes: nodes.filter(has_content).collect(),
            fleet: aging.fleet(self),
        }
    }
}

/// Whether any belief about the node is left.
fn has_content(node: &NodeBeliefs) -> bool {
    let empty = Belief {
        machine: node.belief.machine,
        ..Belief::default()
    };
    node.belief != empty
}

/// Mean cores and memory over the nodes with a known load.
#[derive(Clone, Copy)]
struct MeanLoad {
    cores: f64,
    memory: f64,
}

impl MeanLoad {
    fn over(nodes: &[NodeBeliefs], load: fn(&Belief) -> Option<Load>) -> Self {
        let known: Vec<Load> = nodes.iter().filter_map(|node| load(&node.belief)).collect();
        let count = known.len().max(1) as f64;
        Self {
            cores: known.iter().map(|load| load.1).sum::<f64>() / count,
            memory: known.iter().map(|load| load.2).sum::<f64>() / count,
        }
    }
}

/// Parameters with which one snapshot is aged.
struct Aging<'a> {
    half_lives: &'a BeliefHalfLives,
    /// Whether the time of the snapshot lies in the future.
    from_future: bool,
    /// Age of the snapshot in microseconds.
    age: Micros,
    /// Weight of loads at that age.
    load_weight: f64,
    /// Mean over the nodes of what their tasks request.
    mean_requested: MeanLoad,
    /// Mean over the nodes of what their tasks use.
    mean_used: MeanLoad,
}

impl<'a> Aging<'a> {
    fn new(snapshot: &BeliefSnapshot, now: u64, half_lives: &'a BeliefHalfLives) -> Self {
        let from_future = snapshot.saved_at > now;
        let age = if from_future {
            UNKNOWN_AGE_US
        } else {
            now - snapshot.saved_at
        };
        Self {
            half_lives,
            from_future,
            age,
            load_weight: weight(age, half_lives.load),
            mean_requested: MeanLoad::over(&snapshot.nodes, |belief| belief.requested),
            mean_used: MeanLoad::over(&snapshot.nodes, |belief| belief.used),
        }
    }

    /// Adds the age of the snapshot to an age at the time of saving.
    fn total_age(&self, age: Micros) -> Micros {
        age.saturating_add(self.age)
    }

    /// Moves a load towards the mean of the fleet; `None` where its weight is 0.
    fn load(&self, load: Option<Load>, mean: MeanLoad) -> Option<Load> {
        let (age, cores, memory) = load.filter(|_| self.load_weight > 0.0)?;
        let towards = |value: f64, mean: f64| mean + self.load_weight * (value - mean);
        let (cores, memory) = (towards(cores, mean.cores), towards(memory, mean.memory));
        Some((self.total_age(age), cores, memory))
    }

    fn warm_up_offers(&self, offers: &[Micros]) -> Vec<Micros> {
        let aged = |age: &Micros| {
            if self.from_future {
                0
            } else {
                self.total_age(*age)
            }
        };
        let aged = offers.iter().map(aged);
        aged.filter(|age| *age < WARM_UP_OFFER_RETENTION_US)
            .collect()
    }

    fn node(&self, node: &NodeBeliefs) -> NodeBeliefs {
        let belief = &node.belief;
        let refusal_counts = weight(self.age, self.half_lives.refusal) > 0.0;
        let refused = belief.rejected.filter(|_| refusal_counts);
        let rejecting = belief
            .rejecting
            .iter()
            .filter(|(.., left)| refusal_counts && *left > self.age)
            .map(|(tenant, class, left)| (*tenant, *class, left - self.age));
        let failure_weight = weight(self.age, self.half_lives.failures);
        let belief = Belief {
            machine: belief.machine,
            requested: self.load(belief.requested, self.mean_requested),
            used: self.load(belief.used, self.mean_used),
            rejected: refused.map(|(age, cores, memory)| (self.total_age(age), cores, memory)),
            rejecting: rejecting.collect(),
            consecutive_failures: (f64::from(belief.consecutive_failures) * failure_weight) as u32,
            backoff_us: belief.backoff_us.saturating_sub(self.age),
            slow_start_offers: self.warm_up_offers(&belief.slow_start_offers),
        };
        NodeBeliefs {
            node: node.node.clone(),
            incarnation: node.incarnation,
            belief,
        }
    }

    fn fleet(&self, snapshot: &BeliefSnapshot) -> Beliefs {
        // Only the newest answer times are kept, in proportion to the weight, so that new answer times soon outnumber
        // those of an old overload.
        let answers = &snapshot.answer_times;
        let kept = (answers.len() as f64 * weight(self.age, self.half_lives.answer)) as usize;
        let arrivals = snapshot.arrivals.iter().filter(|_| self.load_weight > 0.0);
        let finite = |ratio: &(f64, f64)| ratio.0.is_finite() && ratio.1.is_finite();
        Beliefs {
            machines: Vec::new(),
            answers: answers[answers.len() - kept..].to_vec(),
            arrivals: arrivals
                .map(|(age, size)| (self.total_age(*age), *size))
                .collect(),
            ratio: snapshot
                .use_ratio
                .filter(finite)
                .map(|ratio| self.ratio(ratio)),
        }
    }

    /// Moves a use ratio towards the default.
    fn ratio(&self, (cores, memory): (f64, f64)) -> (f64, f64) {
        let weight = weight(self.age, self.half_lives.ratio);
        let default = self.half_lives.default_ratio;
        let towards = |value: f64, default: f64| default + weight * (value - default);
        (towards(cores, default.0), towards(memory, default.1))
    }
}
