//! The whole path over loopback: client, placer, stand-in nodes, and back.

use std::time::Duration;

use reedring_client::drmaa::rpc::{Jobs, Range};
use reedring_client::drmaa::{Control, End, ErrorCode, JobState, JobTemplate};
use reedring_client::{Operator, Session};
use reedring_local_cluster::{Plan, Site};

fn template(command: &str, args: &[&str], native: &str) -> JobTemplate {
    let mut template = JobTemplate::new();
    template.set("drmaa_remote_command", command).unwrap();
    template
        .set_vector(
            "drmaa_v_argv",
            args.iter().map(|arg| (*arg).to_owned()).collect(),
        )
        .unwrap();
    template.set("drmaa_native_specification", native).unwrap();
    template
}

fn open(site: &Site) -> Session {
    Session::open(site.contact("placer-1").unwrap()).unwrap()
}

const SOON: Option<Duration> = Some(Duration::from_secs(20));

#[test]
fn a_job_runs_and_its_exit_status_comes_back() {
    let site = Site::start(Plan::local(2)).unwrap();
    let session = open(&site);
    let job = session.run_job(&template("/bin/exit", &["3"], "")).unwrap();
    let info = session.wait(Some(&job), SOON).unwrap();
    assert_eq!(info.end, End::Exited { status: 3 });
    assert_eq!(info.usage("reedring.outcome"), Some("placed"));
    assert_eq!(
        session.wait(Some(&job), SOON).unwrap_err().code,
        ErrorCode::InvalidJob
    );
    assert_eq!(
        session.job_ps(&job).unwrap_err().code,
        ErrorCode::InvalidJob
    );
}

#[test]
fn a_bulk_is_synchronized_and_each_job_waited_for() {
    let site = Site::start(Plan::local(4)).unwrap();
    let session = open(&site);
    let range = Range {
        first: 1,
        last: 400,
        step: 2,
    };
    let jobs = session
        .run_bulk_jobs(&template("true", &[], "service=s"), range)
        .unwrap();
    assert_eq!(jobs.len(), 200);
    session.synchronize(Jobs::All, SOON, false).unwrap();
    let mut seen: Vec<String> = (0..200)
        .map(|_| session.wait(None, SOON).unwrap().job)
        .collect();
    seen.sort();
    let mut want = jobs.clone();
    want.sort();
    assert_eq!(seen, want);
    assert_eq!(
        session.wait(None, SOON).unwrap_err().code,
        ErrorCode::InvalidJob
    );
}

#[test]
fn hold_release_suspend_resume_and_terminate() {
    let site = Site::start(Plan::local(1)).unwrap();
    let session = open(&site);
    let mut held = template("sleep", &["60"], "");
    held.set("drmaa_js_state", "drmaa_hold").unwrap();
    let job = session.run_job(&held).unwrap();
    let these = || Jobs::These(vec![job.clone()]);
    assert_eq!(session.job_ps(&job).unwrap(), JobState::UserOnHold);
    assert_eq!(
        session.control(these(), Control::Suspend).unwrap_err().code,
        ErrorCode::SuspendInconsistentState
    );
    session.control(these(), Control::Release).unwrap();
    let becomes = |state: JobState| {
        let began = std::time::Instant::now();
        while session.job_ps(&job).unwrap() != state {
            assert!(began.elapsed() < Duration::from_secs(20), "never {state:?}");
            std::thread::yield_now();
        }
    };
    becomes(JobState::Running);
    assert_eq!(
        session.control(these(), Control::Release).unwrap_err().code,
        ErrorCode::ReleaseInconsistentState
    );
    session.control(these(), Control::Suspend).unwrap();
    becomes(JobState::UserSuspended);
    assert_eq!(
        session
            .wait(Some(&job), Some(Duration::ZERO))
            .unwrap_err()
            .code,
        ErrorCode::ExitTimeout
    );
    session.control(these(), Control::Resume).unwrap();
    becomes(JobState::Running);
    session.control(these(), Control::Terminate).unwrap();
    let info = session.wait(Some(&job), SOON).unwrap();
    assert_eq!(
        info.end,
        End::Signaled {
            signal: "SIGKILL".into(),
            core_dump: false
        }
    );
}

#[test]
fn a_session_is_taken_up_again_by_its_contact() {
    let site = Site::start(Plan::local(1)).unwrap();
    let first = open(&site);
    let job = first.run_job(&template("exit", &["4"], "")).unwrap();
    let contact = first.contact();
    drop(first);
    let second = Session::open(&contact).unwrap();
    assert_eq!(
        second.wait(Some(&job), SOON).unwrap().end,
        End::Exited { status: 4 }
    );
    second.exit().unwrap();
}

#[test]
fn a_drained_node_gets_nothing_new() {
    let site = Site::start(Plan::local(2)).unwrap();
    let mut operator = Operator::connect(site.contact("placer-1").unwrap()).unwrap();
    operator.drain("node-1", true).unwrap();
    assert_eq!(
        operator.drain("node-9", true).unwrap_err().code,
        ErrorCode::InvalidArgument
    );
    let session = open(&site);
    let range = Range {
        first: 1,
        last: 20,
        step: 1,
    };
    session
        .run_bulk_jobs(&template("true", &[], ""), range)
        .unwrap();
    for _ in 0..20 {
        assert_eq!(
            session.wait(None, SOON).unwrap().usage("reedring.node"),
            Some("node-2")
        );
    }
}

#[test]
fn a_job_too_large_for_every_node_is_refused_in_time() {
    let mut plan = Plan::local(1);
    plan.settings = plan
        .settings
        .replacen("give_up = \"8s\"", "give_up = \"1s\"", 1);
    let site = Site::start(plan).unwrap();
    let session = open(&site);
    let job = session
        .run_job(&template("true", &[], "cores=500"))
        .unwrap();
    let info = session.wait(Some(&job), SOON).unwrap();
    assert_eq!(info.end, End::Aborted);
    assert_eq!(info.usage("reedring.outcome"), Some("refused"));
    assert!(
        info.usage("reedring.reason")
            .unwrap()
            .contains("no node may take it")
    );
}

#[test]
fn templates_are_refused_at_the_door_with_the_place() {
    let site = Site::start(Plan::local(1)).unwrap();
    let session = open(&site);
    let error = session
        .run_job(&template("true", &[], "clas=play"))
        .unwrap_err();
    assert_eq!(error.code, ErrorCode::InvalidAttributeValue);
    assert!(error.message.contains("did you mean `class`?"), "{error}");
    let error = session
        .run_job(&template("true", &[], "class=plai"))
        .unwrap_err();
    assert!(error.message.contains("did you mean `play`?"), "{error}");
    assert_eq!(
        session.run_job(&JobTemplate::new()).unwrap_err().code,
        ErrorCode::DeniedByDrm
    );
}
