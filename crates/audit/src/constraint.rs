//! Constraints, judged line by line: this shares the grammar with the placer and nothing else.

use std::collections::BTreeMap;

use reedring_constraint::{
    Attr, Compare, Constraint, Expr, Field, Op, Place, Rule, Spread, Strength, Value, Who,
};

/// A node as a list has it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spot {
    pub name: String,
    pub kind: String,
    pub rack: String,
    pub hall: String,
    pub attrs: BTreeMap<String, Attr>,
    pub ready: bool,
}

/// A copy that stands or may stand.
#[derive(Clone, Debug)]
pub(crate) struct Copy {
    pub node: String,
    pub class: String,
    pub service: String,
    pub labels: Vec<(String, String)>,
}

/// Whose constraint it is, and what is known at the moment of its offer.
pub(crate) struct Scene<'a> {
    pub spots: &'a BTreeMap<String, Spot>,
    pub copies: &'a [Copy],
    pub class: &'a str,
    pub service: &'a str,
}

pub(crate) fn place(spot: &Spot, by: Place) -> Option<(String, String)> {
    let told = |text: &String| !text.is_empty();
    match by {
        Place::Machine => Some((spot.name.clone(), String::new())),
        Place::Rack => told(&spot.rack).then(|| (spot.hall.clone(), spot.rack.clone())),
        Place::Hall => told(&spot.hall).then(|| (spot.hall.clone(), String::new())),
    }
}

fn compares(compare: &Compare, spot: &Spot) -> bool {
    let text = |text: &String| (!text.is_empty()).then(|| Attr::Text(text.clone()));
    let told = match &compare.field {
        Field::Kind => text(&spot.kind),
        Field::Rack => text(&spot.rack),
        Field::Hall => text(&spot.hall),
        Field::Name => text(&spot.name),
        Field::Attr(name) => spot.attrs.get(name).cloned(),
    };
    let order = match (told, &compare.value) {
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

impl Scene<'_> {
    fn is(&self, copy: &Copy, who: &Who) -> bool {
        match who {
            Who::Copies => {
                (copy.class.as_str(), copy.service.as_str()) == (self.class, self.service)
            }
            Who::Service(name) => copy.service == *name,
            Who::Label(key, value) => copy.labels.iter().any(|(k, v)| (k, v) == (key, value)),
        }
    }

    /// Copies by place; a copy on a node that no list holds has none.
    fn counts(&self, who: &Who, by: Place) -> BTreeMap<(String, String), u32> {
        let mut counts = BTreeMap::new();
        for copy in self.copies.iter().filter(|copy| self.is(copy, who)) {
            if let Some(place) = self.spots.get(&copy.node).and_then(|spot| place(spot, by)) {
                *counts.entry(place).or_insert(0) += 1;
            }
        }
        counts
    }

    fn holds(&self, expr: &Expr, spot: &Spot) -> bool {
        match expr {
            Expr::And(all) => all.iter().all(|inner| self.holds(inner, spot)),
            Expr::Or(all) => all.iter().any(|inner| self.holds(inner, spot)),
            Expr::Not(inner) => !self.holds(inner, spot),
            Expr::Compare(compare) => compares(compare, spot),
            Expr::Near(who, by) => place(spot, *by).is_some_and(|here| {
                let counts = self.counts(who, *by);
                counts.contains_key(&here) || *who == Who::Copies && counts.is_empty()
            }),
            Expr::Apart(who, by) => {
                place(spot, *by).is_some_and(|here| !self.counts(who, *by).contains_key(&here))
            }
        }
    }

    /// Ready nodes that pass what speaks of the list alone: an even spread is counted among their places.
    pub fn open(&self, constraint: &Constraint) -> Vec<String> {
        let passes = |spot: &&Spot| {
            spot.ready
                && constraint
                    .clauses
                    .iter()
                    .filter(|clause| clause.strength == Strength::Require)
                    .all(|clause| match &clause.rule {
                        Rule::Where(expr) if !expr.is_about_copies() => self.holds(expr, spot),
                        _ => true,
                    })
        };
        self.spots
            .values()
            .filter(passes)
            .map(|spot| spot.name.clone())
            .collect()
    }

    /// The requirements that a copy on this node does not keep; even spreads are judged elsewhere.
    pub fn breaks(&self, constraint: &Constraint, node: &str) -> Vec<String> {
        let Some(spot) = self.spots.get(node) else {
            return Vec::new();
        };
        let keeps = |rule: &Rule| match rule {
            Rule::Where(expr) => self.holds(expr, spot),
            Rule::Spread { by, how } => place(spot, *by).is_some_and(|here| {
                let counts = self.counts(&Who::Copies, *by);
                let count = counts.get(&here).copied().unwrap_or(0);
                match how {
                    Spread::AtMost(most) => count < *most,
                    Spread::AtLeast(least) => counts.len() >= *least as usize || count == 0,
                    Spread::Within(_) => true,
                }
            }),
        };
        let required = constraint
            .clauses
            .iter()
            .filter(|clause| clause.strength == Strength::Require);
        required
            .filter(|clause| !keeps(&clause.rule))
            .map(ToString::to_string)
            .collect()
    }
}
