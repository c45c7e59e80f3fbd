//! Which machines are open to a task.

use std::cmp::Ordering;

use fixedbitset::FixedBitSet;

use crate::fleet::{Attr, Census, Fleet, Line, Topic};
use crate::tree::{
    Clause, Compare, Constraint, Expr, Field, Op, Place, Rule, Spread, Strength, Value, Who,
};

/// Whose constraint it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Own {
    class: String,
    service: String,
}

impl Own {
    /// A task of this class and service.
    pub fn service(class: &str, service: &str) -> Self {
        Self {
            class: class.to_owned(),
            service: service.to_owned(),
        }
    }

    /// What copies of `who` are counted by.
    pub fn topic(&self, who: &Who) -> Topic {
        match who {
            Who::Copies => Topic::Own(self.class.clone(), self.service.clone()),
            Who::Service(name) => Topic::Service(name.clone()),
            Who::Label(key, value) => Topic::Label(key.clone(), value.clone()),
        }
    }

    /// What a task of it with these labels counts as.
    pub fn topics(&self, labels: &[(String, String)]) -> Vec<Topic> {
        let labels = labels
            .iter()
            .map(|(key, value)| Topic::Label(key.clone(), value.clone()));
        [
            self.topic(&Who::Copies),
            Topic::Service(self.service.clone()),
        ]
        .into_iter()
        .chain(labels)
        .collect()
    }
}

/// How a constraint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No line of the list can ever satisfy it, whatever its health and wherever copies stand.
    Never,
    /// Some line could, but none does now.
    NotNow,
    /// Some machine is open.
    Open,
}

/// The machines that are open to a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Lines, by number.
    pub machines: FixedBitSet,
    /// Wishes that were dropped, by the number of their clause.
    pub dropped: Vec<usize>,
    /// How it stands.
    pub verdict: Verdict,
}

/// A clause that is worked out for one fleet.
#[derive(Clone, Debug)]
struct Worked {
    clause: Clause,
    /// Lines on which it holds, or may hold where it speaks of copies.
    may: FixedBitSet,
    about_copies: bool,
}

/// A constraint that is worked out for one fleet, as far as copies and health do not matter.
#[derive(Clone, Debug)]
pub struct Compiled {
    clauses: Vec<Worked>,
    /// Lines that pass every requirement as far as copies do not matter.
    may: FixedBitSet,
    about_copies: bool,
}

/// Whether a comparison holds. A field that is not told satisfies none.
pub(crate) fn compares(compare: &Compare, line: &Line) -> bool {
    let text = |text: &str| {
        let holds = match (compare.op, &compare.value) {
            (Op::In, Value::Set(all)) => all.iter().any(|one| one == text),
            (Op::Eq, Value::Text(other)) => text == other,
            (Op::Ne, Value::Text(other)) => text != other,
            _ => false,
        };
        holds && !text.is_empty()
    };
    match &compare.field {
        Field::Kind => text(&line.kind),
        Field::Rack => text(&line.rack),
        Field::Hall => text(&line.hall),
        Field::Name => text(&line.name),
        Field::Attr(name) => match (line.attrs.get(name), compare.op, &compare.value) {
            (Some(Attr::Text(told)), ..) => text(told),
            (Some(Attr::Set(all)), Op::Has, Value::Text(text)) => all.contains(text),
            (Some(Attr::Number(a)), op, Value::Number(b)) => ordered(op, a.partial_cmp(b)),
            (Some(Attr::Version(a)), op, Value::Version(b)) => ordered(op, Some(versions(a, b))),
            _ => false,
        },
    }
}

fn versions(a: &[u64], b: &[u64]) -> Ordering {
    let part = |parts: &[u64], n: usize| parts.get(n).copied().unwrap_or(0);
    let parts = (0..a.len().max(b.len())).map(|n| part(a, n).cmp(&part(b, n)));
    parts
        .into_iter()
        .find(|order| order.is_ne())
        .unwrap_or(Ordering::Equal)
}

fn ordered(op: Op, order: Option<Ordering>) -> bool {
    let Some(order) = order else { return false };
    match op {
        Op::Eq => order.is_eq(),
        Op::Ne => order.is_ne(),
        Op::Lt => order.is_lt(),
        Op::Le => order.is_le(),
        Op::Gt => order.is_gt(),
        Op::Ge => order.is_ge(),
        Op::In | Op::Has => false,
    }
}

/// Lines on which an expression holds, and lines on which it may hold if copies stood otherwise. What
/// does not speak of copies gives the same twice.
struct Both {
    must: FixedBitSet,
    may: FixedBitSet,
}

fn inverse(set: &FixedBitSet) -> FixedBitSet {
    let mut out = set.clone();
    out.toggle_range(..);
    out
}

