//! Reasons why the configuration of the settings file can't be proposed, for operators.

use reedring_node_protocol::ConfigVersion;
use reedring_plan::JointConflicts;

/// Why the configuration of the settings file can't be proposed.
#[derive(Debug)]
pub(super) enum ProposalError {
    /// No voter stores a committed configuration, but learners know another one of the same or a higher number.
    NotFirst {
        learned: ConfigVersion,
        own: ConfigVersion,
    },
    /// Its number is not one more than that of the committed configuration.
    NotNext {
        committed: ConfigVersion,
        own: ConfigVersion,
    },
    /// Its `site.placers` is lower than the number of placers that are connected to a node.
    TooFewPlacers {
        own: ConfigVersion,
        placers: u32,
        connected: u32,
    },
    /// The placers could not act within its bounds and those of the committed configuration at once.
    NoJointForm {
        committed: ConfigVersion,
        own: ConfigVersion,
        conflicts: JointConflicts,
    },
}

impl std::fmt::Display for ProposalError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotFirst { learned, own } => write!(
                f,
                "plan.number: learners know of plan {learned}, but no voter stores it; plan {own} of the settings file \
                 can't be the first one"
            ),
            Self::NotNext { committed, own } => write!(
                f,
                "plan.number: plan {own} of the settings file does not follow plan {committed}: the next \
                 number is {next}; change the number, or commit the plans between first",
                next = committed.number + 1
            ),
            Self::TooFewPlacers {
                own,
                placers,
                connected,
            } => write!(
                f,
                "site.placers: plan {own} of the settings file allows {placers} placers, but \
                 {connected} are connected to a node"
            ),
            Self::NoJointForm {
                committed,
                own,
                conflicts,
            } => write!(
                f,
                "plan {own} of the settings file can't follow plan {committed}: {conflicts}"
            ),
        }
    }
}
