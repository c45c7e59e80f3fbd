//! Compares the package's evaluator with a reference evaluator that checks each node by itself, without bit sets.
//!
//! Also checks on random input that printing and parsing agree and that the parser never panics.

use std::collections::BTreeMap;

use proptest::prelude::*;
use reedring_constraint::*;

/// The copies, each as (topics that it is counted under, index of its node).
type Copies = Vec<(Vec<Topic>, usize)>;

fn domain(node: &FleetNode, by: DomainKind) -> Option<String> {
    let known = |text: &String| (!text.is_empty()).then(|| text.clone());
    match by {
        DomainKind::Machine => Some(node.name.clone()),
        DomainKind::Rack => known(&node.rack).map(|rack| format!("{}/{rack}", node.hall)),
        DomainKind::Hall => known(&node.hall),
    }
}

fn comparison_holds(compare: &Compare, node: &FleetNode) -> bool {
    let field = match &compare.field {
        Field::Kind => Some(&node.kind),
        Field::Rack => Some(&node.rack),
        Field::Hall => Some(&node.hall),
        Field::Name => Some(&node.name),
        Field::Attr(_) => None,
    };
    if let Some(text) = field {
        let known = !text.is_empty();
        return known
            && match (&compare.op, &compare.value) {
                (Op::Eq, Value::Text(other)) => text == other,
                (Op::Ne, Value::Text(other)) => text != other,
                (Op::In, Value::Set(all)) => all.iter().any(|one| one == text),
                _ => false,
            };
    }
    let Field::Attr(name) = &compare.field else {
        return false;
    };
    match (node.attrs.get(name), &compare.value) {
        (Some(Attr::Number(a)), Value::Number(b)) => match compare.op {
            Op::Eq => a == b,
            Op::Ne => a != b,
            Op::Lt => a < b,
            Op::Le => a <= b,
            Op::Gt => a > b,
            Op::Ge => a >= b,
            _ => false,
        },
        (Some(Attr::Text(a)), Value::Text(b)) => match compare.op {
            Op::Eq => a == b,
            Op::Ne => a != b,
            _ => false,
        },
        (Some(Attr::Text(a)), Value::Set(all)) => compare.op == Op::In && all.contains(a),
        (Some(Attr::Set(all)), Value::Text(b)) => compare.op == Op::Has && all.contains(b),
        _ => false,
    }
}

struct Reference<'a> {
    nodes: &'a [FleetNode],
    copies: &'a Copies,
    own: &'a OwnService,
}

