//! Constraints over the whole path: from the DRMAA client through the placer to stand-in nodes.

use std::sync::Arc;
use std::time::Duration;

use reedring_audit::{Recorder, audit, read};
use reedring_client::drmaa::rpc::Range;
use reedring_client::drmaa::{End, JobInfo, JobTemplate};
use reedring_client::{Operator, Session};
use reedring_local_cluster::badday::{DEFAULT, Script};
use reedring_local_cluster::{Plan, Site};

const SOON: Option<Duration> = Some(Duration::from_secs(20));

fn traced(nodes: usize) -> (Site, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::in_memory());
    let mut plan = Plan::local(nodes);
    plan.recorder = Some(Arc::clone(&recorder));
    plan.settings = plan
        .settings
        .replace("give_up = \"8s\"", "give_up = \"2s\"");
    (Site::start(plan).unwrap(), recorder)
}

fn clean(site: Site, recorder: &Recorder) {
    drop(site);
    assert_eq!(
        audit(&read(&recorder.finish().unwrap()).unwrap()).breaches,
        []
    );
}

fn template(command: &str, native: &str) -> JobTemplate {
    let mut template = JobTemplate::new();
    template.set("drmaa_remote_command", command).unwrap();
    template.set("drmaa_native_specification", native).unwrap();
    template
}

fn bulk(session: &Session, native: &str, count: u64) -> Vec<JobInfo> {
    let range = Range {
        first: 1,
        last: count,
        step: 1,
    };
    session
        .run_bulk_jobs(&template("work", native), range)
        .unwrap();
    (0..count)
        .map(|_| session.wait(None, SOON).unwrap())
        .collect()
}

fn nodes(infos: &[JobInfo]) -> Vec<&str> {
    infos
        .iter()
        .filter(|info| matches!(info.end, End::Exited { .. }))
        .filter_map(|i| i.usage("reedring.node"))
        .collect()
}

#[test]
fn copies_that_must_stand_apart_do_and_the_rest_is_refused_with_the_clause() {
    let (site, recorder) = traced(4);
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let infos = bulk(
        &session,
        "life=4s service=s constraint='require apart from copies by machine'",
        6,
    );
    let mut placed = nodes(&infos);
    placed.sort_unstable();
    assert_eq!(placed, ["node-1", "node-2", "node-3", "node-4"]);
    let refused: Vec<&str> = infos
        .iter()
        .filter_map(|info| info.usage("reedring.reason"))
        .collect();
    assert_eq!(refused.len(), 2);
    assert!(
        refused
            .iter()
            .all(|reason| reason.contains("`require apart from copies by machine` removes 4 of 4"))
    );
    clean(site, &recorder);
}

#[test]
fn what_no_node_can_ever_satisfy_is_refused_at_once() {
    let (site, recorder) = traced(2);
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let began = std::time::Instant::now();
    let infos = bulk(&session, "constraint='require hall = nowhere'", 1);
    assert!(began.elapsed() < Duration::from_secs(1));
    let reason = infos[0].usage("reedring.reason").unwrap();
    assert!(
        reason.contains("can ever satisfy") && reason.contains("removes 2 of 2, the last of them"),
        "{reason}"
    );
    assert_eq!(infos[0].usage("reedring.attempts"), Some("0"));
    clean(site, &recorder);
}

#[test]
fn mistakes_are_shown_at_the_door() {
    let (site, recorder) = traced(1);
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let error = session
        .run_job(&template("x", "constraint='require hal = a'"))
        .unwrap_err()
        .message;
    assert!(
        error.contains("^^^") && error.contains("did you mean `hall`?"),
        "{error}"
    );
    let error = session
        .run_job(&template("x", "constraint='require hall = a and hall = b'"))
        .unwrap_err()
        .message;
    assert!(error.contains("can't both hold"), "{error}");
    let error = session
        .run_job(&template("x", "constraint='require kind = stand-im'"))
        .unwrap_err()
        .message;
    assert!(error.contains("did you mean `stand-in`?"), "{error}");
    clean(site, &recorder);
}

