//! The syntax tree of a constraint, and how it is printed.

use std::fmt;
use std::ops::Range;

/// A parsed constraint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Constraint {
    /// The clauses, in the order of the text. The order matters for [`Strength::Prefer`].
    pub clauses: Vec<Clause>,
}

/// One clause of a constraint: a rule and whether it is a requirement or a preference.
#[derive(Clone, Debug)]
pub struct Clause {
    /// Whether the rule is a requirement or a preference.
    pub strength: Strength,
    /// The rule that the clause states.
    pub rule: Rule,
    /// The clause's byte range in the text. For a clause from a constraint included with `use`, the range of the name
    /// after `use`.
    pub span: Range<usize>,
}

/// Two clauses are equal if strength and rule are equal; the span is ignored.
impl PartialEq for Clause {
    fn eq(&self, other: &Self) -> bool {
        (self.strength, &self.rule) == (other.strength, &other.rule)
    }
}

/// Whether a clause is a requirement or a preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strength {
    /// A machine that violates the clause is not open.
    Require,
    /// The clause is applied as long as it leaves a machine open; preferences stated first take precedence.
    Prefer,
}

/// The rule of a clause.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// The machine must satisfy this condition.
    Where(Expr),
    /// The copies of the task's own service are spread over domains.
    Spread {
        /// The kind of domain that copies are counted in.
        by: DomainKind,
        /// The limit on the copies.
        limit: SpreadLimit,
    },
}

/// The limit that a spread sets on the number of copies in each domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadLimit {
    /// At most this many copies in one domain.
    AtMost(u32),
    /// The copies occupy at least this many domains once there are at least as many copies.
    AtLeast(u32),
    /// A domain holds at most this many more copies than the eligible domain with the fewest.
    Within(u32),
}

/// A condition on a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    /// Every operand holds.
    And(Vec<Expr>),
    /// At least one operand holds.
    Or(Vec<Expr>),
    /// The operand does not hold.
    Not(Box<Expr>),
    /// The comparison of a field with a value holds.
    Compare(Compare),
    /// Affinity: a selected copy is in the machine's domain.
    Affinity(CopySelector, DomainKind),
    /// Anti-affinity: no selected copy is in the machine's domain.
    AntiAffinity(CopySelector, DomainKind),
}

/// A comparison of a node's field with a constant. Equality ignores the span.
#[derive(Clone, Debug)]
pub struct Compare {
    /// The field of the node, on the left side.
    pub field: Field,
    /// The comparison operator.
    pub op: Op,
    /// The constant on the right side.
    pub value: Value,
    /// The comparison's byte range in the text that it was parsed from: a named constraint's own text if it was
    /// included with `use`.
    pub span: Range<usize>,
}

impl PartialEq for Compare {
    fn eq(&self, other: &Self) -> bool {
        (&self.field, self.op, &self.value) == (&other.field, other.op, &other.value)
    }
}

/// A field of a node in the node list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// The node's kind.
    Kind,
    /// The node's rack.
    Rack,
    /// The node's hall.
    Hall,
    /// The node's name.
    Name,
    /// The node's attribute of this name.
    Attr(String),
}

/// A comparison operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// `=`
    Eq,
    /// `!=`
    Ne,
    /// `<`
    Lt,
    /// `<=`
    Le,
    /// `>`
    Gt,
    /// `>=`
    Ge,
    /// `in`: the field's text is a member of the given set.
    In,
    /// `has`: the field is a set that contains the given text.
    Has,
}

/// The constant that a field is compared with.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A text.
    Text(String),
    /// A number.
    Number(f64),
    /// A version, such as `v6.1.4`; missing parts count as 0.
    Version(Vec<u64>),
    /// A set of texts.
    Set(Vec<String>),
}

/// Selects the copies that an affinity or anti-affinity refers to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopySelector {
    /// Copies of the task's own service, in its own class.
    OwnService,
    /// Copies of the service of this name, in any class.
    Service(String),
    /// Copies with this label key and value.
    Label(String, String),
}

/// A kind of failure domain that nodes are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainKind {
    /// Each machine is a domain.
    Machine,
    /// Each rack of a hall is a domain; racks of the same name in two halls are different domains.
    Rack,
    /// Each hall is a domain.
    Hall,
}

impl DomainKind {
    /// Every kind, from the smallest domain to the largest.
    pub const ALL: [Self; 3] = [Self::Machine, Self::Rack, Self::Hall];

    /// The keyword of the language for this kind.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Machine => "machine",
            Self::Rack => "rack",
            Self::Hall => "hall",
        }
    }
}

impl Op {
    /// The operator as it is written in the language.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Eq => "=",
            Self::Ne => "!=",
            Self::Lt => "<",
            Self::Le => "<=",
            Self::Gt => ">",
            Self::Ge => ">=",
            Self::In => "in",
            Self::Has => "has",
        }
    }
}

