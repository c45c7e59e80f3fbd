//! Hard cases over real sockets, each judged from its trace.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use reedring_audit::{Recorder, audit, read};
use reedring_client::drmaa::JobTemplate;
use reedring_client::drmaa::framing::{Reader, wrap};
use reedring_client::drmaa::rpc::{
    Answer, Call, CallKey, MAX_REQUEST, MAX_RESPONSE, Range, Request, Response,
};
use reedring_client::{Operator, Session};
use reedring_local_cluster::{Plan, Site};

/// A client that can be rude: it chooses its call numbers, and may leave without reading.
struct Raw {
    stream: TcpStream,
    reader: Reader,
}

impl Raw {
    fn connect(site: &Site) -> Self {
        let address = site
            .contact("placer-1")
            .unwrap()
            .strip_prefix("tcp:")
            .unwrap()
            .to_owned();
        let stream = TcpStream::connect(address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self {
            stream,
            reader: Reader::new(MAX_RESPONSE),
        }
    }

    fn send(&mut self, id: u64, call: Call) {
        let body = serde_json::to_vec(&Request::new(id, call)).unwrap();
        self.stream.write_all(&wrap(&body)).unwrap();
    }

    fn read(&mut self) -> Response {
        loop {
            if let Some(body) = self.reader.next_body().unwrap() {
                return serde_json::from_slice(&body).unwrap();
            }
            let mut buffer = [0; 4096];
            let count = self.stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the placer closed the connection");
            self.reader.push(&buffer[..count]);
        }
    }

    fn ask(&mut self, id: u64, call: Call) -> Answer {
        self.send(id, call);
        let response = self.read();
        assert_eq!(response.id, Some(id));
        response
            .result
            .unwrap_or_else(|| panic!("{:?}", response.error))
    }

    fn init(&mut self) -> u64 {
        match self.ask(
            0,
            Call::Init {
                session: "rude".into(),
            },
        ) {
            Answer::Session { life } => life,
            other => panic!("{other:?}"),
        }
    }
}

fn bulk(life: u64, call: u64, native: &str, count: u64) -> Call {
    let mut template = JobTemplate::new();
    template.set("drmaa_remote_command", "true").unwrap();
    template.set("drmaa_native_specification", native).unwrap();
    let job = Box::new(template.spec(&jiff::Zoned::now()).unwrap());
    let key = CallKey {
        session: "rude".into(),
        call,
        settled: 0,
        sent_to: life,
    };
    Call::RunBulkJobs {
        key,
        job,
        range: Range {
            first: 1,
            last: count,
            step: 1,
        },
    }
}

fn wait(life: u64, call: u64) -> Call {
    let key = CallKey {
        session: "rude".into(),
        call,
        settled: 0,
        sent_to: life,
    };
    Call::Wait {
        key,
        job: None,
        timeout_s: 20,
    }
}

fn traced() -> (Site, Arc<Recorder>) {
    let recorder = Arc::new(Recorder::in_memory());
    let mut plan = Plan::local(4);
    plan.recorder = Some(Arc::clone(&recorder));
    (Site::start(plan).unwrap(), recorder)
}

fn clean(site: Site, recorder: &Recorder) -> reedring_audit::Report {
    drop(site);
    let report = audit(&read(&recorder.finish().unwrap()).unwrap());
    assert_eq!(report.breaches, []);
    report
}

#[test]
fn a_bulk_submitted_again_after_a_cut_is_one_bulk() {
    let (site, recorder) = traced();
    let mut first = Raw::connect(&site);
    let life = first.init();
    first.send(1, bulk(life, 7, "class=edition cores=0.1 memory=0.1", 50));
    // It leaves without its answer, and asks again twice.
    drop(first);
    let mut again = Raw::connect(&site);
    again.init();
    let one = again.ask(1, bulk(life, 7, "class=edition cores=0.1 memory=0.1", 50));
    let two = again.ask(2, bulk(life, 7, "class=edition cores=0.1 memory=0.1", 50));
    assert_eq!(one, two);
    let ends: Vec<Answer> = (0..50)
        .map(|n| again.ask(10 + n, wait(life, 100 + n)))
        .collect();
    assert!(ends.iter().all(
        |end| matches!(end, Answer::Ended(info) if info.usage("reedring.outcome") == Some("placed"))
    ));
    // A wait whose answer was lost is answered again, and takes no second job.
    assert_eq!(again.ask(90, wait(life, 149)), ends[49]);
    let report = clean(site, &recorder);
    assert_eq!((report.taken, report.placed, report.offers), (50, 50, 50));
}

#[test]
fn a_new_submission_with_the_old_keys_runs_each_key_once() {
    let (site, recorder) = traced();
    let mut client = Raw::connect(&site);
    let life = client.init();
    let native = "class=capture key=crate-7 cores=0.1 memory=0.1";
    client.send(1, bulk(life, 7, native, 20));
    drop(client);
    let mut again = Raw::connect(&site);
    again.init();
    // Another call: to the placer these are other jobs, but nodes of a hall know their keys.
    again.ask(1, bulk(life, 8, native, 20));
    let mut ran = std::collections::BTreeMap::<String, u32>::new();
    for n in 0..40 {
        let Answer::Ended(info) = again.ask(10 + n, wait(life, 100 + n)) else {
            panic!("no end")
        };
        let index = info.job.rsplit('.').next().unwrap().to_owned();
        *ran.entry(index).or_default() +=
            u32::from(info.usage("reedring.outcome") == Some("placed"));
    }
    // Two halls: each lets one copy of a key stand.
    assert!(
        ran.len() == 20 && ran.values().all(|count| (1..=2).contains(count)),
        "{ran:?}"
    );
    clean(site, &recorder);
}

#[test]
fn connections_over_the_limit_are_refused_with_a_word() {
    let mut plan = Plan::local(1);
    plan.settings += "\n[limits]\nconnections = 20\n";
    let site = Site::start(plan).unwrap();
    let idle: Vec<Raw> = (0..20).map(|_| Raw::connect(&site)).collect();
    let mut refused = Raw::connect(&site);
    let response = refused.read();
    assert_eq!(response.error.unwrap().code, 1016);
    assert_eq!(refused.stream.read(&mut [0; 16]).unwrap(), 0);
    drop(idle);
    // Their places come free.
    let mut tries = 0;
    while Operator::connect(site.contact("placer-1").unwrap())
        .unwrap()
        .nodes()
        .is_err()
    {
        tries += 1;
        assert!(tries < 1_000, "no place comes free");
        std::thread::yield_now();
    }
}

#[test]
fn a_client_that_never_reads_holds_nobody_up() {
    let site = Site::start(Plan::local(2)).unwrap();
    let mut mute = Raw::connect(&site);
    mute.stream
        .set_write_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let body = wrap(&serde_json::to_vec(&Request::new(1, Call::ListNodes {})).unwrap());
    let mut sent = 0;
    while sent < 100_000 && mute.stream.write_all(&body).is_ok() {
        sent += 1;
    }
    assert!(sent < 100_000, "the placer reads on and on");
    let session = Session::open(site.contact("placer-1").unwrap()).unwrap();
    let mut template = JobTemplate::new();
    template.set("drmaa_remote_command", "true").unwrap();
    let job = session.run_job(&template).unwrap();
    session
        .wait(Some(&job), Some(Duration::from_secs(20)))
        .unwrap();
}

#[test]
fn frames_over_their_limit_and_noise_are_answered_and_closed() {
    let site = Site::start(Plan::local(1)).unwrap();
    let cases: [&[u8]; 4] = [
        format!("Content-Length: {}\r\n\r\n", MAX_REQUEST + 1).as_bytes(),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
        &[b'x'; 64 * 1024],
    ]
    .map(|bytes| bytes.to_vec().leak() as &[u8]);
    for bytes in cases {
        let mut client = Raw::connect(&site);
        let _ = client.stream.write_all(bytes);
        let response = client.read();
        assert_eq!((response.id, response.error.unwrap().code), (None, -32600));
    }
    let mut client = Raw::connect(&site);
    client
        .stream
        .write_all(&wrap(
            b"{\"jsonrpc\":\"2.0\",\"id\":4,\"method\":\"drmaa_fly\",\"params\":{}}",
        ))
        .unwrap();
    assert_eq!(client.read().error.unwrap().code, -32601);
    // The connection goes on after a call that is none.
    client.init();
}
