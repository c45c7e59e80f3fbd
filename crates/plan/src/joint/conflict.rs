//! Why two configurations have no joint bounds.

use std::fmt;

/// One respect in which no bound satisfies both configurations. The message begins with the key of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JointConflict {
    /// A node's acceptance means "running" in one configuration and "taken" in the other.
    #[error("site.yes_when: the two plans have different values, and no value satisfies both")]
    AcceptMeaning,
    /// The class requires a different kind of machine in each configuration.
    #[error(
        "class `{class}`, kind: the two plans require different kinds of machine; close the class in one plan and open it in the next"
    )]
    MachineKind {
        /// The name of the class.
        class: String,
    },
    /// The class is spread over a different failure domain in each configuration.
    #[error(
        "class `{class}`, spread.over: the two plans spread over different failure domains; remove the spread in one plan first"
    )]
    SpreadDomain {
        /// Name of the class.
        class: String,
    },
}

/// All conflicts between two configurations; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JointConflicts(pub Vec<JointConflict>);

impl fmt::Display for JointConflicts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, conflict) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{conflict}")?;
        }
        Ok(())
    }
}

impl std::error::Error for JointConflicts {}
