//! Each table, over all its cases.

use super::*;

#[test]
fn only_what_left_on_a_connection_that_stood_may_have_run() {
    for down in [
        Down::Refused,
        Down::Unmade,
        Down::Closed,
        Down::Broke,
        Down::Spoilt,
    ] {
        for begun in [false, true] {
            let stood = matches!(down, Down::Closed | Down::Broke | Down::Spoilt);
            let execution = did_it_run(down, begun);
            assert_eq!(
                execution == Execution::MayHaveRun,
                stood && begun,
                "{down:?} {begun}"
            );
            assert_eq!(
                execution == Execution::Unsent,
                stood && !begun,
                "{down:?} {begun}"
            );
        }
    }
}

#[test]
fn a_set_up_goes_alone_where_it_can() {
    let link = |up, open, doubtful| Candidate { up, open, doubtful };
    let (idle, coming, busy) = (
        link(true, 0, false),
        link(false, 0, false),
        link(true, 2, false),
    );
    let cases = [
        (vec![], true, Some(Choice::Make)),
        (vec![], false, None),
        (vec![busy, coming, idle], true, Some(Choice::Use(2))),
        (vec![busy, coming], true, Some(Choice::Use(0))),
        (vec![busy], true, Some(Choice::Use(0))),
        (vec![coming], true, Some(Choice::Use(0))),
        (vec![link(false, 1, false)], true, Some(Choice::Make)),
        (vec![link(false, 1, false)], false, Some(Choice::Use(0))),
        (
            vec![busy, link(true, 1, false)],
            false,
            Some(Choice::Use(1)),
        ),
        (vec![link(true, 0, true)], true, Some(Choice::Make)),
        (vec![link(true, 0, true)], false, None),
        (vec![link(true, 3, false)], false, None),
    ];
    for (candidates, room, choice) in cases {
        assert_eq!(
            which_link(&candidates, room, 3),
            choice,
            "{candidates:?} {room}"
        );
    }
}

#[test]
fn one_connection_is_kept_ahead() {
    let link = |open, doubtful| Candidate {
        up: true,
        open,
        doubtful,
    };
    for (candidates, spare) in [
        (vec![link(0, false)], true),
        (vec![link(0, false), link(1, false)], true),
        (vec![link(0, false), link(0, true)], true),
        (vec![link(0, false), link(0, false)], false),
    ] {
        assert_eq!(wants_spare(&candidates, 0, true), spare, "{candidates:?}");
        assert!(!wants_spare(&candidates, 0, false));
    }
}

#[test]
fn who_is_needed_least_makes_room() {
    let link = |up, check, only, used| Spent {
        up,
        check,
        only,
        used,
        since: 10 - used,
    };
    let (spare, older, made) = (
        link(true, false, false, 9),
        link(true, false, false, 8),
        link(false, false, false, 1),
    );
    let (alone, fresh, coming) = (
        link(true, true, true, 3),
        link(true, false, true, 7),
        link(false, true, false, 2),
    );
    let cases = [
        (vec![], false, None),
        (vec![alone, spare, older], false, Some(2)),
        (vec![alone, spare, older], true, Some(2)),
        (vec![alone, made], false, Some(1)),
        (vec![fresh, alone], false, Some(1)),
        // In turn, though it was of use last.
        (vec![fresh, alone], true, Some(0)),
        (vec![alone, coming], false, Some(0)),
        (vec![alone, coming], true, None),
        (vec![coming], false, Some(0)),
    ];
    for (links, visit, chosen) in cases {
        assert_eq!(
            which_makes_room(&links, visit, 5),
            chosen,
            "{links:?} {visit}"
        );
    }
}

#[test]
fn second_connections_leave_room_for_each_hosts_first() {
    for (links, extra, listed, may) in [
        (0, 0, 400, true),
        (49, 49, 400, true),
        (50, 10, 400, false),
        (80, 9, 90, true),
        (80, 10, 90, false),
        (99, 50, 10, true),
        (100, 50, 10, false),
    ] {
        assert_eq!(
            may_add(links, extra, listed, 100),
            may,
            "{links} {extra} {listed}"
        );
    }
}

#[test]
fn tasks_are_over_where_nothing_stands_or_nothing_comes_up_or_is_heard() {
    for (listed, links_up) in [(false, 0), (false, 1), (true, 0), (true, 1)] {
        for (refused, unreachable) in [(0, 0), (1, 2), (2, 0), (0, 3), (3, 4)] {
            for quiet_us in [0, 5_900_000, 6_000_000] {
                for (leaving, broke) in [(false, false), (false, true), (true, true), (true, false)]
                {
                    let seen = Seen {
                        listed,
                        leaving,
                        broke,
                        links_up,
                        refused,
                        unreachable,
                        quiet_us,
                    };
                    let quiet = quiet_us >= 6_000_000;
                    let want = match (listed, leaving, broke) {
                        (false, _, _) => true,
                        (true, _, true) => refused >= 2 || quiet && unreachable >= 3,
                        // It refuses whoever is new, and holds its tasks.
                        (true, true, false) => quiet && (refused >= 3 || unreachable >= 3),
                        (true, false, false) => {
                            refused >= 2 && links_up == 0
                                || quiet && (refused >= 3 || unreachable >= 3)
                        }
                    };
                    let lost = lost_all(seen);
                    assert_eq!(lost.is_some(), want, "{seen:?}");
                    assert_eq!(lost == Some(Lost::Left), !listed, "{seen:?}");
                }
            }
        }
    }
}

#[test]
fn an_end_goes_to_who_was_answered_last() {
    let route = |answered, good, heard_at| Route {
        answered,
        good,
        heard_at,
    };
    let routes = [
        route(false, true, 9),
        route(true, true, 5),
        route(true, true, 7),
        route(false, false, 99),
    ];
    let which = |routes: &[Route]| which_route(routes.iter().copied().enumerate());
    assert_eq!(which(&routes), Some(2));
    assert_eq!(which(&routes[..1]), Some(0));
    assert_eq!(which(&routes[3..]), None);
}

#[test]
fn nothing_begins_for_a_client_that_left() {
    use Parting::{Answer, End, GiveUp, LastAttempt, Moment, Nothing, Recall};
    let leavings = [
        Leaving::Ended,
        Leaving::EndedLong,
        Leaving::Reset,
        Leaving::Cancelled,
    ];
    for (stage, wants) in [
        (Stage::Fresh, [Moment, Answer, GiveUp, GiveUp]),
        (Stage::Held, [Answer, Answer, GiveUp, GiveUp]),
        (Stage::Connecting, [Moment, Recall, GiveUp, GiveUp]),
        (Stage::Out, [LastAttempt, LastAttempt, GiveUp, GiveUp]),
        (Stage::Standing, [Nothing, Nothing, Nothing, End]),
        (Stage::Over, [Nothing; 4]),
    ] {
        assert_eq!(
            leavings.map(|leaving| parting(stage, leaving)),
            wants,
            "{stage:?}"
        );
    }
}
