//! Guards against a change of the encoding that released placers and nodes can't decode. `golden/frames.txt` contains
//! frames that an earlier build encoded: each kind of message, in each protocol version in which its body differs.
//!
//! A line consists of the name of a case, the protocol versions in which the body has the same meaning (one digit
//! each), and the frame in hexadecimal. Existing lines must not be regenerated, because deployed nodes and placers
//! exchange these bytes.

use std::collections::BTreeMap;

use reedring_node_protocol::*;

const FRAMES: &str = include_str!("golden/frames.txt");

/// A line of `golden/frames.txt` without the name of the case.
struct GoldenFrame {
    /// The protocol versions in which the body has the same meaning.
    versions: Vec<u8>,
    frame: Vec<u8>,
}

fn parse_hex(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "a frame has an odd number of hexadecimal digits: {hex}"
    );
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn golden_frames() -> BTreeMap<String, GoldenFrame> {
    let mut frames = BTreeMap::new();
    for line in FRAMES.lines() {
        let [name, versions, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("expected a name, versions and a frame: {line}")
        };
        let versions = versions.bytes().map(|digit| digit - b'0').collect();
        let golden = GoldenFrame {
            versions,
            frame: parse_hex(hex),
        };
        assert!(
            frames.insert(name.to_owned(), golden).is_none(),
            "{name} occurs twice in golden/frames.txt"
        );
    }
    frames
}

/// A frame with this header and body and a correct checksum.
fn frame(version: u8, kind: u8, flags: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([version, kind, flags, 0]);
    frame.extend(body);
    let checksum = crc32c::crc32c(&frame).to_be_bytes();
    frame.extend(checksum);
    frame
}

fn attempt(request: u64) -> AttemptId {
    AttemptId {
        incarnation: 0x0102_0304_0506_0708,
        request,
        number: 0x0a0b,
    }
}

