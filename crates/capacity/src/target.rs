//! The target size, its budgets and the events per second it brings.
//!
//! The figures are those the users of the target cluster gave: 5,200 nodes, 1,700 task starts a second at peak,
//! 89,000 tasks running, 590 teams, 28,000 configuration changes a day committed everywhere within 8 s, 39 nodes
//! that fail and 710 that are restarted or replaced a day, 8 machines set aside for control, and control per
//! placer at most 1.7% of a core, 128 MB and 17 KB/s. They leave two things open, which are decided here: the
//! number of placers is 32, and 128 MB is read as 128 MiB.

use crate::measurement::{Phase, Quantity, Role, Size};

const SECONDS_PER_DAY: f64 = 86_400.0;
const HOURS_PER_DAY: f64 = 24.0;
const CHANGES_PER_DAY: f64 = 28_000.0;
const FAILED_NODES_PER_DAY: f64 = 39.0;
const REPLACED_NODES_PER_DAY: f64 = 710.0;
const STARTS_PER_SECOND: f64 = 1_700.0;
const MIB: f64 = 1_048_576.0;

/// The target size. The users name no number of placers; 32 is our choice.
pub const TARGET: Size = Size {
    nodes: 5_200,
    placers: 32,
    changes_per_hour: CHANGES_PER_DAY / HOURS_PER_DAY,
    running_tasks: 89_000,
    teams: 590,
    control_machines: 8,
};

/// The most a quantity may reach at the target size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The quantity, in whose unit the budget is.
    pub quantity: Quantity,
    /// The most it may be.
    pub most: f64,
    /// Where the budget comes from.
    pub source: &'static str,
}

/// The budgets of one placer.
pub const PLACER_BUDGETS: [Budget; 3] = [
    Budget {
        quantity: Quantity::ProcessorShare,
        most: 0.017,
        source: "target size: control per placer at most 1.7% of a core",
    },
    Budget {
        quantity: Quantity::ResidentBytes,
        most: 128.0 * MIB,
        source: "target size: control per placer at most 128 MB, read as MiB",
    },
    Budget {
        quantity: Quantity::BytesPerSecond,
        most: 17_000.0,
        source: "target size: control per placer at most 17 KB/s, read as 17,000 bytes",
    },
];

/// The budget of a configuration change, whichever role measures it.
pub const SECONDS_UNTIL_EFFECTIVE_BUDGET: Budget = Budget {
    quantity: Quantity::SecondsUntilEffective,
    most: 8.0,
    source: "target size: configuration changes in force everywhere within 8 s",
};

impl Budget {
    /// The budget of a quantity of a role, if it has one.
    pub fn of(role: Role, quantity: Quantity) -> Option<Self> {
        if quantity == Quantity::SecondsUntilEffective {
            return Some(SECONDS_UNTIL_EFFECTIVE_BUDGET);
        }
        if role != Role::Placer {
            return None;
        }
        PLACER_BUDGETS
            .into_iter()
            .find(|budget| budget.quantity == quantity)
    }

    /// How much of the budget a predicted value takes: 1 is all of it, more is over it.
    pub fn ratio(&self, predicted: f64) -> f64 {
        predicted / self.most
    }
}

/// How often one process of a role meets an event of a phase at the target size.
///
/// | phase | event | who meets it | events per second |
/// | --- | --- | --- | --- |
/// | `starts` | a task start | one placer and one node | 1,700 over 32 placers, or over 5,200 nodes |
/// | `plan-change` | a configuration change | every process | 28,000 a day: 0.324 |
/// | `list-change`, `churn` | a node fails, restarts or is replaced | every process | 39 + 710 a day: 0.00867 |
/// | any other | | | none |
///
/// A quantity per event times this rate is a quantity per second, which has a budget; see
/// [`Rate::quantity_per_second`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Events per second that one process meets.
    pub events_per_second: f64,
}

impl Rate {
    /// The rate of a phase's events at one process of a role, if the target size gives one.
    pub fn of(role: Role, phase: Phase) -> Option<Self> {
        let events_per_second = match (phase, role) {
            (Phase::Starts, Role::Placer) => STARTS_PER_SECOND / f64::from(TARGET.placers),
            (Phase::Starts, Role::Node) => STARTS_PER_SECOND / f64::from(TARGET.nodes),
            (Phase::ConfigurationChange, _) => CHANGES_PER_DAY / SECONDS_PER_DAY,
            (Phase::ListChange | Phase::Churn, _) => {
                (FAILED_NODES_PER_DAY + REPLACED_NODES_PER_DAY) / SECONDS_PER_DAY
            }
            _ => return None,
        };
        Some(Self { events_per_second })
    }

    /// What a quantity per event becomes when multiplied by a rate; `None` if it is not per event.
    pub fn quantity_per_second(quantity: Quantity) -> Option<Quantity> {
        match quantity {
            Quantity::ProcessorSecondsPerEvent => Some(Quantity::ProcessorShare),
            Quantity::BytesPerEvent => Some(Quantity::BytesPerSecond),
            Quantity::MessagesPerEvent => Some(Quantity::MessagesPerSecond),
            Quantity::ProcessorShare
            | Quantity::ResidentBytes
            | Quantity::BytesPerSecond
            | Quantity::MessagesPerSecond
            | Quantity::Descriptors
            | Quantity::SecondsUntilEffective => None,
        }
    }
}