impl Reference<'_> {
    fn has_copy_in_domain(
        &self,
        selector: &CopySelector,
        by: DomainKind,
        node: &FleetNode,
    ) -> Option<bool> {
        let here = domain(node, by)?;
        let topic = self.own.topic(selector);
        let mut all = self
            .copies
            .iter()
            .filter(|(topics, _)| topics.contains(&topic));
        Some(all.any(|(_, at)| domain(&self.nodes[*at], by).as_ref() == Some(&here)))
    }

    fn holds(&self, expr: &Expr, node: &FleetNode) -> bool {
        match expr {
            Expr::And(all) => all.iter().all(|inner| self.holds(inner, node)),
            Expr::Or(all) => all.iter().any(|inner| self.holds(inner, node)),
            Expr::Not(inner) => !self.holds(inner, node),
            Expr::Compare(compare) => comparison_holds(compare, node),
            Expr::Affinity(selector, by) => {
                let topic = self.own.topic(selector);
                let first = *selector == CopySelector::OwnService
                    && !self
                        .copies
                        .iter()
                        .any(|(topics, _)| topics.contains(&topic));
                match self.has_copy_in_domain(selector, *by, node) {
                    Some(found) => found || first,
                    None => false,
                }
            }
            Expr::AntiAffinity(selector, by) => {
                self.has_copy_in_domain(selector, *by, node) == Some(false)
            }
        }
    }

    /// Whether the expression can be `want` on this node for some placement of copies: each affinity and anti-affinity
    /// is tried both ways.
    fn can_hold(expr: &Expr, node: &FleetNode, want: bool) -> bool {
        match expr {
            Expr::And(all) if want => all.iter().all(|inner| Self::can_hold(inner, node, true)),
            Expr::And(all) => all.iter().any(|inner| Self::can_hold(inner, node, false)),
            Expr::Or(all) if want => all.iter().any(|inner| Self::can_hold(inner, node, true)),
            Expr::Or(all) => all.iter().all(|inner| Self::can_hold(inner, node, false)),
            Expr::Not(inner) => Self::can_hold(inner, node, !want),
            Expr::Compare(compare) => comparison_holds(compare, node) == want,
            Expr::Affinity(_, by) | Expr::AntiAffinity(_, by) => {
                !want || domain(node, *by).is_some()
            }
        }
    }

    fn counts(&self, by: DomainKind) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = self
            .nodes
            .iter()
            .filter_map(|node| domain(node, by))
            .map(|domain| (domain, 0))
            .collect();
        let topic = self.own.topic(&CopySelector::OwnService);
        for (topics, at) in self.copies {
            if let Some(domain) = domain(&self.nodes[*at], by).filter(|_| topics.contains(&topic)) {
                *counts.entry(domain).or_insert(0) += 1;
            }
        }
        counts
    }

    fn passes(&self, clause: &Clause, node: &FleetNode, eligible: &[&FleetNode]) -> bool {
        match &clause.rule {
            Rule::Where(expr) => self.holds(expr, node),
            Rule::Spread { by, limit } => {
                let Some(here) = domain(node, *by) else {
                    return false;
                };
                let counts = self.counts(*by);
                match limit {
                    SpreadLimit::AtMost(most) => counts[&here] < *most,
                    SpreadLimit::AtLeast(least) => {
                        counts.values().filter(|count| **count > 0).count() as u32 >= *least
                            || counts[&here] == 0
                    }
                    SpreadLimit::Within(skew) => {
                        let open = eligible.iter().filter_map(|node| domain(node, *by));
                        let fewest = open.map(|domain| counts[&domain]).min().unwrap_or(0);
                        counts[&here] < fewest + skew
                    }
                }
            }
        }
    }

    /// Nodes that can satisfy every requirement for some placement of copies, whatever their health.
    fn possible_nodes(&self, constraint: &Constraint) -> Vec<&FleetNode> {
        let required = || {
            constraint
                .clauses
                .iter()
                .filter(|clause| clause.strength == Strength::Require)
        };
        let can = |node: &&FleetNode| {
            required().all(|clause| match &clause.rule {
                Rule::Where(expr) => Self::can_hold(expr, node, true),
                Rule::Spread { by, .. } => domain(node, *by).is_some(),
            })
        };
        let nodes: Vec<&FleetNode> = self.nodes.iter().filter(can).collect();
        let enough = required().all(|clause| match clause.rule {
            Rule::Spread {
                by,
                limit: SpreadLimit::AtLeast(least),
            } => {
                let mut places: Vec<String> =
                    nodes.iter().filter_map(|node| domain(node, by)).collect();
                places.sort();
                places.dedup();
                places.len() >= least as usize
            }
            _ => true,
        });
        if enough { nodes } else { Vec::new() }
    }

    fn open(&self, constraint: &Constraint) -> Vec<String> {
        let possible = self.possible_nodes(constraint);
        let eligible: Vec<&FleetNode> =
            possible.iter().copied().filter(|node| node.ready).collect();
        let required: Vec<&Clause> = constraint
            .clauses
            .iter()
            .filter(|clause| clause.strength == Strength::Require)
            .collect();
        let open = eligible.iter().filter(|node| {
            required
                .iter()
                .all(|clause| self.passes(clause, node, &eligible))
        });
        open.map(|node| node.name.clone()).collect()
    }
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        "[abc]",
        Just("hütte \"3\"".to_owned()),
        Just("a\\b".to_owned())
    ]
}

fn value_for(attr: &str) -> BoxedStrategy<(Op, Value)> {
    let text_ops = prop_oneof![Just(Op::Eq), Just(Op::Ne)];
    match attr {
        "cores" => {
            let ops = prop_oneof![
                Just(Op::Eq),
                Just(Op::Ne),
                Just(Op::Lt),
                Just(Op::Le),
                Just(Op::Gt),
                Just(Op::Ge)
            ];
            (ops, 0..6_i32)
                .prop_map(|(op, n)| (op, Value::Number(f64::from(n))))
                .boxed()
        }
        "tags" => text().prop_map(|text| (Op::Has, Value::Text(text))).boxed(),
        _ => prop_oneof![
            (text_ops, text()).prop_map(|(op, text)| (op, Value::Text(text))),
            prop::collection::vec(text(), 1..3).prop_map(|all| (Op::In, Value::Set(all))),
        ]
        .boxed(),
    }
}

