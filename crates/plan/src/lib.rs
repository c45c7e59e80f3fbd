//! Which plan a fleet of placers acts by.
//!
//! A plan is what all placers of a site must be told alike: how many they are, what a cold node bears, how classes may
//! be repeated. Placers share nothing but the nodes, so nodes are the fleet's memory. Those that vote ([`MemberRole::Voter`])
//! keep the plan that they admit and the one that is being introduced, and a plan is in force once a majority of them
//! has kept it. All others learn ([`MemberRole::Learner`], [`LearnerState`]) from the stamps on what placers send them.
//!
//! Everything here is a pure function or a value that is changed by one: what a node keeps ([`AcceptorState`]), what a placer
//! makes of all that nodes told ([`ClusterView`]), what it asks of them next ([`Proposer`]), how it stands ([`standing`]), which
//! nodes it may send to ([`hold`]), by which bounds two plans may be acted on at once ([`joint`]), and what changed
//! from one to the next ([`delta`]). Nothing here
//! opens a socket or a file, reads a clock or draws a number. `docs/plan.md` has the tables in one place.
#![forbid(unsafe_code)]

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

pub use compact::Compactor;
pub use fleet::{ClusterView, PeerState};
pub use hold::{DispatchBlock, dispatch_block, must_raise};
pub use joint::{
    ClassBounds, ConfigBounds, JointConflict, JointConflicts, ReschedulePolicy, Resources,
    SpreadDomain, SpreadLimit, joint_bounds,
};
pub use kept::{CorruptState, MAX_PLACERS, read, write};
pub use learner::LearnerState;
pub use maker::{ChangePhase, DocumentCache, Proposer};
pub use membership::{MemberRole, Membership};
pub use memory::{AcceptedConfig, AcceptorState, OfferRejection, PlacerSighting, RequestRejection};
pub use pace::ProposalBackoff;
pub use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigRequest, ConfigVersion, Delta,
    DeltaStep, Edit, MAX_PLAN, SectionKey, Table, VersionStamp, version_level,
};
pub use standing::{
    ActiveConfig, LeaseState, LocalConfig, QuorumContact, SuspendReason, Usability, lease_state,
};
pub use text::{ConfigDocument, DocumentError};
