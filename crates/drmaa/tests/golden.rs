//! Messages that commit 073fcce wrote: a request for each call, a response for each answer and each error code. They are
//! read as the same values and written again as the same bytes. The files are never written anew: client libraries in
//! the field exchange them.
//!
//! `golden/requests.jsonl` and `golden/responses.jsonl` hold one message a line. `golden/requests.framed` holds the same
//! requests as they cross a connection, each in its frame.

use reedring_drmaa::framing::{self, Reader};
use reedring_drmaa::rpc::*;
use reedring_drmaa::{Control, End, Error, ErrorCode, JobInfo, JobSpec, JobState};

const REQUESTS: &str = include_str!("golden/requests.jsonl");
const RESPONSES: &str = include_str!("golden/responses.jsonl");
const FRAMED: &[u8] = include_bytes!("golden/requests.framed");

fn key(call: u64) -> CallKey {
    CallKey {
        session: "sitzung_1-a".into(),
        call,
        settled: call - 1,
        sent_to: u64::MAX,
    }
}

/// A job with each of its members set.
fn full_job() -> JobSpec {
    JobSpec {
        command: "/bin/küche".into(),
        args: vec!["-x".into(), "a \"b\"\n".into()],
        env: vec!["A=1".into(), "B=".into()],
        email: vec!["a@example.org".into()],
        block_email: true,
        hold: true,
        directory: "$drmaa_hd_ph$/a".into(),
        category: "night".into(),
        native: "cores=2 memory=0.5".into(),
        name: "job".into(),
        input: ":/in.$drmaa_incr_ph$".into(),
        output: "host:/out".into(),
        error: ":/err".into(),
        join_files: true,
        transfer: "eio".into(),
        start: Some(1_768_478_400),
        deadline: Some(1_768_564_800),
        wall_hard: Some(3_600),
        wall_soft: Some(1_800),
        run_hard: Some(600),
        run_soft: Some(300),
    }
}

fn calls() -> Vec<Call> {
    let session = || "sitzung_1-a".to_owned();
    let job = || "j.17".to_owned();
    let these = || Jobs::These(vec!["j.17".into(), "j.18".into()]);
    let mut calls = vec![
        Call::Init { session: session() },
        Call::Exit { key: key(1) },
        Call::RunJob {
            key: key(2),
            job: Box::default(),
        },
        Call::RunJob {
            key: key(3),
            job: Box::new(full_job()),
        },
        Call::RunBulkJobs {
            key: key(4),
            job: Box::new(full_job()),
            range: Range {
                first: 1,
                last: 1_000_000,
                step: 3,
            },
        },
        Call::Synchronize {
            key: key(5),
            jobs: Jobs::All,
            timeout_s: -1,
            dispose: false,
        },
        Call::Synchronize {
            key: key(6),
            jobs: these(),
            timeout_s: 0,
            dispose: true,
        },
        Call::Wait {
            key: key(7),
            job: Some(job()),
            timeout_s: 60,
        },
        Call::Wait {
            key: key(8),
            job: None,
            timeout_s: -1,
        },
        Call::JobPs {
            session: session(),
            job: job(),
        },
        Call::Version {},
        Call::DrmSystem {},
        Call::ListJobs {
            after: None,
            limit: 100,
        },
        Call::ListJobs {
            after: Some(17),
            limit: 1,
        },
        Call::ShowJob { job: job() },
        Call::ListNodes {},
        Call::Drain {
            node: "node-1".into(),
            drain: true,
        },
        Call::Drain {
            node: "knoten-ü".into(),
            drain: false,
        },
        Call::Explain {
            text: "not (rack == \"r1\")".into(),
        },
        Call::Stats {},
    ];
    let actions = [
        Control::Suspend,
        Control::Resume,
        Control::Hold,
        Control::Release,
        Control::Terminate,
    ];
    for (call, action) in (10..).zip(actions) {
        calls.push(Call::Control {
            key: key(call),
            jobs: these(),
            action,
        });
    }
    calls.push(Call::Control {
        key: key(15),
        jobs: Jobs::All,
        action: Control::Terminate,
    });
    calls
}

fn requests() -> Vec<Request> {
    (1..)
        .zip(calls())
        .map(|(id, call)| Request::new(id, call))
        .collect()
}

