//! Why the configuration of the settings file is not proposed.

use reedring_node_protocol::ConfigVersion;
use reedring_plan::JointConflicts;

/// Why the configuration of the settings file can't be proposed.
#[derive(Debug)]
pub(super) enum ProposalError {
    /// Learners know a later configuration, which no voter stores.
    NotFirst {
        learned: ConfigVersion,
        own: ConfigVersion,
    },
    /// Its number is not the one after the committed one's.
    NotNext {
        committed: ConfigVersion,
        own: ConfigVersion,
    },
    /// It is for fewer placers than nodes hear.
    TooFewPlacers {
        own: ConfigVersion,
        placers: u32,
        linked: u32,
    },
    /// It has no joint form with the committed one.
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
                "plan.number: learners know of plan {learned}, and no voter keeps it; plan {own} of the file is not \
                 the first one"
            ),
            Self::NotNext { committed, own } => write!(
                f,
                "plan.number: plan {own} of the file does not follow plan {committed}: it waits for plan {next}, or \
                 is to be numbered so",
                next = committed.number + 1
            ),
            Self::TooFewPlacers {
                own,
                placers,
                linked,
            } => write!(
                f,
                "site.placers: plan {own} of the file is for {placers} placers, nodes hear {linked}"
            ),
            Self::NoJointForm {
                committed,
                own,
                conflicts,
            } => write!(
                f,
                "plan {own} of the file can't follow plan {committed}: {conflicts}"
            ),
        }
    }
}
