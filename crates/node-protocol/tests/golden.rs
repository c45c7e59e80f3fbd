//! Frames that commit 073fcce wrote: each kind of message in each protocol version in which it has a form of its own.
//!
//! A line of `golden/frames.txt` is a case's name, the versions in whose header the body has this meaning, and the frame
//! in hexadecimal digits. The file is never written anew: nodes and placers in the field exchange these bytes.

use std::collections::BTreeMap;

use reedring_node_protocol::*;

const FRAMES: &str = include_str!("golden/frames.txt");

/// One line of the file.
struct Golden {
    /// Versions of the header in which the same body has the same meaning.
    versions: Vec<u8>,
    frame: Vec<u8>,
}

fn bytes(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an odd count of digits");
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn golden_frames() -> BTreeMap<String, Golden> {
    let mut frames = BTreeMap::new();
    for line in FRAMES.lines() {
        let [name, versions, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let versions = versions.bytes().map(|digit| digit - b'0').collect();
        let golden = Golden {
            versions,
            frame: bytes(hex),
        };
        assert!(
            frames.insert(name.to_owned(), golden).is_none(),
            "{name} stands twice"
        );
    }
    frames
}

/// The frame of this header and body.
fn frame(version: u8, kind: u8, flags: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([version, kind, flags, 0]);
    frame.extend(body);
    let sum = crc32c::crc32c(&frame).to_be_bytes();
    frame.extend(sum);
    frame
}

fn attempt(request: u64) -> AttemptId {
    AttemptId {
        incarnation: 0x0102_0304_0506_0708,
        request,
        number: 0x0a0b,
    }
}

fn task(repeat: Idempotency, group: DeduplicationScope) -> Task {
    Task {
        session: "sitzung-1".into(),
        job: "j.17".into(),
        class: "küche".into(),
        tenant: "tenant".into(),
        service: "".into(),
        idempotency: repeat,
        deduplication_scope: group,
        deduplication_window_ms: 60_000,
        idempotency_key: 0xfeed_face_cafe_beef,
        cores: 1.5,
        memory: 0.015_625,
        expected_duration_ms: 86_400_000,
        payload: b"{\"command\":\"sleep\",\"args\":[\"1\"]}".to_vec(),
    }
}

fn version(number: u64) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest(std::array::from_fn(|n| number as u8 * 16 + n as u8)),
    }
}

fn ballot() -> Ballot {
    Ballot {
        round: 3,
        proposer: 0x0102_0304_0506_0708,
    }
}

fn stamp(joint: bool) -> VersionStamp {
    VersionStamp {
        version: version(7),
        joint,
        list_revision: 41,
        build: 0xdead_beef,
    }
}

fn record() -> AcceptorReport {
    AcceptorReport {
        committed: version(6),
        accepted: None,
        promised: ballot(),
        list_revision: 41,
        floor_age_ms: 12_345,
        connected_placers: 3,
        lagging_placers: 1,
        cannot_persist: false,
        is_learner: false,
        reads_deltas: false,
    }
}

fn introduced(joint: bool) -> AcceptorReport {
    let next = AcceptedVersion {
        ballot: ballot(),
        version: version(7),
        joint,
    };
    AcceptorReport {
        accepted: Some(next),
        cannot_persist: joint,
        reads_deltas: true,
        ..record()
    }
}

fn learner() -> AcceptorReport {
    AcceptorReport {
        committed: ConfigVersion::default(),
        cannot_persist: true,
        is_learner: true,
        reads_deltas: true,
        ..introduced(true)
    }
}

fn text() -> String {
    "[site]\nplacers = 3\n\n[[tenant]]\nname = \"ä\"\nshare = 0.5\n".to_owned()
}

/// An edit of each kind for each kind of section.
fn delta() -> Delta {
    let named = |table| SectionKey::Named {
        table,
        name: "\"ä\"".to_owned(),
    };
    let put = |key, at| Edit::Put {
        key,
        at,
        text: "name = \"ä\"\nshare = 0.5".to_owned(),
    };
    let mut edits = vec![
        put(SectionKey::Site, 0),
        Edit::Remove {
            key: SectionKey::Site,
        },
    ];
    for (n, table) in Table::ALL.into_iter().enumerate() {
        edits.push(put(named(table), n as u16 + 0x0100));
        edits.push(Edit::Remove { key: named(table) });
    }
    Delta {
        base: version(6),
        target: version(7),
        edits,
    }
}

