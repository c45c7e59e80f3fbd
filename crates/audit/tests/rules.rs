//! The audit of traces made by hand: clean ones, and one that breaks each rule.

use reedring_audit::{Event, Frame, Recorder, Report, Rule, audit, read};
use reedring_drmaa::framing::wrap;
use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, AttemptId, Ballot, ConfigDigest, ConfigRequest, ConfigVersion,
    InFlightState, InFlightTask, Message, RejectionReason, Task, TaskEnd, VersionStamp, decode,
    encode,
};

const SETTINGS: &str = r#"
[site]
drain_grace = "0ms"
warm_after = "1h"
cold_window = "1h"
cold_offers = 3.0
[[class]]
name = "safe"
repeat = "safe"
give_up = "1h"
[[class]]
name = "keyed"
repeat = "keyed"
group = "hall"
window = "1h"
give_up = "1h"
[[class]]
name = "unsafe"
repeat = "unsafe"
give_up = "1h"
[[class]]
name = "apart"
repeat = "safe"
give_up = "1h"
spread = { over = "hall", most = 1 }
"#;

const LIST: &str = r#"
node = [{ name = "a1", hall = "a" }, { name = "a2", hall = "a" }, { name = "b1", hall = "b" }]
"#;

const HOUR_US: u64 = 3_600_000_000;

struct Trace(Recorder);

impl Trace {
    fn new() -> Self {
        let trace = Self(Recorder::in_memory());
        trace
            .0
            .record(Event::PlacerStarted, "p", "", 1, SETTINGS.as_bytes());
        trace.0.record(Event::Listed, "p", "", 0, LIST.as_bytes());
        trace
    }

