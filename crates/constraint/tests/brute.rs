//! An evaluator of its own, line by line and by the words of the reference, beside the package's.

use std::collections::BTreeMap;

use proptest::prelude::*;
use reedring_constraint::*;

/// A copy: what it counts as, and where.
type Copies = Vec<(Vec<Topic>, usize)>;

fn place(line: &Line, by: Place) -> Option<String> {
    let told = |text: &String| (!text.is_empty()).then(|| text.clone());
    match by {
        Place::Machine => Some(line.name.clone()),
        Place::Rack => told(&line.rack).map(|rack| format!("{}/{rack}", line.hall)),
        Place::Hall => told(&line.hall),
    }
}

fn compares(compare: &Compare, line: &Line) -> bool {
    let field = match &compare.field {
        Field::Kind => Some(&line.kind),
        Field::Rack => Some(&line.rack),
        Field::Hall => Some(&line.hall),
        Field::Name => Some(&line.name),
        Field::Attr(_) => None,
    };
    if let Some(text) = field {
        let told = !text.is_empty();
        return told
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
    match (line.attrs.get(name), &compare.value) {
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

struct World<'a> {
    lines: &'a [Line],
    copies: &'a Copies,
    own: &'a Own,
}

impl World<'_> {
    fn beside(&self, who: &Who, by: Place, line: &Line) -> Option<bool> {
        let here = place(line, by)?;
        let topic = self.own.topic(who);
        let mut all = self
            .copies
            .iter()
            .filter(|(topics, _)| topics.contains(&topic));
        Some(all.any(|(_, at)| place(&self.lines[*at], by).as_ref() == Some(&here)))
    }

    fn holds(&self, expr: &Expr, line: &Line) -> bool {
        match expr {
            Expr::And(all) => all.iter().all(|inner| self.holds(inner, line)),
            Expr::Or(all) => all.iter().any(|inner| self.holds(inner, line)),
            Expr::Not(inner) => !self.holds(inner, line),
            Expr::Compare(compare) => compares(compare, line),
            Expr::Near(who, by) => {
                let topic = self.own.topic(who);
                let first = *who == Who::Copies
                    && !self
                        .copies
                        .iter()
                        .any(|(topics, _)| topics.contains(&topic));
                match self.beside(who, *by, line) {
                    Some(beside) => beside || first,
                    None => false,
                }
            }
            Expr::Apart(who, by) => self.beside(who, *by, line) == Some(false),
        }
    }

    /// Whether it can hold on this line under any copies whatsoever: each mention of copies is tried both ways.
    fn can_hold(expr: &Expr, line: &Line, want: bool) -> bool {
        match expr {
            Expr::And(all) if want => all.iter().all(|inner| Self::can_hold(inner, line, true)),
            Expr::And(all) => all.iter().any(|inner| Self::can_hold(inner, line, false)),
            Expr::Or(all) if want => all.iter().any(|inner| Self::can_hold(inner, line, true)),
            Expr::Or(all) => all.iter().all(|inner| Self::can_hold(inner, line, false)),
            Expr::Not(inner) => Self::can_hold(inner, line, !want),
            Expr::Compare(compare) => compares(compare, line) == want,
            Expr::Near(_, by) | Expr::Apart(_, by) => !want || place(line, *by).is_some(),
        }
    }

    fn counts(&self, by: Place) -> BTreeMap<String, u32> {
        let mut counts: BTreeMap<String, u32> = self
            .lines
            .iter()
            .filter_map(|line| place(line, by))
            .map(|place| (place, 0))
            .collect();
        let topic = self.own.topic(&Who::Copies);
        for (topics, at) in self.copies {
            if let Some(p) = place(&self.lines[*at], by).filter(|_| topics.contains(&topic)) {
                *counts.entry(p).or_insert(0) += 1;
            }
        }
        counts
    }

    fn passes(&self, clause: &Clause, line: &Line, eligible: &[&Line]) -> bool {
        match &clause.rule {
            Rule::Where(expr) => self.holds(expr, line),
            Rule::Spread { by, how } => {
                let Some(here) = place(line, *by) else {
                    return false;
                };
                let counts = self.counts(*by);
                match how {
                    Spread::AtMost(most) => counts[&here] < *most,
                    Spread::AtLeast(least) => {
                        counts.values().filter(|count| **count > 0).count() as u32 >= *least
                            || counts[&here] == 0
                    }
                    Spread::Within(skew) => {
                        let open = eligible.iter().filter_map(|line| place(line, *by));
                        let fewest = open.map(|place| counts[&place]).min().unwrap_or(0);
                        counts[&here] < fewest + skew
                    }
                }
            }
        }
    }

    /// Lines that could be had whatever copies stand where.
    fn ever(&self, constraint: &Constraint) -> Vec<&Line> {
        let required = || {
            constraint
                .clauses
                .iter()
                .filter(|clause| clause.strength == Strength::Require)
        };
        let can = |line: &&Line| {
            required().all(|clause| match &clause.rule {
                Rule::Where(expr) => Self::can_hold(expr, line, true),
                Rule::Spread { by, .. } => place(line, *by).is_some(),
            })
        };
        let lines: Vec<&Line> = self.lines.iter().filter(can).collect();
        let enough = required().all(|clause| match clause.rule {
            Rule::Spread {
                by,
                how: Spread::AtLeast(least),
            } => {
                let mut places: Vec<String> =
                    lines.iter().filter_map(|line| place(line, by)).collect();
                places.sort();
                places.dedup();
                places.len() >= least as usize
            }
            _ => true,
        });
        if enough { lines } else { Vec::new() }
    }

    fn open(&self, constraint: &Constraint) -> Vec<String> {
        let ever = self.ever(constraint);
        let eligible: Vec<&Line> = ever.iter().copied().filter(|line| line.ready).collect();
        let required: Vec<&Clause> = constraint
            .clauses
            .iter()
            .filter(|clause| clause.strength == Strength::Require)
            .collect();
        let open = eligible.iter().filter(|line| {
            required
                .iter()
                .all(|clause| self.passes(clause, line, &eligible))
        });
        open.map(|line| line.name.clone()).collect()
    }
}

fn name() -> impl Strategy<Value = String> {
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
        "tags" => name().prop_map(|text| (Op::Has, Value::Text(text))).boxed(),
        _ => prop_oneof![
            (text_ops, name()).prop_map(|(op, text)| (op, Value::Text(text))),
            prop::collection::vec(name(), 1..3).prop_map(|all| (Op::In, Value::Set(all))),
        ]
        .boxed(),
    }
}

