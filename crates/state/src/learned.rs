//! What was learned: the module's beliefs in a small file that is replaced whole, and aged when it is read.

use reedring::{Belief, Beliefs, MachineId, Micros};
use reedring_settings::Settings;
use serde::{Deserialize, Serialize};

const MAGIC: &[u8; 8] = b"RRLEARN\0";
/// The version of the file that this program writes.
const VERSION: u16 = 1;
/// A belief that counts for less than this part is left out.
const FAINT: f64 = 1.0 / 16.0;
/// Microseconds for which an offer to a cold node is remembered: longer than any node is cold.
const COLD_US: Micros = 3_600_000_000;

/// What was learned, as it was when it was kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeliefSnapshot {
    /// Microseconds since 1970 at which it was kept.
    pub at: u64,
    /// Of nodes.
    pub nodes: Vec<NodeBeliefs>,
    /// Answer times, the oldest first.
    pub answers: Vec<Micros>,
    /// How long before `at` own tasks arrived, and their sizes, the oldest first.
    pub arrivals: Vec<(Micros, f64)>,
    /// Learnt ratio of use to ask.
    pub ratio: Option<(f64, f64)>,
}

/// What was learned of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeBeliefs {
    /// Its name.
    pub node: String,
    /// Its life then: what was learned of another life is void.
    pub life: Option<u64>,
    /// The belief.
    pub belief: Belief,
}

/// Why a file of what was learned is passed by.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {what}")]
pub struct BeliefError {
    file: String,
    version: u16,
    what: String,
}

impl BeliefError {
    pub(crate) fn new(file: &str, version: u16, what: impl Into<String>) -> Self {
        Self {
            file: file.to_owned(),
            version,
            what: what.into(),
        }
    }

    /// A newer program wrote the file.
    pub fn is_newer(&self) -> bool {
        self.version > VERSION
    }
}

/// How long each kind of belief takes to count for half.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HalfLives {
    /// Load of a node: what owners wait for is placed or given up by then.
    pub load: Micros,
    /// A refusal, and a tenant or class turned away: an owner's aim.
    pub refusal: Micros,
    /// Strikes: what is unreachable for so long is let go.
    pub strike: Micros,
    /// Answer times: jams last some times as long as owners wait.
    pub answer: Micros,
    /// The ratio of use to ask, a matter of programs more than of the moment.
    pub ratio: Micros,
    /// What the ratio falls back to.
    pub prior: (f64, f64),
}

impl HalfLives {
    /// As the settings imply them.
    pub fn told(settings: &Settings) -> Self {
        let longest =
            |of: fn(&reedring_settings::Class) -> Micros| settings.classes.iter().map(of).max();
        let patience = longest(|class| class.give_up_us).unwrap_or(1);
        let prior = |accepts: f64| 1.0 / accepts.max(1.0);
        Self {
            load: patience,
            refusal: longest(|class| class.aim_us).unwrap_or(1),
            strike: settings.links.lost_after_us,
            answer: patience.saturating_mul(8),
            ratio: settings.limits.keep_ended_us,
            prior: (
                prior(settings.site.accepts_cores),
                prior(settings.site.accepts_memory),
            ),
        }
    }
}

/// What is left of a belief of this age; 0 where it is too faint to count.
fn weight(age: Micros, half: Micros) -> f64 {
    let left = (-(age as f64) / half.max(1) as f64).exp2();
    if left < FAINT { 0.0 } else { left }
}

