//! By which bounds a placer acts on two plans at once: the stricter of both in each respect.

use std::collections::BTreeMap;

use reedring_node_protocol::{Group, Repeat};

use crate::bounds::{Bounds, ClassBounds};

/// The stricter of two plans in each respect, so that whoever acts by it breaks neither.
///
/// | respect | joint |
/// | --- | --- |
/// | placers | the larger: it sizes the part of a cold node's budget |
/// | accepted multiples, attempts, offers to a cold node, drain grace | the smaller; told beats untold |
/// | warm after, cold window | the longer; told beats untold |
/// | a class's repeat | unsafe before keyed before safe |
/// | where a keyed task may be sent again | the narrower group |
/// | which nodes drop its repeats | the wider group |
/// | for how long | the shorter window; none where one of the two is not keyed |
/// | a class's kind | the one that is told; two kinds have no joint form |
/// | a class's spread | the one that is told, or the fewer; over two sorts of place there is no joint form |
/// | whether lost tasks come again | never before ended before always |
/// | a class that only one plan has | it stays for the tasks that stand, and takes nothing new |
/// | the size of a kind | the smaller in cores and in memory; a kind of one plan alone stays |
/// | what a node's yes means | the same in both, or there is no joint form |
///
/// # Errors
/// What has no joint form, each with its place.
pub fn joint_bounds(old: &Bounds, new: &Bounds) -> Result<Bounds, Vec<String>> {
    let mut wrong = Vec::new();
    if old.yes_when_running != new.yes_when_running {
        wrong.push("site.yes_when: a node's yes can't mean two things at once".to_owned());
    }
    let mut classes = BTreeMap::new();
    for (name, class) in old.classes.iter().chain(&new.classes) {
        if classes.contains_key(name) {
            continue;
        }
        let both = old.classes.get(name).zip(new.classes.get(name));
        let class = match both {
            Some((old, new)) => joint_class(name, old, new, &mut wrong),
            None => ClassBounds {
                open: false,
                ..class.clone()
            },
        };
        classes.insert(name.clone(), class);
    }
    let mut kinds = old.kinds.clone();
    for (name, size) in &new.kinds {
        let kind = kinds.entry(name.clone()).or_insert(*size);
        *kind = (kind.0.min(size.0), kind.1.min(size.1));
    }
    if !wrong.is_empty() {
        return Err(wrong);
    }
    let told = |a: Option<u64>, b: Option<u64>| a.max(b);
    Ok(Bounds {
        placers: old.placers.max(new.placers),
        accepts: (
            old.accepts.0.min(new.accepts.0),
            old.accepts.1.min(new.accepts.1),
        ),
        max_attempts: old.max_attempts.min(new.max_attempts),
        drain_grace_us: old.drain_grace_us.min(new.drain_grace_us),
        warm_after_us: told(old.warm_after_us, new.warm_after_us),
        cold_window_us: told(old.cold_window_us, new.cold_window_us),
        cold_offers: old
            .cold_offers
            .into_iter()
            .chain(new.cold_offers)
            .reduce(f64::min),
        yes_when_running: old.yes_when_running,
        classes,
        kinds,
    })
}

fn strictness(repeat: Repeat) -> u8 {
    match repeat {
        Repeat::Safe => 0,
        Repeat::Keyed => 1,
        Repeat::Unsafe => 2,
    }
}

fn width(group: Group) -> u8 {
    match group {
        Group::Rack => 0,
        Group::Hall => 1,
        Group::All => 2,
    }
}

