//! Requests to a node's acceptor.

use super::delta::Delta;
use super::version::{Ballot, ConfigVersion, VersionStamp};

/// The kind of request that [`ConfigRequest::ByDelta`] makes, with a delta in place of the text of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeltaStep {
    /// The same as [`ConfigRequest::Accept`].
    Accept {
        /// The ballot with which the configuration is proposed.
        ballot: Ballot,
    },
    /// The same as [`ConfigRequest::EnterJoint`].
    EnterJoint,
    /// The same as [`ConfigRequest::Commit`].
    Commit,
}

/// A request from a placer to a node's acceptor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRequest {
    /// Requests an [`AcceptorReport`](crate::AcceptorReport) and informs the node by which configuration the sender
    /// decides.
    Query {
        /// The configuration, node list and build by which the sender decides.
        stamp: VersionStamp,
    },
    /// Requests the text of a configuration.
    Fetch {
        /// The requested configuration.
        version: ConfigVersion,
        /// A configuration whose text the sender has; the node may answer with a delta from it. From protocol version 3
        /// on; `None` requests the full text.
        have: Option<ConfigVersion>,
    },
    /// Phase 1 of the agreement: the node is to promise to reject all smaller ballots, and to report which
    /// configuration it has accepted.
    Prepare {
        /// The configuration that the sender considers committed; the new one is its successor.
        follows: ConfigVersion,
        /// The ballot that the node is to promise.
        ballot: Ballot,
        /// Revision of the sender's node list.
        list: u64,
    },
    /// Phase 2 of the agreement: the node is to accept this configuration.
    Accept {
        /// The configuration that the sender considers committed; the new one is its successor.
        follows: ConfigVersion,
        /// The ballot with which the configuration is proposed.
        ballot: Ballot,
        /// The proposed configuration.
        version: ConfigVersion,
        /// Text of the proposed configuration.
        text: String,
        /// Revision of the sender's node list.
        list: u64,
    },
    /// A request about the configuration that results from a delta; the base of the delta is the configuration that the
    /// sender considers committed. From protocol version 3 on.
    ByDelta {
        /// The request to which the delta belongs.
        step: DeltaStep,
        /// The changes to the committed configuration.
        delta: Delta,
        /// Revision of the sender's node list.
        list: u64,
    },
    /// Informs the node that a majority of the voters accepted this configuration with the same ballot. It is thereby
    /// chosen, and its joint phase begins.
    EnterJoint {
        /// The configuration that the sender considers committed; the new one is its successor.
        follows: ConfigVersion,
        /// The chosen configuration.
        version: ConfigVersion,
        /// Text of the configuration; empty if the node supports protocol version 3 and reported that it
        /// has accepted this configuration.
        text: String,
        /// Revision of the sender's node list.
        list: u64,
    },
    /// Informs the node that a majority of the voters has entered the joint phase of this configuration or has
    /// committed it, and that it is thereby committed.
    Commit {
        /// The committed configuration.
        version: ConfigVersion,
        /// Text of the configuration; empty if the node supports protocol version 3 and reported that it
        /// has accepted this configuration.
        text: String,
        /// Revision of the sender's node list.
        list: u64,
    },
    /// Requests that a learner raise its floor to the joint phase of the configuration by which the sender decides.
    RaiseFloor {
        /// The configuration, node list and build by which the sender decides.
        stamp: VersionStamp,
    },
}