fn ends() -> [(&'static str, TaskEnd); 8] {
    [
        ("exited", TaskEnd::Exited(3)),
        ("signaled", TaskEnd::Signaled(9)),
        ("evicted", TaskEnd::Evicted),
        ("pushed-out", TaskEnd::Preempted),
        ("sent-away", TaskEnd::Drained),
        ("stopped", TaskEnd::Stopped),
        ("error", TaskEnd::Error("kein Platz: größer".to_owned())),
        ("unknown", TaskEnd::Unknown),
    ]
}

fn held(request: u64, state: InFlightState) -> InFlightTask {
    InFlightTask {
        attempt: attempt(request),
        task: task(Idempotency::IdempotentByKey, DeduplicationScope::Zone),
        state,
    }
}

/// Links and handshakes.
fn link_messages() -> Vec<(String, Message)> {
    let hello = |acts| Message::Hello {
        placer: "placer-1".into(),
        incarnation: 77,
        link: 5,
        version_info: acts,
    };
    let welcome = |can_suspend, record| Message::Welcome {
        node: "knoten-ü".into(),
        incarnation: 78,
        up_ms: 9_000,
        can_suspend,
        acceptor_report: record,
    };
    let record_with =
        |name: &str, record| (format!("record-{name}"), Message::AcceptorReport(record));
    vec![
        ("hello".into(), hello(None)),
        (
            "hello-stamped".into(),
            hello(Some(VersionInfo {
                stamp: stamp(false),
                build: "0.2.0".to_owned(),
            })),
        ),
        (
            "hello-stamped-joint".into(),
            hello(Some(VersionInfo {
                stamp: stamp(true),
                build: "".to_owned(),
            })),
        ),
        ("welcome".into(), welcome(true, None)),
        ("welcome-record".into(), welcome(false, Some(record()))),
        (
            "welcome-record-introduced".into(),
            welcome(true, Some(introduced(false))),
        ),
        (
            "welcome-record-learner".into(),
            welcome(true, Some(learner())),
        ),
        record_with("plain", record()),
        record_with("empty", AcceptorReport::default()),
        record_with("introduced", introduced(false)),
        record_with("joint", introduced(true)),
        record_with("learner", learner()),
        record_with(
            "learner-former",
            AcceptorReport {
                reads_deltas: false,
                ..learner()
            },
        ),
    ]
}

/// What placers send of tasks.
fn task_messages() -> Vec<(String, Message)> {
    let mut all = Vec::new();
    for (repeat_name, repeat) in [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::IdempotentByKey),
        ("unsafe", Idempotency::NonIdempotent),
    ] {
        for (group_name, group) in [
            ("all", DeduplicationScope::All),
            ("hall", DeduplicationScope::Zone),
            ("rack", DeduplicationScope::Rack),
        ] {
            let task = Box::new(task(repeat, group));
            let offer = Message::Offer {
                attempt: attempt(1),
                task,
                within_ms: 250,
                stamp: None,
            };
            all.push((format!("offer-{repeat_name}-{group_name}"), offer));
        }
    }
    let stamped = |joint| Message::Offer {
        attempt: attempt(2),
        task: Box::default(),
        within_ms: 0,
        stamp: Some(stamp(joint)),
    };
    all.push(("offer-stamped".into(), stamped(false)));
    all.push(("offer-stamped-joint".into(), stamped(true)));
    all.push((
        "stop".into(),
        Message::Stop {
            attempt: attempt(3),
        },
    ));
    all.push((
        "probe".into(),
        Message::Probe {
            nonce: 0x1122_3344_5566_7788,
        },
    ));
    all.push((
        "suspend".into(),
        Message::Suspend {
            attempt: attempt(4),
        },
    ));
    all.push((
        "resume".into(),
        Message::Resume {
            attempt: attempt(5),
        },
    ));
    all.push((
        "ack".into(),
        Message::Ack {
            attempt: attempt(6),
        },
    ));
    all
}

