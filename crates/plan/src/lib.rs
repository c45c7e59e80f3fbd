//! Agreement of a fleet of placers on its configuration: single-decree Paxos for each next configuration, with a joint
//! phase between two configurations, learners, and read leases.
//!
//! A configuration is the part of the settings that all placers of a site must share: how many they are, what a node
//! that is warming up withstands, how classes of tasks may be retried. Operators know it by the `[plan]` table of their
//! settings file, and messages to them say "plan". Placers share nothing but the nodes, so the nodes are the acceptors.
//!
//! # Terms
//!
//! | term | meaning |
//! | --- | --- |
//! | configuration, version | a text with a number, and the digest of the text; number *n* + 1 follows *n* |
//! | voter, learner | a node that the node list lets vote, and one that it does not ([`Membership`]) |
//! | acceptor | a node that persists configurations ([`AcceptorState`]): each voter, and nodes that were voters |
//! | promised, accepted | as in Paxos: no smaller ballot will be answered; a vote for a configuration was cast |
//! | chosen | a majority of all voters accepted it with one ballot: no other one will ever have its number |
//! | joint | chosen, and acted by together with the one before: by the stricter bound in each respect ([`joint_bounds`]) |
//! | committed | a majority of all voters had entered its joint phase: it is acted by alone |
//! | version level | twice the number, and one less in the joint phase: 2*n* - 1 is joint, 2*n* is *n* alone |
//! | floor | the lowest version level of the offers that a node admits |
//!
//! # Protocol
//!
//! 1. *Prepare*. A placer that has a configuration to propose, or sees one proposed and unfinished, asks all voters to
//!    promise a ballot that is greater than any promised before.
//! 2. *Accept*. Once a majority has promised it, the placer asks them to accept the configuration that was accepted with
//!    the greatest ballot among those that promised; its own only where none was. Accepted by a majority with one
//!    ballot, it is chosen.
//! 3. *Enter joint*. Every placer that sees it chosen tells the acceptors so. Each raises its floor by one level, and
//!    placers that see it chosen act by both configurations.
//! 4. *Commit*. Once a majority of the voters is joint, those are told to commit: the floor rises by one level more.
//!
//! Every answer is a report of the acceptor's whole state, so each placer sees how far a change is and completes what
//! another one began. A placer dispatches only while a majority of the voters answered it within its read lease
//! ([`ReadLease`]), and stamps each offer with its version level; a node admits an offer at its floor or one level above.
//!
//! # Why it is safe
//!
//! 1. A majority is one of all voters of the node list but those listed as gone, not of the reachable ones, so two
//!    majorities of one list share a voter.
//! 2. A voter persists a promise or a vote before it answers, and answers no smaller ballot after it.
//! 3. So a placer whose ballot a majority promised sees any configuration that was chosen with a smaller ballot, and
//!    proposes that one. A ballot proposes one configuration. Hence at most one of each number is chosen (Paxos).
//! 4. Only a chosen configuration becomes joint, only at acceptors that have committed the one before, and only a joint
//!    one is committed. So the fleet commits the numbers in order, one configuration of each.
//! 5. No acceptor goes back: committed numbers and floors only rise, and so do promised ballots until the next commit
//!    ([`AcceptorState::apply`]).
//! 6. A voter admits its floor and one level above, so only neighbours meet there: *n* alone and *n* + 1 joint, or
//!    *n* + 1 joint and *n* + 1 alone. The joint bounds are as strict as both, so neither pair exceeds either's.
//!    A learner admits any newer level, raises its floor with it, and warms up for a window (8).
//! 7. The lease bounds for how long a placer acts by a configuration that it can't know to be replaced. What it sends
//!    later than that, or what was delayed on its way, the floors reject: no clock has to be right for that.
//! 8. A node that is warming up may have admitted offers by both neighbours; [`dispatch_block`](dispatch_block()) makes
//!    placers wait for a window after its floor rose.
//! 9. A voter that lost its state and was told the committed configuration votes again only after it has settled, a time
//!    that its caller measures, in which a change that it may have voted for is over.
//! 10. Reports of learners prove that a configuration was chosen, and are counted for no majority.
//!
//! What this rests on, and what it does not cover: the lists that placers use meanwhile differ by less than half of the
//! voters (a voter rejects a request by an older revision, once it has seen a newer one); a voter that loses its disk
//! before the *first* configuration is committed anywhere votes at once, so for that one configuration disks must last;
//! where most nodes speak a former protocol ([`LeaseState::Unmanaged`]) nothing here protects them.
//!
//! `tests/model.rs` and `tests/learners.rs` explore every interleaving of small clusters. They also check that the same
//! models fail without the rules on majorities, promises, floors and the slow-start window.
//!
//! # What differs from the published protocols
//!
//! - L. Lamport, "Paxos Made Simple" (2001), for steps 1 and 2. Here one decree is agreed on for each successor of a
//!   committed configuration, and ballots start again after each. There is no distinguished learner: placers count votes
//!   in the reports themselves. A chosen decree is not acted by alone before steps 3 and 4.
//! - D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 6, for the joint
//!   phase. There it joins two sets of voters. Here it joins two sets of bounds: the voters are those of the node list,
//!   which operators change outside of this protocol; requests name its revision, and a voter rejects an older one.
//! - I. Rae and others, "Online, Asynchronous Schema Evolution in F1" (2013), for the rule that only neighbouring
//!   versions are in use at a time.
//! - C. Gray, D. Cheriton, "Leases" (1989), for the read lease. Here no server grants it and no change waits until it
//!   expires: a placer counts the time from the receipt of a majority's answers, by its own clock, so the lease bounds how
//!   outdated its view may be, and the floors protect the nodes.
//!
//! # Modules
//!
//! Everything here is a pure function, or a value that one changes. Nothing opens a socket or a file, reads a clock or
//! draws a random number; callers pass the time in.
//!
//! | module | what it decides | main items |
//! | --- | --- | --- |
//! | `document` | whether a text is that of a version | [`ConfigDocument`], [`DocumentCache`] |
//! | `membership` | who votes | [`Membership`], [`MemberRole`] |
//! | `acceptor` | what a voter persists, answers and admits | [`AcceptorState`] |
//! | `learner` | what a learner knows and admits | [`LearnerState`] |
//! | `cluster` | what the reports of all nodes prove together | [`ClusterView`], [`PeerState`] |
//! | `proposer` | what a placer requests next, and when | [`Proposer`], [`ProposalBackoff`], [`RequestCompactor`] |
//! | `joint` | the bounds while two configurations are in use | [`joint_bounds`], [`ConfigBounds`] |
//! | `lease` | whether a placer may act, and by what | [`ReadLease`], [`lease_state`], [`LeaseState`] |
//! | `dispatch_block` | which nodes it must not dispatch to | [`dispatch_block()`], [`DispatchBlock`] |
//! | [`delta`] | what changed between two texts | [`delta::between`], [`delta::apply`] |
//!
//! # Who owns the values
//!
//! A placer owns one [`Proposer`], [`ProposalBackoff`], [`RequestCompactor`] and [`DocumentCache`] (`Agreement` in
//! `crates/core/src/configuration/agreement.rs`), and one [`ReadLease`] beside the last report of each node (`Peers` in
//! `peers.rs` there). A node owns one [`AcceptorState`] where it votes, else one [`LearnerState`]
//! (`crates/node-simulator/src/model/plans.rs`). `docs/plan.md` is the page for operators, with the options that were
//! weighed.
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
    AcceptedConfig, AcceptorState, CorruptState, MAX_PLACERS, OfferRejection, PlacerSighting,
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