impl BeliefSnapshot {
    /// What it comes to at this time, in microseconds since 1970. A file from the future counts as old.
    ///
    /// Load is drawn towards the mean of the fleet as it ages, and the ratio towards what the settings say,
    /// so that what is left of an old file is what a placer without one would believe. Spent budgets of cold
    /// nodes are not aged but only grow older; where the age can't be told they count as just spent.
    pub fn aged(&self, now: u64, half: &HalfLives) -> (Vec<NodeBeliefs>, Beliefs) {
        let ahead = self.at > now;
        let age = if ahead {
            Micros::MAX / 4
        } else {
            now - self.at
        };
        let load = weight(age, half.load);
        let mean = |of: fn(&Belief) -> Option<(Micros, f64, f64)>| {
            let told: Vec<_> = self
                .nodes
                .iter()
                .filter_map(|known| of(&known.belief))
                .collect();
            let part = |x: fn(&(Micros, f64, f64)) -> f64| told.iter().map(x).sum::<f64>();
            (
                part(|news| news.1) / told.len().max(1) as f64,
                part(|news| news.2) / told.len().max(1) as f64,
            )
        };
        let (asked, used) = (mean(|belief| belief.asked), mean(|belief| belief.used));
        let drawn = |news: Option<(Micros, f64, f64)>, mean: (f64, f64)| {
            let (ago, cores, memory) = news.filter(|_| load > 0.0)?;
            let blend = |x: f64, mean: f64| mean + load * (x - mean);
            Some((
                ago.saturating_add(age),
                blend(cores, mean.0),
                blend(memory, mean.1),
            ))
        };
        let fresh = weight(age, half.refusal) > 0.0;
        let node = |known: &NodeBeliefs| {
            let belief = &known.belief;
            let cold = belief
                .cold_offers
                .iter()
                .map(|ago| if ahead { 0 } else { ago.saturating_add(age) });
            let belief = Belief {
                machine: belief.machine,
                asked: drawn(belief.asked, asked),
                used: drawn(belief.used, used),
                refused: belief
                    .refused
                    .filter(|_| fresh)
                    .map(|(ago, cores, memory)| (ago.saturating_add(age), cores, memory)),
                shut: belief
                    .shut
                    .iter()
                    .filter(|(.., left)| fresh && *left > age)
                    .map(|(tenant, class, left)| (*tenant, *class, left - age))
                    .collect(),
                strikes: (f64::from(belief.strikes) * weight(age, half.strike)) as u32,
                barred_us: belief.barred_us.saturating_sub(age),
                cold_offers: cold.filter(|ago| *ago < COLD_US).collect(),
            };
            NodeBeliefs {
                node: known.node.clone(),
                life: known.life,
                belief,
            }
        };
        let told = |known: &NodeBeliefs| {
            let nothing = Belief {
                machine: known.belief.machine,
                ..Belief::default()
            };
            known.belief != nothing
        };
        let nodes = self.nodes.iter().map(node).filter(told).collect();
        // Fewer of the answers count, the newest of them: a jam of long ago is soon outnumbered.
        let kept = (self.answers.len() as f64 * weight(age, half.answer)) as usize;
        let arrival = |(ago, size): &(Micros, f64)| (ago.saturating_add(age), *size);
        let sane = self
            .ratio
            .filter(|(cores, memory)| cores.is_finite() && memory.is_finite());
        let blend = |x: f64, prior: f64| prior + weight(age, half.ratio) * (x - prior);
        let beliefs = Beliefs {
            machines: Vec::new(),
            answers: self.answers[self.answers.len() - kept..].to_vec(),
            arrivals: self
                .arrivals
                .iter()
                .map(arrival)
                .filter(|_| load > 0.0)
                .collect(),
            ratio: sane.map(|(x, y)| (blend(x, half.prior.0), blend(y, half.prior.1))),
        };
        (nodes, beliefs)
    }

