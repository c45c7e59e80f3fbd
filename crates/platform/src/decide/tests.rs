//! Tests of each decision over a table of cases.

use super::*;

const LINK_ENDS: [LinkEnd; 6] = [
    LinkEnd::Refused,
    LinkEnd::ConnectFailed,
    LinkEnd::Closed,
    LinkEnd::Incomplete,
    LinkEnd::Reset,
    LinkEnd::Unreadable,
];

#[test]
fn only_what_a_host_sent_on_a_link_that_was_not_read_to_its_end_may_be_lost() {
    for end in LINK_ENDS {
        let want = matches!(
            end,
            LinkEnd::Incomplete | LinkEnd::Reset | LinkEnd::Unreadable
        );
        assert_eq!(may_have_lost_input(end), want, "{end:?}");
    }
}

#[test]
fn only_an_attempt_begun_on_an_established_link_may_have_run() {
    for end in LINK_ENDS {
        for begun in [false, true] {
            let was_established = !matches!(end, LinkEnd::Refused | LinkEnd::ConnectFailed);
            let execution = execution_after(end, begun);
            assert_eq!(
                execution == Execution::MayHaveRun,
                was_established && begun,
                "{end:?} {begun}"
            );
            assert_eq!(
                execution == Execution::Unsent,
                was_established && !begun,
                "{end:?} {begun}"
            );
        }
    }
}

#[test]
fn a_message_prefers_an_empty_established_link() {
    let link = |is_up, in_flight, is_suspect| LinkCandidate {
        is_up,
        in_flight,
        is_suspect,
    };
    let (idle, connecting, busy) = (
        link(true, 0, false),
        link(false, 0, false),
        link(true, 2, false),
    );
    let cases = [
        (vec![], true, Some(LinkChoice::Connect)),
        (vec![], false, None),
        (vec![busy, connecting, idle], true, Some(LinkChoice::Use(2))),
        (vec![busy, connecting], true, Some(LinkChoice::Use(0))),
        (vec![busy], true, Some(LinkChoice::Use(0))),
        (vec![connecting], true, Some(LinkChoice::Use(0))),
        (vec![link(false, 1, false)], true, Some(LinkChoice::Connect)),
        (vec![link(false, 1, false)], false, Some(LinkChoice::Use(0))),
        (
            vec![busy, link(true, 1, false)],
            false,
            Some(LinkChoice::Use(1)),
        ),
        (vec![link(true, 0, true)], true, Some(LinkChoice::Connect)),
        (vec![link(true, 0, true)], false, None),
        (vec![link(true, 3, false)], false, None),
    ];
    for (candidates, capacity, choice) in cases {
        assert_eq!(
            choose_link(&candidates, capacity, 3),
            choice,
            "{candidates:?} {capacity}"
        );
    }
}

#[test]
fn one_standby_link_is_kept() {
    let link = |in_flight, is_suspect| LinkCandidate {
        is_up: true,
        in_flight,
        is_suspect,
    };
    for (candidates, standby) in [
        (vec![link(0, false)], true),
        (vec![link(0, false), link(1, false)], true),
        (vec![link(0, false), link(0, true)], true),
        (vec![link(0, false), link(0, false)], false),
    ] {
        assert_eq!(
            needs_standby_link(&candidates, 0, true),
            standby,
            "{candidates:?}"
        );
        assert!(!needs_standby_link(&candidates, 0, false));
    }
}

