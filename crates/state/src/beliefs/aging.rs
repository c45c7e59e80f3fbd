//! What a belief counts for after some time.
//!
//! Each kind of belief loses half of its weight in a half-life that follows from the settings, and is dropped under
//! [`LEAST_WEIGHT`]. Load is drawn towards the mean of the fleet as it ages, and the use ratio towards what the settings
//! imply, so that what is left of an old file is what a placer without one would believe.

use reedring::{Belief, Beliefs, Micros};
use reedring_settings::{Class, Settings};

use super::snapshot::{BeliefSnapshot, NodeBeliefs};

/// A belief that counts for less than this part is dropped.
const LEAST_WEIGHT: f64 = 1.0 / 16.0;
/// Microseconds for which an offer to a node that is warming up is remembered: longer than any node takes.
const WARM_UP_OFFER_RETENTION_US: Micros = 3_600_000_000;
/// Age of a file whose time lies in the future: so old that nothing that ages counts any more.
const UNKNOWN_AGE_US: Micros = Micros::MAX / 4;
/// Answer times count for this many times the longest time for which a client waits: overloads last some such times.
const ANSWER_HALF_LIVES: Micros = 8;

/// Load of a node: its age in microseconds, cores and memory.
type Load = (Micros, f64, f64);

/// After which time in microseconds each kind of belief counts for half.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BeliefHalfLives {
    /// Load of a node: what clients wait for is placed or given up by then.
    pub load: Micros,
    /// A refusal, and a tenant or class that a node rejects: a class's latency objective.
    pub refusal: Micros,
    /// Consecutive failures: a node that is unreachable for so long is given up.
    pub failures: Micros,
    /// Answer times.
    pub answer: Micros,
    /// The ratio of used to requested resources, which depends on programs more than on the moment.
    pub ratio: Micros,
    /// The ratio that is believed without any measurement, of cores and memory.
    pub default_ratio: (f64, f64),
}

impl BeliefHalfLives {
    /// The half-lives that follow from the settings.
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

/// The weight that is left of a belief of this age; 0 where it is dropped.
fn weight(age: Micros, half_life: Micros) -> f64 {
    let weight = (-(age as f64) / half_life.max(1) as f64).exp2();
    if weight < LEAST_WEIGHT { 0.0 } else { weight }
}

/// Beliefs as they count now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AgedBeliefs {
    /// About single nodes; one of which nothing is left is not in it.
    pub nodes: Vec<NodeBeliefs>,
    /// About all nodes together; its list of machines is empty.
    pub fleet: Beliefs,
}

impl BeliefSnapshot {
    /// The beliefs as they count at `now`, in microseconds since 1970.
    ///
    /// A file from the future counts as old. Offers to nodes that are warming up are not weighed but only grow older,
    /// as no budget may be freed too early: in a file from the future they count as just made.
    pub fn aged(&self, now: u64, half_lives: &BeliefHalfLives) -> AgedBeliefs {
        let aging = Aging::new(self, now, half_lives);
        let nodes = self.nodes.iter().map(|node| aging.node(node));
        AgedBeliefs {
            nodes: nodes.filter(has_content).collect(),
            fleet: aging.fleet(self),
        }
    }
}

/// Whether anything is left of the beliefs about a node.
fn has_content(node: &NodeBeliefs) -> bool {
    let empty = Belief {
        machine: node.belief.machine,
        ..Belief::default()
    };
    node.belief != empty
}

/// Mean cores and memory over the nodes of which a load is known.
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

/// How one snapshot ages.
struct Aging<'a> {
    half_lives: &'a BeliefHalfLives,
    /// The snapshot's time lies in the future.
    from_future: bool,
    age: Micros,
    load_weight: f64,
    mean_requested: MeanLoad,
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

    fn older(&self, age: Micros) -> Micros {
        age.saturating_add(self.age)
    }

    /// A load drawn towards the mean of the fleet.
    fn load(&self, load: Option<Load>, mean: MeanLoad) -> Option<Load> {
        let (age, cores, memory) = load.filter(|_| self.load_weight > 0.0)?;
        let towards = |value: f64, mean: f64| mean + self.load_weight * (value - mean);
        let (cores, memory) = (towards(cores, mean.cores), towards(memory, mean.memory));
        Some((self.older(age), cores, memory))
    }

    fn warm_up_offers(&self, offers: &[Micros]) -> Vec<Micros> {
        let aged = |age: &Micros| {
            if self.from_future {
                0
            } else {
                self.older(*age)
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
            rejected: refused.map(|(age, cores, memory)| (self.older(age), cores, memory)),
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
        // Fewer of the answer times count, the newest of them: those of an old overload are soon outnumbered.
        let answers = &snapshot.answer_times;
        let kept = (answers.len() as f64 * weight(self.age, self.half_lives.answer)) as usize;
        let arrivals = snapshot.arrivals.iter().filter(|_| self.load_weight > 0.0);
        let finite = |ratio: &(f64, f64)| ratio.0.is_finite() && ratio.1.is_finite();
        Beliefs {
            machines: Vec::new(),
            answers: answers[answers.len() - kept..].to_vec(),
            arrivals: arrivals
                .map(|(age, size)| (self.older(*age), *size))
                .collect(),
            ratio: snapshot
                .use_ratio
                .filter(finite)
                .map(|ratio| self.ratio(ratio)),
        }
    }

    /// A use ratio drawn towards the default.
    fn ratio(&self, (cores, memory): (f64, f64)) -> (f64, f64) {
        let weight = weight(self.age, self.half_lives.ratio);
        let default = self.half_lives.default_ratio;
        let towards = |value: f64, default: f64| default + weight * (value - default);
        (towards(cores, default.0), towards(memory, default.1))
    }
}
