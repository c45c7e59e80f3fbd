//! Why an acceptor rejects a request, and why a node rejects an offer.

use reedring_node_protocol::ConfigVersion;

use crate::delta::DeltaError;
use crate::document::DocumentError;

/// Why a request does not change the state of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestRejection {
    /// The state is already as requested, or the request only reads.
    #[error("the state is already as requested")]
    Unchanged,
    /// The sender has an older revision of the node list than an earlier request had.
    #[error(
        "the sender's node list has revision {sender}, an earlier request had revision {known}"
    )]
    StaleNodeList {
        /// The revision of the sender's node list.
        sender: u64,
        /// The greatest revision of any earlier request.
        known: u64,
    },
    /// The committed configuration is not the one that the sender assumes. Holds the committed version.
    #[error("the committed plan here is {0}")]
    CommittedMismatch(ConfigVersion),
    /// The node may have lost its state and its earlier votes, and its settling time is not over.
    #[error(
        "this node may have lost its earlier votes and does not vote before its settling time is over"
    )]
    VotesUnknown,
    /// A greater ballot is promised already.
    #[error("a greater ballot is promised already")]
    Preempted,
    /// The successor of the committed configuration is chosen already. Holds its version.
    #[error("plan {0} is already chosen as the next one")]
    AlreadyChosen(ConfigVersion),
    /// The requested number is not the committed one plus 1.
    #[error("plan {requested} can't follow plan {committed}: the next number is {}", committed + 1)]
    NumberGap {
        /// The number of the requested configuration.
        requested: u64,
        /// The number of the committed configuration.
        committed: u64,
    },
    /// The text does not match the version.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The delta can't be applied to the committed configuration.
    #[error(transparent)]
    Delta(#[from] DeltaError),
}

/// Why an offer is not admitted. A rejected offer starts nothing on the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferRejection {
    /// The version level of the offer is below the node's floor, or the offer has no version stamp.
    #[error("the offer has plan level {offered}, the floor is {floor}")]
    BelowFloor {
        /// Version level of the offer; 0 without a version stamp.
        offered: u64,
        /// The node's floor.
        floor: u64,
    },
    /// The placer applies a configuration that this node does not have yet.
    #[error("the offer has plan level {offered}, which is not known here; the floor is {floor}")]
    UnknownVersion {
        /// Version level of the offer.
        offered: u64,
        /// The node's floor.
        floor: u64,
    },
    /// The node has another configuration of the same number. Holds the node's version.
    #[error("this node has plan {0} under the same number")]
    ConflictingVersion(ConfigVersion),
}
