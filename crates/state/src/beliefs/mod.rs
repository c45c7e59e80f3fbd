//! Beliefs: measurements of the decision module about nodes, which the placer can lose without breaking a commitment to
//! a client. They are saved in one small file that is replaced as a whole, and lose weight as they age.

mod aging;
mod codec;
mod error;
mod snapshot;
#[cfg(test)]
mod tests;

pub use self::aging::{AgedBeliefs, BeliefHalfLives};
pub use self::error::{BeliefError, BeliefProblem};
pub use self::snapshot::{BeliefSnapshot, NodeBeliefs, NodeIdentity};