fn without_copies(expr: &Expr, fleet: &Fleet) -> Both {
    match expr {
        Expr::Compare(compare) => {
            let mut found = FixedBitSet::with_capacity(fleet.lines().len());
            let lines = fleet.lines().iter().enumerate();
            lines
                .filter(|(_, line)| compares(compare, line))
                .for_each(|(at, _)| found.insert(at));
            Both {
                may: found.clone(),
                must: found,
            }
        }
        Expr::Near(_, place) | Expr::Apart(_, place) => {
            // It may hold and may not, but for lines whose place is not told: there it never holds.
            let must = FixedBitSet::with_capacity(fleet.lines().len());
            Both {
                must,
                may: fleet.places(*place).told.clone(),
            }
        }
        Expr::Not(inner) => {
            let inner = without_copies(inner, fleet);
            Both {
                must: inverse(&inner.may),
                may: inverse(&inner.must),
            }
        }
        Expr::And(all) => all.iter().map(|inner| without_copies(inner, fleet)).fold(
            Both {
                must: fleet.all(),
                may: fleet.all(),
            },
            |mut sum, next| {
                sum.must.intersect_with(&next.must);
                sum.may.intersect_with(&next.may);
                sum
            },
        ),
        Expr::Or(all) => {
            let none = FixedBitSet::with_capacity(fleet.lines().len());
            let start = Both {
                must: none.clone(),
                may: none,
            };
            all.iter()
                .map(|inner| without_copies(inner, fleet))
                .fold(start, |mut sum, next| {
                    sum.must.union_with(&next.must);
                    sum.may.union_with(&next.may);
                    sum
                })
        }
    }
}

/// Lines in whose place such a copy stands.
fn beside(fleet: &Fleet, census: &Census, topic: &Topic, place: Place) -> FixedBitSet {
    let places = fleet.places(place);
    let mut found = FixedBitSet::with_capacity(fleet.lines().len());
    for (line, _) in census.of(topic) {
        if let Some(place) = places.of.get(line).copied().flatten() {
            found.union_with(&places.lines[place]);
        }
    }
    found
}

fn with_copies(expr: &Expr, fleet: &Fleet, census: &Census, own: &Own) -> FixedBitSet {
    match expr {
        Expr::Near(who, place) => {
            let topic = own.topic(who);
            // The first copy of the own service has none to be near to.
            if *who == Who::Copies && census.of(&topic).next().is_none() {
                return fleet.places(*place).told.clone();
            }
            beside(fleet, census, &topic, *place)
        }
        Expr::Apart(who, place) => {
            let mut open = fleet.places(*place).told.clone();
            open.difference_with(&beside(fleet, census, &own.topic(who), *place));
            open
        }
        Expr::Not(inner) => inverse(&with_copies(inner, fleet, census, own)),
        Expr::And(all) => all.iter().fold(fleet.all(), |mut sum, inner| {
            sum.intersect_with(&with_copies(inner, fleet, census, own));
            sum
        }),
        Expr::Or(all) => {
            let none = FixedBitSet::with_capacity(fleet.lines().len());
            all.iter().fold(none, |mut sum, inner| {
                sum.union_with(&with_copies(inner, fleet, census, own));
                sum
            })
        }
        Expr::Compare(_) => without_copies(expr, fleet).may,
    }
}

/// Own copies in each place.
pub(crate) fn counts(
    fleet: &Fleet,
    census: &Census,
    own: &Own,
    by: Place,
    dark_too: bool,
) -> Vec<u32> {
    let places = fleet.places(by);
    let mut counts = vec![0; places.lines.len()];
    for (line, count) in census.of(&own.topic(&Who::Copies)) {
        let counted = dark_too || fleet.lines().get(line).is_some_and(|line| !line.dark);
        if let Some(place) = places.of.get(line).copied().flatten().filter(|_| counted) {
            counts[place] += count;
        }
    }
    counts
}

/// Lines on which one copy more keeps a spread. `eligible` are lines that pass everything else that does
/// not speak of copies: the places among which an even spread is counted.
fn spread(
    fleet: &Fleet,
    census: &Census,
    own: &Own,
    (by, how): (Place, Spread),
    eligible: &FixedBitSet,
) -> FixedBitSet {
    let (places, counts) = (fleet.places(by), counts(fleet, census, own, by, true));
    let taken = counts.iter().filter(|count| **count > 0).count() as u32;
    let among = places
        .lines
        .iter()
        .zip(&counts)
        .filter(|(lines, _)| !lines.is_disjoint(eligible));
    let fewest = among.map(|(_, count)| *count).min().unwrap_or(0);
    let keeps = |place: usize| match how {
        Spread::AtMost(most) => counts[place] < most,
        // Until so many places hold a copy, each next one goes to a place that holds none.
        Spread::AtLeast(least) => taken >= least || counts[place] == 0,
        Spread::Within(skew) => counts[place] < fewest + skew,
    };
    let mut open = FixedBitSet::with_capacity(fleet.lines().len());
    for (place, lines) in places.lines.iter().enumerate() {
        if keeps(place) {
            open.union_with(lines);
        }
    }
    open
}

