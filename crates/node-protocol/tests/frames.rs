//! Encoding and decoding: every message decodes to itself, and any other bytes are rejected without a panic. Also
//! checks that peers of protocol versions 2 and 3 understand each other.

use proptest::prelude::*;
use reedring_node_protocol::*;

fn attempt() -> impl Strategy<Value = AttemptId> {
    (any::<u64>(), any::<u64>(), any::<u16>()).prop_map(|(incarnation, request, number)| {
        AttemptId {
            incarnation,
            request,
            number,
        }
    })
}

fn task() -> impl Strategy<Value = Task> {
    let names = prop::collection::vec("[a-zäöü0-9./-]{0,12}", 5);
    let numbers = (0.0..1e6, 0.0..1e6, any::<u64>(), any::<u64>(), any::<u32>());
    let payload = prop::collection::vec(any::<u8>(), 0..64);
    (names, numbers, payload, 0..3_u8, 0..3_u8).prop_map(
        |(names, numbers, payload, idempotency, scope)| Task {
            session: names[0].clone(),
            job: names[1].clone(),
            class: names[2].clone(),
            tenant: names[3].clone(),
            service: names[4].clone(),
            idempotency: [
                Idempotency::Idempotent,
                Idempotency::IdempotentByKey,
                Idempotency::NonIdempotent,
            ][usize::from(idempotency)],
            deduplication_scope: [
                DeduplicationScope::All,
                DeduplicationScope::Zone,
                DeduplicationScope::Rack,
            ][usize::from(scope)],
            deduplication_window_ms: numbers.4,
            idempotency_key: numbers.3,
            cores: numbers.0,
            memory: numbers.1,
            expected_duration_ms: numbers.2,
            payload,
        },
    )
}

fn task_end() -> impl Strategy<Value = TaskEnd> {
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

fn in_flight_task() -> impl Strategy<Value = InFlightTask> {
    let state = prop_oneof![
        Just(InFlightState::Queued),
        Just(InFlightState::Accepted),
        Just(InFlightState::Running),
        Just(InFlightState::Suspended),
        (task_end(), any::<bool>()).prop_map(|(end, ran)| InFlightState::Ended { end, ran }),
    ];
    (attempt(), task(), state).prop_map(|(attempt, task, state)| InFlightTask {
        attempt,
        task,
        state,
    })
}

fn load_report() -> impl Strategy<Value = Vec<f64>> {
    prop::collection::vec(-1e9..1e9, 0..MAX_REPORT)
}

fn version() -> impl Strategy<Value = ConfigVersion> {
    (any::<u64>(), any::<[u8; 16]>()).prop_map(|(number, digest)| ConfigVersion {
        number,
        digest: ConfigDigest(digest),
    })
}

fn ballot() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), any::<u64>()).prop_map(|(round, proposer)| Ballot { round, proposer })
}

fn stamp() -> impl Strategy<Value = VersionStamp> {
    (version(), any::<bool>(), any::<u64>(), any::<u32>()).prop_map(
        |(version, joint, list_revision, build)| VersionStamp {
            version,
            joint,
            list_revision,
            build,
        },
    )
}

