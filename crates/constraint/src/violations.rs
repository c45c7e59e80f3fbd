//! Which requirements a running copy violates.

use std::collections::BTreeMap;

use crate::eval::{Compiled, OwnService, copies_per_domain};
use crate::fleet::{Census, Fleet, Topic};
use crate::tree::{Constraint, CopySelector, DomainKind, Expr, Rule, SpreadLimit, Strength};

/// A requirement that a running copy violates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The index of the clause in the constraint.
    pub clause: usize,
    /// The text of the clause.
    pub text: String,
    /// A description of what would satisfy the clause again.
    pub remedy: String,
}

/// The requirements that the copy on node `node` violates.
///
/// `census` includes this copy, under `topics`. For a copy on a gone node the result is empty, because it is unknown
/// whether the copy runs. `reached` stores, by clause index, the highest number of domains that the copies of a
/// [`SpreadLimit::AtLeast`] occupied so far, up to its limit: the spread is violated if the number falls below that,
/// and not while copies are still being added.
#[allow(
    clippy::too_many_arguments,
    reason = "each argument is a separate part of the state that the result depends on"
)]
pub fn violations(
    constraint: &Constraint,
    compiled: &Compiled,
    fleet: &Fleet,
    census: &Census,
    own: &OwnService,
    topics: &[Topic],
    node: usize,
    reached: &mut BTreeMap<usize, u32>,
) -> Vec<Violation> {
    if fleet.nodes().get(node).is_none_or(|node| node.gone) {
        return Vec::new();
    }
    let mut found = Vec::new();
    for (n, clause) in constraint.clauses.iter().enumerate() {
        if clause.strength == Strength::Prefer {
            continue;
        }
        let remedy = match &clause.rule {
            Rule::Where(expr) if !expr.depends_on_copies() => {
                (!compiled.clause(n, fleet, census, own).contains(node)).then(|| {
                    format!(
                        "node {} must satisfy it again, or the job be moved",
                        fleet.nodes()[node].name
                    )
                })
            }
            Rule::Where(expr) => (!holds_for_copy(expr, fleet, census, own, topics, node))
                .then(|| "copies must come or go as it says".to_owned()),
            Rule::Spread { by, limit } => {
                let counts = copies_per_domain(fleet, census, own, *by, false);
                let occupied = counts.iter().filter(|count| **count > 0).count() as u32;
                match limit {
                    SpreadLimit::AtMost(most) => {
                        let over = counts
                            .iter()
                            .copied()
                            .max()
                            .unwrap_or(0)
                            .saturating_sub(*most);
                        (over > 0)
                            .then(|| format!("{over} copies must leave the fullest {}", by.word()))
                    }
                    SpreadLimit::AtLeast(least) => {
                        let highest = reached.entry(n).or_default();
                        *highest = (*highest).max(occupied.min(*least));
                        let expected = *highest;
                        (occupied < expected).then(|| {
                            format!(
                                "a copy must stand in {} more",
                                plural(expected - occupied, by.word())
                            )
                        })
                    }
                    SpreadLimit::Within(skew) => {
                        let most = counts.iter().copied().max().unwrap_or(0);
                        let fewest = fewest_in_open_domains(fleet, compiled, &counts, *by);
                        (most > fewest + skew)
                            .then(|| format!("the emptiest {} needs copies", by.word()))
                    }
                }
            }
        };
        if let Some(remedy) = remedy {
            found.push(Violation {
                clause: n,
                text: clause.to_string(),
                remedy,
            });
        }
    }
    found
}

/// A count with its noun, such as `1 rack` or `2 racks`.
fn plural(count: u32, word: &str) -> String {
    if count == 1 {
        format!("1 {word}")
    } else {
        format!("{count} {word}s")
    }
}

/// The number of copies in the domain with the fewest, among domains with a node that is ready and satisfies every
/// requirement if there are no copies.
fn fewest_in_open_domains(
    fleet: &Fleet,
    compiled: &Compiled,
    counts: &[u32],
    by: DomainKind,
) -> u32 {
    let open = compiled
        .open(
            fleet,
            &Census::default(),
            &OwnService::new("", ""),
            usize::MAX,
        )
        .machines;
    let domains = fleet.domains(by).nodes_in.iter().zip(counts);
    domains
        .filter(|(nodes, _)| !nodes.is_disjoint(&open))
        .map(|(_, count)| *count)
        .min()
        .unwrap_or(0)
}

/// Whether an expression holds for the running copy on node `node`. The copy itself is not counted.
fn holds_for_copy(
    expr: &Expr,
    fleet: &Fleet,
    census: &Census,
    own: &OwnService,
    topics: &[Topic],
    node: usize,
) -> bool {
    // Returns whether the node's domain is known, the number of other selected copies in that domain, and 1 if
    // `selector` selects the copy itself (0 if not).
    let others = |selector: &CopySelector, domain_kind: DomainKind| {
        let (topic, domains) = (own.topic(selector), fleet.domains(domain_kind));
        let here = domains.domain_of.get(node).copied().flatten();
        let copies_here = census.of(&topic).filter(|(other, _)| {
            let available = fleet.nodes().get(*other).is_some_and(|node| !node.gone);
            available && here.is_some() && domains.domain_of.get(*other).copied().flatten() == here
        });
        let count: u32 = copies_here.map(|(_, count)| count).sum();
        let own_count = u32::from(topics.contains(&topic));
        (here.is_some(), count.saturating_sub(own_count), own_count)
    };
    match expr {
        Expr::And(all) => all
            .iter()
            .all(|inner| holds_for_copy(inner, fleet, census, own, topics, node)),
        Expr::Or(all) => all
            .iter()
            .any(|inner| holds_for_copy(inner, fleet, census, own, topics, node)),
        Expr::Not(inner) => !holds_for_copy(inner, fleet, census, own, topics, node),
        Expr::Compare(compare) => fleet
            .nodes()
            .get(node)
            .is_some_and(|node| crate::eval::comparison_holds(compare, node)),
        Expr::Affinity(selector, domain_kind) => {
            let (has_domain, others_here, own_count) = others(selector, *domain_kind);
            let total: u32 = census
                .of(&own.topic(selector))
                .map(|(_, count)| count)
                .sum();
            // Affinity to the own service holds if the service has no other copy.
            has_domain
                && (others_here > 0 || *selector == CopySelector::OwnService && total <= own_count)
        }
        Expr::AntiAffinity(selector, domain_kind) => {
            let (has_domain, others_here, _) = others(selector, *domain_kind);
            has_domain && others_here == 0
        }
    }
}
