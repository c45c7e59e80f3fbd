//! Which plan a fleet of placers acts by.
//!
//! A plan is what all placers of a site must be told alike: how many they are, what a cold node bears, how classes may
//! be repeated. Placers share nothing but the nodes, so nodes are the fleet's memory. Those that vote ([`Member::Voter`])
//! keep the plan that they admit and the one that is being introduced, and a plan is in force once a majority of them
//! has kept it. All others learn ([`Member::Learner`], [`LearnedFloor`]) from the stamps on what placers send them.
//!
//! Everything here is a pure function or a value that is changed by one: what a node keeps ([`Memory`]), what a placer
//! makes of all that nodes told ([`Fleet`]), what it asks of them next ([`Maker`]), how it stands ([`standing`]), which
//! nodes it may send to ([`hold`]), by which bounds two plans may be acted on at once ([`joint`]), and what changed
//! from one to the next ([`delta`]). Nothing here
//! opens a socket or a file, reads a clock or draws a number. `docs/plan.md` has the tables in one place.
#![forbid(unsafe_code)]

mod bounds;
mod compact;
pub mod delta;
mod fleet;
mod hold;
mod joint;
mod kept;
mod learner;
mod maker;
mod membership;
mod memory;
mod pace;
mod standing;
mod text;

pub use bounds::{Again, Bounds, ClassBounds, Over};
pub use compact::Compactor;
pub use fleet::{Fleet, Kin};
pub use hold::{Hold, hold, must_raise};
pub use joint::joint;
pub use kept::{MAX_PLACERS, Unreadable, read, write};
pub use learner::LearnedFloor;
pub use maker::{Maker, Step, Texts};
pub use membership::{Member, Membership};
pub use memory::{Declined, Memory, Next, Refusal, Seen};
pub use pace::Pace;
pub use reedring_nodeproto::{
    Ballot, Delta, DeltaStep, Digest, Edit, Introduced, MAX_PLAN, Order, Record, SectionKey, Stamp,
    Table, Version, level,
};
pub use standing::{Acts, Heard, Own, Standing, Use, Why, standing};
pub use text::{Kept, WrongText};
