//! Agreement of a fleet of placers on its configuration: single-decree Paxos for each successive configuration, with a
//! joint phase between two configurations, learners, and read leases.
//!
//! A configuration is the part of the settings that all placers of a site must share: the number of placers, how many
//! offers a node that is warming up can take, how the tasks of each class may be retried. Operators know it by the
//! `[plan]` table of the settings file, so messages to them call it a plan. Placers share nothing but the nodes, so the
//! nodes are the acceptors.
//!
//! # Terms
//!
//! | term | meaning |
//! | --- | --- |
//! | configuration, version | a numbered text; its number and the digest of its text; number *n* + 1 replaces *n* |
//! | voter, learner | a node that votes according to the node list, and one that does not ([`Membership`]) |
//! | acceptor | a node that persists configurations ([`AcceptorState`]): each voter, and nodes that were voters |
//! | promised, accepted | as in Paxos: the acceptor rejects smaller ballots; it has voted for a configuration |
//! | chosen | a majority of all voters accepted it with one ballot: no other configuration can get its number |
//! | joint | chosen, and applied together with its predecessor: the stricter bound in each respect ([`joint_bounds`]) |
//! | committed | a majority of all voters had entered its joint phase: it is applied alone |
//! | version level | twice the number, and one less in the joint phase: 2*n* - 1 is joint, 2*n* is *n* alone |
//! | floor | the lowest version level of the offers that a node admits |
//!
//! # Protocol
//!
//! 1. *Prepare*. A placer that has a configuration to propose, or sees that a proposed one is unfinished, asks all
//!    voters to promise a ballot that is greater than any promised before.
//! 2. *Accept*. Once a majority has promised the ballot, the placer asks the voters to accept a configuration: the one
//!    that was accepted with the greatest ballot among the voters that promised, or its own proposal if there is none.
//!    A configuration that a majority accepted with one ballot is chosen.
//! 3. *Enter joint*. Every placer that sees a configuration chosen requests the acceptors to enter its joint phase.
//!    Each acceptor raises its floor by one level, and placers that see the configuration chosen apply both
//!    configurations.
//! 4. *Commit*. Once a majority of the voters is joint, the acceptors that are joint are requested to commit: their
//!    floor rises by one more level.
//!
//! Every answer is a report of the acceptor's whole state, so each placer sees how far a change is and completes what
//! another placer began. A placer dispatches only while a majority of the voters answered it within its read lease
//! ([`ReadLease`]), and stamps each offer with its version level; a node admits an offer at its floor or one level
//! above.
//!
//! # Why it is safe
//!
//! 1. A majority is one of all voters of the node list except those listed as gone, not of the reachable ones, so two
//!    majorities of one list share a voter.
//! 2. A voter persists a promise or a vote before it answers, and rejects smaller ballots from then on.
//! 3. A placer whose ballot was promised by a majority therefore sees any configuration that was chosen with a smaller
//!    ballot, and proposes that one. A ballot proposes one configuration only. Hence at most one configuration of each
//!    number is chosen (Paxos).
//! 4. Only a chosen configuration becomes joint, only at acceptors that have committed its predecessor, and only a
//!    joint configuration is committed. So the fleet commits the numbers in order, one configuration of each.
//! 5. The state of an acceptor only advances: committed numbers and floors never decrease, and neither do promised
//!    ballots until the next commit ([`AcceptorState::apply`]).
//! 6. A voter admits its floor and one level above, so the offers that it admits at one time are of adjacent levels:
//!    *n* alone and *n* + 1 joint, or *n* + 1 joint and *n* + 1 alone. The joint bounds are as strict as both
//!    configurations, so neither pair exceeds the bounds of either. A learner admits any newer level and raises its
//!    floor with it; while it is warming up, placers wait for a window after that (8).
//! 7. The lease bounds how long a placer applies a configuration without learning that it was replaced. Offers that it
//!    sends later, or that were delayed on their way, are rejected by the floors, which do not depend on any clock.
//! 8. A node that is warming up may have admitted offers by both adjacent configurations, so
//!    [`dispatch_block`](dispatch_block()) makes placers wait for a window after the node's floor rose.
//! 9. A voter that lost its state and received the committed configuration again votes only after a settling time,
//!    which its caller measures. By then every change for which it may have voted before the loss is over.
//! 10. Reports of learners prove that a configuration was chosen, and count for no majority.
//!
//! Assumptions and limits: the node lists that placers use at one time differ by less than half of the voters (a voter
//! rejects a request with an older list revision than one it has seen); a voter that loses its disk before the *first*
//! configuration is committed anywhere votes at once, so disks must not be lost during that first change; where most
//! nodes speak an older protocol ([`LeaseState::Unmanaged`]), nothing here protects them.
//!
//! `tests/model.rs` and `tests/learners.rs` explore every interleaving of small clusters. They also check that the same
//! models fail without the rules on majorities, promises, floors and the slow-start window.
//!
//! # Differences from the published protocols
//!
//! - L. Lamport, "Paxos Made Simple" (2001), for steps 1 and 2. Here one decree is agreed on for each successor of a
//!   committed configuration, and ballots start again after each. There is no distinguished learner: placers count
//!   votes in the reports themselves. A chosen decree is not applied alone before steps 3 and 4.
//! - D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 6, for the joint
//!   phase. There it joins two sets of voters. Here it joins two sets of bounds: the voters are those of the node list,
//!   which operators change outside of this protocol; requests carry its revision, and a voter rejects an older one.
//! - I. Rae and others, "Online, Asynchronous Schema Evolution in F1" (2013), for the rule that only adjacent versions
//!   are in use at a time.
//! - C. Gray, D. Cheriton, "Leases" (1989), for the read lease. Here no server grants it and no change waits until it
//!   expires: a placer counts the time from the receipt of a majority's answers, by its own clock, so the lease bounds
//!   how outdated its view may be, and the floors protect the nodes.
//!
//! # Modules
//!
//! Every item is a pure function, or a value with methods that depend only on their arguments. Nothing opens a socket
//! or a file, reads a clock or draws a random number; callers pass the time.
//!
//! | module | purpose | main items |
//! | --- | --- | --- |
//! | `document` | verifies that a text matches a version | [`ConfigDocument`], [`DocumentCache`] |
//! | `membership` | which nodes vote | [`Membership`], [`MemberRole`] |
//! | `acceptor` | what a voter persists, answers and admits | [`AcceptorState`] |
//! | `learner` | what a learner records and admits | [`LearnerState`] |
//! | `cluster` | what the reports of all nodes prove together | [`ClusterView`], [`PeerState`] |
//! | `proposer` | what a placer requests next, and when | [`Proposer`], [`ProposalBackoff`], [`RequestCompactor`] |
//! | `joint` | the bounds while two configurations are in use | [`joint_bounds`], [`ConfigBounds`] |
//! | `lease` | whether a placer may dispatch, and which configuration it applies | [`ReadLease`], [`lease_state`], [`LeaseState`] |
//! | `dispatch_block` | which nodes a placer must not dispatch to | [`dispatch_block()`], [`DispatchBlock`] |
//! | [`delta`] | the sections that changed between two texts | [`delta::between`], [`delta::apply`] |
//!
//! # Where the values are held
//!
//! A placer has one [`Proposer`], [`ProposalBackoff`], [`RequestCompactor`] and [`DocumentCache`] (`Agreement` in
//! `crates/core/src/configuration/agreement.rs`), and one [`ReadLease`] next to the last report of each node (`Peers`
//! in `peers.rs` there). A node has one [`AcceptorState`] if it votes, else one [`LearnerState`]
//! (`crates/node-simulator/src/model/plans.rs`). `docs/plan.md` is the page for operators, with the alternatives that
//! were considered.
#![forbid(unsafe_code)]