/// What nodes send of tasks.
fn node_messages() -> Vec<(String, Message)> {
    let mut all = Vec::new();
    let states = [
        InFlightState::Queued,
        InFlightState::Accepted,
        InFlightState::Running,
        InFlightState::Suspended,
    ];
    let mut tasks: Vec<InFlightTask> = (10..)
        .zip(states)
        .map(|(request, state)| held(request, state))
        .collect();
    for (request, (_, end)) in (20..).zip(ends()) {
        let ran = request % 2 == 0;
        tasks.push(held(request, InFlightState::Ended { end, ran }));
    }
    all.push((
        "holds-none".into(),
        Message::InFlight {
            tasks: Vec::new(),
            last: true,
        },
    ));
    all.push((
        "holds-each-state".into(),
        Message::InFlight { tasks, last: false },
    ));
    all.push((
        "accepted".into(),
        Message::Accepted {
            attempt: attempt(30),
            report: vec![0.25, -1.0],
        },
    ));
    let reasons = [
        ("untold", RejectionReason::Unspecified),
        ("no-cores", RejectionReason::NoCores),
        ("no-memory", RejectionReason::NoMemory),
        ("crowded", RejectionReason::QueueFull),
        ("draining", RejectionReason::Draining),
        ("copy-stands", RejectionReason::DuplicateActive),
        ("too-late", RejectionReason::DeadlineExceeded),
        ("not-here", RejectionReason::Unsupported),
        ("superseded", RejectionReason::Superseded),
    ];
    for (name, reason) in reasons {
        let refused = Message::Rejected {
            attempt: attempt(31),
            reason,
            text: "weil’s so ist".into(),
            report: vec![],
        };
        all.push((format!("refused-{name}"), refused));
    }
    let topics = [
        ("runs", TaskSignalKind::Running),
        ("cores", TaskSignalKind::CoresUsed),
        ("memory", TaskSignalKind::MemoryUsed),
        ("served", TaskSignalKind::ServiceFraction),
        ("pressure", TaskSignalKind::MemoryPressure),
        ("suspended", TaskSignalKind::Suspended),
        ("resumed", TaskSignalKind::Resumed),
    ];
    for (name, topic) in topics {
        all.push((
            format!("note-{name}"),
            Message::TaskSignal {
                attempt: attempt(32),
                kind: topic,
                amount: 0.75,
            },
        ));
    }
    for (ran, (name, end)) in [true, false].into_iter().cycle().zip(ends()) {
        let report = (0..MAX_REPORT).map(|n| n as f64 / 8.0).collect();
        all.push((
            format!("ended-{name}"),
            Message::Ended {
                attempt: attempt(33),
                end,
                ran,
                report,
            },
        ));
    }
    all.push((
        "report".into(),
        Message::Report {
            nonce: 0x1122_3344_5566_7788,
            report: vec![1e9],
        },
    ));
    all
}