fn joint_class(
    name: &str,
    old: &ClassBounds,
    new: &ClassBounds,
    wrong: &mut Vec<String>,
) -> ClassBounds {
    let mut odd = |key: &str, what: &str| wrong.push(format!("class `{name}`, {key}: {what}"));
    let kind = match (&old.kind, &new.kind) {
        (Some(a), Some(b)) if a != b => {
            odd(
                "kind",
                "no machine is of two kinds; close the class in one plan and open it in the next",
            );
            None
        }
        (a, b) => a.clone().or(b.clone()),
    };
    let spread = match (old.spread, new.spread) {
        (Some((a, _)), Some((b, _))) if a != b => {
            odd(
                "spread.over",
                "spread over two sorts of place has no joint form; drop it in one plan first",
            );
            None
        }
        (Some((over, a)), Some((_, b))) => Some((over, a.min(b))),
        (a, b) => a.or(b),
    };
    let repeat = if strictness(old.repeat) > strictness(new.repeat) {
        old.repeat
    } else {
        new.repeat
    };
    let narrower = if width(old.resend) < width(new.resend) {
        old.resend
    } else {
        new.resend
    };
    let wider = if width(old.drops) > width(new.drops) {
        old.drops
    } else {
        new.drops
    };
    ClassBounds {
        repeat,
        resend: narrower,
        drops: wider,
        window_us: old.window_us.zip(new.window_us).map(|(a, b)| a.min(b)),
        kind,
        spread,
        again: old.again.max(new.again),
        open: old.open && new.open,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::bounds::{RepeatPolicy, SpreadDomain};

    fn class() -> ClassBounds {
        ClassBounds {
            repeat: Repeat::Safe,
            resend: Group::All,
            drops: Group::All,
            window_us: None,
            kind: None,
            spread: None,
            again: RepeatPolicy::Always,
            open: true,
        }
    }

    fn bounds() -> Bounds {
        Bounds {
            placers: 1,
            accepts: (1.0, 1.0),
            max_attempts: 4,
            drain_grace_us: 500,
            warm_after_us: None,
            cold_window_us: None,
            cold_offers: None,
            yes_when_running: false,
            classes: BTreeMap::from([("play".to_owned(), class())]),
            kinds: BTreeMap::from([("k".to_owned(), (8.0, 32.0))]),
        }
    }

    /// Every pair of each respect: the joint form is never freer than either, in either order.
    #[test]
    fn the_joint_form_of_every_pair_is_as_strict_as_each_of_the_two() {
        let repeats = [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe];
        let groups = [Group::Rack, Group::Hall, Group::All];
        let agains = [
            RepeatPolicy::Always,
            RepeatPolicy::Ended,
            RepeatPolicy::Never,
        ];
        let windows = [None, Some(3), Some(9)];
        let spreads = [
            None,
            Some((SpreadDomain::Hall, 1)),
            Some((SpreadDomain::Hall, 3)),
            Some((SpreadDomain::Rack, 2)),
        ];
        let mut sorts = Vec::new();
        for repeat in repeats {
            for group in groups {
                for again in agains {
                    for window_us in windows {
                        for spread in spreads {
                            let (resend, drops) = (group, group);
                            sorts.push(ClassBounds {
                                repeat,
                                resend,
                                drops,
                                again,
                                window_us,
                                spread,
                                ..class()
                            });
                        }
                    }
                }
            }
        }
        for old in &sorts {
            for new in &sorts {
                let mut wrong = Vec::new();
                let got = joint_class("c", old, new, &mut wrong);
                let odd = old.spread.zip(new.spread).is_some_and(|(a, b)| a.0 != b.0);
                assert_eq!(!wrong.is_empty(), odd, "{old:?} {new:?}");
                for one in [old, new] {
                    assert!(strictness(got.repeat) >= strictness(one.repeat));
                    assert!(
                        width(got.resend) <= width(one.resend)
                            && width(got.drops) >= width(one.drops)
                    );
                    assert!(got.again >= one.again);
                    // No window: a keyed task is not sent again at all.
                    assert!(got.window_us.is_none() || got.window_us <= one.window_us);
                    let most = |of: &ClassBounds| of.spread.map_or(u32::MAX, |(_, most)| most);
                    assert!(odd || most(&got) <= most(one));
                }
                let mut other = Vec::new();
                assert_eq!(
                    joint_class("c", new, old, &mut other),
                    got,
                    "the order of the two is all one"
                );
            }
        }
    }

    #[test]
    fn figures_are_bound_by_the_stricter_and_what_is_told_beats_what_is_not() {
        let old = Bounds {
            placers: 3,
            cold_offers: Some(40.0),
            drain_grace_us: 100,
            ..bounds()
        };
        let new = Bounds {
            placers: 40,
            cold_offers: Some(80.0),
            cold_window_us: Some(7),
            warm_after_us: Some(9),
            accepts: (2.0, 0.5),
            max_attempts: 2,
            kinds: BTreeMap::from([("k".to_owned(), (16.0, 16.0)), ("l".to_owned(), (1.0, 1.0))]),
            ..bounds()
        };
        for (a, b) in [(&old, &new), (&new, &old)] {
            let got = joint_bounds(a, b).unwrap();
            assert_eq!(
                (got.placers, got.cold_offers, got.drain_grace_us),
                (40, Some(40.0), 100)
            );
            assert_eq!(
                (got.cold_window_us, got.warm_after_us, got.max_attempts),
                (Some(7), Some(9), 2)
            );
            assert_eq!(
                (got.accepts, got.kinds["k"], got.kinds["l"]),
                ((1.0, 0.5), (8.0, 16.0), (1.0, 1.0))
            );
        }
    }

    #[test]
    fn a_class_of_one_plan_alone_stays_and_takes_nothing_new() {
        let mut new = bounds();
        new.classes = BTreeMap::from([("edition".to_owned(), class())]);
        let got = joint_bounds(&bounds(), &new).unwrap();
        assert_eq!(
            got.classes
                .values()
                .map(|class| class.open)
                .collect::<Vec<_>>(),
            [false, false]
        );
    }

    #[test]
    fn what_has_no_joint_form_is_named_with_its_place() {
        let with = |kind: &str, over| {
            let mut bounds = bounds();
            let class = ClassBounds {
                kind: Some(kind.to_owned()),
                spread: Some((over, 2)),
                ..class()
            };
            bounds.classes.insert("play".to_owned(), class);
            bounds
        };
        let new = Bounds {
            yes_when_running: true,
            ..with("b", SpreadDomain::Rack)
        };
        let wrong = joint_bounds(&with("a", SpreadDomain::Hall), &new).unwrap_err();
        let places = [
            "site.yes_when",
            "class `play`, kind",
            "class `play`, spread.over",
        ];
        assert_eq!(wrong.len(), places.len());
        for (wrong, place) in wrong.iter().zip(places) {
            assert!(wrong.starts_with(place), "{wrong}");
        }
    }
}
