//! Messages survive their bytes; anything else is refused without a panic.

use proptest::prelude::*;
use reedring_node_protocol::*;

fn attempt() -> impl Strategy<Value = AttemptId> {
    (any::<u64>(), any::<u64>(), any::<u16>()).prop_map(|(life, request, number)| AttemptId {
        incarnation: life,
        request,
        number,
    })
}

fn task() -> impl Strategy<Value = Task> {
    let names = prop::collection::vec("[a-zäöü0-9./-]{0,12}", 5);
    let asks = (0.0..1e6, 0.0..1e6, any::<u64>(), any::<u64>(), any::<u32>());
    let payload = prop::collection::vec(any::<u8>(), 0..64);
    (names, asks, payload, 0..3_u8, 0..3_u8).prop_map(|(names, asks, payload, repeat, group)| {
        Task {
            session: names[0].clone(),
            job: names[1].clone(),
            class: names[2].clone(),
            tenant: names[3].clone(),
            service: names[4].clone(),
            idempotency: [
                Idempotency::Idempotent,
                Idempotency::IdempotentByKey,
                Idempotency::NonIdempotent,
            ][usize::from(repeat)],
            deduplication_scope: [
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Rack,
            ][usize::from(group)],
            deduplication_window_ms: asks.4,
            idempotency_key: asks.3,
            cores: asks.0,
            memory: asks.1,
            expected_duration_ms: asks.2,
            payload,
        }
    })
}

fn end() -> impl Strategy<Value = TaskEnd> {
    prop_oneof![
        any::<u8>().prop_map(TaskEnd::Exited),
        any::<u8>().prop_map(TaskEnd::Signaled),
        Just(TaskEnd::Evicted),
        Just(TaskEnd::Preempted),
        Just(TaskEnd::Drained),
        Just(TaskEnd::Stopped),
        Just(TaskEnd::Unknown),
        "[a-z ]{0,20}".prop_map(TaskEnd::Error),
    ]
}

fn held() -> impl Strategy<Value = InFlightTask> {
    let state = prop_oneof![
        Just(InFlightState::Queued),
        Just(InFlightState::Accepted),
        Just(InFlightState::Running),
        Just(InFlightState::Suspended),
        (end(), any::<bool>()).prop_map(|(end, ran)| InFlightState::Ended { end, ran }),
    ];
    (attempt(), task(), state).prop_map(|(attempt, task, state)| InFlightTask {
        attempt,
        task,
        state,
    })
}

fn report() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(-1e9..1e9, 0..MAX_REPORT)
}

fn version() -> impl Strategy<Value = ConfigVersion> {
    (any::<u64>(), any::<[u8; 16]>()).prop_map(|(number, digest)| ConfigVersion {
        number,
        digest: ConfigDigest(digest),
    })
}

fn ballot() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), any::<u64>()).prop_map(|(round, by)| Ballot {
        round,
        proposer: by,
    })
}

fn stamp() -> impl Strategy<Value = VersionStamp> {
    (version(), any::<bool>(), any::<u64>(), any::<u32>()).prop_map(
        |(version, joint, list, build)| VersionStamp {
            version,
            joint,
            list_revision: list,
            build,
        },
    )
}

fn record() -> impl Strategy<Value = AcceptorReport> {
    let next = (ballot(), version(), any::<bool>());
    let next = next.prop_map(|(ballot, version, joint)| AcceptedVersion {
        ballot,
        version,
        joint,
    });
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let rest = (
        any::<u64>(),
        any::<u64>(),
        any::<u16>(),
        any::<u16>(),
        flags,
    );
    (version(), prop::option::of(next), ballot(), rest).prop_map(
        |(force, next, promised, (list, floor_ms, linked, behind, (stuck, learns, deltas)))| {
            AcceptorReport {
                committed: force,
                accepted: next,
                promised,
                list_revision: list,
                floor_age_ms: floor_ms,
                connected_placers: linked,
                lagging_placers: behind,
                cannot_persist: stuck,
                is_learner: learns,
                reads_deltas: deltas,
            }
        },
    )
}

fn delta(base: ConfigVersion, target: ConfigVersion, text: &str) -> Delta {
    let key = SectionKey::Named {
        table: Table::Tenant,
        name: format!("\"{text}\""),
    };
    let put = Edit::Put {
        key: SectionKey::Site,
        at: 3,
        text: text.to_owned(),
    };
    Delta {
        base,
        target,
        edits: vec![Edit::Remove { key }, put],
    }
}

