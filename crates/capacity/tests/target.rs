//! The target size, and every case of budgets and rates.

use reedring_capacity::measurement::{Phase, Quantity, Role};
use reedring_capacity::target::{Budget, Rate, TARGET};

#[test]
fn the_target_is_the_size_the_users_gave() {
    assert_eq!(
        (TARGET.nodes, TARGET.placers, TARGET.running_tasks),
        (5_200, 32, 89_000)
    );
    assert_eq!((TARGET.teams, TARGET.control_machines), (590, 8));
    assert!((TARGET.changes_per_hour * 24.0 - 28_000.0).abs() < 1e-9);
}

#[test]
fn budgets_of_every_role_and_quantity() {
    for role in Role::ALL {
        for quantity in Quantity::ALL {
            let expected = match (role, quantity) {
                (_, Quantity::SecondsUntilEffective) => Some(8.0),
                (Role::Placer, Quantity::ProcessorShare) => Some(0.017),
                (Role::Placer, Quantity::ResidentBytes) => Some(134_217_728.0),
                (Role::Placer, Quantity::BytesPerSecond) => Some(17_000.0),
                _ => None,
            };
            let budget = Budget::of(*role, *quantity);
            assert_eq!(
                budget.map(|budget| budget.most),
                expected,
                "{role} {quantity}"
            );
            assert!(budget.is_none_or(|budget| budget.quantity == *quantity));
        }
    }
}

#[test]
fn a_ratio_is_the_share_of_the_budget() {
    let budget = Budget::of(Role::Placer, Quantity::BytesPerSecond).unwrap();
    assert_eq!(budget.ratio(17_000.0), 1.0);
    assert_eq!(budget.ratio(34_000.0), 2.0);
    assert_eq!(budget.ratio(0.0), 0.0);
}

#[test]
fn rates_of_every_role_and_phase() {
    for role in Role::ALL {
        for phase in Phase::ALL {
            let expected = match (phase, role) {
                (Phase::Starts, Role::Placer) => Some(53.125),
                (Phase::Starts, Role::Node) => Some(0.326_923),
                (Phase::ConfigurationChange, _) => Some(0.324_074),
                (Phase::ListChange | Phase::Churn, _) => Some(0.008_669),
                _ => None,
            };
            let found = Rate::of(*role, *phase).map(|rate| rate.events_per_second);
            match (found, expected) {
                (Some(found), Some(expected)) => {
                    assert!((found - expected).abs() < 1e-6, "{role} {phase}: {found}");
                }
                (found, expected) => assert_eq!(found, expected, "{role} {phase}"),
            }
        }
    }
}

#[test]
fn quantities_per_event_become_quantities_per_second() {
    for quantity in Quantity::ALL {
        let expected = match quantity {
            Quantity::ProcessorSecondsPerEvent => Some(Quantity::ProcessorShare),
            Quantity::BytesPerEvent => Some(Quantity::BytesPerSecond),
            Quantity::MessagesPerEvent => Some(Quantity::MessagesPerSecond),
            _ => None,
        };
        assert_eq!(Rate::quantity_per_second(*quantity), expected, "{quantity}");
    }
}
