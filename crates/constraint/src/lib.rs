//! Placement constraints for tasks: a small language over node kinds, attributes, affinity, anti-affinity and spread.
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
//! This crate places nothing: it evaluates constraints against the nodes and copies that the caller passes in.
//! `docs/constraints.md` is the reference for users. There is no I/O; equal inputs give equal results.
#![forbid(unsafe_code)]

mod check;
mod error;
mod eval;
mod explain;
mod fleet;
mod parse;
mod tree;
mod violations;

pub use check::Schema;
pub use error::{Details, Mistake};
pub use eval::{Answer, Compiled, Own, Verdict};
pub use explain::{ClauseEffect, Explanation};
pub use fleet::{Attr, Census, Fleet, Line, Topic};
pub use tree::{
    Clause, Compare, Constraint, Expr, Field, Op, Place, Rule, Spread, Strength, Value, Who,
};
pub use violations::{Breach, broken};

/// Maximum length of a constraint's text, in characters.
pub const MAX_TEXT: usize = 10_000;
/// Maximum nesting depth of parentheses and `not`.
pub const MAX_DEPTH: usize = 50;
/// Maximum number of clauses in a constraint.
pub const MAX_CLAUSES: usize = 64;