fn order() -> impl Strategy<Value = ConfigRequest> {
    let all = (
        0..9,
        stamp(),
        version(),
        ballot(),
        "[a-z\n =]{0,40}",
        any::<u64>(),
    );
    all.prop_map(|(kind, stamp, version, ballot, text, list)| match kind {
        0 => ConfigRequest::Query { stamp },
        1 => ConfigRequest::Fetch {
            version,
            have: None,
        },
        6 => ConfigRequest::Fetch {
            version,
            have: Some(stamp.version),
        },
        7 => {
            let step = [
                DeltaStep::Accept { ballot },
                DeltaStep::EnterJoint,
                DeltaStep::Commit,
            ][list as usize % 3];
            ConfigRequest::ByDelta {
                step,
                delta: delta(stamp.version, version, &text),
                list,
            }
        }
        2 => ConfigRequest::Prepare {
            follows: stamp.version,
            ballot,
            list,
        },
        3 => ConfigRequest::Accept {
            follows: stamp.version,
            ballot,
            version,
            text,
            list,
        },
        4 => ConfigRequest::EnterJoint {
            follows: stamp.version,
            version,
            text,
            list,
        },
        5 => ConfigRequest::Commit {
            version,
            text,
            list,
        },
        _ => ConfigRequest::RaiseFloor { stamp },
    })
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        ("[a-z]{0,9}", any::<u64>(), any::<u64>()).prop_map(|(placer, life, link)| {
            Message::Hello {
                placer,
                incarnation: life,
                link,
                version_info: None,
            }
        }),
        ("[a-z]{0,9}", any::<u64>(), stamp()).prop_map(|(placer, life, stamp)| Message::Hello {
            placer,
            incarnation: life,
            link: life ^ 5,
            version_info: Some(VersionInfo {
                stamp,
                build: "0.2.0".to_owned()
            }),
        }),
        order().prop_map(Message::ConfigRequest),
        record().prop_map(Message::AcceptorReport),
        (version(), "[a-z ]{0,40}")
            .prop_map(|(version, text)| Message::ConfigText { version, text }),
        (version(), version(), "[a-z ]{0,40}")
            .prop_map(|(base, target, text)| Message::ConfigDelta(delta(base, target, &text))),
        (attempt(), task(), any::<u32>(), prop::option::of(stamp())).prop_map(
            |(attempt, task, within_ms, stamp)| Message::Offer {
                attempt,
                task: Box::new(task),
                within_ms,
                stamp
            }
        ),
        attempt().prop_map(|attempt| Message::Stop { attempt }),
        attempt().prop_map(|attempt| Message::Ack { attempt }),
        any::<u64>().prop_map(|nonce| Message::Probe { nonce }),
        (
            "[a-z]{0,9}",
            any::<u64>(),
            any::<u64>(),
            any::<bool>(),
            prop::option::of(record())
        )
            .prop_map(
                |(node, life, up_ms, can_suspend, record)| Message::Welcome {
                    node,
                    incarnation: life,
                    up_ms,
                    can_suspend,
                    acceptor_report: record
                }
            ),
        (prop::collection::vec(held(), 0..5), any::<bool>())
            .prop_map(|(held, last)| Message::InFlight { tasks: held, last }),
        (attempt(), report()).prop_map(|(attempt, report)| Message::Accepted { attempt, report }),
        (
            attempt(),
            0..RejectionReason::ALL.len(),
            "[a-z ]{0,30}",
            report()
        )
            .prop_map(|(attempt, reason, text, report)| {
                Message::Rejected {
                    attempt,
                    reason: RejectionReason::ALL[reason],
                    text,
                    report,
                }
            }),
        (attempt(), 0..TaskSignalKind::ALL.len(), 0.0..1e9).prop_map(|(attempt, topic, amount)| {
            Message::TaskSignal {
                attempt,
                kind: TaskSignalKind::ALL[topic],
                amount,
            }
        }),
        (attempt(), end(), any::<bool>(), report()).prop_map(|(attempt, end, ran, report)| {
            Message::Ended {
                attempt,
                end,
                ran,
                report,
            }
        }),
        (any::<u64>(), report()).prop_map(|(nonce, report)| Message::Report { nonce, report }),
    ]
}

proptest! {
    #[test]
    fn messages_survive_their_bytes(messages in prop::collection::vec(message(), 1..5), step in 1_usize..50) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
        let (mut reader, mut found) = (FrameDecoder::default(), Vec::new());
        for chunk in bytes.chunks(step) {
            reader.push(chunk);
            while let Some((message, frame)) = reader.next_message().unwrap() {
                prop_assert_eq!(&decode(frame).unwrap(), &message);
                found.push(message);
            }
        }
        prop_assert_eq!(found, messages);
    }

    /// The link's guard against garbled bytes that still look like an answer.
    #[test]
    fn one_garbled_byte_is_never_a_message(message in message(), at in any::<prop::sample::Index>(), by in 1..=255_u8) {
        let mut bytes = encode(&message);
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        let mut reader = FrameDecoder::default();
        reader.push(&bytes);
        // A longer length waits for bytes that never come; everything else is an error.
        prop_assert!(!matches!(reader.next_message(), Ok(Some(_))));
    }

    #[test]
    fn noise_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut reader = FrameDecoder::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_message() {}
    }
}

