//! Beliefs about nodes: measured, not promised. They are kept in one small file that is replaced whole, and count for
//! less the older they are.

mod aging;
mod codec;
mod error;
mod snapshot;
#[cfg(test)]
mod tests;

pub use self::aging::{AgedBeliefs, BeliefHalfLives};
pub use self::error::{BeliefError, BeliefProblem};
pub use self::snapshot::{BeliefSnapshot, NodeBeliefs, NodeIdentity};
