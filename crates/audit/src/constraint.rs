//! Constraints, checked clause by clause: this shares the grammar with the placer and nothing else.

use std::collections::BTreeMap;

use reedring_constraint::{
    Attr, Compare, Constraint, CopySelector, DomainKind, Expr, Field, Op, Rule, SpreadLimit,
    Strength, Value,
};

/// What a node list says of a node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Location {
    pub name: String,
    pub kind: String,
    pub rack: String,
    pub zone: String,
    pub attrs: BTreeMap<String, Attr>,
    pub ready: bool,
}

/// A copy of a task that runs, or may run.
#[derive(Clone, Debug)]
pub(crate) struct RunningCopy {
    pub node: String,
    pub class: String,
    pub service: String,
    pub labels: Vec<(String, String)>,
}

/// An offer under a constraint: its class and service, and what is known at that moment.
pub(crate) struct OfferContext<'a> {
    pub locations: &'a BTreeMap<String, Location>,
    pub copies: &'a [RunningCopy],
    pub class: &'a str,
    pub service: &'a str,
}

/// A machine, rack or zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Domain {
    /// The zone, or the machine.
    outer: String,
    /// The rack within the zone; empty for the others.
    rack: String,
}

/// The domain of a node, if the list names it.
pub(crate) fn domain(location: &Location, by: DomainKind) -> Option<Domain> {
    let domain = |outer: &String, rack: &str| Domain {
        outer: outer.clone(),
        rack: rack.to_owned(),
    };
    match by {
        DomainKind::Machine => Some(domain(&location.name, "")),
        DomainKind::Rack => {
            (!location.rack.is_empty()).then(|| domain(&location.zone, &location.rack))
        }
        DomainKind::Hall => (!location.zone.is_empty()).then(|| domain(&location.zone, "")),
    }
}

fn compares(compare: &Compare, location: &Location) -> bool {
    let text = |text: &String| (!text.is_empty()).then(|| Attr::Text(text.clone()));
    let attribute = match &compare.field {
        Field::Kind => text(&location.kind),
        Field::Rack => text(&location.rack),
        Field::Hall => text(&location.zone),
        Field::Name => text(&location.name),
        Field::Attr(name) => location.attrs.get(name).cloned(),
    };
    let order = match (attribute, &compare.value) {
        (Some(Attr::Text(text)), Value::Set(all)) => {
            return compare.op == Op::In && all.contains(&text);
        }
        (Some(Attr::Set(all)), Value::Text(text)) => {
            return compare.op == Op::Has && all.contains(text);
        }
        (Some(Attr::Text(a)), Value::Text(b)) if matches!(compare.op, Op::Eq | Op::Ne) => a.cmp(b),
        (Some(Attr::Number(a)), Value::Number(b)) => a.total_cmp(b),
        (Some(Attr::Version(mut a)), Value::Version(b)) => {
            let mut b = b.clone();
            let parts = a.len().max(b.len());
            a.resize(parts, 0);
            b.resize(parts, 0);
            a.cmp(&b)
        }
        _ => return false,
    };
    match compare.op {
        Op::Eq => order.is_eq(),
        Op::Ne => order.is_ne(),
        Op::Lt => order.is_lt(),
        Op::Le => order.is_le(),
        Op::Gt => order.is_gt(),
        Op::Ge => order.is_ge(),
        Op::In | Op::Has => false,
    }
}

impl OfferContext<'_> {
    fn is_meant(&self, copy: &RunningCopy, who: &CopySelector) -> bool {
        match who {
            CopySelector::OwnService => {
                (copy.class.as_str(), copy.service.as_str()) == (self.class, self.service)
            }
            CopySelector::Service(name) => copy.service == *name,
            CopySelector::Label(key, value) => {
                copy.labels.iter().any(|(k, v)| (k, v) == (key, value))
            }
        }
    }

    /// How many copies run in each domain; a copy on a node that no list names is in none.
    fn counts(&self, who: &CopySelector, by: DomainKind) -> BTreeMap<Domain, u32> {
        let mut counts = BTreeMap::new();
        for copy in self.copies.iter().filter(|copy| self.is_meant(copy, who)) {
            if let Some(domain) = self
                .locations
                .get(&copy.node)
                .and_then(|location| domain(location, by))
            {
                *counts.entry(domain).or_insert(0) += 1;
            }
        }
        counts
    }

    fn is_true(&self, expr: &Expr, location: &Location) -> bool {
        match expr {
            Expr::And(all) => all.iter().all(|inner| self.is_true(inner, location)),
            Expr::Or(all) => all.iter().any(|inner| self.is_true(inner, location)),
            Expr::Not(inner) => !self.is_true(inner, location),
            Expr::Compare(compare) => compares(compare, location),
            Expr::Affinity(who, by) => domain(location, *by).is_some_and(|here| {
                let counts = self.counts(who, *by);
                counts.contains_key(&here) || *who == CopySelector::OwnService && counts.is_empty()
            }),
            Expr::AntiAffinity(who, by) => {
                domain(location, *by).is_some_and(|here| !self.counts(who, *by).contains_key(&here))
            }
        }
    }

    /// Ready nodes that pass the clauses about the node list alone: an even spread is counted among their domains.
    pub fn candidates(&self, constraint: &Constraint) -> Vec<String> {
        let passes = |location: &&Location| {
            location.ready
                && constraint
                    .clauses
                    .iter()
                    .filter(|clause| clause.strength == Strength::Require)
                    .all(|clause| match &clause.rule {
                        Rule::Where(expr) if !expr.depends_on_copies() => {
                            self.is_true(expr, location)
                        }
                        _ => true,
                    })
        };
        self.locations
            .values()
            .filter(passes)
            .map(|location| location.name.clone())
            .collect()
    }

    /// The required clauses that a copy on this node violates; even spreads are checked elsewhere.
    pub fn violated_clauses(&self, constraint: &Constraint, node: &str) -> Vec<String> {
        let Some(location) = self.locations.get(node) else {
            return Vec::new();
        };
        let is_satisfied = |rule: &Rule| match rule {
            Rule::Where(expr) => self.is_true(expr, location),
            Rule::Spread { by, limit } => domain(location, *by).is_some_and(|here| {
                let counts = self.counts(&CopySelector::OwnService, *by);
                let count = counts.get(&here).copied().unwrap_or(0);
                match limit {
                    SpreadLimit::AtMost(most) => count < *most,
                    SpreadLimit::AtLeast(least) => counts.len() >= *least as usize || count == 0,
                    SpreadLimit::Within(_) => true,
                }
            }),
        };
        let required = constraint
            .clauses
            .iter()
            .filter(|clause| clause.strength == Strength::Require);
        required
            .filter(|clause| !is_satisfied(&clause.rule))
            .map(ToString::to_string)
            .collect()
    }
}