#[test]
fn the_link_that_is_needed_least_is_evicted() {
    let link = |is_up, is_liveness_check, is_only_link, last_used| EvictionCandidate {
        is_up,
        is_liveness_check,
        is_only_link,
        last_used,
        up_since: 10 - last_used,
    };
    let (standby, older, new) = (
        link(true, false, false, 9),
        link(true, false, false, 8),
        link(false, false, false, 1),
    );
    let (alone, recent, connecting) = (
        link(true, true, true, 3),
        link(true, false, true, 7),
        link(false, true, false, 2),
    );
    let cases = [
        (vec![], false, None),
        (vec![alone, standby, older], false, Some(2)),
        (vec![alone, standby, older], true, Some(2)),
        (vec![alone, new], false, Some(1)),
        (vec![recent, alone], false, Some(1)),
        // Needed links take turns: the one established first is closed, though it was used last.
        (vec![recent, alone], true, Some(0)),
        (vec![alone, connecting], false, Some(0)),
        (vec![alone, connecting], true, None),
        (vec![connecting], false, Some(0)),
    ];
    for (links, for_liveness_check, chosen) in cases {
        assert_eq!(
            choose_eviction(&links, for_liveness_check, 5),
            chosen,
            "{links:?} {for_liveness_check}"
        );
    }
}

#[test]
fn a_new_link_for_a_liveness_check_replaces_an_idle_unproven_one_or_is_closed() {
    const LIMIT_US: u64 = 10;
    let link = |is_idle, unproven_us| OlderLink {
        is_idle,
        is_suspect: false,
        unproven_us,
    };
    let suspect = OlderLink {
        is_suspect: true,
        ..link(true, 20)
    };
    let cases = [
        (vec![], None),
        (vec![suspect], None),
        (vec![link(true, 9)], Some(SurplusLink::New)),
        (vec![link(true, 10)], Some(SurplusLink::Older(0))),
        (vec![link(false, 20)], Some(SurplusLink::New)),
        (vec![link(false, 20), link(true, 9)], Some(SurplusLink::New)),
        (
            vec![link(true, 11), link(true, 12)],
            Some(SurplusLink::Older(1)),
        ),
        (
            vec![link(false, 12), link(true, 11)],
            Some(SurplusLink::Older(1)),
        ),
        (vec![suspect, link(true, 11)], Some(SurplusLink::Older(1))),
        (vec![suspect, link(true, 9)], Some(SurplusLink::New)),
    ];
    for (older, surplus) in cases {
        assert_eq!(choose_surplus_link(&older, LIMIT_US), surplus, "{older:?}");
    }
}

#[test]
fn the_largest_group_that_no_host_has_confirmed_is_least_likely() {
    let group = |tasks, silent_us| UnconfirmedGroup {
        is_confirmed: false,
        tasks,
        silent_us,
    };
    let confirmed = |tasks, silent_us| UnconfirmedGroup {
        is_confirmed: true,
        ..group(tasks, silent_us)
    };
    let cases = [
        (vec![], None),
        (vec![group(1, 0)], Some(0)),
        // As many tasks: the one that was silent for longer.
        (vec![group(300, 9), group(300, 10)], Some(1)),
        // As long: the larger one.
        (vec![group(400, 10), group(300, 10)], Some(0)),
        // An owner with few tasks outlasts any flood, however long its tasks are quiet.
        (vec![group(3, 1_000), group(400, 10)], Some(1)),
        (vec![group(3, u64::MAX), group(400, 10)], Some(1)),
        (vec![group(3, u64::MAX), group(4, 0)], Some(1)),
        // An owner with many tasks of which one has ended.
        (vec![confirmed(900, 1), group(400, 10)], Some(1)),
        (vec![confirmed(900, u64::MAX), group(1, 0)], Some(1)),
        (vec![confirmed(900, 1), confirmed(400, 10)], Some(0)),
        (vec![group(2, 0), group(3, 0)], Some(1)),
        (vec![group(usize::MAX, u64::MAX), group(1, 1)], Some(0)),
    ];
    for (groups, chosen) in cases {
        let indexed = groups.iter().copied().enumerate();
        assert_eq!(choose_least_likely(indexed), chosen, "{groups:?}");
    }
}

#[test]
fn additional_links_leave_capacity_for_the_first_link_of_each_host() {
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
            may_add_link(links, extra, listed, 100),
            may,
            "{links} {extra} {listed}"
        );
    }
}

