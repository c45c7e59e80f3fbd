//! Requests to a node's acceptor.

use super::delta::Delta;
use super::version::{Ballot, ConfigVersion, VersionStamp};

/// The request that a delta belongs to, in place of the text of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeltaStep {
    /// [`ConfigRequest::Accept`].
    Accept {
        /// The ballot.
        ballot: Ballot,
    },
    /// [`ConfigRequest::EnterJoint`].
    EnterJoint,
    /// [`ConfigRequest::Commit`].
    Commit,
}

/// A request to a node's acceptor. `list` is the revision of the sender's node list, `follows` the configuration that
/// the sender takes for the committed one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRequest {
    /// Report your state, and note by which configuration the sender decides.
    Query {
        /// The sender's stamp.
        stamp: VersionStamp,
    },
    /// Send the text of a configuration.
    Fetch {
        /// The configuration.
        version: ConfigVersion,
        /// A configuration that the sender has: a delta from it is as good. From version 3 on.
        have: Option<ConfigVersion>,
    },
    /// Phase 1: promise to answer no smaller ballot, and report what you have accepted.
    Prepare {
        /// The committed configuration.
        follows: ConfigVersion,
        /// The ballot.
        ballot: Ballot,
        /// The node list's revision.
        list: u64,
    },
    /// Phase 2: accept this configuration.
    Accept {
        /// The committed configuration.
        follows: ConfigVersion,
        /// The ballot.
        ballot: Ballot,
        /// The configuration.
        version: ConfigVersion,
        /// Its text.
        text: String,
        /// The node list's revision.
        list: u64,
    },
    /// From version 3 on: a request about the configuration that results from a delta, and that follows its base.
    ByDelta {
        /// Which request.
        step: DeltaStep,
        /// The changes to the committed configuration.
        delta: Delta,
        /// The node list's revision.
        list: u64,
    },
    /// A majority of the voters accepted this configuration with one ballot: it is chosen, its joint phase begins.
    EnterJoint {
        /// The committed configuration.
        follows: ConfigVersion,
        /// The configuration.
        version: ConfigVersion,
        /// Its text; empty for a node that reported it as accepted and reads version 3.
        text: String,
        /// The node list's revision.
        list: u64,
    },
    /// A majority of the voters is in the joint phase, or further: this configuration is committed.
    Commit {
        /// The configuration.
        version: ConfigVersion,
        /// Its text; empty for a node that reported it as accepted and reads version 3.
        text: String,
        /// The node list's revision.
        list: u64,
    },
    /// To a learner: raise your floor to the joint phase of the configuration by which the sender decides.
    RaiseFloor {
        /// The sender's stamp.
        stamp: VersionStamp,
    },
}
