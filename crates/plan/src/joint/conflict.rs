//! Why two configurations have no joint form.

use std::fmt;

/// One respect in which no bound satisfies both configurations. The text names the key of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JointConflict {
    /// Acceptance by a node means "running" in one of them and "taken" in the other.
    #[error("site.yes_when: a node's yes can't mean two things at once")]
    AcceptMeaning,
    /// The class runs on another kind of machine in each.
    #[error(
        "class `{class}`, kind: no machine is of two kinds; close the class in one plan and open it in the next"
    )]
    MachineKind {
        /// Name of the class.
        class: String,
    },
    /// The class is spread over another failure domain in each.
    #[error(
        "class `{class}`, spread.over: spread over two sorts of place has no joint form; drop it in one plan first"
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
