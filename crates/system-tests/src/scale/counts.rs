//! Counts of messages as they cross from the hollow processes to the run: one line of text for each look.

use std::collections::BTreeMap;
use std::fmt;

use reedring_node_protocol::{Count, Counts, MessageKind, PeerTraffic, TrafficCounts};

/// How the line of a look begins.
pub const COUNTS: &str = "counts ";

/// Messages and bytes by kind that one end wrote and read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Written by that end.
    pub written: Counts,
    /// Read by that end.
    pub read: Counts,
}

/// Which kinds are added up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Links and plans.
    Control,
    /// Tasks.
    Work,
    /// All of it.
    Whole,
}

impl Share {
    fn has(self, kind: MessageKind) -> bool {
        match self {
            Self::Control => kind.is_control(),
            Self::Work => !kind.is_control(),
            Self::Whole => true,
        }
    }
}

fn each(ours: &Counts, theirs: &Counts, combine: impl Fn(u64, u64) -> u64) -> Counts {
    std::array::from_fn(|n| Count {
        messages: combine(ours[n].messages, theirs[n].messages),
        bytes: combine(ours[n].bytes, theirs[n].bytes),
    })
}

impl LinkCounts {
    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        let add = |a, b| a + b;
        Self {
            written: each(&self.written, &other.written, add),
            read: each(&self.read, &other.read, add),
        }
    }

    /// What came since an earlier look.
    pub fn since(&self, earlier: &Self) -> Self {
        let less = u64::saturating_sub;
        Self {
            written: each(&self.written, &earlier.written, less),
            read: each(&self.read, &earlier.read, less),
        }
    }

    /// Messages and bytes, both ways added.
    pub fn total(&self, share: Share) -> Count {
        let mut total = Count::default();
        for kind in MessageKind::ALL.into_iter().filter(|kind| share.has(*kind)) {
            for count in [self.written[kind as usize], self.read[kind as usize]] {
                total.messages += count.messages;
                total.bytes += count.bytes;
            }
        }
        total
    }
}

/// Counts by the name of a placer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacerCounts(pub BTreeMap<String, LinkCounts>);

impl PlacerCounts {
    /// Of one placer; nothing where it was never seen.
    pub fn of(&self, placer: &str) -> LinkCounts {
        self.0.get(placer).copied().unwrap_or_default()
    }

    /// Adds those of another process.
    pub fn add(&mut self, other: &Self) {
        for (name, counts) in &other.0 {
            let sum = self.of(name).plus(counts);
            self.0.insert(name.clone(), sum);
        }
    }

    /// What came since an earlier look.
    pub fn since(&self, earlier: &Self) -> Self {
        Self(
            self.0
                .iter()
                .map(|(name, counts)| (name.clone(), counts.since(&earlier.of(name))))
                .collect(),
        )
    }

    /// All placers together.
    pub fn sum(&self) -> LinkCounts {
        self.0
            .values()
            .fold(LinkCounts::default(), |sum, counts| sum.plus(counts))
    }

    /// What an end counted with peers whose names are wanted, added up under one name.
    pub fn add_peers(&mut self, name: &str, traffic: &PeerTraffic, wanted: impl Fn(&str) -> bool) {
        for counters in traffic
            .peers()
            .iter()
            .filter(|counters| wanted(&counters.peer))
        {
            let TrafficCounts { written, read } = counters.traffic.counts();
            let sum = self.of(name).plus(&LinkCounts { written, read });
            self.0.insert(name.to_owned(), sum);
        }
    }

    /// Reads what [`fmt::Display`] wrote; nothing where it is no such line.
    pub fn parse(line: &str) -> Option<Self> {
        let mut all = Self::default();
        for word in line.strip_prefix(COUNTS)?.split_whitespace() {
            let mut fields = word.split(':');
            let counts = all.0.entry(fields.next()?.to_owned()).or_default();
            let name = fields.next()?;
            let kind = MessageKind::ALL
                .into_iter()
                .find(|kind| kind.name() == name)?;
            let mut number = || fields.next()?.parse::<u64>().ok();
            counts.written[kind as usize] = Count {
                messages: number()?,
                bytes: number()?,
            };
            counts.read[kind as usize] = Count {
                messages: number()?,
                bytes: number()?,
            };
        }
        Some(all)
    }
}

impl fmt::Display for PlacerCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(COUNTS)?;
        for (name, counts) in &self.0 {
            for kind in MessageKind::ALL {
                let (written, read) = (counts.written[kind as usize], counts.read[kind as usize]);
                if (written, read) != Default::default() {
                    let kind = kind.name();
                    write!(f, "{name}:{kind}:{}:{}", written.messages, written.bytes)?;
                    write!(f, ":{}:{} ", read.messages, read.bytes)?;
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