#[test]
fn a_spread_that_a_dark_hall_breaks_is_told_once_and_mended_once() {
    let (mut site, recorder) = traced(4);
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let long = "life=60s service=s constraint='require spread by hall at least 2'";
    let jobs = session
        .run_bulk_jobs(
            &template("work", long),
            Range {
                first: 1,
                last: 2,
                step: 1,
            },
        )
        .unwrap();
    let mut operator = Operator::connect(site.contact("placer-1").unwrap()).unwrap();
    let mut until =
        |what: &str, done: &mut dyn FnMut(Vec<reedring_client::drmaa::rpc::JobDetail>) -> bool| {
            let began = std::time::Instant::now();
            loop {
                let details = jobs.iter().map(|job| operator.job(job).unwrap()).collect();
                if done(details) {
                    return;
                }
                assert!(began.elapsed() < Duration::from_secs(20), "never {what}");
                std::thread::sleep(Duration::from_millis(10));
            }
        };
    let broken = |detail: &reedring_client::drmaa::rpc::JobDetail| {
        detail
            .stands
            .iter()
            .any(|line| line.contains("does not hold"))
    };
    let mut at = Vec::new();
    until("placed", &mut |details| {
        at = details
            .iter()
            .filter_map(|detail| detail.line.node.clone())
            .collect();
        details
            .iter()
            .all(|detail| detail.line.outcome.as_deref() == Some("placed"))
    });
    assert_ne!(
        site.hall("hall-a").contains(&at[0]),
        site.hall("hall-a").contains(&at[1]),
        "{at:?}"
    );
    // The second job's hall goes dark by the list; its nodes die.
    let hall = if site.hall("hall-a").contains(&at[1]) {
        "hall-a"
    } else {
        "hall-b"
    };
    for node in site.hall(hall) {
        site.list_node(&node, Some("gone")).unwrap();
    }
    until("broken", &mut |details| broken(&details[0]));
    for node in site.hall(hall) {
        site.list_node(&node, Some("ready")).unwrap();
    }
    until("mended", &mut |details| {
        !broken(&details[0]) && !broken(&details[1])
    });
    clean(site, &recorder);
}

#[test]
fn the_bad_day_keeps_its_constraints() {
    let extra = r#"
[[demand]]
class = "play"
tenants = ["radio"]
rate = 8.0
life = "700ms"
cores = 0.25
memory = 0.25
services = 3
constraint = "require apart from copies by machine; prefer hall = hall-a"
labels = "tier:front"

[[demand]]
class = "play"
tenants = ["archive"]
rate = 8.0
life = "500ms"
cores = 0.25
memory = 0.25
services = 2
constraint = "require spread by hall within 2 and name != node-1"
"#
    .replace(
        " and name != node-1",
        "; require name != node-1; require apart from label tier = front by machine",
    );
    // Without state this day is as heavy as a small machine can play in a debug build.
    let day = DEFAULT.replace("[state]\nfolder = \"state\"\nlearn_every = \"1s\"\n", "");
    assert_ne!(day, DEFAULT);
    let script = Script::parse(&(day + &extra), "constraints").unwrap();
    let day = script.play(Some(7), None).unwrap();
    assert_eq!(day.report.breaches, [], "{:?}", day.tally);
    assert_eq!(day.tally.unfinished, 0, "{:?}", day.tally);
    assert_eq!(
        day.tally
            .denied
            .keys()
            .filter(|code| *code != "TryLater")
            .count(),
        0,
        "{:?}",
        day.tally
    );
}

#[test]
fn what_only_one_cold_node_can_take_waits_for_its_budget() {
    let recorder = Arc::new(Recorder::in_memory());
    let mut plan = Plan::local(3);
    plan.recorder = Some(Arc::clone(&recorder));
    let cold =
        "drain_grace = \"500ms\"\nwarm_after = \"1m\"\ncold_window = \"300ms\"\ncold_offers = 2.0";
    plan.settings = plan.settings.replace("drain_grace = \"500ms\"", cold);
    let site = Site::start(plan).unwrap();
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let infos = bulk(&session, "life=10ms constraint='require name = node-2'", 6);
    assert_eq!(nodes(&infos), ["node-2"; 6]);
    clean(site, &recorder);
}