fn job_line(outcome: Option<&str>) -> JobLine {
    JobLine {
        job: "j.17".into(),
        state: JobState::Running,
        outcome: outcome.map(str::to_owned),
        class: "küche".into(),
        tenant: "tenant".into(),
        service: "".into(),
        node: outcome.map(|_| "node-1".to_owned()),
        age_ms: 12_345,
    }
}

fn job_detail(constraint: bool) -> JobDetail {
    let attempt = |node: &str, sent_ms, fate: &str| AttemptLine {
        node: node.into(),
        sent_ms,
        fate: fate.into(),
    };
    JobDetail {
        line: job_line(Some("placed")),
        session: "sitzung_1-a".into(),
        cores: 1.5,
        memory: 0.015_625,
        reason: constraint.then(|| "no cores".to_owned()),
        attempts: vec![
            attempt("node-1", 3, "refused: no cores"),
            attempt("node-2", 9, "runs"),
        ],
        constraint: constraint.then(|| "rack != \"r1\"".to_owned()),
        stands: if constraint {
            vec!["holds on 3 of 4 nodes".into()]
        } else {
            Vec::new()
        },
    }
}

fn node_line(plan: Option<&str>) -> NodeLine {
    NodeLine {
        plan: plan.map(str::to_owned),
        node: "node-1".into(),
        address: "127.0.0.1:7001".into(),
        kind: "big".into(),
        rack: "r1".into(),
        hall: "h1".into(),
        listed: "ready".into(),
        drained: false,
        linked: true,
        waiting: 2,
        held: 3,
        cores: 4.5,
        memory: 0.5,
        refusals: vec![("no cores".into(), 7), ("crowded".into(), 1)],
    }
}

fn stats() -> Stats {
    Stats {
        submitted: 1,
        placed: 2,
        refused: 3,
        failed: 4,
        terminated: 5,
        offers: 6,
        live: 7,
        jobs: 8,
        module_us: 9,
        module_steps: 10,
        late_stopped: 11,
        adopted: u64::MAX,
    }
}

fn answers() -> Vec<Answer> {
    let submitted = |warning: Option<&str>| Submitted {
        jobs: vec!["j.17".into(), "j.18".into()],
        warning: warning.map(str::to_owned),
    };
    let usage = || {
        vec![
            ("reedring.outcome".to_owned(), "placed".to_owned()),
            ("cpu".to_owned(), "1.5".to_owned()),
        ]
    };
    let ended = |end| {
        Answer::Ended(JobInfo {
            job: "j.17".into(),
            end,
            usage: usage(),
        })
    };
    let signaled = |core_dump| End::Signaled {
        signal: "SIGKILL".into(),
        core_dump,
    };
    let mut answers = vec![
        Answer::Done,
        Answer::Session { life: u64::MAX },
        Answer::Submitted(submitted(None)),
        Answer::Submitted(submitted(Some("jobs are lost with this placer"))),
        ended(End::Exited { status: 3 }),
        ended(signaled(false)),
        ended(signaled(true)),
        ended(End::Aborted),
        Answer::Version(1, 0),
        Answer::Text("reedring 0.2.0".into()),
        Answer::Jobs(JobsPage {
            jobs: Vec::new(),
            next: None,
        }),
        Answer::Jobs(JobsPage {
            jobs: vec![job_line(None), job_line(Some("failed"))],
            next: Some(18),
        }),
        Answer::Job(Box::new(job_detail(false))),
        Answer::Job(Box::new(job_detail(true))),
        Answer::Nodes(Vec::new()),
        Answer::Nodes(vec![
            node_line(None),
            node_line(Some("3/0badcafe, 1 behind")),
        ]),
        Answer::Stats(Box::new(stats())),
    ];
    let states = [
        JobState::Undetermined,
        JobState::QueuedActive,
        JobState::SystemOnHold,
        JobState::UserOnHold,
        JobState::UserSystemOnHold,
        JobState::Running,
        JobState::SystemSuspended,
        JobState::UserSuspended,
        JobState::UserSystemSuspended,
        JobState::Done,
        JobState::Failed,
    ];
    answers.extend(states.map(Answer::State));
    answers
}

