//! Why an acceptor rejects a request, or a node an offer.

use reedring_node_protocol::ConfigVersion;

use crate::delta::DeltaError;
use crate::document::DocumentError;

/// Why a request changes nothing at an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestRejection {
    /// It asks for nothing that is not so already, or is a query.
    #[error("it is so already")]
    Unchanged,
    /// Its sender has an older revision of the node list than others.
    #[error("the sender's node list has revision {sender}, {known} was told already")]
    StaleNodeList {
        /// The sender's revision.
        sender: u64,
        /// The greatest revision that a request named.
        known: u64,
    },
    /// Another configuration is committed here than the sender assumes.
    #[error("plan {0} is in force here")]
    CommittedMismatch(ConfigVersion),
    /// The node lost its state a moment ago, and what it had voted for is unknown.
    #[error("this node has lost what it voted for, and votes for nothing yet")]
    VotesUnknown,
    /// A greater ballot was promised.
    #[error("a greater ballot was answered")]
    Preempted,
    /// The next configuration is chosen.
    #[error("plan {0} is the next one already")]
    AlreadyChosen(ConfigVersion),
    /// The number is not the one after the committed configuration's.
    #[error("plan {requested} can't follow plan {committed}: the next number is {}", committed + 1)]
    NumberGap {
        /// The number requested.
        requested: u64,
        /// The number of the committed configuration.
        committed: u64,
    },
    /// The text is not that of the version.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The delta can't be applied to the committed configuration.
    #[error(transparent)]
    Delta(#[from] DeltaError),
}

/// Why an offer is not admitted. A rejection promises that nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferRejection {
    /// Its placer acts by a configuration below the floor, or by none.
    #[error("decided by a plan of level {offered}, the floor is {floor}")]
    BelowFloor {
        /// Version level of the offer; 0 without a version stamp.
        offered: u64,
        /// The node's floor.
        floor: u64,
    },
    /// Its placer acts by a configuration that this node has not learned of.
    #[error("decided by a plan of level {offered}, which is not known here; the floor is {floor}")]
    UnknownVersion {
        /// Version level of the offer.
        offered: u64,
        /// The node's floor.
        floor: u64,
    },
    /// Another configuration has that number here.
    #[error("plan {0} has that number here")]
    ConflictingVersion(ConfigVersion),
}