#[test]
fn tasks_are_lost_if_the_host_left_refuses_connections_or_is_silent() {
    for (is_listed, links_up) in [(false, 0), (false, 1), (true, 0), (true, 1)] {
        for (consecutive_refusals, consecutive_connect_failures) in
            [(0, 0), (1, 2), (2, 0), (0, 3), (3, 4)]
        {
            for silent_us in [0, 5_900_000, 6_000_000] {
                for (is_draining, was_reset) in
                    [(false, false), (false, true), (true, true), (true, false)]
                {
                    let host = HostObservation {
                        is_listed,
                        is_draining,
                        was_reset,
                        links_up,
                        consecutive_refusals,
                        consecutive_connect_failures,
                        silent_us,
                    };
                    let is_silent = silent_us >= 6_000_000;
                    let want = match (is_listed, is_draining, was_reset) {
                        (false, _, _) => true,
                        (true, _, true) => {
                            consecutive_refusals >= 2
                                || is_silent && consecutive_connect_failures >= 3
                        }
                        // A draining host refuses connections while its tasks run, so refusals alone do not count.
                        (true, true, false) => {
                            is_silent
                                && (consecutive_refusals >= 3 || consecutive_connect_failures >= 3)
                        }
                        (true, false, false) => {
                            consecutive_refusals >= 2 && links_up == 0
                                || is_silent
                                    && (consecutive_refusals >= 3
                                        || consecutive_connect_failures >= 3)
                        }
                    };
                    let loss = detect_host_loss(host);
                    assert_eq!(loss.is_some(), want, "{host:?}");
                    assert_eq!(loss == Some(HostLoss::LeftList), !is_listed, "{host:?}");
                }
            }
        }
    }
}

#[test]
fn a_task_end_goes_where_the_evidence_is_best() {
    use TaskOwnership::{Claimed, Confirmed, None as Unknown};
    let route = |ownership, sent_valid_request, last_received| NotificationRoute {
        ownership,
        sent_valid_request,
        last_received,
    };
    let (request, recent_request) = (route(Unknown, true, 9), route(Unknown, true, 10));
    let (owner, recent_owner) = (route(Confirmed, true, 5), route(Confirmed, true, 7));
    let (claim, recent_claim) = (route(Claimed, true, 8), route(Claimed, false, 99));
    let stranger = route(Unknown, false, 100);
    let cases = [
        (vec![], vec![]),
        (vec![stranger], vec![]),
        (vec![request, stranger], vec![0]),
        (vec![request, recent_request], vec![1]),
        (vec![request, owner, recent_owner, stranger], vec![2]),
        // What a client says of itself takes no end from one whose tasks a host confirmed.
        (vec![owner, recent_claim], vec![0]),
        (vec![recent_claim, claim, owner, recent_request], vec![2]),
        // Nothing tells claims apart: each gets the end.
        (vec![claim, request, recent_claim], vec![2, 0]),
        (vec![claim, recent_request], vec![0]),
    ];
    for (routes, chosen) in cases {
        let indexed = routes.iter().copied().enumerate();
        assert_eq!(choose_routes(indexed), chosen, "{routes:?}");
    }
}

#[test]
fn each_stage_and_departure_has_its_action() {
    use DepartureAction::{
        Abandon, AllowGrace, Answer, FinishAttempt, Nothing, RecallAndAnswer, StopTask,
    };
    let departures = [
        ClientDeparture::EndOfStream,
        ClientDeparture::GraceExpired,
        ClientDeparture::Reset,
        ClientDeparture::Cancelled,
    ];
    for (stage, wants) in [
        (
            RequestStage::Received,
            [AllowGrace, Answer, Abandon, Abandon],
        ),
        (RequestStage::Queued, [Answer, Answer, Abandon, Abandon]),
        (
            RequestStage::Connecting,
            [AllowGrace, RecallAndAnswer, Abandon, Abandon],
        ),
        (
            RequestStage::InFlight,
            [FinishAttempt, FinishAttempt, Abandon, Abandon],
        ),
        (RequestStage::Running, [Nothing, Nothing, Nothing, StopTask]),
        (RequestStage::Done, [Nothing; 4]),
    ] {
        assert_eq!(
            departures.map(|departure| departure_action(stage, departure)),
            wants,
            "{stage:?}"
        );
    }
}