impl Compiled {
    /// Works a constraint out for a fleet. It holds until a line is added, removed, or changes its kind,
    /// rack, hall or attributes; health may change.
    pub fn new(constraint: &Constraint, fleet: &Fleet) -> Self {
        let work = |clause: &Clause| {
            let may = match &clause.rule {
                Rule::Where(expr) => without_copies(expr, fleet).may,
                Rule::Spread { by, how } => {
                    let places = fleet.places(*by);
                    let enough = match how {
                        Spread::AtLeast(least) => places.lines.len() >= *least as usize,
                        Spread::AtMost(_) | Spread::Within(_) => true,
                    };
                    if enough {
                        places.told.clone()
                    } else {
                        FixedBitSet::with_capacity(fleet.lines().len())
                    }
                }
            };
            Worked {
                clause: clause.clone(),
                may,
                about_copies: clause.rule.is_about_copies(),
            }
        };
        let clauses: Vec<Worked> = constraint.clauses.iter().map(work).collect();
        let required = clauses
            .iter()
            .filter(|worked| worked.clause.strength == Strength::Require);
        let may = required.fold(fleet.all(), |mut sum, worked| {
            sum.intersect_with(&worked.may);
            sum
        });
        // Places that only the other clauses leave: a spread over more of them can never be had.
        let enough = clauses.iter().all(|worked| match worked.clause.rule {
            Rule::Spread {
                by,
                how: Spread::AtLeast(least),
            } if worked.clause.strength == Strength::Require => {
                let open = fleet
                    .places(by)
                    .lines
                    .iter()
                    .filter(|lines| !lines.is_disjoint(&may))
                    .count();
                open >= least as usize
            }
            _ => true,
        });
        let may = if enough {
            may
        } else {
            FixedBitSet::with_capacity(fleet.lines().len())
        };
        let about_copies = constraint.is_about_copies();
        Self {
            clauses,
            may,
            about_copies,
        }
    }

    /// Whether no line of the list can ever satisfy it.
    pub fn is_never(&self) -> bool {
        self.may.is_clear()
    }

    /// Lines that pass every requirement as far as health and copies do not matter.
    pub fn ever(&self) -> impl Iterator<Item = usize> + '_ {
        self.may.ones()
    }

    /// The clauses.
    pub fn clauses(&self) -> impl Iterator<Item = &Clause> {
        self.clauses.iter().map(|worked| &worked.clause)
    }

    /// Lines on which one clause holds for one copy more.
    pub(crate) fn clause(
        &self,
        n: usize,
        fleet: &Fleet,
        census: &Census,
        own: &Own,
    ) -> FixedBitSet {
        let worked = &self.clauses[n];
        if !worked.about_copies {
            return worked.may.clone();
        }
        match &worked.clause.rule {
            Rule::Where(expr) => with_copies(expr, fleet, census, own),
            Rule::Spread { by, how } => {
                let mut eligible = self.may.clone();
                eligible.intersect_with(fleet.ready());
                spread(fleet, census, own, (*by, *how), &eligible)
            }
        }
    }

    /// The machines that are open to one task more. Wishes are kept where they can be, the first stated
    /// before the others; the last `dropped` of them are not looked at.
    pub fn open(&self, fleet: &Fleet, census: &Census, own: &Own, dropped: usize) -> Answer {
        let mut machines = self.may.clone();
        machines.intersect_with(fleet.ready());
        let of = |strength: Strength| {
            let all = self.clauses.iter().enumerate();
            all.filter(move |(_, worked)| worked.clause.strength == strength)
                .map(|(n, _)| n)
        };
        if self.about_copies {
            for n in of(Strength::Require).filter(|n| self.clauses[*n].about_copies) {
                machines.intersect_with(&self.clause(n, fleet, census, own));
            }
        }
        let wishes: Vec<usize> = of(Strength::Prefer).collect();
        let kept = wishes.len().saturating_sub(dropped);
        let mut lost: Vec<usize> = wishes[kept..].to_vec();
        if !machines.is_clear() {
            for n in &wishes[..kept] {
                let mut wished = machines.clone();
                wished.intersect_with(&self.clause(*n, fleet, census, own));
                if wished.is_clear() {
                    lost.push(*n)
                } else {
                    machines = wished
                }
            }
        }
        lost.sort_unstable();
        let verdict = match (self.is_never(), machines.is_clear()) {
            (true, _) => Verdict::Never,
            (false, true) => Verdict::NotNow,
            (false, false) => Verdict::Open,
        };
        Answer {
            machines,
            dropped: lost,
            verdict,
        }
    }
}
