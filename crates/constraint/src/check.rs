//! Checks of a constraint: operand types, contradictions, and names and types that the site knows.

use std::collections::BTreeMap;
use std::ops::Range;

use crate::error::{ConstraintError, closest_name};
use crate::fleet::{Attr, Fleet};
use crate::tree::{Compare, Constraint, Expr, Field, Op, Rule, Strength, Value};

/// Checks that the operator and the value fit the field, as far as the text alone shows it: the types of attributes
/// are known only to a [`Schema`]. `value_span` is the byte range of the value.
pub(crate) fn check_operand_types(
    text: &str,
    field: &Field,
    op: Op,
    value: &Value,
    value_span: Range<usize>,
) -> Result<(), ConstraintError> {
    let error = |message: String, here: &str, help: &str| {
        Err(ConstraintError::new(text, value_span.clone(), message, here).help(help))
    };
    match (field, op, value) {
        (_, Op::In, Value::Set(_)) | (Field::Attr(_), Op::Has, Value::Text(_)) => Ok(()),
        (_, Op::In, _) => error(
            "`in` needs a set".into(),
            "no set",
            "write it as {\"a\", \"b\"}",
        ),
        (Field::Attr(_), Op::Has, _) => error(
            "a set holds texts".into(),
            "no text",
            "write the text in quotes",
        ),
        (field, Op::Has, _) => error(
            format!("`{field}` is one text, not a set"),
            "`has` needs a set",
            "write `=`",
        ),
        (_, _, Value::Set(_)) => error(
            "a set compares with `in` alone".into(),
            "a set",
            "write `in`",
        ),
        (
            Field::Kind | Field::Rack | Field::Hall | Field::Name,
            Op::Eq | Op::Ne,
            Value::Text(_),
        ) => Ok(()),
        (Field::Attr(_), Op::Eq | Op::Ne, _) => Ok(()),
        (Field::Attr(_), _, Value::Number(_) | Value::Version(_)) => Ok(()),
        (Field::Attr(_), op, Value::Text(_)) => error(
            format!("texts have no order for `{}`", op.word()),
            "a text",
            "write a number without quotes, or a version such as v6.1",
        ),
        (field, Op::Eq | Op::Ne, _) => error(
            format!("`{field}` is a text"),
            "no text",
            "write it in quotes",
        ),
        (field, op, _) => error(
            format!(
                "`{field}` is a text, and texts have no order for `{}`",
                op.word()
            ),
            "no order",
            "use `=`, `!=` or `in`",
        ),
    }
}

/// Collects the comparisons that every matching machine must satisfy: those joined by `and` at the top level.
fn collect_required<'a>(expr: &'a Expr, found: &mut Vec<&'a Compare>) {
    match expr {
        Expr::And(all) => all.iter().for_each(|inner| collect_required(inner, found)),
        Expr::Compare(compare) => found.push(compare),
        _ => {}
    }
}

/// Whether no value of the field can satisfy both comparisons. `false` means that this is not known.
fn are_contradictory(a: &Compare, b: &Compare) -> bool {
    let one_of = |compare: &Compare| match (&compare.value, compare.op) {
        (Value::Text(text), Op::Eq) => Some(vec![text.clone()]),
        (Value::Set(all), Op::In) => Some(all.clone()),
        _ => None,
    };
    if let Some((one, other)) = one_of(a).zip(one_of(b)) {
        return !one.iter().any(|text| other.contains(text));
    }
    match (a.op, &a.value, b.op, &b.value) {
        (Op::Eq, x, Op::Ne, y) | (Op::Ne, x, Op::Eq, y) => x == y,
        (_, Value::Number(x), _, Value::Number(y)) => are_disjoint(a.op, *x, b.op, *y),
        _ => false,
    }
}

/// The interval of numbers that satisfy a comparison, as (low, low is included, high, high is included). `None` for
/// `!=`, `in` and `has`, which give no interval.
fn interval(op: Op, x: f64) -> Option<(f64, bool, f64, bool)> {
    let (low, high) = (f64::NEG_INFINITY, f64::INFINITY);
    Some(match op {
        Op::Eq => (x, true, x, true),
        Op::Lt => (low, false, x, false),
        Op::Le => (low, false, x, true),
        Op::Gt => (x, false, high, false),
        Op::Ge => (x, true, high, false),
        _ => return None,
    })
}

/// Whether the intervals of two numeric comparisons do not overlap.
fn are_disjoint(a: Op, x: f64, b: Op, y: f64) -> bool {
    let Some((one, other)) = interval(a, x).zip(interval(b, y)) else {
        return false;
    };
    let before = |a: (f64, bool, f64, bool), b: (f64, bool, f64, bool)| {
        a.2 < b.0 || a.2 == b.0 && !(a.3 && b.1)
    };
    before(one, other) || before(other, one)
}

