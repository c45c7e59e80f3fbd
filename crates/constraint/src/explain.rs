//! Why machines are not open, clause by clause.

use std::fmt;

use fixedbitset::FixedBitSet;

use crate::eval::{Compiled, Own, Verdict};
use crate::fleet::{Census, Fleet};
use crate::tree::Strength;

/// What one requirement does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClauseLine {
    /// Its text.
    pub text: String,
    /// Machines that it removes by itself.
    pub alone: usize,
    /// Machines that it removes from those that the clauses before it left.
    pub in_order: usize,
}

/// Why a task has the machines that it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// How it stands.
    pub verdict: Verdict,
    /// Lines of the list.
    pub machines: usize,
    /// Lines that are not ready.
    pub not_ready: usize,
    /// The requirements, in order.
    pub clauses: Vec<ClauseLine>,
    /// Machines that are left.
    pub open: usize,
    /// The clause that removed the last machine.
    pub last: Option<usize>,
    /// Clauses that can't all hold, of which none could be left out: a smallest conflict. Empty where
    /// machines are open, or where health alone stands in the way.
    pub conflict: Vec<usize>,
}

impl Compiled {
    /// Explains the machines that [`Compiled::open`] gives, wishes left out.
    pub fn explain(&self, fleet: &Fleet, census: &Census, own: &Own) -> Explanation {
        let never = self.is_never();
        let lines = fleet.all().count_ones(..);
        let numbers: Vec<usize> = (0..self.clauses().count())
            .filter(|n| {
                self.clauses()
                    .nth(*n)
                    .is_some_and(|c| c.strength == Strength::Require)
            })
            .collect();
        let sets: Vec<FixedBitSet> = numbers
            .iter()
            .map(|n| self.clause(*n, fleet, census, own))
            .collect();
        // What can never be had is explained by the whole list, health aside.
        let base = if never {
            fleet.all()
        } else {
            fleet.ready().clone()
        };
        let (mut left, mut last, mut clauses) = (base.clone(), None, Vec::new());
        for (at, set) in sets.iter().enumerate() {
            let before = left.count_ones(..);
            left.intersect_with(set);
            let after = left.count_ones(..);
            let text = self
                .clauses()
                .nth(numbers[at])
                .map(ToString::to_string)
                .unwrap_or_default();
            let alone = base.difference(set).count();
            clauses.push(ClauseLine {
                text,
                alone,
                in_order: before - after,
            });
            if before > 0 && after == 0 {
                last = Some(at);
            }
        }
        let open = if never { 0 } else { left.count_ones(..) };
        let conflict = if left.is_clear() && !base.is_clear() {
            smallest(&base, &sets)
        } else {
            Vec::new()
        };
        Explanation {
            verdict: match (never, open) {
                (true, _) => Verdict::Never,
                (false, 0) => Verdict::NotNow,
                (false, _) => Verdict::Open,
            },
            machines: lines,
            not_ready: lines - fleet.ready().count_ones(..),
            clauses,
            open,
            last,
            conflict,
        }
    }
}

/// Sets whose intersection is empty, none of which can be left out: each is tried in turn.
fn smallest(base: &FixedBitSet, sets: &[FixedBitSet]) -> Vec<usize> {
    let empty = |keep: &[usize]| {
        let mut left = base.clone();
        keep.iter().for_each(|n| left.intersect_with(&sets[*n]));
        left.is_clear()
    };
    let mut keep: Vec<usize> = (0..sets.len()).collect();
    for n in (0..sets.len()).rev() {
        let without: Vec<usize> = keep.iter().copied().filter(|kept| *kept != n).collect();
        if empty(&without) {
            keep = without;
        }
    }
    keep
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.verdict {
            Verdict::Never => write!(
                f,
                "no node of the list can ever satisfy its constraint ({} nodes)",
                self.machines
            )?,
            Verdict::NotNow => write!(
                f,
                "no node satisfies its constraint now ({} nodes, {} not ready)",
                self.machines, self.not_ready
            )?,
            Verdict::Open => write!(
                f,
                "{} of {} nodes are open ({} not ready)",
                self.open, self.machines, self.not_ready
            )?,
        }
        for (n, clause) in self.clauses.iter().enumerate() {
            let word = if self.last == Some(n) {
                ", the last of them"
            } else {
                ""
            };
            write!(
                f,
                "; `{}` removes {} of {}{word}",
                clause.text, clause.in_order, clause.alone
            )?;
        }
        if self.conflict.len() > 1 {
            let texts: Vec<String> = self
                .conflict
                .iter()
                .map(|n| format!("`{}`", self.clauses[*n].text))
                .collect();
            write!(f, "; these conflict only together: {}", texts.join(", "))?;
        }
        Ok(())
    }
}