    /// The bytes of the file: magic, version, placer, body, and a checksum over all before it.
    pub fn encode(&self, placer: &str) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(placer.len() as u16).to_le_bytes());
        bytes.extend_from_slice(placer.as_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&body);
        let sum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads a file's bytes.
    ///
    /// # Errors
    /// What is wrong with them: damaged, of a newer program, or of another placer.
    pub fn decode(bytes: &[u8], file: &str, placer: &str) -> Result<Self, BeliefError> {
        let wrong = |version, what: String| BeliefError::new(file, version, what);
        let (told, sum) = bytes
            .split_last_chunk::<4>()
            .ok_or_else(|| wrong(0, "it is empty or cut short".to_owned()))?;
        let whole = crc32c::crc32c(told) == u32::from_le_bytes(*sum);
        let mut rest = told;
        let mut take = |count: usize| {
            let (head, tail) = rest.split_at_checked(count)?;
            rest = tail;
            Some(head)
        };
        let short = || wrong(0, "it is cut short".to_owned());
        if !whole || take(MAGIC.len()) != Some(MAGIC) {
            return Err(wrong(
                0,
                "it is damaged: its checksum does not fit".to_owned(),
            ));
        }
        let version = u16::from_le_bytes(
            take(2)
                .and_then(|two| two.try_into().ok())
                .ok_or_else(short)?,
        );
        if version > VERSION {
            let what = format!(
                "it has version {version}, this program knows up to {VERSION}; it stays as it is"
            );
            return Err(wrong(version, what));
        }
        let count = u16::from_le_bytes(
            take(2)
                .and_then(|two| two.try_into().ok())
                .ok_or_else(short)?,
        );
        let owner =
            String::from_utf8_lossy(take(usize::from(count)).ok_or_else(short)?).into_owned();
        if owner != placer {
            return Err(wrong(
                version,
                format!("it is placer `{owner}`'s, not `{placer}`'s"),
            ));
        }
        let count = u32::from_le_bytes(
            take(4)
                .and_then(|four| four.try_into().ok())
                .ok_or_else(short)?,
        );
        let body = take(count as usize).ok_or_else(short)?;
        postcard::from_bytes(body).map_err(|error| wrong(version, error.to_string()))
    }

    /// Puts together what a placer knows now. `named` gives a machine's node and the node's life.
    pub fn of(
        at: u64,
        beliefs: Beliefs,
        named: impl Fn(MachineId) -> Option<(String, Option<u64>)>,
    ) -> Self {
        let known = |belief: Belief| {
            let (node, life) = named(belief.machine)?;
            // JSON has no infinity, and no task asks for more than this.
            let finite = |(ago, cores, memory): (Micros, f64, f64)| {
                (ago, cores.min(f64::MAX), memory.min(f64::MAX))
            };
            Some(NodeBeliefs {
                node,
                life,
                belief: Belief {
                    refused: belief.refused.map(finite),
                    ..belief
                },
            })
        };
        Self {
            at,
            nodes: beliefs.machines.into_iter().filter_map(known).collect(),
            answers: beliefs.answers,
            arrivals: beliefs.arrivals,
            ratio: beliefs.ratio,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const HALF: HalfLives = HalfLives {
        load: 8 * SECOND,
        refusal: SECOND,
        strike: 60 * SECOND,
        answer: 64 * SECOND,
        ratio: 3_600 * SECOND,
        prior: (0.5, 0.5),
    };

    fn sample() -> BeliefSnapshot {
        let belief = |machine, cores| Belief {
            machine: MachineId(machine),
            asked: Some((SECOND, cores, 4.0)),
            refused: Some((SECOND / 2, 1.0, f64::INFINITY)),
            shut: vec![(0, 1, 12 * SECOND)],
            strikes: 4,
            barred_us: 2 * SECOND,
            cold_offers: vec![SECOND],
            ..Belief::default()
        };
        let known = |node: &str, machine, cores| NodeBeliefs {
            node: node.to_owned(),
            life: Some(9),
            belief: belief(machine, cores),
        };
        BeliefSnapshot {
            at: 1_000 * SECOND,
            nodes: vec![known("a", 1, 2.0), known("b", 2, 10.0)],
            answers: vec![1_000; 64],
            arrivals: vec![(SECOND, 1.0)],
            ratio: Some((0.1, 0.9)),
        }
    }

    #[test]
    fn a_belief_counts_for_less_the_older_it_is() {
        let learned = sample();
        let asked = |age: u64| learned.aged(learned.at + age, &HALF).0[0].belief.asked;
        assert_eq!(asked(0), Some((SECOND, 2.0, 4.0)));
        assert_eq!(
            asked(8 * SECOND),
            Some((9 * SECOND, 4.0, 4.0)),
            "half way to the mean of the fleet"
        );
        assert_eq!(asked(40 * SECOND), None);
        let strikes = |age: u64| learned.aged(learned.at + age, &HALF).0[0].belief.strikes;
        assert_eq!(
            [strikes(0), strikes(60 * SECOND), strikes(120 * SECOND)],
            [4, 2, 1]
        );
        let shut = |age: u64| {
            learned.aged(learned.at + age, &HALF).0[0]
                .belief
                .shut
                .clone()
        };
        assert_eq!(shut(3 * SECOND), [(0, 1, 9 * SECOND)]);
        assert!(shut(5 * SECOND).is_empty());
    }

    #[test]
    fn a_week_leaves_nothing_and_the_future_counts_as_a_week() {
        let learned = sample();
        let (nodes, beliefs) = learned.aged(learned.at + 7 * 86_400 * SECOND, &HALF);
        assert_eq!(nodes, []);
        assert_eq!(
            (beliefs.answers.len(), beliefs.arrivals.len(), beliefs.ratio),
            (0, 0, Some((0.5, 0.5)))
        );
        let (nodes, ahead) = learned.aged(learned.at - 1, &HALF);
        assert_eq!(ahead, beliefs);
        // Rule 4: a clock that went back frees no budget.
        assert!(
            nodes
                .iter()
                .all(|known| known.belief.cold_offers == [0] && known.belief.asked.is_none())
        );
    }

    #[test]
    fn every_flipped_bit_and_every_cut_is_found() {
        let bytes = sample().encode("p");
        assert_eq!(BeliefSnapshot::decode(&bytes, "f", "p"), Ok(sample()));
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut bytes = bytes.clone();
                bytes[at] ^= 1 << bit;
                assert!(
                    BeliefSnapshot::decode(&bytes, "f", "p").is_err(),
                    "byte {at}, bit {bit}"
                );
            }
            assert!(
                BeliefSnapshot::decode(&bytes[..at], "f", "p").is_err(),
                "cut at {at}"
            );
        }
    }

    #[test]
    fn a_newer_file_and_another_placers_are_told_apart_from_damage() {
        let mut bytes = sample().encode("p");
        assert!(
            BeliefSnapshot::decode(&bytes, "f", "q")
                .unwrap_err()
                .to_string()
                .contains("`p`'s, not `q`'s")
        );
        bytes[8] = 200;
        let end = bytes.len() - 4;
        let sum = crc32c::crc32c(&bytes[..end]).to_le_bytes();
        bytes[end..].copy_from_slice(&sum);
        let error = BeliefSnapshot::decode(&bytes, "f", "p").unwrap_err();
        assert!(error.is_newer(), "{error}");
    }
}