impl Expr {
    /// Whether the result depends on where copies are, and not on the node list alone.
    pub fn depends_on_copies(&self) -> bool {
        match self {
            Self::And(all) | Self::Or(all) => all.iter().any(Self::depends_on_copies),
            Self::Not(inner) => inner.depends_on_copies(),
            Self::Compare(_) => false,
            Self::Affinity(..) | Self::AntiAffinity(..) => true,
        }
    }

    /// Appends the copy selectors of this expression to `found`.
    pub fn copy_selectors(&self, found: &mut Vec<CopySelector>) {
        match self {
            Self::And(all) | Self::Or(all) => {
                all.iter().for_each(|inner| inner.copy_selectors(found))
            }
            Self::Not(inner) => inner.copy_selectors(found),
            Self::Compare(_) => {}
            Self::Affinity(selector, _) | Self::AntiAffinity(selector, _) => {
                found.push(selector.clone())
            }
        }
    }
}

impl Rule {
    /// Whether the rule depends on where copies are.
    pub fn depends_on_copies(&self) -> bool {
        match self {
            Self::Where(expr) => expr.depends_on_copies(),
            Self::Spread { .. } => true,
        }
    }
}

impl Constraint {
    /// Whether any clause depends on where copies are.
    pub fn depends_on_copies(&self) -> bool {
        self.clauses
            .iter()
            .any(|clause| clause.rule.depends_on_copies())
    }

    /// The copy selectors of all clauses, sorted and without duplicates. A spread selects the own service.
    pub fn copy_selectors(&self) -> Vec<CopySelector> {
        let mut found = Vec::new();
        for clause in &self.clauses {
            match &clause.rule {
                Rule::Where(expr) => expr.copy_selectors(&mut found),
                Rule::Spread { .. } => found.push(CopySelector::OwnService),
            }
        }
        found.sort();
        found.dedup();
        found
    }
}

// ---- Printing: the printed text parses to an equal tree ----

/// Prints a text in double quotes, with the escapes that the parser accepts.
struct Quoted<'a>(&'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("\"")?;
        for c in self.0.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                '\n' => f.write_str("\\n")?,
                '\t' => f.write_str("\\t")?,
                '\r' => f.write_str("\\r")?,
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

impl fmt::Display for Constraint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, clause) in self.clauses.iter().enumerate() {
            write!(f, "{}{clause}", if n > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

impl fmt::Display for Clause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.strength {
            Strength::Require => "require",
            Strength::Prefer => "prefer",
        };
        write!(f, "{word} {}", self.rule)
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Where(expr) => write!(f, "{expr}"),
            Self::Spread { by, limit } => match limit {
                SpreadLimit::AtMost(n) => write!(f, "spread by {} at most {n}", by.word()),
                SpreadLimit::AtLeast(n) => write!(f, "spread by {} at least {n}", by.word()),
                SpreadLimit::Within(n) => write!(f, "spread by {} within {n}", by.word()),
            },
        }
    }
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Nested `and` and `or` are put in parentheses, so that parsing the text gives the same nesting.
        let joined = |f: &mut fmt::Formatter<'_>, all: &[Expr], word: &str| {
            for (n, inner) in all.iter().enumerate() {
                if n > 0 {
                    write!(f, " {word} ")?;
                }
                match inner {
                    Self::And(_) | Self::Or(_) => write!(f, "({inner})")?,
                    _ => write!(f, "{inner}")?,
                }
            }
            Ok(())
        };
        match self {
            Self::And(all) => joined(f, all, "and"),
            Self::Or(all) => joined(f, all, "or"),
            Self::Not(inner) => match **inner {
                Self::And(_) | Self::Or(_) => write!(f, "not ({inner})"),
                _ => write!(f, "not {inner}"),
            },
            Self::Compare(compare) => write!(f, "{compare}"),
            Self::Affinity(selector, domain_kind) => {
                write!(f, "near {selector} by {}", domain_kind.word())
            }
            Self::AntiAffinity(selector, domain_kind) => {
                write!(f, "apart from {selector} by {}", domain_kind.word())
            }
        }
    }
}

impl fmt::Display for Compare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.field, self.op.word(), self.value)
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind => f.write_str("kind"),
            Self::Rack => f.write_str("rack"),
            Self::Hall => f.write_str("hall"),
            Self::Name => f.write_str("name"),
            Self::Attr(name) => write!(f, "attr.{name}"),
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => write!(f, "{}", Quoted(text)),
            Self::Number(number) => write!(f, "{number}"),
            Self::Version(parts) => {
                let parts: Vec<String> = parts.iter().map(u64::to_string).collect();
                write!(f, "v{}", parts.join("."))
            }
            Self::Set(all) => {
                let all: Vec<String> = all.iter().map(|text| Quoted(text).to_string()).collect();
                write!(f, "{{{}}}", all.join(", "))
            }
        }
    }
}

impl fmt::Display for CopySelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnService => f.write_str("copies"),
            Self::Service(name) => write!(f, "service {}", Quoted(name)),
            Self::Label(key, value) => write!(f, "label {} = {}", Quoted(key), Quoted(value)),
        }
    }
}
