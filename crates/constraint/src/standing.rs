//! Whether a constraint still holds for a copy that stands.

use std::collections::BTreeMap;

use crate::eval::{Compiled, Own, counts};
use crate::fleet::{Census, Fleet, Topic};
use crate::tree::{Constraint, Expr, Rule, Spread, Strength, Who};

/// A clause that held and no longer does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Breach {
    /// The clause's number.
    pub clause: usize,
    /// Its text.
    pub text: String,
    /// What would mend it.
    pub mends: String,
}

/// The requirements that do not hold for the copy on this line. `census` counts it too; `topics` are what it
/// counts as. A copy on a dark line is not judged: nobody knows whether it stands. `reached` keeps, by clause, how
/// many places a spread had reached: it is broken where it falls behind, and not while it still grows.
#[allow(
    clippy::too_many_arguments,
    reason = "one value a part of the answer; to be a struct when the package is reworked"
)]
pub fn broken(
    constraint: &Constraint,
    compiled: &Compiled,
    fleet: &Fleet,
    census: &Census,
    own: &Own,
    topics: &[Topic],
    line: usize,
    reached: &mut BTreeMap<usize, u32>,
) -> Vec<Breach> {
    if fleet.lines().get(line).is_none_or(|line| line.dark) {
        return Vec::new();
    }
    let mut found = Vec::new();
    for (n, clause) in constraint.clauses.iter().enumerate() {
        if clause.strength == Strength::Prefer {
            continue;
        }
        let mends = match &clause.rule {
            Rule::Where(expr) if !expr.is_about_copies() => {
                (!compiled.clause(n, fleet, census, own).contains(line)).then(|| {
                    format!(
                        "node {} must satisfy it again, or the job be moved",
                        fleet.lines()[line].name
                    )
                })
            }
            Rule::Where(expr) => (!holds(expr, fleet, census, own, topics, line))
                .then(|| "copies must come or go as it says".to_owned()),
            Rule::Spread { by, how } => {
                let counts = counts(fleet, census, own, *by, false);
                let taken = counts.iter().filter(|count| **count > 0).count() as u32;
                match how {
                    Spread::AtMost(most) => {
                        let over = counts
                            .iter()
                            .copied()
                            .max()
                            .unwrap_or(0)
                            .saturating_sub(*most);
                        (over > 0)
                            .then(|| format!("{over} copies must leave the fullest {}", by.word()))
                    }
                    Spread::AtLeast(least) => {
                        let high = reached.entry(n).or_default();
                        *high = (*high).max(taken.min(*least));
                        let want = *high;
                        (taken < want).then(|| {
                            format!(
                                "a copy must stand in {} more",
                                plural(want - taken, by.word())
                            )
                        })
                    }
                    Spread::Within(skew) => {
                        let most = counts.iter().copied().max().unwrap_or(0);
                        let fewest = open_fewest(fleet, compiled, &counts, *by);
                        (most > fewest + skew)
                            .then(|| format!("the emptiest {} needs copies", by.word()))
                    }
                }
            }
        };
        if let Some(mends) = mends {
            found.push(Breach {
                clause: n,
                text: clause.to_string(),
                mends,
            });
        }
    }
    found
}

fn plural(count: u32, word: &str) -> String {
    if count == 1 {
        format!("1 {word}")
    } else {
        format!("{count} {word}s")
    }
}

fn open_fewest(fleet: &Fleet, compiled: &Compiled, counts: &[u32], by: crate::tree::Place) -> u32 {
    let open = compiled
        .open(fleet, &Census::default(), &Own::service("", ""), usize::MAX)
        .machines;
    let places = fleet.places(by).lines.iter().zip(counts);
    places
        .filter(|(lines, _)| !lines.is_disjoint(&open))
        .map(|(_, count)| *count)
        .min()
        .unwrap_or(0)
}

/// Whether an expression holds for a copy that stands: itself does not count as another.
fn holds(
    expr: &Expr,
    fleet: &Fleet,
    census: &Census,
    own: &Own,
    topics: &[Topic],
    line: usize,
) -> bool {
    let others = |who: &Who, place: crate::tree::Place| {
        let (topic, places) = (own.topic(who), fleet.places(place));
        let here = places.of.get(line).copied().flatten();
        let there = census.of(&topic).filter(|(other, _)| {
            let lit = fleet.lines().get(*other).is_some_and(|line| !line.dark);
            lit && here.is_some() && places.of.get(*other).copied().flatten() == here
        });
        let count: u32 = there.map(|(_, count)| count).sum();
        let itself = u32::from(topics.contains(&topic));
        (here.is_some(), count.saturating_sub(itself), itself)
    };
    match expr {
        Expr::And(all) => all
            .iter()
            .all(|inner| holds(inner, fleet, census, own, topics, line)),
        Expr::Or(all) => all
            .iter()
            .any(|inner| holds(inner, fleet, census, own, topics, line)),
        Expr::Not(inner) => !holds(inner, fleet, census, own, topics, line),
        Expr::Compare(compare) => fleet
            .lines()
            .get(line)
            .is_some_and(|line| crate::eval::compares(compare, line)),
        Expr::Near(who, place) => {
            let (told, others_here, itself) = others(who, *place);
            let elsewhere: u32 = census.of(&own.topic(who)).map(|(_, count)| count).sum();
            // A service that has no other copy is near to itself.
            told && (others_here > 0 || *who == Who::Copies && elsewhere <= itself)
        }
        Expr::Apart(who, place) => {
            let (told, others_here, _) = others(who, *place);
            told && others_here == 0
        }
    }
}
