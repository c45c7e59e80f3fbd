//! Evaluates which machines are open to a task.

use std::cmp::Ordering;

use fixedbitset::FixedBitSet;

use crate::fleet::{Attr, Census, Fleet, FleetNode, Topic};
use crate::tree::{
    Clause, Compare, Constraint, CopySelector, DomainKind, Expr, Field, Op, Rule, SpreadLimit,
    Strength, Value,
};

/// The class and service of the task whose constraint is evaluated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnService {
    class: String,
    service: String,
}

impl OwnService {
    /// The service of this name in this class.
    pub fn new(class: &str, service: &str) -> Self {
        Self {
            class: class.to_owned(),
            service: service.to_owned(),
        }
    }

    /// The topic under which a [`Census`] counts the copies that `selector` selects.
    pub fn topic(&self, selector: &CopySelector) -> Topic {
        match selector {
            CopySelector::OwnService => {
                Topic::ClassService(self.class.clone(), self.service.clone())
            }
            CopySelector::Service(name) => Topic::Service(name.clone()),
            CopySelector::Label(key, value) => Topic::Label(key.clone(), value.clone()),
        }
    }

    /// The topics under which a copy of this service with these labels is counted.
    pub fn topics(&self, labels: &[(String, String)]) -> Vec<Topic> {
        let labels = labels
            .iter()
            .map(|(key, value)| Topic::Label(key.clone(), value.clone()));
        [
            self.topic(&CopySelector::OwnService),
            Topic::Service(self.service.clone()),
        ]
        .into_iter()
        .chain(labels)
        .collect()
    }
}

/// Whether any machine satisfies a constraint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No node of the list can satisfy it, whatever the nodes' health and wherever copies are.
    Never,
    /// No machine satisfies it now, but one could with other health or other copies.
    NotNow,
    /// At least one machine satisfies it now.
    Open,
}

/// The machines that are open to a task, as evaluated by [`Compiled::open`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evaluation {
    /// The open machines, by index in [`Fleet::nodes`].
    pub machines: FixedBitSet,
    /// Indexes of the preference clauses that were not applied, in ascending order.
    pub dropped: Vec<usize>,
    /// Whether any machine is open.
    pub verdict: Verdict,
}

/// A clause, evaluated for one fleet as far as copies and health do not matter.
#[derive(Clone, Debug)]
struct CompiledClause {
    clause: Clause,
    /// Nodes that satisfy the clause, or can satisfy it for some placement of copies.
    possible: FixedBitSet,
    depends_on_copies: bool,
}

/// A constraint, evaluated for one fleet as far as copies and health do not matter.
#[derive(Clone, Debug)]
pub struct Compiled {
    clauses: Vec<CompiledClause>,
    /// Nodes that can satisfy every requirement for some placement of copies.
    possible: FixedBitSet,
    depends_on_copies: bool,
}

/// Whether a comparison holds for a node. A field without a value satisfies no comparison, not even `!=`.
pub(crate) fn comparison_holds(compare: &Compare, node: &FleetNode) -> bool {
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
        Field::Kind => text(&node.kind),
        Field::Rack => text(&node.rack),
        Field::Hall => text(&node.hall),
        Field::Name => text(&node.name),
        Field::Attr(name) => match (node.attrs.get(name), compare.op, &compare.value) {
            (Some(Attr::Text(actual)), ..) => text(actual),
            (Some(Attr::Set(all)), Op::Has, Value::Text(text)) => all.contains(text),
            (Some(Attr::Number(a)), op, Value::Number(b)) => order_satisfies(op, a.partial_cmp(b)),
            (Some(Attr::Version(a)), op, Value::Version(b)) => {
                order_satisfies(op, Some(compare_versions(a, b)))
            }
            _ => false,
        },
    }
}

