use super::*;

fn class() -> ClassBounds {
    ClassBounds {
        repeat: Idempotency::Idempotent,
        retry_group: DeduplicationScope::All,
        deduplication_group: DeduplicationScope::All,
        deduplication_window_us: None,
        machine_kind: None,
        spread: None,
        rescheduling: ReschedulePolicy::Always,
        accepts_new_tasks: true,
    }
}

fn resources(cores: f64, memory: f64) -> Resources {
    Resources { cores, memory }
}

fn spread(domain: SpreadDomain, max_per_domain: u32) -> SpreadLimit {
    SpreadLimit {
        domain,
        max_per_domain,
    }
}

fn bounds() -> ConfigBounds {
    ConfigBounds {
        placers: 1,
        overcommit: resources(1.0, 1.0),
        max_attempts: 4,
        drain_grace_us: 500,
        warm_up_us: None,
        slow_start_window_us: None,
        slow_start_offers: None,
        accept_means_running: false,
        classes: BTreeMap::from([("play".to_owned(), class())]),
        machine_kinds: BTreeMap::from([("k".to_owned(), resources(8.0, 32.0))]),
    }
}

/// Classes with every combination of several values of each bound.
fn all_classes() -> Vec<ClassBounds> {
    let spreads = [
        None,
        Some(spread(SpreadDomain::Zone, 1)),
        Some(spread(SpreadDomain::Zone, 3)),
        Some(spread(SpreadDomain::Rack, 2)),
    ];
    let policies = [
        ReschedulePolicy::Always,
        ReschedulePolicy::AfterKnownEnd,
        ReschedulePolicy::Never,
    ];
    let mut classes = Vec::new();
    for repeat in [
        Idempotency::Idempotent,
        Idempotency::IdempotentByKey,
        Idempotency::NonIdempotent,
    ] {
        for group in [
            DeduplicationScope::Rack,
            DeduplicationScope::Zone,
            DeduplicationScope::All,
        ] {
            for rescheduling in policies {
                for deduplication_window_us in [None, Some(3), Some(9)] {
                    for spread in spreads {
                        classes.push(ClassBounds {
                            repeat,
                            retry_group: group,
                            deduplication_group: group,
                            rescheduling,
                            deduplication_window_us,
                            spread,
                            ..class()
                        });
                    }
                }
            }
        }
    }
    classes
}

/// Checks every pair of the classes above, in both orders.
#[test]
fn the_joint_bounds_of_two_classes_are_at_least_as_strict_as_each_of_the_two() {
    let classes = all_classes();
    for old in &classes {
        for new in &classes {
            let mut conflicts = Vec::new();
            let joint = joint_class("c", old, new, &mut conflicts);
            let spreads = old.spread.zip(new.spread);
            let has_conflict = spreads.is_some_and(|(old, new)| old.domain != new.domain);
            assert_eq!(!conflicts.is_empty(), has_conflict, "{old:?} {new:?}");
            for one in [old, new] {
                check_as_strict(&joint, one, has_conflict);
            }
            let mut swapped_conflicts = Vec::new();
            assert_eq!(
                joint_class("c", new, old, &mut swapped_conflicts),
                joint,
                "the order of the two must not matter"
            );
        }
    }
}

/// Checks that the joint bounds are at least as strict as those of one of the two classes.
fn check_as_strict(joint: &ClassBounds, one: &ClassBounds, has_conflict: bool) {
    assert!(repeat_strictness(joint.repeat) >= repeat_strictness(one.repeat));
    assert!(group_width(joint.retry_group) <= group_width(one.retry_group));
    assert!(group_width(joint.deduplication_group) >= group_width(one.deduplication_group));
    assert!(joint.rescheduling >= one.rescheduling);
    // Without a window, a task that is idempotent by key is not retried at all, which is the strictest bound.
    let window = joint.deduplication_window_us;
    assert!(window.is_none() || window <= one.deduplication_window_us);
    let limit = |class: &ClassBounds| {
        class
            .spread
            .map_or(u32::MAX, |spread| spread.max_per_domain)
    };
    assert!(has_conflict || limit(joint) <= limit(one));
}

#[test]
fn the_stricter_number_applies_and_a_value_applies_if_only_one_configuration_has_it() {
    let old = ConfigBounds {
        placers: 3,
        slow_start_offers: Some(40.0),
        drain_grace_us: 100,
        ..bounds()
    };
    let new = ConfigBounds {
        placers: 40,
        slow_start_offers: Some(80.0),
        slow_start_window_us: Some(7),
        warm_up_us: Some(9),
        overcommit: resources(2.0, 0.5),
        max_attempts: 2,
        machine_kinds: BTreeMap::from([
            ("k".to_owned(), resources(16.0, 16.0)),
            ("l".to_owned(), resources(1.0, 1.0)),
        ]),
        ..bounds()
    };
    for (one, other) in [(&old, &new), (&new, &old)] {
        let joint = joint_bounds(one, other).unwrap();
        assert_eq!(
            (joint.placers, joint.slow_start_offers, joint.drain_grace_us),
            (40, Some(40.0), 100)
        );
        assert_eq!(
            (
                joint.slow_start_window_us,
                joint.warm_up_us,
                joint.max_attempts
            ),
            (Some(7), Some(9), 2)
        );
        assert_eq!(joint.overcommit, resources(1.0, 0.5));
        assert_eq!(joint.machine_kinds["k"], resources(8.0, 16.0));
        assert_eq!(joint.machine_kinds["l"], resources(1.0, 1.0));
    }
}

#[test]
fn a_class_of_only_one_configuration_is_retained_and_accepts_no_new_tasks() {
    let mut new = bounds();
    new.classes = BTreeMap::from([("edition".to_owned(), class())]);
    let joint = joint_bounds(&bounds(), &new).unwrap();
    let accepting: Vec<bool> = joint
        .classes
        .values()
        .map(|class| class.accepts_new_tasks)
        .collect();
    assert_eq!(accepting, [false, false]);
}

#[test]
fn each_conflict_names_the_key_of_the_settings_file() {
    let with = |kind: &str, domain| {
        let mut bounds = bounds();
        let class = ClassBounds {
            machine_kind: Some(kind.to_owned()),
            spread: Some(spread(domain, 2)),
            ..class()
        };
        bounds.classes.insert("play".to_owned(), class);
        bounds
    };
    let new = ConfigBounds {
        accept_means_running: true,
        ..with("b", SpreadDomain::Rack)
    };
    let JointConflicts(conflicts) = joint_bounds(&with("a", SpreadDomain::Zone), &new).unwrap_err();
    let keys = [
        "site.yes_when",
        "class `play`, kind",
        "class `play`, spread.over",
    ];
    assert_eq!(conflicts.len(), keys.len());
    for (conflict, key) in conflicts.iter().zip(keys) {
        assert!(conflict.to_string().starts_with(key), "{conflict}");
    }
}