/// Rejects a constraint with two required comparisons that no machine can satisfy together.
pub(crate) fn contradiction(constraint: &Constraint, text: &str) -> Result<(), ConstraintError> {
    let mut found: Vec<&Compare> = Vec::new();
    for clause in constraint
        .clauses
        .iter()
        .filter(|clause| clause.strength == Strength::Require)
    {
        if let Rule::Where(expr) = &clause.rule {
            collect_required(expr, &mut found);
        }
    }
    let mut by_field: BTreeMap<&Field, Vec<&Compare>> = BTreeMap::new();
    for compare in found {
        let others = by_field.entry(&compare.field).or_default();
        if let Some(other) = others
            .iter()
            .find(|other| are_contradictory(other, compare))
        {
            let message = format!("`{other}` and `{compare}` can't both hold on any machine");
            // The spans of clauses included with `use` refer to the named constraint's text, not to this one.
            let is_in_text = |span: &Range<usize>| text.get(span.clone()).is_some();
            let error = ConstraintError::new(text, compare.span.clone(), message, "contradicts");
            return Err(if is_in_text(&other.span) {
                error.related(other.span.clone(), "this")
            } else {
                error
            });
        }
        others.push(compare);
    }
    Ok(())
}

/// The node kinds and attribute types that a site knows, to check a constraint against.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// The node kinds of the settings. If there are none, kinds are not checked.
    pub kinds: Vec<String>,
    /// The type of each attribute of the node list, by name: `text`, `number`, `version` or `set`.
    pub attrs: BTreeMap<String, &'static str>,
}

impl Schema {
    /// A schema of these kinds and of the attributes of the fleet's nodes. If two nodes have an attribute with
    /// different types, the type on the last one counts.
    pub fn of(kinds: Vec<String>, fleet: &Fleet) -> Self {
        let attrs = fleet.nodes().iter().flat_map(|node| node.attrs.iter());
        Self {
            kinds,
            attrs: attrs
                .map(|(name, attr)| (name.clone(), attr.kind()))
                .collect(),
        }
    }

    /// Rejects kinds and attributes that the site does not know, and comparisons with a value of another type. `text`
    /// is the text that the constraint was parsed from.
    ///
    /// # Errors
    /// The first such error.
    pub fn check(&self, constraint: &Constraint, text: &str) -> Result<(), ConstraintError> {
        for clause in &constraint.clauses {
            if let Rule::Where(expr) = &clause.rule {
                self.expr(expr, text)?;
            }
        }
        Ok(())
    }

    fn expr(&self, expr: &Expr, text: &str) -> Result<(), ConstraintError> {
        match expr {
            Expr::And(all) | Expr::Or(all) => {
                all.iter().try_for_each(|inner| self.expr(inner, text))
            }
            Expr::Not(inner) => self.expr(inner, text),
            Expr::Compare(compare) => self.compare(compare, text),
            Expr::Affinity(..) | Expr::AntiAffinity(..) => Ok(()),
        }
    }

    fn compare(&self, compare: &Compare, text: &str) -> Result<(), ConstraintError> {
        let span = if text.get(compare.span.clone()).is_some() {
            compare.span.clone()
        } else {
            0..0
        };
        let unknown = |what: &str, name: &str, known: Vec<&str>| {
            let suggestion = closest_name(name, known.iter().copied())
                .map(|name| format!("did you mean `{name}`?"));
            let list = if known.is_empty() {
                "none is known".to_owned()
            } else {
                format!("known are {}", known.join(", "))
            };
            let error =
                ConstraintError::new(text, span.clone(), format!("no {what} `{name}`"), "unknown");
            Err(error.help(suggestion.unwrap_or(list)))
        };
        match (&compare.field, &compare.value) {
            (Field::Kind, Value::Text(name))
                if !self.kinds.is_empty() && !self.kinds.contains(name) =>
            {
                unknown(
                    "kind",
                    name,
                    self.kinds.iter().map(String::as_str).collect(),
                )
            }
            (Field::Attr(name), value) => {
                let Some(kind) = self.attrs.get(name) else {
                    return unknown(
                        "attribute",
                        name,
                        self.attrs.keys().map(String::as_str).collect(),
                    );
                };
                let fits = match (compare.op, value) {
                    (Op::Has, _) => *kind == "set",
                    (Op::In, _) => *kind == "text",
                    (_, value) => *kind == Attr::kind_of(value),
                };
                if fits {
                    return Ok(());
                }
                let message = format!("`attr.{name}` is a {kind} on the node list");
                Err(ConstraintError::new(
                    text,
                    span,
                    message,
                    format!("compared as a {}", Attr::kind_of(value)),
                ))
            }
            _ => Ok(()),
        }
    }
}