fn comparison() -> impl Strategy<Value = Expr> {
    let field = prop_oneof![
        Just(Field::Kind),
        Just(Field::Rack),
        Just(Field::Hall),
        Just(Field::Name),
        Just(Field::Attr("cores".into())),
        Just(Field::Attr("tags".into())),
        Just(Field::Attr("ssd".into())),
    ];
    field.prop_flat_map(|field| {
        let attr = match &field {
            Field::Attr(name) => name.clone(),
            _ => String::new(),
        };
        value_for(&attr).prop_map(move |(op, value)| {
            Expr::Compare(Compare {
                field: field.clone(),
                op,
                value,
                span: 0..0,
            })
        })
    })
}

fn copy_selector() -> impl Strategy<Value = CopySelector> {
    prop_oneof![
        Just(CopySelector::OwnService),
        text().prop_map(CopySelector::Service),
        (text(), text()).prop_map(|(key, value)| CopySelector::Label(key, value)),
    ]
}

fn domain_kind() -> impl Strategy<Value = DomainKind> {
    prop_oneof![
        Just(DomainKind::Machine),
        Just(DomainKind::Rack),
        Just(DomainKind::Hall)
    ]
}

fn expr() -> impl Strategy<Value = Expr> {
    let leaf = prop_oneof![
        4 => comparison(),
        1 => (copy_selector(), domain_kind()).prop_map(|(selector, by)| Expr::Affinity(selector, by)),
        1 => (copy_selector(), domain_kind()).prop_map(|(selector, by)| Expr::AntiAffinity(selector, by)),
    ];
    leaf.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 2..4).prop_map(Expr::And),
            prop::collection::vec(inner.clone(), 2..4).prop_map(Expr::Or),
            inner.prop_map(|inner| Expr::Not(Box::new(inner))),
        ]
    })
}

fn clause() -> impl Strategy<Value = Clause> {
    let spread = (domain_kind(), 1..4_u32, 0..3).prop_map(|(by, n, which)| {
        let limit = [
            SpreadLimit::AtMost(n),
            SpreadLimit::AtLeast(n),
            SpreadLimit::Within(n),
        ][which as usize];
        Rule::Spread { by, limit }
    });
    let strength = prop_oneof![4 => Just(Strength::Require), 1 => Just(Strength::Prefer)];
    let rule = prop_oneof![3 => expr().prop_map(Rule::Where), 1 => spread];
    (strength, rule).prop_map(|(strength, rule)| Clause {
        strength,
        rule,
        span: 0..0,
    })
}

fn constraint() -> impl Strategy<Value = Constraint> {
    prop::collection::vec(clause(), 0..4).prop_map(|clauses| Constraint { clauses })
}

fn nodes() -> impl Strategy<Value = Vec<FleetNode>> {
    prop_oneof![9 => nodes_of_count(1..30), 1 => nodes_of_count(150..201)]
}