#[test]
fn limits_hold() {
    let mut reader = FrameDecoder::default();
    reader.push(&[0, 1, 0, 1, VERSION, 4, 0, 0]);
    assert_eq!(
        reader.next_message().unwrap_err(),
        FrameError::BodyTooLong(65_537)
    );
    let mut reader = FrameDecoder::default();
    reader.push(&[0, 0, 0, 8, 9, 4, 0, 0]);
    assert_eq!(
        reader.next_message().unwrap_err(),
        FrameError::UnsupportedVersion(9)
    );
    let long = Message::Hello {
        placer: "ä".repeat(MAX_NAME),
        incarnation: 1,
        link: 1,
        version_info: None,
    };
    let Message::Hello { placer, .. } = decode(&encode(&long)).unwrap() else {
        panic!("no hello")
    };
    assert_eq!(placer.len(), MAX_NAME);
}

#[test]
fn the_bytes_of_a_frame_stay_as_documented() {
    let stop = Message::Stop {
        attempt: AttemptId {
            incarnation: 1,
            request: 2,
            number: 3,
        },
    };
    let bytes = encode(&stop);
    let want = [
        0, 0, 0, 18, 1, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 3,
    ];
    assert_eq!(bytes[..26], want);
    assert_eq!(bytes[26..], crc32c::crc32c(&want).to_be_bytes());
}

/// The frame of this header and body.
fn frame(version: u8, kind: u8, flags: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend([version, kind, flags, 0]);
    bytes.extend(body);
    let sum = crc32c::crc32c(&bytes).to_be_bytes();
    bytes.extend(sum);
    bytes
}

/// Ends of the former version: what they write is read, and what is written to them is what they always read.
#[test]
fn ends_of_version_2_and_3_read_each_other() {
    let version = ConfigVersion {
        number: 5,
        digest: ConfigDigest([7; 16]),
    };
    let told: Vec<u8> = [&5_u64.to_be_bytes()[..], &[7; 16]].concat();
    // What a placer of version 2 asks for, and what one of version 3 asks a node of version 2 for.
    let ask_in_full = frame(2, 8, 0, &[&[1], &told[..]].concat());
    let fetch = Message::ConfigRequest(ConfigRequest::Fetch {
        version,
        have: None,
    });
    assert_eq!(encode(&fetch), ask_in_full);
    assert_eq!(decode(&ask_in_full).unwrap(), fetch);
    // What only version 3 has says so in its header, and is none of version 2.
    let have = ConfigVersion {
        number: 4,
        digest: ConfigDigest([6; 16]),
    };
    let had = [&4_u64.to_be_bytes()[..], &[6; 16]].concat();
    let body = [&[7], &told[..], &had].concat();
    let fetch = Message::ConfigRequest(ConfigRequest::Fetch {
        version,
        have: Some(have),
    });
    assert_eq!(encode(&fetch), frame(3, 8, 0, &body));
    assert_eq!(decode(&frame(3, 8, 0, &body)).unwrap(), fetch);
    assert!(decode(&frame(2, 8, 0, &body)).is_err());
    let accept = Message::ConfigRequest(ConfigRequest::ByDelta {
        step: DeltaStep::EnterJoint,
        delta: delta(have, version, "t"),
        list: 1,
    });
    let bytes = encode(&accept);
    assert_eq!((bytes[4], bytes[8]), (3, 8));
    assert!(decode(&frame(2, 8, 0, &bytes[8..bytes.len() - 4])).is_err());
}

/// A record is of version 2 to the byte: that its node reads deltas is a flag that former ends pass by.
#[test]
fn a_record_tells_former_ends_nothing_new() {
    let version = ConfigVersion {
        number: 5,
        digest: ConfigDigest([7; 16]),
    };
    let body = [
        &[0, 0, 0, 0, 0, 0, 0, 5][..],
        &[7; 16],
        &[0],
        &[0; 16],
        &[0, 0, 0, 0, 0, 0, 0, 9],
        &[0, 0, 0, 0, 0, 0, 1, 0],
        &[0, 3, 0, 1, 1],
    ]
    .concat();
    let record = AcceptorReport {
        committed: version,
        list_revision: 9,
        floor_age_ms: 256,
        connected_placers: 3,
        lagging_placers: 1,
        cannot_persist: true,
        ..AcceptorReport::default()
    };
    let deltas = AcceptorReport {
        reads_deltas: true,
        ..record
    };
    assert_eq!(
        encode(&Message::AcceptorReport(record)),
        frame(2, 72, 0, &body)
    );
    assert_eq!(
        encode(&Message::AcceptorReport(deltas)),
        frame(2, 72, 2, &body)
    );
    assert_eq!(
        decode(&frame(2, 72, 0, &body)).unwrap(),
        Message::AcceptorReport(record)
    );
    assert_eq!(
        decode(&frame(2, 72, 2, &body)).unwrap(),
        Message::AcceptorReport(deltas)
    );
    // Flags that are not known yet are passed by, and so they are on messages without a record.
    assert_eq!(
        decode(&frame(2, 72, 0xf0, &body)).unwrap(),
        Message::AcceptorReport(record)
    );
    assert_eq!(
        decode(&frame(1, 4, 2, &[0; 8])).unwrap(),
        Message::Probe { nonce: 0 }
    );
    let welcome = |record| Message::Welcome {
        node: "n".into(),
        incarnation: 1,
        up_ms: 2,
        can_suspend: false,
        acceptor_report: record,
    };
    let bytes = encode(&welcome(Some(deltas)));
    assert_eq!((bytes[4], bytes[6]), (2, 2));
    assert_eq!(decode(&bytes).unwrap(), welcome(Some(deltas)));
}

