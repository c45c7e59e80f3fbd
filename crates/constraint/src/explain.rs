//! Explains, clause by clause, why machines are not open to a task.

use std::fmt;

use fixedbitset::FixedBitSet;

use crate::eval::{Compiled, OwnService, Verdict};
use crate::fleet::{Census, Fleet};
use crate::tree::Strength;

/// How many machines one requirement excludes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClauseEffect {
    /// The text of the clause.
    pub text: String,
    /// Number of machines that the clause excludes by itself.
    pub removed_alone: usize,
    /// Number of machines that the clause excludes among those that the requirements before it left.
    pub removed_in_order: usize,
}

/// Which machines are open to a task, and which requirements exclude the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Whether any machine is open.
    pub verdict: Verdict,
    /// Number of nodes in the list.
    pub machines: usize,
    /// Number of nodes in the list that are not ready.
    pub not_ready: usize,
    /// The requirements, in the order of the text.
    pub clauses: Vec<ClauseEffect>,
    /// Number of open machines.
    pub open: usize,
    /// Index in `clauses` of the requirement that excluded the last machine; `None` if the requirements leave
    /// one, or if there was none before the first requirement.
    pub last_removing: Option<usize>,
    /// Indexes in `clauses` of a minimal conflict: requirements that no machine satisfies together, while some machine
    /// satisfies them if any one is left out. Empty if the requirements, applied in order, leave a machine,
    /// or if there was none before the first requirement.
    pub conflict: Vec<usize>,
}

impl Compiled {
    /// Explains the machines that [`Compiled::open`] returns if all preferences are ignored.
    pub fn explain(&self, fleet: &Fleet, census: &Census, own: &OwnService) -> Explanation {
        let never = self.is_never();
        let machines = fleet.all().count_ones(..);
        let requirements: Vec<usize> = (0..self.clauses().count())
            .filter(|n| {
                self.clauses()
                    .nth(*n)
                    .is_some_and(|c| c.strength == Strength::Require)
            })
            .collect();
        let sets: Vec<FixedBitSet> = requirements
            .iter()
            .map(|n| self.clause(*n, fleet, census, own))
            .collect();
        // A constraint that can never be satisfied is explained over the whole list, whatever the nodes' health.
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
                .nth(requirements[at])
                .map(ToString::to_string)
                .unwrap_or_default();
            let removed_alone = base.difference(set).count();
            clauses.push(ClauseEffect {
                text,
                removed_alone,
                removed_in_order: before - after,
            });
            if before > 0 && after == 0 {
                last = Some(at);
            }
        }
        let open = if never { 0 } else { left.count_ones(..) };
        let conflict = if left.is_clear() && !base.is_clear() {
            minimal_conflict(&base, &sets)
        } else {
            Vec::new()
        };
        Explanation {
            verdict: match (never, open) {
                (true, _) => Verdict::Never,
                (false, 0) => Verdict::NotNow,
                (false, _) => Verdict::Open,
            },
            machines,
            not_ready: machines - fleet.ready().count_ones(..),
            clauses,
            open,
            last_removing: last,
            conflict,
        }
    }
}

/// Indexes of a minimal choice of `sets` whose intersection with `base` is empty. Starts with all of them and, from the
/// last to the first, leaves out each one that is not needed.
fn minimal_conflict(base: &FixedBitSet, sets: &[FixedBitSet]) -> Vec<usize> {
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
            let word = if self.last_removing == Some(n) {
                ", the last of them"
            } else {
                ""
            };
            write!(
                f,
                "; `{}` removes {} of {}{word}",
                clause.text, clause.removed_in_order, clause.removed_alone
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