fn responses() -> Vec<Response> {
    let mut responses: Vec<Response> = (1..)
        .zip(answers())
        .map(|(id, answer)| Response::new(id, Ok(answer)))
        .collect();
    let errors = ErrorCode::ALL.map(|code| Err(Error::new(code, "drmaa_wd: `ü` is wrong")));
    responses.extend(
        (101..)
            .zip(errors)
            .map(|(id, error)| Response::new(id, error)),
    );
    responses.push(Response::fault(None, PARSE_ERROR, "no JSON"));
    responses.push(Response::fault(Some(201), INVALID_REQUEST, "no call"));
    responses.push(Response::fault(Some(202), METHOD_NOT_FOUND, "no such call"));
    responses
}

#[test]
fn golden_requests_are_read_as_equal_calls_and_written_as_equal_bytes() {
    let requests = requests();
    assert_eq!(REQUESTS.lines().count(), requests.len());
    for (line, request) in REQUESTS.lines().zip(requests) {
        let read =
            read_request(line.as_bytes()).unwrap_or_else(|response| panic!("{line}: {response:?}"));
        assert!(
            read.id == request.id && read.call == request.call,
            "{line} is read as another call"
        );
        assert_eq!(serde_json::to_string(&request).unwrap(), line);
        assert_eq!(serde_json::to_string(&read).unwrap(), line);
    }
}

#[test]
fn golden_responses_are_read_as_equal_answers_and_written_as_equal_bytes() {
    let responses = responses();
    assert_eq!(RESPONSES.lines().count(), responses.len());
    for (line, response) in RESPONSES.lines().zip(responses) {
        let read: Response =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"));
        assert!(read.id == response.id, "{line} is read with another id");
        assert!(
            read.result == response.result,
            "{line} is read as another answer"
        );
        assert!(
            read.error == response.error,
            "{line} is read as another error"
        );
        assert_eq!(serde_json::to_string(&response).unwrap(), line);
        assert_eq!(serde_json::to_string(&read).unwrap(), line);
    }
}

#[test]
fn golden_errors_are_read_as_their_codes() {
    let faults = RESPONSES
        .lines()
        .filter_map(|line| serde_json::from_str::<Response>(line).unwrap().error);
    let codes: Vec<ErrorCode> = faults.map(|fault| Error::from(fault).code).collect();
    assert_eq!(codes[..25], ErrorCode::ALL);
    assert_eq!(
        codes[25..],
        [ErrorCode::InternalError; 3],
        "errors of JSON-RPC are none of DRMAA's"
    );
}

#[test]
fn golden_frames_are_cut_into_the_requests_and_wrapped_as_equal_bytes() {
    let mut reader = Reader::new(MAX_REQUEST);
    reader.push(FRAMED);
    let mut written = Vec::new();
    for line in REQUESTS.lines() {
        let body = reader.next_body().unwrap().expect("a body");
        assert_eq!(body, line.as_bytes());
        written.extend(framing::wrap(&body));
    }
    assert_eq!(reader.next_body(), Ok(None), "nothing follows");
    assert!(written == FRAMED, "wrapped as other bytes");
}

/// Members that an older client leaves out have the values that they had before they were there.
#[test]
fn members_that_may_be_left_out_are_read_as_before() {
    let call = |text: &str| read_request(text.as_bytes()).unwrap().call;
    let exit = r#"{"jsonrpc":"2.0","id":1,"method":"drmaa_exit","params":{"key":{"session":"s","call":2,"sent_to":3}}}"#;
    let key = CallKey {
        session: "s".into(),
        call: 2,
        settled: 0,
        sent_to: 3,
    };
    assert!(call(exit) == Call::Exit { key });
    let list = r#"{"jsonrpc":"2.0","id":1,"method":"reedring_jobs","params":{"limit":5}}"#;
    assert!(
        call(list)
            == Call::ListJobs {
                after: None,
                limit: 5
            }
    );
    let submitted: Submitted = serde_json::from_str(r#"{"jobs":["j.1"]}"#).unwrap();
    assert!(
        submitted
            == Submitted {
                jobs: vec!["j.1".into()],
                warning: None
            }
    );
    assert!(serde_json::from_str::<JobSpec>("{}").unwrap() == JobSpec::default());
    assert!(
        serde_json::from_str::<JobSpec>(r#"{"comand":"x"}"#).is_err(),
        "members are not guessed"
    );
}