/// A frame as the former version writes it: two zeros after the kind, and a record without a learner's flag.
fn former_frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([2, kind, 0, 0]);
    frame.extend(body);
    let sum = crc32c::crc32c(&frame);
    frame.extend(sum.to_be_bytes());
    frame
}

/// The body of a record, field by field as documented.
fn former_body(record: &AcceptorReport) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend(record.committed.number.to_be_bytes());
    body.extend(record.committed.digest.0);
    body.push(u8::from(record.accepted.is_some()));
    if let Some(next) = &record.accepted {
        body.extend(next.ballot.round.to_be_bytes());
        body.extend(next.ballot.proposer.to_be_bytes());
        body.extend(next.version.number.to_be_bytes());
        body.extend(next.version.digest.0);
        body.push(u8::from(next.joint));
    }
    body.extend(record.promised.round.to_be_bytes());
    body.extend(record.promised.proposer.to_be_bytes());
    body.extend(record.list_revision.to_be_bytes());
    body.extend(record.floor_age_ms.to_be_bytes());
    body.extend(record.connected_placers.to_be_bytes());
    body.extend(record.lagging_placers.to_be_bytes());
    body.push(u8::from(record.cannot_persist));
    body
}

fn learner_record() -> AcceptorReport {
    let version = ConfigVersion {
        number: 7,
        digest: ConfigDigest([9; 16]),
    };
    let next = Some(AcceptedVersion {
        ballot: Ballot::default(),
        version,
        joint: true,
    });
    AcceptorReport {
        accepted: next,
        floor_age_ms: 5,
        connected_placers: 3,
        lagging_placers: 1,
        cannot_persist: true,
        is_learner: true,
        ..AcceptorReport::default()
    }
}

#[test]
fn a_record_of_the_former_version_is_read_as_a_voters() {
    let record = AcceptorReport {
        is_learner: false,
        ..learner_record()
    };
    let bytes = former_frame(72, &former_body(&record));
    assert_eq!(decode(&bytes), Ok(Message::AcceptorReport(record)));
    assert_eq!(
        encode(&Message::AcceptorReport(record)),
        bytes,
        "what keeps plans writes what it always wrote"
    );
}

/// An end of the former version passes bytes 6 and 7 of the header by, and reads the body that it always read.
#[test]
fn a_learners_record_is_the_former_bytes_but_for_one_flag_of_the_header() {
    let record = learner_record();
    let bytes = encode(&Message::AcceptorReport(record));
    let former = former_frame(72, &former_body(&record));
    let (head, body) = (&bytes[..8], &bytes[8..bytes.len() - 4]);
    assert_eq!((&head[..6], &head[6..]), (&former[..6], &[1, 0][..]));
    assert_eq!(body, &former[8..former.len() - 4]);
    assert_eq!(decode(&bytes), Ok(Message::AcceptorReport(record)));
}

/// A later version may set flags that this one does not know.
#[test]
fn flags_that_are_not_known_are_passed_by() {
    let mut bytes = encode(&Message::Probe { nonce: 4 });
    (bytes[6], bytes[7]) = (0b1111_1110, 3);
    let length = bytes.len() - 4;
    let sum = crc32c::crc32c(&bytes[..length]);
    bytes[length..].copy_from_slice(&sum.to_be_bytes());
    assert_eq!(decode(&bytes), Ok(Message::Probe { nonce: 4 }));
}

#[test]
fn the_level_of_any_number_that_a_frame_can_hold_is_a_level() {
    let version = ConfigVersion {
        number: u64::MAX,
        ..ConfigVersion::default()
    };
    assert_eq!(
        (version_level(version, false), version_level(version, true)),
        (u64::MAX, u64::MAX - 1)
    );
}
