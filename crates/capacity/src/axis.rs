//! The axes of a cluster's size along which a quantity can be fitted.

use crate::measurement::Size;
use crate::names::kebab_case_names;
use serde::{Deserialize, Serialize};

/// One axis of [`Size`]. The machines set aside for control are no axis: another number of them is another
/// mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// [`Size::nodes`].
    Nodes,
    /// [`Size::placers`].
    Placers,
    /// [`Size::changes_per_hour`].
    ChangesPerHour,
    /// [`Size::running_tasks`].
    RunningTasks,
    /// [`Size::teams`].
    Teams,
}

kebab_case_names!(Axis {
    Nodes => "nodes",
    Placers => "placers",
    ChangesPerHour => "changes-per-hour",
    RunningTasks => "running-tasks",
    Teams => "teams",
});

impl Axis {
    /// The value of a size on this axis.
    pub fn of(self, size: &Size) -> f64 {
        match self {
            Self::Nodes => f64::from(size.nodes),
            Self::Placers => f64::from(size.placers),
            Self::ChangesPerHour => size.changes_per_hour,
            Self::RunningTasks => f64::from(size.running_tasks),
            Self::Teams => f64::from(size.teams),
        }
    }

    /// The name of the first field, this axis aside, in which two sizes differ.
    pub fn differing_field(self, one: &Size, other: &Size) -> Option<&'static str> {
        let axis = Self::ALL
            .iter()
            .find(|axis| **axis != self && axis.of(one) != axis.of(other));
        match axis {
            Some(axis) => Some(axis.name()),
            None if one.control_machines != other.control_machines => Some("control-machines"),
            None => None,
        }
    }
}