/// Agreement on plans.
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn plan_messages() -> Vec<(String, Message)> {
    let (follows, wanted, list) = (version(6), version(7), 41);
    let ask = |joint| ConfigRequest::Query {
        stamp: stamp(joint),
    };
    let by_delta = |step| ConfigRequest::ByDelta {
        step,
        delta: delta(),
        list,
    };
    let empty = Delta {
        base: follows,
        target: wanted,
        edits: Vec::new(),
    };
    let orders = [
        ("ask", ask(false)),
        ("ask-joint", ask(true)),
        (
            "fetch",
            ConfigRequest::Fetch {
                version: wanted,
                have: None,
            },
        ),
        (
            "fetch-delta",
            ConfigRequest::Fetch {
                version: wanted,
                have: Some(follows),
            },
        ),
        (
            "prepare",
            ConfigRequest::Prepare {
                follows,
                ballot: ballot(),
                list,
            },
        ),
        (
            "accept",
            ConfigRequest::Accept {
                follows,
                ballot: ballot(),
                version: wanted,
                text: text(),
                list,
            },
        ),
        (
            "joint",
            ConfigRequest::EnterJoint {
                follows,
                version: wanted,
                text: text(),
                list,
            },
        ),
        (
            "joint-without-text",
            ConfigRequest::EnterJoint {
                follows,
                version: wanted,
                text: String::new(),
                list,
            },
        ),
        (
            "force",
            ConfigRequest::Commit {
                version: wanted,
                text: text(),
                list,
            },
        ),
        (
            "force-without-text",
            ConfigRequest::Commit {
                version: wanted,
                text: String::new(),
                list,
            },
        ),
        (
            "raise",
            ConfigRequest::RaiseFloor {
                stamp: stamp(false),
            },
        ),
        (
            "by-delta-accept",
            by_delta(DeltaStep::Accept { ballot: ballot() }),
        ),
        ("by-delta-joint", by_delta(DeltaStep::EnterJoint)),
        ("by-delta-force", by_delta(DeltaStep::Commit)),
        (
            "by-delta-empty",
            ConfigRequest::ByDelta {
                step: DeltaStep::EnterJoint,
                delta: empty,
                list,
            },
        ),
    ];
    let mut all: Vec<(String, Message)> = orders
        .into_iter()
        .map(|(name, order)| (format!("plan-{name}"), Message::ConfigRequest(order)))
        .collect();
    all.push((
        "plan-text".into(),
        Message::ConfigText {
            version: wanted,
            text: text(),
        },
    ));
    all.push((
        "plan-text-none".into(),
        Message::ConfigText {
            version: wanted,
            text: String::new(),
        },
    ));
    all.push(("plan-delta".into(), Message::ConfigDelta(delta())));
    all
}

fn all_messages() -> Vec<(String, Message)> {
    [
        link_messages(),
        task_messages(),
        node_messages(),
        plan_messages(),
    ]
    .concat()
}

#[test]
fn golden_frames_decode_to_the_same_values_and_encode_to_the_same_bytes() {
    let (frames, messages) = (golden_frames(), all_messages());
    assert_eq!(
        messages.len(),
        frames.len(),
        "each line of the file has its value here"
    );
    for (name, message) in messages {
        let golden = frames
            .get(&name)
            .unwrap_or_else(|| panic!("no frame {name}"));
        assert!(
            decode(&golden.frame).as_ref() == Ok(&message),
            "{name} is read as another value"
        );
        assert!(
            encode(&message) == golden.frame,
            "{name} is written as other bytes"
        );
    }
}

/// The version in a frame's header decides how its body is read.
#[test]
fn golden_bodies_keep_their_meaning_in_the_same_versions() {
    let frames = golden_frames();
    for (name, message) in all_messages() {
        let Golden {
            versions,
            frame: golden,
        } = &frames[&name];
        let body = &golden[8..golden.len() - 4];
        assert!(
            versions.contains(&golden[4]),
            "{name} is written in a version that has it"
        );
        for version in 1..=3 {
            let read = decode(&frame(version, golden[5], golden[6], body));
            assert_eq!(
                read == Ok(message.clone()),
                versions.contains(&version),
                "{name} in version {version}"
            );
            assert_eq!(
                read.is_ok(),
                versions.contains(&version),
                "{name} in version {version}"
            );
        }
        for version in [0, 4, u8::MAX] {
            assert!(
                decode(&frame(version, golden[5], golden[6], body)).is_err(),
                "{name} in version {version}"
            );
        }
    }
}

#[test]
fn golden_bodies_cut_short_or_with_a_byte_more_are_errors() {
    for (name, golden) in golden_frames() {
        let golden = golden.frame;
        let (version, kind, flags) = (golden[4], golden[5], golden[6]);
        let body = &golden[8..golden.len() - 4];
        for cut in 0..body.len() {
            assert!(
                decode(&frame(version, kind, flags, &body[..cut])).is_err(),
                "{name} cut at {cut}"
            );
        }
        let longer = [body, &[0]].concat();
        assert!(
            decode(&frame(version, kind, flags, &longer)).is_err(),
            "{name} with a byte more"
        );
    }
}

/// Counters of traffic have a kind for each message; each of them stands in the file.
#[test]
fn golden_frames_have_each_kind_of_message() {
    let messages = all_messages();
    for kind in MessageKind::ALL {
        assert!(
            messages
                .iter()
                .any(|(_, message)| MessageKind::of(message) == kind),
            "{}",
            kind.name()
        );
    }
}