    fn call(&self, id: u64, method: &str, params: &str) {
        let text =
            format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{params}}}"#);
        self.0
            .record(Event::FromClient, "p", "", 1, &wrap(text.as_bytes()));
    }

    fn answer(&self, id: u64, result: &str) {
        let text = format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{result}}}"#);
        self.0
            .record(Event::ToClient, "p", "", 1, &wrap(text.as_bytes()));
    }

    fn submitted(&self, job: &str, class: &str) {
        let params = format!(r#"{{"key":{{"session":"s"}},"job":{{"native":"class={class}"}}}}"#);
        self.call(1, "drmaa_run_job", &params);
        self.answer(1, &format!(r#"{{"submitted":{{"jobs":["{job}"]}}}}"#));
    }

    fn reported(&self, job: &str, outcome: &str) {
        self.call(2, "drmaa_wait", r#"{"key":{"session":"s"},"job":null}"#);
        let usage = format!(r#"[["reedring.outcome","{outcome}"]]"#);
        self.answer(
            2,
            &format!(r#"{{"ended":{{"job":"{job}","end":"aborted","usage":{usage}}}}}"#),
        );
    }

    fn offer(&self, job: &str, class: &str, node: &str, request: u64, number: u16) -> AttemptId {
        self.offer_by(job, class, node, (request, number), None)
    }

    fn offer_by(
        &self,
        job: &str,
        class: &str,
        node: &str,
        (request, number): (u64, u16),
        stamp: Option<VersionStamp>,
    ) -> AttemptId {
        let task = Task {
            job: job.into(),
            class: class.into(),
            service: "v".into(),
            ..Task::default()
        };
        self.offer_task(task, node, (request, number), stamp)
    }

    fn offer_task(
        &self,
        task: Task,
        node: &str,
        (request, number): (u64, u16),
        stamp: Option<VersionStamp>,
    ) -> AttemptId {
        let attempt = AttemptId {
            incarnation: 1,
            request,
            number,
        };
        let offer = encode(&Message::Offer {
            attempt,
            task: Box::new(task),
            within_ms: 0,
            stamp,
        });
        self.0.record(Event::ToNode, "p", node, 1, &offer);
        self.0.record(Event::NodeRead, node, "p", 1, &offer);
        attempt
    }

    /// An offer under an even spread over the halls.
    fn offer_evenly(&self, job: &str, node: &str, request: u64) -> AttemptId {
        let payload =
            br#"{"native":"class=safe service=v constraint='require spread by hall within 1'"}"#;
        let (class, service, payload) = ("safe".into(), "v".into(), payload.to_vec());
        let task = Task {
            job: job.into(),
            class,
            service,
            payload,
            ..Task::default()
        };
        self.offer_task(task, node, (request, 0), None)
    }

    fn node(&self, node: &str, message: &Message) {
        self.0
            .record(Event::NodeWrote, node, "p", 1, &encode(message));
        self.0
            .record(Event::FromNode, "p", node, 1, &encode(message));
    }

    fn accepted(&self, node: &str, attempt: AttemptId) {
        self.node(
            node,
            &Message::Accepted {
                attempt,
                report: Vec::new(),
            },
        );
    }

    fn refused(&self, node: &str, attempt: AttemptId) {
        let (reason, text, report) = (RejectionReason::QueueFull, String::new(), Vec::new());
        self.node(
            node,
            &Message::Rejected {
                attempt,
                reason,
                text,
                report,
            },
        );
    }

    fn ended(&self, node: &str, attempt: AttemptId, end: TaskEnd, ran: bool) {
        self.node(
            node,
            &Message::Ended {
                attempt,
                end,
                ran,
                report: Vec::new(),
            },
        );
    }

    fn stop(&self, node: &str, attempt: AttemptId) {
        self.0.record(
            Event::ToNode,
            "p",
            node,
            1,
            &encode(&Message::Stop { attempt }),
        );
    }

    fn report(self) -> Report {
        audit(&read(&self.0.finish().unwrap()).unwrap())
    }

    fn broken_rules(self) -> Vec<Rule> {
        let report = self.report();
        report
            .breaches
            .iter()
            .for_each(|breach| assert!(!breach.frames.is_empty(), "{breach:?}"));
        report.breaches.iter().map(|breach| breach.rule).collect()
    }
}

#[test]
fn a_refused_attempt_and_a_placed_one_are_clean() {
    let trace = Trace::new();
    trace.submitted("s.1.1", "unsafe");
    let first = trace.offer("s.1.1", "unsafe", "a1", 1, 0);
    trace.refused("a1", first);
    let second = trace.offer("s.1.1", "unsafe", "b1", 1, 1);
    trace.accepted("b1", second);
    trace.ended("b1", second, TaskEnd::Exited(0), true);
    trace.reported("s.1.1", "placed");
    let report = trace.report();
    assert_eq!(report.breaches, []);
    assert_eq!((report.taken, report.placed, report.offers), (1, 1, 2));
}

#[test]
fn two_outcomes_break_rule_1() {
    let trace = Trace::new();
    trace.submitted("s.1.1", "safe");
    trace.reported("s.1.1", "refused");
    trace.reported("s.1.1", "failed");
    assert_eq!(trace.broken_rules(), [Rule::OneOutcome]);
    let trace = Trace::new();
    trace.submitted("s.1.1", "safe");
    trace.reported("s.1.1", "placed");
    assert_eq!(trace.broken_rules(), [Rule::OneOutcome]);
}

#[test]
fn a_second_live_attempt_breaks_rule_2_for_every_class() {
    for class in ["safe", "keyed", "unsafe"] {
        let trace = Trace::new();
        trace.offer("s.1.1", class, "a1", 1, 0);
        trace.offer("s.1.1", class, "a2", 1, 1);
        assert_eq!(trace.broken_rules(), [Rule::NoSecondRun], "{class}");
    }
}

#[test]
fn a_task_that_may_have_run_is_sent_again_only_as_its_class_allows() {
    for (class, node, clean) in [
        ("safe", "b1", true),
        ("keyed", "a2", true),
        ("keyed", "b1", false),
        ("unsafe", "a2", false),
    ] {
        let trace = Trace::new();
        let first = trace.offer("s.1.1", class, "a1", 1, 0);
        trace.stop("a1", first);
        trace.offer("s.1.1", class, node, 1, 1);
        assert_eq!(trace.broken_rules().is_empty(), clean, "{class} to {node}");
    }
}

#[test]
fn a_refusal_after_an_unsafe_task_may_have_run_breaks_rule_2() {
    let trace = Trace::new();
    trace.submitted("s.1.1", "unsafe");
    let first = trace.offer("s.1.1", "unsafe", "a1", 1, 0);
    trace.stop("a1", first);
    trace.reported("s.1.1", "refused");
    assert_eq!(trace.broken_rules(), [Rule::NoSecondRun]);
    let trace = Trace::new();
    trace.submitted("s.1.1", "unsafe");
    let first = trace.offer("s.1.1", "unsafe", "a1", 1, 0);
    trace.stop("a1", first);
    trace.ended("a1", first, TaskEnd::Stopped, false);
    trace.reported("s.1.1", "refused");
    assert_eq!(trace.broken_rules(), []);
}

#[test]
fn a_lost_task_is_placed_again_only_as_its_class_allows() {
    for (class, end, clean) in [
        ("safe", TaskEnd::Evicted, true),
        ("keyed", TaskEnd::Evicted, true),
        ("unsafe", TaskEnd::Evicted, false),
    ] {
        let trace = Trace::new();
        let first = trace.offer("s.1.1", class, "a1", 1, 0);
        trace.accepted("a1", first);
        trace.ended("a1", first, end, true);
        trace.offer("s.1.1", class, "b1", 2, 0);
        assert_eq!(trace.broken_rules().is_empty(), clean, "{class}");
    }
}

/// An attempt that was accepted and whose end is known does not belong to the placement that follows: the window of that
/// one begins with its own first attempt.
#[test]
fn the_window_of_a_lost_task_begins_with_its_new_placement() {
    for (attempts_apart_us, clean) in [(0, true), (2 * HOUR_US, false)] {
        let trace = Trace::new();
        let first = trace.offer("s.1.1", "keyed", "a1", 1, 0);
        trace.accepted("a1", first);
        trace.ended("a1", first, TaskEnd::Evicted, true);
        let second = trace.offer("s.1.1", "keyed", "a2", 2, 0);
        trace.stop("a2", second);
        trace.offer("s.1.1", "keyed", "a1", 2, 1);
        let mut frames = read(&trace.0.finish().unwrap()).unwrap();
        let is_offer = |frame: &&Frame| {
            frame.event == Event::ToNode
                && matches!(decode(&frame.bytes), Ok(Message::Offer { .. }))
        };
        let offers: Vec<usize> = frames
            .iter()
            .filter(is_offer)
            .map(|frame| frame.number)
            .collect();
        let [_, second, third] = offers[..] else {
            panic!("{offers:?}")
        };
        // The window is one hour: the second placing comes later than that, its second try in time or not.
        frames[second..]
            .iter_mut()
            .for_each(|frame| frame.time_us += 2 * HOUR_US);
        frames[third..]
            .iter_mut()
            .for_each(|frame| frame.time_us += attempts_apart_us);
        assert_eq!(
            audit(&frames).breaches.is_empty(),
            clean,
            "{attempts_apart_us}"
        );
    }
}

#[test]
fn an_unsafe_task_that_two_nodes_take_breaks_rule_2() {
    let trace = Trace::new();
    let first = trace.offer("s.1.1", "unsafe", "a1", 1, 0);
    trace.0.record(
        Event::NodeWrote,
        "a1",
        "p",
        1,
        &encode(&Message::Accepted {
            attempt: first,
            report: Vec::new(),
        }),
    );
    let second = trace.offer("s.1.1", "unsafe", "a2", 1, 1);
    trace.accepted("a2", second);
    assert_eq!(trace.broken_rules(), [Rule::NoSecondRun, Rule::NoSecondRun]);
}

#[test]
fn an_attempt_that_the_next_incarnation_finds_is_the_jobs_own() {
    let trace = Trace::new();
    trace.submitted("s.1.1", "unsafe");
    let first = trace.offer("s.1.1", "unsafe", "a1", 1, 0);
    trace.0.record(Event::PlacerEnded, "p", "", 1, b"");
    trace
        .0
        .record(Event::PlacerStarted, "p", "", 2, SETTINGS.as_bytes());
    trace.0.record(Event::Listed, "p", "", 0, LIST.as_bytes());
    let task = Task {
        job: "s.1.1".into(),
        class: "unsafe".into(),
        ..Task::default()
    };
    let held = vec![InFlightTask {
        attempt: first,
        task,
        state: InFlightState::Running,
    }];
    trace.node(
        "a1",
        &Message::InFlight {
            tasks: held,
            last: true,
        },
    );
    trace.ended("a1", first, TaskEnd::Exited(0), true);
    trace.reported("s.1.1", "placed");
    assert_eq!(trace.broken_rules(), []);
}

#[test]
fn work_after_a_drain_breaks_rule_3() {
    let trace = Trace::new();
    trace.0.record(
        Event::Listed,
        "p",
        "",
        0,
        LIST.replace("\"a1\",", "\"a1\", health = \"draining\",")
            .as_bytes(),
    );
    std::thread::sleep(std::time::Duration::from_millis(1));
    trace.offer("s.1.1", "safe", "a1", 1, 0);
    // Where it left, and where it arrived.
    assert_eq!(trace.broken_rules(), [Rule::DrainsKept, Rule::DrainsKept]);
    let trace = Trace::new();
    trace.call(9, "reedring_drain", r#"{"node":"a1","drain":true}"#);
    trace.offer("s.1.1", "safe", "a2", 1, 0);
    assert_eq!(trace.broken_rules(), []);
}

#[test]
fn too_many_offers_to_a_node_that_warms_up_break_rule_4_once() {
    let trace = Trace::new();
    trace.0.record(Event::NodeStarted, "a1", "", 1, b"");
    for n in 1..=6 {
        trace.offer(&format!("s.1.{n}"), "safe", "a1", n, 0);
    }
    assert_eq!(trace.broken_rules(), [Rule::ColdNodes]);
}

#[test]
fn two_of_a_service_in_one_hall_break_rule_5() {
    let trace = Trace::new();
    let first = trace.offer("s.1.1", "apart", "a1", 1, 0);
    trace.offer("s.1.2", "apart", "b1", 2, 0);
    trace.accepted("a1", first);
    trace.offer("s.1.3", "apart", "a2", 3, 0);
    assert_eq!(trace.broken_rules(), [Rule::Spread]);
}

/// Two links write in no common order, so what is under no spread and was written to another node just before may
/// have been decided after. Whatever was decided before for sure counts.
#[test]
fn an_offer_under_an_even_spread_goes_by_the_copies_decided_before_it() {
    struct Case {
        first_is_even: bool,
        first_node: &'static str,
        apart_us: u64,
        clean: bool,
    }
    let case = |first_is_even, first_node, apart_us, clean| Case {
        first_is_even,
        first_node,
        apart_us,
        clean,
    };
    for Case {
        first_is_even,
        first_node,
        apart_us,
        clean,
    } in [
        case(false, "a1", 100_000, true),
        case(false, "a1", 400_000, false),
        case(false, "a2", 0, false),
        case(true, "a1", 0, false),
        case(true, "b1", 0, true),
    ] {
        let trace = Trace::new();
        if first_is_even {
            trace.offer_evenly("s.1.1", first_node, 1);
        } else {
            trace.offer("s.1.1", "safe", first_node, 1, 0);
        }
        trace.offer_evenly("s.1.2", "a2", 2);
        let mut frames = read(&trace.0.finish().unwrap()).unwrap();
        let offers: Vec<usize> = frames
            .iter()
            .filter(|frame| frame.event == Event::ToNode)
            .map(|frame| frame.number)
            .collect();
        let [_, second] = offers[..] else {
            panic!("{offers:?}")
        };
        frames[second..]
            .iter_mut()
            .for_each(|frame| frame.time_us += apart_us);
        let breaches: Vec<Rule> = audit(&frames)
            .breaches
            .iter()
            .map(|breach| breach.rule)
            .collect();
        let expected: &[Rule] = if clean { &[] } else { &[Rule::Spread] };
        assert_eq!(
            breaches, expected,
            "{first_is_even} {first_node} {apart_us}"
        );
    }
}

#[test]
fn noise_is_counted_and_breaks_no_rule() {
    let trace = Trace::new();
    trace
        .0
        .record(Event::FromNode, "p", "a1", 1, b"\x00\x01noise");
    trace
        .0
        .record(Event::FromClient, "p", "", 1, b"GET / HTTP/1.1\r\n\r\n");
    let report = trace.report();
    assert_eq!((report.unreadable, report.breaches.len()), (2, 0));
}

// ---- Configuration versions ----

fn version(number: u64) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest([number as u8; 16]),
    }
}

/// A report with this configuration committed, and the next one joint or not.
fn record(force: u64, next: Option<(u64, bool)>) -> Message {
    let introduced = |(number, joint)| {
        let ballot = Ballot {
            round: 1,
            proposer: 1,
        };
        AcceptedVersion {
            ballot,
            version: version(number),
            joint,
        }
    };
    Message::AcceptorReport(AcceptorReport {
        committed: version(force),
        accepted: next.map(introduced),
        ..AcceptorReport::default()
    })
}

fn stamp(number: u64, joint: bool) -> Option<VersionStamp> {
    Some(VersionStamp {
        version: version(number),
        joint,
        list_revision: 1,
        build: 1,
    })
}

#[test]
fn a_node_that_accepts_an_offer_below_its_floor_breaks_the_check_of_versions() {
    for (number, joint, clean) in [(1, false, false), (2, true, true), (2, false, true)] {
        let trace = Trace::new();
        trace.node("a1", &record(1, Some((2, true))));
        trace.submitted("s.1.1", "safe");
        let attempt = trace.offer_by("s.1.1", "safe", "a1", (1, 0), stamp(number, joint));
        trace.accepted("a1", attempt);
        let want = if clean {
            Vec::new()
        } else {
            vec![Rule::Versions]
        };
        assert_eq!(trace.broken_rules(), want, "{number} {joint}");
    }
}

#[test]
fn a_configuration_committed_without_a_majority_breaks_the_check_of_versions() {
    for joint in [["a1"].as_slice(), &["a1", "b1"]] {
        let trace = Trace::new();
        ["a1", "a2", "b1"]
            .iter()
            .for_each(|node| trace.node(node, &record(1, None)));
        joint
            .iter()
            .for_each(|node| trace.node(node, &record(1, Some((2, true)))));
        trace.node("a1", &record(2, None));
        let want = if joint.len() > 1 {
            Vec::new()
        } else {
            vec![Rule::Versions]
        };
        assert_eq!(trace.broken_rules(), want, "{joint:?}");
    }
}

#[test]
fn more_than_the_stricter_part_of_a_slow_start_budget_breaks_the_check_of_versions() {
    let text = |placers: u32| {
        format!(
            "[site]\nplacers = {placers}\ncold_offers = 3.0\ncold_window = \"1h\"\nwarm_after = \"1h\"\n"
        )
    };
    let sent = |joint: bool, offers: u64| {
        let trace = Trace::new();
        trace.0.record(Event::NodeStarted, "a1", "", 1, b"");
        for (number, placers) in [(1, 1), (2, 3)] {
            let (version, text) = (version(number), text(placers));
            let order = ConfigRequest::Commit {
                version,
                text,
                list: 1,
            };
            trace.0.record(
                Event::ToNode,
                "p",
                "a1",
                1,
                &encode(&Message::ConfigRequest(order)),
            );
        }
        for n in 1..=offers {
            // By configuration 1 alone all three are its own; by both, one.
            let by = if joint {
                stamp(2, true)
            } else {
                stamp(1, false)
            };
            trace.offer_by(&format!("s.1.{n}"), "safe", "a1", (n, 0), by);
        }
        trace.broken_rules()
    };
    assert_eq!(sent(false, 3), []);
    assert_eq!(sent(true, 1), []);
    assert_eq!(sent(true, 2), [Rule::Versions]);
}

/// A learner's report, by the configuration whose joint form is its floor; 0 is none yet.
fn learner(number: u64) -> AcceptorReport {
    let introduced = AcceptedVersion {
        ballot: Ballot::default(),
        version: version(number),
        joint: true,
    };
    let next = (number > 0).then_some(introduced);
    AcceptorReport {
        accepted: next,
        is_learner: true,
        cannot_persist: true,
        ..AcceptorReport::default()
    }
}

#[test]
fn a_learner_that_accepts_an_offer_below_those_it_has_read_breaks_the_check_of_versions() {
    // By which configuration the second offer comes, after one by configuration 2.
    for (second, clean) in [
        (stamp(1, false), false),
        (None, false),
        (stamp(2, true), true),
        (stamp(2, false), true),
        (stamp(3, true), true),
    ] {
        let trace = Trace::new();
        trace.node("a1", &Message::AcceptorReport(learner(0)));
        for (n, by) in [(1, stamp(2, false)), (2, second)] {
            trace.submitted(&format!("s.1.{n}"), "safe");
            let attempt = trace.offer_by(&format!("s.1.{n}"), "safe", "a1", (n, 0), by);
            trace.accepted("a1", attempt);
        }
        let want = if clean {
            Vec::new()
        } else {
            vec![Rule::Versions]
        };
        assert_eq!(trace.broken_rules(), want, "{second:?}");
    }
}

/// A new incarnation begins without a floor, and reports that in its handshake.
#[test]
fn a_restarted_learner_may_accept_what_its_former_incarnation_would_not() {
    let trace = Trace::new();
    trace.node("a1", &Message::AcceptorReport(learner(2)));
    let (node, life, up_ms, can_suspend) = ("a1".to_owned(), 9, 0, true);
    trace.node(
        "a1",
        &Message::Welcome {
            node,
            incarnation: life,
            up_ms,
            can_suspend,
            acceptor_report: Some(learner(0)),
        },
    );
    trace.submitted("s.1.1", "safe");
    let attempt = trace.offer_by("s.1.1", "safe", "a1", (1, 0), stamp(1, false));
    trace.accepted("a1", attempt);
    assert_eq!(trace.broken_rules(), []);
}

/// Of five listed nodes three vote: two of them are a majority, and what others accept does not count.
#[test]
fn a_configuration_committed_without_a_majority_of_the_voters_breaks_the_check_of_versions() {
    let list = r#"
        node = [{ name = "a1", control = true }, { name = "a2", control = true }, { name = "b1", control = true },
                { name = "b2" }, { name = "b3" }]
    "#;
    for (joint, clean) in [
        (["a1"].as_slice(), false),
        (&["a1", "b2", "b3"], false),
        (&["a1", "b1"], true),
    ] {
        let trace = Trace::new();
        trace.0.record(Event::Listed, "p", "", 0, list.as_bytes());
        ["a1", "a2", "b1", "b2", "b3"]
            .iter()
            .for_each(|node| trace.node(node, &record(1, None)));
        joint
            .iter()
            .for_each(|node| trace.node(node, &record(1, Some((2, true)))));
        trace.node("a1", &record(2, None));
        let want = if clean {
            Vec::new()
        } else {
            vec![Rule::Versions]
        };
        assert_eq!(trace.broken_rules(), want, "{joint:?}");
    }
}

/// An offer that a learner rejects for its version costs it nothing while it is warming up.
#[test]
fn offers_below_a_learners_floor_are_no_part_of_a_slow_start_budget() {
    for (fourth, want) in [(1, vec![]), (2, vec![Rule::ColdNodes])] {
        let trace = Trace::new();
        trace.0.record(Event::NodeStarted, "a1", "", 1, b"");
        trace.node("a1", &Message::AcceptorReport(learner(0)));
        for (n, plan) in [(1, 2), (2, 2), (3, 2), (4, fourth)] {
            trace.offer_by(
                &format!("s.1.{n}"),
                "safe",
                "a1",
                (n, 0),
                stamp(plan, false),
            );
        }
        assert_eq!(
            trace.broken_rules(),
            want,
            "the fourth by configuration {fourth}"
        );
    }
}
