//! The syntax tree, and its text.

use std::fmt;
use std::ops::Range;

/// A constraint: clauses, in the order in which they are stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Constraint {
    /// The clauses.
    pub clauses: Vec<Clause>,
}

/// One clause.
#[derive(Clone, Debug)]
pub struct Clause {
    /// Whether it must hold.
    pub strength: Strength,
    /// What it says.
    pub rule: Rule,
    /// Where it stands in the text.
    pub span: Range<usize>,
}

/// Clauses are equal where they say the same, wherever they stand.
impl PartialEq for Clause {
    fn eq(&self, other: &Self) -> bool {
        (self.strength, &self.rule) == (other.strength, &other.rule)
    }
}

/// Whether a clause must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strength {
    /// It must.
    Require,
    /// It is kept where it can be; the clause stated last is dropped first.
    Prefer,
}

/// What a clause says.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// The machine is such that this holds.
    Where(Expr),
    /// The copies of the own service are spread.
    Spread {
        /// Over these places.
        by: Place,
        /// So.
        how: Spread,
    },
}

/// How copies are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// So many in one place at most.
    AtMost(u32),
    /// In so many places at least, as soon as there are so many copies.
    AtLeast(u32),
    /// No place has so many more than another.
    Within(u32),
}

/// A condition on a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Expr {
    /// All hold.
    And(Vec<Expr>),
    /// One holds.
    Or(Vec<Expr>),
    /// It does not hold.
    Not(Box<Expr>),
    /// A field compares so with a value.
    Compare(Compare),
    /// Such a copy stands in the machine's place.
    Near(Who, Place),
    /// No such copy stands in the machine's place.
    Apart(Who, Place),
}

/// A comparison.
#[derive(Clone, Debug)]
pub struct Compare {
    /// What is compared.
    pub field: Field,
    /// How.
    pub op: Op,
    /// With what.
    pub value: Value,
    /// Where it stands in the text.
    pub span: Range<usize>,
}

impl PartialEq for Compare {
    fn eq(&self, other: &Self) -> bool {
        (&self.field, self.op, &self.value) == (&other.field, other.op, &other.value)
    }
}

/// What the node list says of a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    /// Its kind.
    Kind,
    /// Its rack.
    Rack,
    /// Its hall.
    Hall,
    /// Its name.
    Name,
    /// One of its attributes.
    Attr(String),
}

/// How a field compares.
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
    /// `in`: the field is one of a set.
    In,
    /// `has`: the field is a set and holds the value.
    Has,
}

/// A value.
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

/// Whose copies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Who {
    /// The own service's.
    Copies,
    /// Another service's, of any class.
    Service(String),
    /// Jobs with this label.
    Label(String, String),
}

/// A kind of place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// One machine.
    Machine,
    /// One rack of a hall.
    Rack,
    /// One hall.
    Hall,
}

impl Place {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Machine, Self::Rack, Self::Hall];

    /// Its word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Machine => "machine",
            Self::Rack => "rack",
            Self::Hall => "hall",
        }
    }
}

impl Op {
    /// Its word.
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
    /// Whether it speaks of copies, and not of the node list alone.
    pub fn is_about_copies(&self) -> bool {
        match self {
            Self::And(all) | Self::Or(all) => all.iter().any(Self::is_about_copies),
            Self::Not(inner) => inner.is_about_copies(),
            Self::Compare(_) => false,
            Self::Near(..) | Self::Apart(..) => true,
        }
    }

    /// Whose copies it speaks of.
    pub fn whose(&self, found: &mut Vec<Who>) {
        match self {
            Self::And(all) | Self::Or(all) => all.iter().for_each(|inner| inner.whose(found)),
            Self::Not(inner) => inner.whose(found),
            Self::Compare(_) => {}
            Self::Near(who, _) | Self::Apart(who, _) => found.push(who.clone()),
        }
    }
}

impl Rule {
    /// Whether it speaks of copies.
    pub fn is_about_copies(&self) -> bool {
        match self {
            Self::Where(expr) => expr.is_about_copies(),
            Self::Spread { .. } => true,
        }
    }
}

impl Constraint {
    /// Whether any clause speaks of copies.
    pub fn is_about_copies(&self) -> bool {
        self.clauses
            .iter()
            .any(|clause| clause.rule.is_about_copies())
    }

    /// Whose copies it speaks of.
    pub fn whose(&self) -> Vec<Who> {
        let mut found = Vec::new();
        for clause in &self.clauses {
            match &clause.rule {
                Rule::Where(expr) => expr.whose(&mut found),
                Rule::Spread { .. } => found.push(Who::Copies),
            }
        }
        found.sort();
        found.dedup();
        found
    }
}

// ---- The text of a tree: it parses to the same tree ----

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
            Self::Spread { by, how } => match how {
                Spread::AtMost(n) => write!(f, "spread by {} at most {n}", by.word()),
                Spread::AtLeast(n) => write!(f, "spread by {} at least {n}", by.word()),
                Spread::Within(n) => write!(f, "spread by {} within {n}", by.word()),
            },
        }
    }
}

impl fmt::Display for Expr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Parentheses wherever the tree has a level of its own, so that it reads back the same.
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
            Self::Near(who, place) => write!(f, "near {who} by {}", place.word()),
            Self::Apart(who, place) => write!(f, "apart from {who} by {}", place.word()),
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

impl fmt::Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Copies => f.write_str("copies"),
            Self::Service(name) => write!(f, "service {}", Quoted(name)),
            Self::Label(key, value) => write!(f, "label {} = {}", Quoted(key), Quoted(value)),
        }
    }
}