mod acceptor;
mod cluster;
pub mod delta;
mod dispatch_block;
mod document;
mod joint;
mod learner;
mod lease;
mod membership;
mod proposer;

pub use acceptor::{
    AcceptedConfig, AcceptorState, CorruptState, MAX_PLACERS, OfferRejection, PlacerRecord,
    RequestRejection,
};
pub use cluster::{ClusterView, PeerState};
pub use dispatch_block::{DispatchBlock, SlowStart, dispatch_block};
pub use document::{ConfigDocument, DocumentCache, DocumentError};
pub use joint::{
    ClassBounds, ConfigBounds, JointConflict, JointConflicts, ReschedulePolicy, Resources,
    SpreadDomain, SpreadLimit, joint_bounds,
};
pub use learner::LearnerState;
pub use lease::{
    ActiveConfig, ActiveVersion, LeaseInputs, LeaseState, LocalConfig, QuorumContact, ReadLease,
    SuspendReason, Usability, lease_state,
};
pub use membership::{MemberRole, Membership, NodeNumber};
pub use proposer::{
    ChangePhase, ChangeProgress, Incarnation, NodeRequest, ProposalBackoff, Proposer,
    ProposerInputs, RequestCompactor,
};
pub use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigRequest, ConfigVersion, Delta,
    DeltaStep, Edit, MAX_PLAN, SectionKey, Table, VersionStamp, version_level,
};