fn task(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> Task {
    Task {
        session: "sitzung-1".into(),
        job: "j.17".into(),
        class: "küche".into(),
        tenant: "tenant".into(),
        service: "".into(),
        idempotency,
        deduplication_scope,
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

/// The report of a voter that has accepted no successor of its committed configuration.
fn plain_report() -> AcceptorReport {
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

/// The report of a voter that has accepted a successor of its committed configuration.
fn report_with_accepted(joint: bool) -> AcceptorReport {
    let accepted = AcceptedVersion {
        ballot: ballot(),
        version: version(7),
        joint,
    };
    AcceptorReport {
        accepted: Some(accepted),
        cannot_persist: joint,
        reads_deltas: true,
        ..plain_report()
    }
}

fn learner_report() -> AcceptorReport {
    AcceptorReport {
        committed: ConfigVersion::default(),
        cannot_persist: true,
        is_learner: true,
        reads_deltas: true,
        ..report_with_accepted(true)
    }
}

fn config_text() -> String {
    "[site]\nplacers = 3\n\n[[tenant]]\nname = \"ä\"\nshare = 0.5\n".to_owned()
}

/// A delta with an edit of each kind for `[site]` and for a section of each table.
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

/// Every task end with its name in the cases.
fn task_ends() -> [(&'static str, TaskEnd); 8] {
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

fn in_flight_task(request: u64, state: InFlightState) -> InFlightTask {
    InFlightTask {
        attempt: attempt(request),
        task: task(Idempotency::IdempotentByKey, DeduplicationScope::Zone),
        state,
    }
}

/// Messages of the handshake, and acceptor reports.
fn handshake_messages() -> Vec<(String, Message)> {
    let hello = |version_info| Message::Hello {
        placer: "placer-1".into(),
        incarnation: 77,
        link: 5,
        version_info,
    };
    let welcome = |can_suspend, acceptor_report| Message::Welcome {
        node: "knoten-ü".into(),
        incarnation: 78,
        up_ms: 9_000,
        can_suspend,
        acceptor_report,
    };
    let report_case =
        |name: &str, report| (format!("record-{name}"), Message::AcceptorReport(report));
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
        (
            "welcome-record".into(),
            welcome(false, Some(plain_report())),
        ),
        (
            "welcome-record-introduced".into(),
            welcome(true, Some(report_with_accepted(false))),
        ),
        (
            "welcome-record-learner".into(),
            welcome(true, Some(learner_report())),
        ),
        report_case("plain", plain_report()),
        report_case("empty", AcceptorReport::default()),
        report_case("introduced", report_with_accepted(false)),
        report_case("joint", report_with_accepted(true)),
        report_case("learner", learner_report()),
        report_case(
            "learner-former",
            AcceptorReport {
                reads_deltas: false,
                ..learner_report()
            },
        ),
    ]
}

/// Messages about tasks that placers send.
fn placer_messages() -> Vec<(String, Message)> {
    let mut all = Vec::new();
    for (idempotency_name, idempotency) in [
        ("safe", Idempotency::Idempotent),
        ("keyed", Idempotency::IdempotentByKey),
        ("unsafe", Idempotency::NonIdempotent),
    ] {
        for (scope_name, scope) in [
            ("all", DeduplicationScope::All),
            ("hall", DeduplicationScope::Zone),
            ("rack", DeduplicationScope::Rack),
        ] {
            let task = Box::new(task(idempotency, scope));
            let offer = Message::Offer {
                attempt: attempt(1),
                task,
                within_ms: 250,
                stamp: None,
            };
            all.push((format!("offer-{idempotency_name}-{scope_name}"), offer));
        }
    }
    let offer_with_stamp = |joint| Message::Offer {
        attempt: attempt(2),
        task: Box::default(),
        within_ms: 0,
        stamp: Some(stamp(joint)),
    };
    all.push(("offer-stamped".into(), offer_with_stamp(false)));
    all.push(("offer-stamped-joint".into(), offer_with_stamp(true)));
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

/// Messages about tasks that nodes send.
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
        .map(|(request, state)| in_flight_task(request, state))
        .collect();
    for (request, (_, end)) in (20..).zip(task_ends()) {
        let ran = request % 2 == 0;
        tasks.push(in_flight_task(request, InFlightState::Ended { end, ran }));
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
        let rejected = Message::Rejected {
            attempt: attempt(31),
            reason,
            text: "weil’s so ist".into(),
            report: vec![],
        };
        all.push((format!("refused-{name}"), rejected));
    }
    let signal_kinds = [
        ("runs", TaskSignalKind::Running),
        ("cores", TaskSignalKind::CoresUsed),
        ("memory", TaskSignalKind::MemoryUsed),
        ("served", TaskSignalKind::ServiceFraction),
        ("pressure", TaskSignalKind::MemoryPressure),
        ("suspended", TaskSignalKind::Suspended),
        ("resumed", TaskSignalKind::Resumed),
    ];
    for (name, kind) in signal_kinds {
        all.push((
            format!("note-{name}"),
            Message::TaskSignal {
                attempt: attempt(32),
                kind,
                amount: 0.75,
            },
        ));
    }
    for (ran, (name, end)) in [true, false].into_iter().cycle().zip(task_ends()) {
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

/// Messages of the agreement on configurations.
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn configuration_messages() -> Vec<(String, Message)> {
    let (follows, target, list) = (version(6), version(7), 41);
    let query = |joint| ConfigRequest::Query {
        stamp: stamp(joint),
    };
    let by_delta = |step| ConfigRequest::ByDelta {
        step,
        delta: delta(),
        list,
    };
    let empty_delta = Delta {
        base: follows,
        target,
        edits: Vec::new(),
    };
    let requests = [
        ("ask", query(false)),
        ("ask-joint", query(true)),
        (
            "fetch",
            ConfigRequest::Fetch {
                version: target,
                have: None,
            },
        ),
        (
            "fetch-delta",
            ConfigRequest::Fetch {
                version: target,
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
                version: target,
                text: config_text(),
                list,
            },
        ),
        (
            "joint",
            ConfigRequest::EnterJoint {
                follows,
                version: target,
                text: config_text(),
                list,
            },
        ),
        (
            "joint-without-text",
            ConfigRequest::EnterJoint {
                follows,
                version: target,
                text: String::new(),
                list,
            },
        ),
        (
            "force",
            ConfigRequest::Commit {
                version: target,
                text: config_text(),
                list,
            },
        ),
        (
            "force-without-text",
            ConfigRequest::Commit {
                version: target,
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
                delta: empty_delta,
                list,
            },
        ),
    ];
    let mut all: Vec<(String, Message)> = requests
        .into_iter()
        .map(|(name, request)| (format!("plan-{name}"), Message::ConfigRequest(request)))
        .collect();
    all.push((
        "plan-text".into(),
        Message::ConfigText {
            version: target,
            text: config_text(),
        },
    ));
    all.push((
        "plan-text-none".into(),
        Message::ConfigText {
            version: target,
            text: String::new(),
        },
    ));
    all.push(("plan-delta".into(), Message::ConfigDelta(delta())));
    all
}

fn all_messages() -> Vec<(String, Message)> {
    [
        handshake_messages(),
        placer_messages(),
        node_messages(),
        configuration_messages(),
    ]
    .concat()
}

#[test]
fn golden_frames_decode_to_the_same_values_and_encode_to_the_same_bytes() {
    let (frames, messages) = (golden_frames(), all_messages());
    assert_eq!(
        messages.len(),
        frames.len(),
        "golden/frames.txt must have exactly one line for each message of the test"
    );
    for (name, message) in messages {
        let golden = frames
            .get(&name)
            .unwrap_or_else(|| panic!("golden/frames.txt has no frame {name}"));
        assert!(
            decode(&golden.frame).as_ref() == Ok(&message),
            "the frame {name} must decode to the message of the test"
        );
        assert!(
            encode(&message) == golden.frame,
            "the message {name} must encode to its golden frame"
        );
    }
}

/// Guards against a change of which protocol versions accept a body: the version in the header determines how the body
/// is decoded.
#[test]
fn golden_bodies_decode_to_the_same_message_in_exactly_the_listed_versions() {
    let frames = golden_frames();
    for (name, message) in all_messages() {
        let GoldenFrame {
            versions,
            frame: golden,
        } = &frames[&name];
        let body = &golden[8..golden.len() - 4];
        assert!(
            versions.contains(&golden[4]),
            "{name}: the version in the golden frame's header is not among the listed versions"
        );
        for version in 1..=3 {
            let decoded = decode(&frame(version, golden[5], golden[6], body));
            assert_eq!(
                decoded == Ok(message.clone()),
                versions.contains(&version),
                "{name} in version {version}"
            );
            assert_eq!(
                decoded.is_ok(),
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
fn truncated_golden_bodies_and_those_with_an_extra_byte_are_rejected() {
    for (name, golden) in golden_frames() {
        let golden = golden.frame;
        let (version, kind, flags) = (golden[4], golden[5], golden[6]);
        let body = &golden[8..golden.len() - 4];
        for length in 0..body.len() {
            assert!(
                decode(&frame(version, kind, flags, &body[..length])).is_err(),
                "{name} truncated to {length} bytes must be rejected"
            );
        }
        let longer = [body, &[0]].concat();
        assert!(
            decode(&frame(version, kind, flags, &longer)).is_err(),
            "{name} with an extra byte must be rejected"
        );
    }
}

/// Guards against a new message kind without a golden frame: [`MessageKind`] lists every kind.
#[test]
fn every_message_kind_has_a_golden_frame() {
    let messages = all_messages();
    for kind in MessageKind::ALL {
        assert!(
            messages
                .iter()
                .any(|(_, message)| MessageKind::of(message) == kind),
            "no golden frame is of the kind {}",
            kind.name()
        );
    }
}