fn nodes_of_count(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<FleetNode>> {
    let node = (
        0..4_usize,
        0..4_usize,
        0..3_usize,
        0..6_i32,
        0..4_usize,
        any::<bool>(),
    );
    prop::collection::vec(node, count).prop_map(|all| {
        let texts = ["", "a", "b", "c"];
        let node = |(n, (hall, rack, kind, cores, tag, ready)): (
            usize,
            (usize, usize, usize, i32, usize, bool),
        )| {
            let mut node = FleetNode::named(&format!("n{n}"))
                .hall(texts[hall])
                .rack(texts[rack]);
            node.kind = texts[kind + 1].to_owned();
            node.ready = ready;
            node.attrs
                .insert("cores".into(), Attr::Number(f64::from(cores)));
            if tag > 0 {
                node.attrs
                    .insert("tags".into(), Attr::Set(vec![texts[tag].to_owned()]));
                node.attrs
                    .insert("ssd".into(), Attr::Text(texts[tag].to_owned()));
            }
            node
        };
        all.into_iter().enumerate().map(node).collect()
    })
}

fn copies() -> impl Strategy<Value = Vec<(usize, String, usize)>> {
    prop::collection::vec((0..2_usize, text(), 0..100_usize), 0..8)
}

fn place_copies(all: Vec<(usize, String, usize)>, nodes: usize) -> (Copies, Census) {
    let (mut copies, mut census) = (Vec::new(), Census::default());
    for (which, service, at) in all {
        let own = OwnService::new(
            ["play", "other"][which],
            if which == 0 { "own" } else { &service },
        );
        let topics = own.topics(&[("a".into(), service)]);
        census.add(&topics, at % nodes);
        copies.push((topics, at % nodes));
    }
    (copies, census)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn open_machines_are_those_of_the_reference_evaluator(constraint in constraint(), nodes in nodes(), copies in copies()) {
        let (copies, census) = place_copies(copies, nodes.len());
        let (fleet, own) = (Fleet::new(nodes.clone()), OwnService::new("play", "own"));
        let reference = Reference { nodes: &nodes, copies: &copies, own: &own };
        let compiled = Compiled::new(&constraint, &fleet);
        // Ignores all preferences, which the reference evaluator does not have.
        let answer = compiled.open(&fleet, &census, &own, usize::MAX);
        let open: Vec<String> = answer.machines.ones().map(|at| nodes[at].name.clone()).collect();
        prop_assert_eq!(&open, &reference.open(&constraint));
        prop_assert_eq!(compiled.is_never(), reference.possible_nodes(&constraint).is_empty());
        let explained = compiled.explain(&fleet, &census, &own);
        prop_assert_eq!(explained.verdict, answer.verdict);
        if answer.verdict == Verdict::Open {
            prop_assert_eq!(explained.open, open.len());
        }
    }

    #[test]
    fn a_printed_constraint_parses_to_an_equal_tree(constraint in constraint()) {
        let text = constraint.to_string();
        match Constraint::parse(&text) {
            Ok(read) => prop_assert_eq!(&read, &constraint, "{}", text),
            // A random tree may contain a contradiction; any other error is a failure.
            Err(error) => prop_assert!(error.message.contains("can't both hold"), "{}", error),
        }
    }

    #[test]
    fn adding_a_requirement_never_opens_a_machine(one in constraint(), more in clause(), nodes in nodes(), copies in copies()) {
        let (_, census) = place_copies(copies, nodes.len());
        let (fleet, own) = (Fleet::new(nodes), OwnService::new("play", "own"));
        // `spread within` compares the domains that the other clauses leave open: with fewer of them, more machines can
        // be open.
        let compares_domains = |c: &Clause| matches!(c.rule, Rule::Spread { limit: SpreadLimit::Within(_), .. });
        prop_assume!(!one.clauses.iter().any(compares_domains));
        let mut both = one.clone();
        both.clauses.push(Clause { strength: Strength::Require, ..more });
        let open = |c: &Constraint| Compiled::new(c, &fleet).open(&fleet, &census, &own, usize::MAX).machines;
        prop_assert!(open(&both).is_subset(&open(&one)));
    }

    #[test]
    fn preferences_choose_only_among_open_machines(constraint in constraint(), nodes in nodes(), copies in copies()) {
        let (_, census) = place_copies(copies, nodes.len());
        let (fleet, own) = (Fleet::new(nodes), OwnService::new("play", "own"));
        let compiled = Compiled::new(&constraint, &fleet);
        let (preferred, all) = (compiled.open(&fleet, &census, &own, 0), compiled.open(&fleet, &census, &own, usize::MAX));
        prop_assert!(preferred.machines.is_subset(&all.machines));
        prop_assert_eq!(preferred.machines.is_clear(), all.machines.is_clear());
    }

    #[test]
    fn any_text_is_parsed_or_rejected_with_a_message(text in ".{0,80}") {
        if let Err(error) = Constraint::parse(&text) {
            prop_assert!(!error.to_string().is_empty());
        }
    }

    #[test]
    fn tokens_in_any_order_never_panic_the_parser(words in prop::collection::vec(
        prop::sample::select(vec!["require", "prefer", "spread", "by", "hall", "at", "most", "2", "near", "apart",
            "from", "copies", "service", "label", "(", ")", "not", "and", "or", "=", "in", "{", "}", ",", ";", "attr.x",
            "\"é\"", "v1.2", "-3.5", "kind", "has", "use", "within", "\n"]), 0..25)) {
        let _ = Constraint::parse(&words.join(" ")).map_err(|error| error.to_string());
    }
}
