//! Where tasks may stand: a small language for node kinds, attributes, affinity, anti-affinity and spread.
//!
//! ```
//! use reedring_constraint::{Census, Compiled, Constraint, Fleet, Line, Own};
//!
//! let text = r#"require hall in {"north", "south"} and attr.ssd = "yes"; require apart from copies by machine"#;
//! let constraint = Constraint::parse(text).unwrap();
//! let line = |name: &str, hall: &str, ssd: &str| Line::named(name).hall(hall).attr("ssd", ssd);
//! let fleet = Fleet::new(vec![line("n1", "north", "yes"), line("n2", "south", "no"), line("n3", "west", "yes")]);
//! let compiled = Compiled::new(&constraint, &fleet);
//! let answer = compiled.open(&fleet, &Census::default(), &Own::service("play", "player"), 0);
//! assert_eq!(answer.machines.ones().collect::<Vec<_>>(), [0]);
//! ```
//!
//! What this crate is not: it places nothing, and knows of copies what it is told. `docs/constraints.md` is
//! the reference for users. Everything is free of I/O; equal inputs give equal answers.
#![forbid(unsafe_code)]

mod check;
mod error;
mod eval;
mod explain;
mod fleet;
mod parse;
mod standing;
mod tree;

pub use check::Schema;
pub use error::{Details, Mistake};
pub use eval::{Answer, Compiled, Own, Verdict};
pub use explain::{ClauseLine, Explanation};
pub use fleet::{Attr, Census, Fleet, Line, Topic};
pub use standing::{Breach, broken};
pub use tree::{
    Clause, Compare, Constraint, Expr, Field, Op, Place, Rule, Spread, Strength, Value, Who,
};

/// Characters of a constraint's text at most.
pub const MAX_TEXT: usize = 10_000;
/// Parentheses and `not`s inside each other at most.
pub const MAX_DEPTH: usize = 50;
/// Clauses of a constraint at most.
pub const MAX_CLAUSES: usize = 64;
