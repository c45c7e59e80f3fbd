//! The joint phase: while one configuration replaces another, placers apply the stricter bound of the two in each
//! respect, so that placers with the old one and placers with the new one may dispatch at the same time.

mod bounds;
mod conflict;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring_node_protocol::{DeduplicationScope, Idempotency};

pub use bounds::{
    ClassBounds, ConfigBounds, ReschedulePolicy, Resources, SpreadDomain, SpreadLimit,
};
pub use conflict::{JointConflict, JointConflicts};

/// The stricter bound of two configurations in each respect: a placer that applies the result violates neither.
///
/// | bound | joint form |
/// | --- | --- |
/// | placers | the larger: the slow-start budget of a node is divided by it |
/// | overcommit, attempts, slow-start offers, drain grace | the smaller; a value, if only one has it |
/// | warm-up, slow-start window | the longer; a value, if only one has it |
/// | a class's repeat | the first of unsafe, keyed, safe that one of them has |
/// | a class's retry group | the narrower |
/// | a class's deduplication group | the wider |
/// | a class's deduplication window | the shorter; none if one of the two has none |
/// | a class's machine kind | the one that is set; two different kinds conflict |
/// | a class's spread | the one that is set, or the lower limit; two different domains conflict |
/// | a class's rescheduling | the first of never, after known end, always that one of them has |
/// | a class that only one configuration has | retained for its running tasks; accepts no new tasks |
/// | the size of a machine kind | the smaller in cores and in memory; a kind that only one configuration has is retained |
/// | what a node's acceptance means | must be equal, else the configurations conflict |
///
/// # Errors
/// All respects in which no bound satisfies both configurations.
pub fn joint_bounds(
    old: &ConfigBounds,
    new: &ConfigBounds,
) -> Result<ConfigBounds, JointConflicts> {
    let mut conflicts = Vec::new();
    if old.accept_means_running != new.accept_means_running {
        conflicts.push(JointConflict::AcceptMeaning);
    }
    let classes = joint_classes(old, new, &mut conflicts);
    if !conflicts.is_empty() {
        return Err(JointConflicts(conflicts));
    }
    let slow_start_offers = old
        .slow_start_offers
        .into_iter()
        .chain(new.slow_start_offers);
    Ok(ConfigBounds {
        placers: old.placers.max(new.placers),
        overcommit: old.overcommit.min(new.overcommit),
        max_attempts: old.max_attempts.min(new.max_attempts),
        drain_grace_us: old.drain_grace_us.min(new.drain_grace_us),
        // `None` is less than any value, so `max` returns the value if only one configuration has it.
        warm_up_us: old.warm_up_us.max(new.warm_up_us),
        slow_start_window_us: old.slow_start_window_us.max(new.slow_start_window_us),
        slow_start_offers: slow_start_offers.reduce(f64::min),
        accept_means_running: old.accept_means_running,
        classes,
        machine_kinds: joint_machine_kinds(old, new),
    })
}

fn joint_classes(
    old: &ConfigBounds,
    new: &ConfigBounds,
    conflicts: &mut Vec<JointConflict>,
) -> BTreeMap<String, ClassBounds> {
    let mut classes = BTreeMap::new();
    for (name, class) in old.classes.iter().chain(&new.classes) {
        if classes.contains_key(name) {
            continue;
        }
        let class = match old.classes.get(name).zip(new.classes.get(name)) {
            Some((old, new)) => joint_class(name, old, new, conflicts),
            None => ClassBounds {
                accepts_new_tasks: false,
                ..class.clone()
            },
        };
        classes.insert(name.clone(), class);
    }
    classes
}

fn joint_machine_kinds(old: &ConfigBounds, new: &ConfigBounds) -> BTreeMap<String, Resources> {
    let mut kinds = old.machine_kinds.clone();
    for (name, size) in &new.machine_kinds {
        let kind = kinds.entry(name.clone()).or_insert(*size);
        *kind = kind.min(*size);
    }
    kinds
}

fn joint_class(
    name: &str,
    old: &ClassBounds,
    new: &ClassBounds,
    conflicts: &mut Vec<JointConflict>,
) -> ClassBounds {
    let class = || name.to_owned();
    let machine_kind = joint_machine_kind(old, new).unwrap_or_else(|| {
        conflicts.push(JointConflict::MachineKind { class: class() });
        None
    });
    let spread = joint_spread(old.spread, new.spread).unwrap_or_else(|| {
        conflicts.push(JointConflict::SpreadDomain { class: class() });
        None
    });
    let window = old.deduplication_window_us.zip(new.deduplication_window_us);
    ClassBounds {
        repeat: stricter_repeat(old.repeat, new.repeat),
        retry_group: narrower_group(old.retry_group, new.retry_group),
        deduplication_group: wider_group(old.deduplication_group, new.deduplication_group),
        deduplication_window_us: window.map(|(old, new)| old.min(new)),
        machine_kind,
        spread,
        rescheduling: old.rescheduling.max(new.rescheduling),
        accepts_new_tasks: old.accepts_new_tasks && new.accepts_new_tasks,
    }
}

/// The machine kind that satisfies both, if any is set; the outer `None` if each requires a different one.
fn joint_machine_kind(old: &ClassBounds, new: &ClassBounds) -> Option<Option<String>> {
    match (&old.machine_kind, &new.machine_kind) {
        (Some(old), Some(new)) if old != new => None,
        (old, new) => Some(old.clone().or(new.clone())),
    }
}

/// The limit that satisfies both, if any is set; the outer `None` if their failure domains differ.
fn joint_spread(old: Option<SpreadLimit>, new: Option<SpreadLimit>) -> Option<Option<SpreadLimit>> {
    match (old, new) {
        (Some(old), Some(new)) if old.domain != new.domain => None,
        (Some(old), Some(new)) => Some(Some(SpreadLimit {
            domain: old.domain,
            max_per_domain: old.max_per_domain.min(new.max_per_domain),
        })),
        (old, new) => Some(old.or(new)),
    }
}

fn repeat_strictness(repeat: Idempotency) -> u8 {
    match repeat {
        Idempotency::Idempotent => 0,
        Idempotency::IdempotentByKey => 1,
        Idempotency::NonIdempotent => 2,
    }
}

fn stricter_repeat(old: Idempotency, new: Idempotency) -> Idempotency {
    if repeat_strictness(old) > repeat_strictness(new) {
        old
    } else {
        new
    }
}

fn group_width(group: DeduplicationScope) -> u8 {
    match group {
        DeduplicationScope::Rack => 0,
        DeduplicationScope::Zone => 1,
        DeduplicationScope::All => 2,
    }
}

fn narrower_group(old: DeduplicationScope, new: DeduplicationScope) -> DeduplicationScope {
    if group_width(old) < group_width(new) {
        old
    } else {
        new
    }
}

fn wider_group(old: DeduplicationScope, new: DeduplicationScope) -> DeduplicationScope {
    if group_width(old) > group_width(new) {
        old
    } else {
        new
    }
}
