//! Placement constraints for tasks: a small language over node kinds, attributes, affinity, anti-affinity and spread.
//!
//! ```
//! use reedring_constraint::{Census, Compiled, Constraint, Fleet, FleetNode, OwnService};
//!
//! let text = r#"require hall in {"north", "south"} and attr.ssd = "yes"; require apart from copies by machine"#;
//! let constraint = Constraint::parse(text).unwrap();
//! let node = |name: &str, hall: &str, ssd: &str| FleetNode::named(name).hall(hall).attr("ssd", ssd);
//! let fleet = Fleet::new(vec![node("n1", "north", "yes"), node("n2", "south", "no"), node("n3", "west", "yes")]);
//! let compiled = Compiled::new(&constraint, &fleet);
//! let answer = compiled.open(&fleet, &Census::default(), &OwnService::new("play", "player"), 0);
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
pub use error::{ConstraintError, ErrorDetails};
pub use eval::{Compiled, Evaluation, OwnService, Verdict};
pub use explain::{ClauseEffect, Explanation};
pub use fleet::{Attr, Census, Fleet, FleetNode, Topic};
pub use tree::{
    Clause, Compare, Constraint, CopySelector, DomainKind, Expr, Field, Op, Rule, SpreadLimit,
    Strength, Value,
};
pub use violations::{Violation, violations};

/// Maximum length of a constraint's text, in characters.
pub const MAX_TEXT: usize = 10_000;
/// Maximum nesting depth of parentheses and `not`.
pub const MAX_DEPTH: usize = 50;
/// Maximum number of clauses in a constraint.
pub const MAX_CLAUSES: usize = 64;