fn acceptor_report() -> impl Strategy<Value = AcceptorReport> {
    let accepted = (ballot(), version(), any::<bool>());
    let accepted = accepted.prop_map(|(ballot, version, joint)| AcceptedVersion {
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
    (version(), prop::option::of(accepted), ballot(), rest).prop_map(
        |(
            committed,
            accepted,
            promised,
            (list_revision, floor_age_ms, connected_placers, lagging_placers, flags),
        )| {
            let (cannot_persist, is_learner, reads_deltas) = flags;
            AcceptorReport {
                committed,
                accepted,
                promised,
                list_revision,
                floor_age_ms,
                connected_placers,
                lagging_placers,
                cannot_persist,
                is_learner,
                reads_deltas,
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

fn config_request() -> impl Strategy<Value = ConfigRequest> {
    let parts = (
        0..9,
        stamp(),
        version(),
        ballot(),
        "[a-z\n =]{0,40}",
        any::<u64>(),
    );
    parts.prop_map(|(kind, stamp, version, ballot, text, list)| match kind {
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
        ("[a-z]{0,9}", any::<u64>(), any::<u64>()).prop_map(|(placer, incarnation, link)| {
            Message::Hello {
                placer,
                incarnation,
                link,
                version_info: None,
            }
        }),
        ("[a-z]{0,9}", any::<u64>(), stamp()).prop_map(|(placer, incarnation, stamp)| {
            Message::Hello {
                placer,
                incarnation,
                link: incarnation ^ 5,
                version_info: Some(VersionInfo {
                    stamp,
                    build: "0.2.0".to_owned(),
                }),
            }
        }),
        config_request().prop_map(Message::ConfigRequest),
        acceptor_report().prop_map(Message::AcceptorReport),
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
            prop::option::of(acceptor_report())
        )
            .prop_map(|(node, incarnation, up_ms, can_suspend, acceptor_report)| {
                Message::Welcome {
                    node,
                    incarnation,
                    up_ms,
                    can_suspend,
                    acceptor_report,
                }
            }),
        (prop::collection::vec(in_flight_task(), 0..5), any::<bool>())
            .prop_map(|(tasks, last)| Message::InFlight { tasks, last }),
        (attempt(), load_report())
            .prop_map(|(attempt, report)| Message::Accepted { attempt, report }),
        (
            attempt(),
            0..RejectionReason::ALL.len(),
            "[a-z ]{0,30}",
            load_report()
        )
            .prop_map(|(attempt, reason, text, report)| {
                Message::Rejected {
                    attempt,
                    reason: RejectionReason::ALL[reason],
                    text,
                    report,
                }
            }),
        (attempt(), 0..TaskSignalKind::ALL.len(), 0.0..1e9).prop_map(|(attempt, kind, amount)| {
            Message::TaskSignal {
                attempt,
                kind: TaskSignalKind::ALL[kind],
                amount,
            }
        }),
        (attempt(), task_end(), any::<bool>(), load_report()).prop_map(
            |(attempt, end, ran, report)| {
                Message::Ended {
                    attempt,
                    end,
                    ran,
                    report,
                }
            }
        ),
        (any::<u64>(), load_report()).prop_map(|(nonce, report)| Message::Report { nonce, report }),
    ]
}

proptest! {
    #[test]
    fn encoded_messages_decode_to_the_same_messages_however_the_stream_is_chunked(
        messages in prop::collection::vec(message(), 1..5),
        chunk_length in 1_usize..50,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
        let (mut decoder, mut decoded) = (FrameDecoder::default(), Vec::new());
        for chunk in bytes.chunks(chunk_length) {
            decoder.push(chunk);
            while let Some((message, frame)) = decoder.next_message().unwrap() {
                prop_assert_eq!(&decode(frame).unwrap(), &message);
                decoded.push(message);
            }
        }
        prop_assert_eq!(decoded, messages);
    }

    /// Guards against corrupted frames that decode as a valid message, for example as an answer to another attempt.
    #[test]
    fn a_frame_with_one_corrupted_byte_never_decodes_to_a_message(
        message in message(),
        at in any::<prop::sample::Index>(),
        mask in 1..=255_u8,
    ) {
        let mut bytes = encode(&message);
        let at = at.index(bytes.len());
        bytes[at] ^= mask;
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        // If the corruption increases the length, the decoder waits for more bytes. Any other corruption is an error.
        prop_assert!(!matches!(decoder.next_message(), Ok(Some(_))));
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = FrameDecoder::default();
        decoder.push(&bytes);
        while let Ok(Some(_)) = decoder.next_message() {}
    }
}

#[test]
fn long_bodies_and_unsupported_versions_are_rejected_and_long_names_truncated() {
    let mut decoder = FrameDecoder::default();
    decoder.push(&[0, 1, 0, 1, VERSION, 4, 0, 0]);
    assert_eq!(
        decoder.next_message().unwrap_err(),
        FrameError::BodyTooLong(65_537)
    );
    let mut decoder = FrameDecoder::default();
    decoder.push(&[0, 0, 0, 8, 9, 4, 0, 0]);
    assert_eq!(
        decoder.next_message().unwrap_err(),
        FrameError::UnsupportedVersion(9)
    );
    let hello_with_long_name = Message::Hello {
        placer: "ä".repeat(MAX_NAME),
        incarnation: 1,
        link: 1,
        version_info: None,
    };
    let Message::Hello { placer, .. } = decode(&encode(&hello_with_long_name)).unwrap() else {
        panic!("the frame of a hello decodes to another message")
    };
    assert_eq!(placer.len(), MAX_NAME);
}

#[test]
fn a_stop_message_is_encoded_to_the_documented_bytes() {
    let stop = Message::Stop {
        attempt: AttemptId {
            incarnation: 1,
            request: 2,
            number: 3,
        },
    };
    let bytes = encode(&stop);
    let expected = [
        0, 0, 0, 18, 1, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 3,
    ];
    assert_eq!(bytes[..26], expected);
    assert_eq!(bytes[26..], crc32c::crc32c(&expected).to_be_bytes());
}

/// A frame with this header and body and a correct checksum.
fn frame(version: u8, kind: u8, flags: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend([version, kind, flags, 0]);
    bytes.extend(body);
    let checksum = crc32c::crc32c(&bytes).to_be_bytes();
    bytes.extend(checksum);
    bytes
}

/// Guards against a version 3 that changes requests of version 2, so that placers and nodes of both versions could not
/// run side by side during an upgrade.
#[test]
fn config_requests_of_version_2_are_unchanged_in_version_3_and_new_ones_are_rejected_in_version_2()
{
    let version = ConfigVersion {
        number: 5,
        digest: ConfigDigest([7; 16]),
    };
    let encoded_version: Vec<u8> = [&5_u64.to_be_bytes()[..], &[7; 16]].concat();
    // A fetch of the full text is the same frame in both versions.
    let full_fetch = frame(2, 8, 0, &[&[1], &encoded_version[..]].concat());
    let fetch = Message::ConfigRequest(ConfigRequest::Fetch {
        version,
        have: None,
    });
    assert_eq!(encode(&fetch), full_fetch);
    assert_eq!(decode(&full_fetch).unwrap(), fetch);
    // Requests that version 3 added have version 3 in their header; the same body is invalid in version 2.
    let have = ConfigVersion {
        number: 4,
        digest: ConfigDigest([6; 16]),
    };
    let encoded_have = [&4_u64.to_be_bytes()[..], &[6; 16]].concat();
    let body = [&[7], &encoded_version[..], &encoded_have].concat();
    let fetch = Message::ConfigRequest(ConfigRequest::Fetch {
        version,
        have: Some(have),
    });
    assert_eq!(encode(&fetch), frame(3, 8, 0, &body));
    assert_eq!(decode(&frame(3, 8, 0, &body)).unwrap(), fetch);
    assert!(decode(&frame(2, 8, 0, &body)).is_err());
    let by_delta = Message::ConfigRequest(ConfigRequest::ByDelta {
        step: DeltaStep::EnterJoint,
        delta: delta(have, version, "t"),
        list: 1,
    });
    let bytes = encode(&by_delta);
    assert_eq!((bytes[4], bytes[8]), (3, 8));
    assert!(decode(&frame(2, 8, 0, &bytes[8..bytes.len() - 4])).is_err());
}

/// Guards against a version 3 that changes the body of an acceptor report, which peers of version 2 could not decode.
/// `reads_deltas` is encoded as a flag in the header, which these peers ignore.
#[test]
fn an_acceptor_report_has_the_body_of_version_2_and_a_header_flag_for_reads_deltas() {
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
    let report = AcceptorReport {
        committed: version,
        list_revision: 9,
        floor_age_ms: 256,
        connected_placers: 3,
        lagging_placers: 1,
        cannot_persist: true,
        ..AcceptorReport::default()
    };
    let report_with_deltas = AcceptorReport {
        reads_deltas: true,
        ..report
    };
    assert_eq!(
        encode(&Message::AcceptorReport(report)),
        frame(2, 72, 0, &body)
    );
    assert_eq!(
        encode(&Message::AcceptorReport(report_with_deltas)),
        frame(2, 72, 2, &body)
    );
    assert_eq!(
        decode(&frame(2, 72, 0, &body)).unwrap(),
        Message::AcceptorReport(report)
    );
    assert_eq!(
        decode(&frame(2, 72, 2, &body)).unwrap(),
        Message::AcceptorReport(report_with_deltas)
    );
    // Unknown flags are ignored. So are known flags on messages without an acceptor report.
    assert_eq!(
        decode(&frame(2, 72, 0xf0, &body)).unwrap(),
        Message::AcceptorReport(report)
    );
    assert_eq!(
        decode(&frame(1, 4, 2, &[0; 8])).unwrap(),
        Message::Probe { nonce: 0 }
    );
    let welcome = |acceptor_report| Message::Welcome {
        node: "n".into(),
        incarnation: 1,
        up_ms: 2,
        can_suspend: false,
        acceptor_report,
    };
    let bytes = encode(&welcome(Some(report_with_deltas)));
    assert_eq!((bytes[4], bytes[6]), (2, 2));
    assert_eq!(decode(&bytes).unwrap(), welcome(Some(report_with_deltas)));
}

/// A frame as version 2 encodes it without flags: the two bytes after the kind are 0.
fn version_2_frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend([2, kind, 0, 0]);
    frame.extend(body);
    let checksum = crc32c::crc32c(&frame);
    frame.extend(checksum.to_be_bytes());
    frame
}

/// The body of an acceptor report in version 2, field by field as documented.
fn version_2_body(report: &AcceptorReport) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend(report.committed.number.to_be_bytes());
    body.extend(report.committed.digest.0);
    body.push(u8::from(report.accepted.is_some()));
    if let Some(accepted) = &report.accepted {
        body.extend(accepted.ballot.round.to_be_bytes());
        body.extend(accepted.ballot.proposer.to_be_bytes());
        body.extend(accepted.version.number.to_be_bytes());
        body.extend(accepted.version.digest.0);
        body.push(u8::from(accepted.joint));
    }
    body.extend(report.promised.round.to_be_bytes());
    body.extend(report.promised.proposer.to_be_bytes());
    body.extend(report.list_revision.to_be_bytes());
    body.extend(report.floor_age_ms.to_be_bytes());
    body.extend(report.connected_placers.to_be_bytes());
    body.extend(report.lagging_placers.to_be_bytes());
    body.push(u8::from(report.cannot_persist));
    body
}

fn learner_report() -> AcceptorReport {
    let version = ConfigVersion {
        number: 7,
        digest: ConfigDigest([9; 16]),
    };
    let accepted = Some(AcceptedVersion {
        ballot: Ballot::default(),
        version,
        joint: true,
    });
    AcceptorReport {
        accepted,
        floor_age_ms: 5,
        connected_placers: 3,
        lagging_placers: 1,
        cannot_persist: true,
        is_learner: true,
        ..AcceptorReport::default()
    }
}

#[test]
fn an_acceptor_report_without_flags_decodes_as_the_report_of_a_voter() {
    let report = AcceptorReport {
        is_learner: false,
        ..learner_report()
    };
    let bytes = version_2_frame(72, &version_2_body(&report));
    assert_eq!(decode(&bytes), Ok(Message::AcceptorReport(report)));
    assert_eq!(
        encode(&Message::AcceptorReport(report)),
        bytes,
        "the report of a voter has the same bytes as in version 2"
    );
}

/// Guards against a learner's report that earlier peers can't decode. They ignore bytes 6 and 7 of the header and
/// decode the body as before.
#[test]
fn the_report_of_a_learner_differs_from_that_of_a_voter_only_in_a_header_flag() {
    let report = learner_report();
    let bytes = encode(&Message::AcceptorReport(report));
    let without_flags = version_2_frame(72, &version_2_body(&report));
    let (header, body) = (&bytes[..8], &bytes[8..bytes.len() - 4]);
    assert_eq!(
        (&header[..6], &header[6..]),
        (&without_flags[..6], &[1, 0][..])
    );
    assert_eq!(body, &without_flags[8..without_flags.len() - 4]);
    assert_eq!(decode(&bytes), Ok(Message::AcceptorReport(report)));
}

/// A later version may set flags that this version does not know.
#[test]
fn unknown_header_flags_are_ignored() {
    let mut bytes = encode(&Message::Probe { nonce: 4 });
    (bytes[6], bytes[7]) = (0b1111_1110, 3);
    let length = bytes.len() - 4;
    let checksum = crc32c::crc32c(&bytes[..length]);
    bytes[length..].copy_from_slice(&checksum.to_be_bytes());
    assert_eq!(decode(&bytes), Ok(Message::Probe { nonce: 4 }));
}

#[test]
fn the_version_level_of_the_greatest_number_saturates_without_overflow() {
    let version = ConfigVersion {
        number: u64::MAX,
        ..ConfigVersion::default()
    };
    assert_eq!(
        (version_level(version, false), version_level(version, true)),
        (u64::MAX, u64::MAX - 1)
    );
}