fn compare() -> impl Strategy<Value = Expr> {
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

fn who() -> impl Strategy<Value = Who> {
    prop_oneof![
        Just(Who::Copies),
        name().prop_map(Who::Service),
        (name(), name()).prop_map(|(key, value)| Who::Label(key, value)),
    ]
}

fn by() -> impl Strategy<Value = Place> {
    prop_oneof![Just(Place::Machine), Just(Place::Rack), Just(Place::Hall)]
}

fn expr() -> impl Strategy<Value = Expr> {
    let leaf = prop_oneof![
        4 => compare(),
        1 => (who(), by()).prop_map(|(who, by)| Expr::Near(who, by)),
        1 => (who(), by()).prop_map(|(who, by)| Expr::Apart(who, by)),
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
    let spread = (by(), 1..4_u32, 0..3).prop_map(|(by, n, which)| {
        let how = [Spread::AtMost(n), Spread::AtLeast(n), Spread::Within(n)][which as usize];
        Rule::Spread { by, how }
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

fn lines() -> impl Strategy<Value = Vec<Line>> {
    prop_oneof![9 => some_lines(1..30), 1 => some_lines(150..201)]
}

fn some_lines(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Line>> {
    let line = (
        0..4_usize,
        0..4_usize,
        0..3_usize,
        0..6_i32,
        0..4_usize,
        any::<bool>(),
    );
    prop::collection::vec(line, count).prop_map(|all| {
        let texts = ["", "a", "b", "c"];
        let line = |(n, (hall, rack, kind, cores, tag, ready)): (
            usize,
            (usize, usize, usize, i32, usize, bool),
        )| {
            let mut line = Line::named(&format!("n{n}"))
                .hall(texts[hall])
                .rack(texts[rack]);
            line.kind = texts[kind + 1].to_owned();
            line.ready = ready;
            line.attrs
                .insert("cores".into(), Attr::Number(f64::from(cores)));
            if tag > 0 {
                line.attrs
                    .insert("tags".into(), Attr::Set(vec![texts[tag].to_owned()]));
                line.attrs
                    .insert("ssd".into(), Attr::Text(texts[tag].to_owned()));
            }
            line
        };
        all.into_iter().enumerate().map(line).collect()
    })
}

fn copies() -> impl Strategy<Value = Vec<(usize, String, usize)>> {
    prop::collection::vec((0..2_usize, name(), 0..100_usize), 0..8)
}

fn stand(all: Vec<(usize, String, usize)>, lines: usize) -> (Copies, Census) {
    let (mut copies, mut census) = (Vec::new(), Census::default());
    for (which, service, at) in all {
        let own = Own::service(
            ["play", "other"][which],
            if which == 0 { "own" } else { &service },
        );
        let topics = own.topics(&[("a".into(), service)]);
        census.add(&topics, at % lines);
        copies.push((topics, at % lines));
    }
    (copies, census)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn open_machines_are_those_of_the_brute_force(constraint in constraint(), lines in lines(), copies in copies()) {
        let (copies, census) = stand(copies, lines.len());
        let (fleet, own) = (Fleet::new(lines.clone()), Own::service("play", "own"));
        let world = World { lines: &lines, copies: &copies, own: &own };
        let compiled = Compiled::new(&constraint, &fleet);
        // Wishes aside, so that only requirements count.
        let answer = compiled.open(&fleet, &census, &own, usize::MAX);
        let open: Vec<String> = answer.machines.ones().map(|at| lines[at].name.clone()).collect();
        prop_assert_eq!(&open, &world.open(&constraint));
        prop_assert_eq!(compiled.is_never(), world.ever(&constraint).is_empty());
        let explained = compiled.explain(&fleet, &census, &own);
        prop_assert_eq!(explained.verdict, answer.verdict);
        if answer.verdict == Verdict::Open {
            prop_assert_eq!(explained.open, open.len());
        }
    }

    #[test]
    fn the_printed_text_parses_to_the_same_tree(constraint in constraint()) {
        let text = constraint.to_string();
        match Constraint::parse(&text) {
            Ok(read) => prop_assert_eq!(&read, &constraint, "{}", text),
            // A drawn tree may contradict itself; nothing else may be wrong with it.
            Err(mistake) => prop_assert!(mistake.message.contains("can't both hold"), "{}", mistake),
        }
    }

    #[test]
    fn one_requirement_more_never_opens_a_machine(one in constraint(), more in clause(), lines in lines(), copies in copies()) {
        let (_, census) = stand(copies, lines.len());
        let (fleet, own) = (Fleet::new(lines), Own::service("play", "own"));
        // An even spread counts the places that the others leave open: fewer places can open more machines.
        let even = |c: &Clause| matches!(c.rule, Rule::Spread { how: Spread::Within(_), .. });
        prop_assume!(!one.clauses.iter().any(even));
        let mut both = one.clone();
        both.clauses.push(Clause { strength: Strength::Require, ..more });
        let open = |c: &Constraint| Compiled::new(c, &fleet).open(&fleet, &census, &own, usize::MAX).machines;
        prop_assert!(open(&both).is_subset(&open(&one)));
    }

    #[test]
    fn wishes_only_choose_among_what_is_open(constraint in constraint(), lines in lines(), copies in copies()) {
        let (_, census) = stand(copies, lines.len());
        let (fleet, own) = (Fleet::new(lines), Own::service("play", "own"));
        let compiled = Compiled::new(&constraint, &fleet);
        let (wished, all) = (compiled.open(&fleet, &census, &own, 0), compiled.open(&fleet, &census, &own, usize::MAX));
        prop_assert!(wished.machines.is_subset(&all.machines));
        prop_assert_eq!(wished.machines.is_clear(), all.machines.is_clear());
    }

    #[test]
    fn any_text_is_read_or_refused(text in ".{0,80}") {
        if let Err(mistake) = Constraint::parse(&text) {
            prop_assert!(!mistake.to_string().is_empty());
        }
    }

    #[test]
    fn words_in_any_order_are_read_or_refused(words in prop::collection::vec(
        prop::sample::select(vec!["require", "prefer", "spread", "by", "hall", "at", "most", "2", "near", "apart",
            "from", "copies", "service", "label", "(", ")", "not", "and", "or", "=", "in", "{", "}", ",", ";", "attr.x",
            "\"é\"", "v1.2", "-3.5", "kind", "has", "use", "within", "\n"]), 0..25)) {
        let _ = Constraint::parse(&words.join(" ")).map_err(|mistake| mistake.to_string());
    }
}