/// Compares two versions part by part; missing parts count as 0.
fn compare_versions(a: &[u64], b: &[u64]) -> Ordering {
    let part = |parts: &[u64], n: usize| parts.get(n).copied().unwrap_or(0);
    let parts = (0..a.len().max(b.len())).map(|n| part(a, n).cmp(&part(b, n)));
    parts
        .into_iter()
        .find(|order| order.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// Whether a comparison operator holds for operands in this order; `None` means that they have no order.
fn order_satisfies(op: Op, order: Option<Ordering>) -> bool {
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

/// The nodes that satisfy an expression, for any placement of copies. The two sets are equal if the expression does not
/// depend on copies.
struct NodeBounds {
    /// Nodes that satisfy it for every placement of copies.
    always: FixedBitSet,
    /// Nodes that can satisfy it for some placement of copies.
    possible: FixedBitSet,
}

fn complement(set: &FixedBitSet) -> FixedBitSet {
    let mut out = set.clone();
    out.toggle_range(..);
    out
}

/// Evaluates an expression for every possible placement of copies.
fn bounds_for_any_copies(expr: &Expr, fleet: &Fleet) -> NodeBounds {
    match expr {
        Expr::Compare(compare) => {
            let mut found = FixedBitSet::with_capacity(fleet.nodes().len());
            let nodes = fleet.nodes().iter().enumerate();
            nodes
                .filter(|(_, node)| comparison_holds(compare, node))
                .for_each(|(index, _)| found.insert(index));
            NodeBounds {
                possible: found.clone(),
                always: found,
            }
        }
        Expr::Affinity(_, domain_kind) | Expr::AntiAffinity(_, domain_kind) => {
            // Depends on the copies, except on nodes without a domain of this kind: there it never holds.
            let always = FixedBitSet::with_capacity(fleet.nodes().len());
            NodeBounds {
                always,
                possible: fleet.domains(*domain_kind).nodes_with_domain.clone(),
            }
        }
        Expr::Not(inner) => {
            let inner = bounds_for_any_copies(inner, fleet);
            NodeBounds {
                always: complement(&inner.possible),
                possible: complement(&inner.always),
            }
        }
        Expr::And(all) => all
            .iter()
            .map(|inner| bounds_for_any_copies(inner, fleet))
            .fold(
                NodeBounds {
                    always: fleet.all(),
                    possible: fleet.all(),
                },
                |mut sum, next| {
                    sum.always.intersect_with(&next.always);
                    sum.possible.intersect_with(&next.possible);
                    sum
                },
            ),
        Expr::Or(all) => {
            let none = FixedBitSet::with_capacity(fleet.nodes().len());
            let start = NodeBounds {
                always: none.clone(),
                possible: none,
            };
            all.iter()
                .map(|inner| bounds_for_any_copies(inner, fleet))
                .fold(start, |mut sum, next| {
                    sum.always.union_with(&next.always);
                    sum.possible.union_with(&next.possible);
                    sum
                })
        }
    }
}

/// Nodes whose domain holds a copy that is counted under `topic`.
fn nodes_near(
    fleet: &Fleet,
    census: &Census,
    topic: &Topic,
    domain_kind: DomainKind,
) -> FixedBitSet {
    let domains = fleet.domains(domain_kind);
    let mut found = FixedBitSet::with_capacity(fleet.nodes().len());
    for (node, _) in census.of(topic) {
        if let Some(domain) = domains.domain_of.get(node).copied().flatten() {
            found.union_with(&domains.nodes_in[domain]);
        }
    }
    found
}

/// Nodes that satisfy an expression with the copies of `census`.
fn satisfying_nodes(expr: &Expr, fleet: &Fleet, census: &Census, own: &OwnService) -> FixedBitSet {
    match expr {
        Expr::Affinity(selector, domain_kind) => {
            let topic = own.topic(selector);
            // Affinity to the own service does not restrict its first copy: there is no other copy yet.
            if *selector == CopySelector::OwnService && census.of(&topic).next().is_none() {
                return fleet.domains(*domain_kind).nodes_with_domain.clone();
            }
            nodes_near(fleet, census, &topic, *domain_kind)
        }
        Expr::AntiAffinity(selector, domain_kind) => {
            let mut open = fleet.domains(*domain_kind).nodes_with_domain.clone();
            open.difference_with(&nodes_near(
                fleet,
                census,
                &own.topic(selector),
                *domain_kind,
            ));
            open
        }
        Expr::Not(inner) => complement(&satisfying_nodes(inner, fleet, census, own)),
        Expr::And(all) => all.iter().fold(fleet.all(), |mut sum, inner| {
            sum.intersect_with(&satisfying_nodes(inner, fleet, census, own));
            sum
        }),
        Expr::Or(all) => {
            let none = FixedBitSet::with_capacity(fleet.nodes().len());
            all.iter().fold(none, |mut sum, inner| {
                sum.union_with(&satisfying_nodes(inner, fleet, census, own));
                sum
            })
        }
        Expr::Compare(_) => bounds_for_any_copies(expr, fleet).possible,
    }
}

/// The number of copies of the own service in each domain. Copies on gone nodes count only with `include_gone`.
pub(crate) fn copies_per_domain(
    fleet: &Fleet,
    census: &Census,
    own: &OwnService,
    by: DomainKind,
    include_gone: bool,
) -> Vec<u32> {
    let domains = fleet.domains(by);
    let mut counts = vec![0; domains.nodes_in.len()];
    for (node, count) in census.of(&own.topic(&CopySelector::OwnService)) {
        let counted = include_gone || fleet.nodes().get(node).is_some_and(|node| !node.gone);
        if let Some(domain) = domains
            .domain_of
            .get(node)
            .copied()
            .flatten()
            .filter(|_| counted)
        {
            counts[domain] += count;
        }
    }
    counts
}

/// Nodes on which one more copy keeps the limit of a spread. [`SpreadLimit::Within`] compares only domains that have a
/// node in `eligible`: the ready nodes that can satisfy every requirement.
fn nodes_keeping_spread(
    fleet: &Fleet,
    census: &Census,
    own: &OwnService,
    (by, limit): (DomainKind, SpreadLimit),
    eligible: &FixedBitSet,
) -> FixedBitSet {
    let (domains, counts) = (
        fleet.domains(by),
        copies_per_domain(fleet, census, own, by, true),
    );
    let occupied = counts.iter().filter(|count| **count > 0).count() as u32;
    let among = domains
        .nodes_in
        .iter()
        .zip(&counts)
        .filter(|(nodes, _)| !nodes.is_disjoint(eligible));
    let fewest = among.map(|(_, count)| *count).min().unwrap_or(0);
    let keeps_limit = |domain: usize| match limit {
        SpreadLimit::AtMost(most) => counts[domain] < most,
        // Until `least` domains hold a copy, the next copy must go to a domain without one.
        SpreadLimit::AtLeast(least) => occupied >= least || counts[domain] == 0,
        SpreadLimit::Within(skew) => counts[domain] < fewest + skew,
    };
    let mut open = FixedBitSet::with_capacity(fleet.nodes().len());
    for (domain, nodes) in domains.nodes_in.iter().enumerate() {
        if keeps_limit(domain) {
            open.union_with(nodes);
        }
    }
    open
}

impl Compiled {
    /// Compiles a constraint for a fleet. The result is valid until a node is added or removed, or its kind, rack, hall
    /// or attributes change; changes of health do not invalidate it.
    pub fn new(constraint: &Constraint, fleet: &Fleet) -> Self {
        let compile_clause = |clause: &Clause| {
            let possible = match &clause.rule {
                Rule::Where(expr) => bounds_for_any_copies(expr, fleet).possible,
                Rule::Spread { by, limit } => {
                    let domains = fleet.domains(*by);
                    let has_enough_domains = match limit {
                        SpreadLimit::AtLeast(least) => domains.nodes_in.len() >= *least as usize,
                        SpreadLimit::AtMost(_) | SpreadLimit::Within(_) => true,
                    };
                    if has_enough_domains {
                        domains.nodes_with_domain.clone()
                    } else {
                        FixedBitSet::with_capacity(fleet.nodes().len())
                    }
                }
            };
            CompiledClause {
                clause: clause.clone(),
                possible,
                depends_on_copies: clause.rule.depends_on_copies(),
            }
        };
        let clauses: Vec<CompiledClause> = constraint.clauses.iter().map(compile_clause).collect();
        let required = clauses
            .iter()
            .filter(|compiled| compiled.clause.strength == Strength::Require);
        let possible = required.fold(fleet.all(), |mut sum, compiled| {
            sum.intersect_with(&compiled.possible);
            sum
        });
        // If the requirements together leave fewer domains than a required spread needs, it can never be satisfied.
        let has_enough_domains = clauses.iter().all(|compiled| match compiled.clause.rule {
            Rule::Spread {
                by,
                limit: SpreadLimit::AtLeast(least),
            } if compiled.clause.strength == Strength::Require => {
                let open = fleet
                    .domains(by)
                    .nodes_in
                    .iter()
                    .filter(|nodes| !nodes.is_disjoint(&possible))
                    .count();
                open >= least as usize
            }
            _ => true,
        });
        let possible = if has_enough_domains {
            possible
        } else {
            FixedBitSet::with_capacity(fleet.nodes().len())
        };
        let depends_on_copies = constraint.depends_on_copies();
        Self {
            clauses,
            possible,
            depends_on_copies,
        }
    }

    /// Whether no node of the list can satisfy the requirements, whatever the nodes' health and wherever copies are.
    pub fn is_never(&self) -> bool {
        self.possible.is_clear()
    }

    /// Indexes of the nodes that can satisfy every requirement, whatever their health, for some placement of copies.
    pub fn eligible_ignoring_health(&self) -> impl Iterator<Item = usize> + '_ {
        self.possible.ones()
    }

    /// The clauses of the constraint, in the order of its text.
    pub fn clauses(&self) -> impl Iterator<Item = &Clause> {
        self.clauses.iter().map(|compiled| &compiled.clause)
    }

    /// Nodes on which one more copy satisfies clause `n`.
    pub(crate) fn clause(
        &self,
        n: usize,
        fleet: &Fleet,
        census: &Census,
        own: &OwnService,
    ) -> FixedBitSet {
        let compiled = &self.clauses[n];
        if !compiled.depends_on_copies {
            return compiled.possible.clone();
        }
        match &compiled.clause.rule {
            Rule::Where(expr) => satisfying_nodes(expr, fleet, census, own),
            Rule::Spread { by, limit } => {
                let mut eligible = self.possible.clone();
                eligible.intersect_with(fleet.ready());
                nodes_keeping_spread(fleet, census, own, (*by, *limit), &eligible)
            }
        }
    }

    /// The machines that are open to one more copy. Preferences are applied in the order of the text; one that would
    /// leave no machine is skipped. The last `dropped` preferences are ignored.
    pub fn open(
        &self,
        fleet: &Fleet,
        census: &Census,
        own: &OwnService,
        dropped: usize,
    ) -> Evaluation {
        let mut machines = self.possible.clone();
        machines.intersect_with(fleet.ready());
        let clauses_of = |strength: Strength| {
            let all = self.clauses.iter().enumerate();
            all.filter(move |(_, compiled)| compiled.clause.strength == strength)
                .map(|(n, _)| n)
        };
        if self.depends_on_copies {
            for n in clauses_of(Strength::Require).filter(|n| self.clauses[*n].depends_on_copies) {
                machines.intersect_with(&self.clause(n, fleet, census, own));
            }
        }
        let preferences: Vec<usize> = clauses_of(Strength::Prefer).collect();
        let kept = preferences.len().saturating_sub(dropped);
        let mut skipped: Vec<usize> = preferences[kept..].to_vec();
        if !machines.is_clear() {
            for n in &preferences[..kept] {
                let mut preferred = machines.clone();
                preferred.intersect_with(&self.clause(*n, fleet, census, own));
                if preferred.is_clear() {
                    skipped.push(*n)
                } else {
                    machines = preferred
                }
            }
        }
        skipped.sort_unstable();
        let verdict = match (self.is_never(), machines.is_clear()) {
            (true, _) => Verdict::Never,
            (false, true) => Verdict::NotNow,
            (false, false) => Verdict::Open,
        };
        Evaluation {
            machines,
            dropped: skipped,
            verdict,
        }
    }
}
