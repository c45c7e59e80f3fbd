//! Messages are decoded however the input is split, invalid ones are rejected, and no input makes a decoder panic.

mod wire;

use proptest::prelude::*;
use reedring_platform_protocol::client::{self, FromClient, InvalidMessage, ToClient};
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::host::{self, FromHost, ToHost};
use reedring_platform_protocol::{MAX, REFUSED, config};
use wire::message;

/// The parameters of a valid placement request.
const PLACEMENT_REQUEST: [(u8, &[u8]); 6] = [
    (180, b"play"),
    (181, b"1500"),
    (182, b"radio"),
    (184, b"7f3a9c21e0b4d655"),
    (185, b"cores:1;memory:2.5;service:00000000b4d65521"),
    (195, b"v=0\r\nm=audio 9\r\n"),
];

/// A placement request in which the parameter `code` has this value; without that parameter for `None`.
fn request_with(code: u8, value: Option<&[u8]>) -> Vec<u8> {
    let mut parameters: Vec<(u8, &[u8])> = PLACEMENT_REQUEST
        .into_iter()
        .filter(|(other, _)| *other != code)
        .collect();
    parameters.extend(value.map(|value| (code, value)));
    message(1, 5, &parameters)
}

/// Decodes bytes that are exactly one message.
fn decode_one(bytes: &[u8]) -> Result<FromClient, InvalidMessage> {
    let mut reader = client::Reader::default();
    reader.push(bytes);
    let message = reader
        .next_message()
        .expect("the length field is valid")
        .expect("the message is complete");
    assert!(!reader.is_partial());
    message
}

#[test]
fn a_placement_request_is_decoded() {
    let Ok(FromClient::PlacementRequest(request)) = decode_one(&message(1, 5, &PLACEMENT_REQUEST))
    else {
        panic!("not a placement request")
    };
    assert_eq!(
        (request.id, request.class.as_str(), request.left_ms),
        (5, "play", 1_500)
    );
    assert_eq!(
        (request.cores, request.memory, request.service),
        (1.0, 2.5, 0xb4d6_5521)
    );
    assert_eq!(
        (request.key, request.is_retry, request.runs_at),
        (0x7f3a_9c21_e0b4_d655, false, None)
    );
    assert_eq!(request.description, "v=0\r\nm=audio 9\r\n");
    let running = request_with(
        185,
        Some(b"cores:1;memory:2;service:00000000b4d65521;at:h-1"),
    );
    let Ok(FromClient::PlacementRequest(request)) = decode_one(&running) else {
        panic!("not a placement request")
    };
    assert_eq!(request.runs_at.as_deref(), Some("h-1"));
    // The longest time, which is what the request for a task that runs already has.
    assert!(decode_one(&request_with(181, Some(b"4294967"))).is_ok());
}

#[test]
fn the_error_about_an_invalid_message_has_its_task_id() {
    let invalid_extras: &[&[u8]] = &[
        b"",
        b"x",
        b"cores:1",
        b"cores:nan;memory:1;service:00000000b4d65521",
        b"cores:-1;memory:1;service:00000000b4d65521",
        b"cores:1;memory:inf;service:00000000b4d65521",
        b"cores:1;memory:1e999;service:00000000b4d65521",
        b"cores:1;memory:1;service:b4",
        b"cores:1;cores:1;memory:1;service:00000000b4d65521",
        b"\xff\xfe",
    ];
    let invalid_times: &[&[u8]] = &[
        b"",
        b"0",
        b"-5",
        b"soon",
        b"+5",
        b"1e3",
        b" 5",
        b"99999999999999999999",
        b"4294968",
    ];
    let mut invalid: Vec<Vec<u8>> = invalid_extras
        .iter()
        .map(|value| request_with(185, Some(value)))
        .collect();
    invalid.extend(
        invalid_times
            .iter()
            .map(|value| request_with(181, Some(value))),
    );
    invalid.extend([180, 181, 184, 185, 195].map(|code| request_with(code, None)));
    invalid.extend([180, 182, 195].map(|code| request_with(code, Some(b"\xc3\x28"))));
    invalid.push(request_with(184, Some(b"7f3a9c21e0b4d65")));
    invalid.push(request_with(183, Some(b"yes")));
    invalid.push(request_with(99, Some(b"?")));
    invalid.push(message(
        1,
        5,
        &[PLACEMENT_REQUEST.as_slice(), &[(180, b"play")]].concat(),
    ));
    invalid.push(message(123, 5, &[]));
    invalid.push(message(9, 5, &PLACEMENT_REQUEST));
    invalid.push(message(12, 5, &[(194, b"16")]));
    for bytes in invalid {
        let error = decode_one(&bytes).expect_err("an invalid message was decoded");
        assert_eq!(error.id, 5, "{error}");
    }
    let mut truncated = message(1, 5, &PLACEMENT_REQUEST);
    truncated.truncate(truncated.len() - 1);
    let length = (truncated.len() - 2) as u16;
    truncated[..2].copy_from_slice(&length.to_be_bytes());
    assert!(
        decode_one(&truncated).is_err(),
        "the last parameter extends beyond the message"
    );
    assert!(
        decode_one(&message(1, 0, &PLACEMENT_REQUEST)).is_err(),
        "the task id is 0"
    );
}

#[test]
fn a_length_field_out_of_bounds_makes_the_input_unreadable() {
    for length in (0..9).chain([MAX as u16 - 1, MAX as u16, u16::MAX]) {
        let mut reader = client::Reader::default();
        reader.push(&length.to_be_bytes());
        assert!(reader.next_message().is_err(), "{length}");
    }
}

#[test]
fn messages_to_clients_are_encoded_with_the_numbers_of_the_platform() {
    let refusal = ToClient::refusal(5, Some(250)).encode();
    assert_eq!(refusal, message(12, 5, &[(186, b"250"), (194, &[REFUSED])]));
    let answer = ToClient::Answer {
        id: 5,
        description: "a\r\nb".to_owned(),
    }
    .encode();
    assert_eq!(answer, message(9, 5, &[(195, b"a\r\nb")]));
    assert_eq!(
        ToClient::HealthCheckResult {
            id: 7,
            passed: true
        }
        .encode(),
        message(53, 7, &[(194, &[1])])
    );
    assert_eq!(ToClient::Moved(7).encode(), message(51, 7, &[]));
}

/// Decodes a line from a host.
fn decode_line(text: &str) -> Result<Option<FromHost>, host::Unreadable> {
    let mut reader = host::Reader::default();
    reader.push(text.as_bytes());
    reader.push(b"\n");
    reader.next_message()
}

#[test]
fn messages_of_hosts_are_decoded() {
    let answer =
        decode_line(r#"{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{},"sdp":"x\r\n"}"#);
    let description = "x\r\n".to_owned();
    assert_eq!(
        answer,
        Ok(Some(FromHost::Answer {
            id: 0x9b1f_03aa_5c7e_2d41,
            description
        }))
    );
    let refusal = decode_line(
        r#"{"type":"release","id":"9b1f03aa5c7e2d41","fields":{"note":"lack_ram","x0":"1.5"},"cause":34}"#,
    );
    let Ok(Some(FromHost::Release {
        cause: REFUSED,
        reason,
        figures,
        ..
    })) = refusal
    else {
        panic!("{refusal:?}")
    };
    assert_eq!(reason, Some(reedring::Reason::NoMemory));
    assert_eq!(figures.get("x0"), Some(&1.5));
    let note = decode_line(
        r#"{"type":"note","id":"9b1f03aa5c7e2d41","fields":{"note":"use_cpu","value":0.5}}"#,
    );
    assert!(matches!(
        note,
        Ok(Some(FromHost::TaskSignal {
            note: reedring::Note::Cores(0.5),
            ..
        }))
    ));
    let pong = decode_line(r#"{"type":"pong","id":"0000000000000001","fields":{},"cause":1}"#);
    assert!(matches!(
        pong,
        Ok(Some(FromHost::HealthCheckResult {
            id: 1,
            passed: true,
            ..
        }))
    ));
}

/// Some hosts send a load report as one text that lists its values, instead of a field for each.
#[test]
fn a_load_report_in_one_text_is_decoded() {
    let pong = r#"{"type":"pong","id":"0000000000000001","fields":{"load":"x0:12.157;x1:-1.399;x2:nan;x3"},"cause":1}"#;
    let Ok(Some(FromHost::HealthCheckResult { figures, .. })) = decode_line(pong) else {
        panic!("{:?}", decode_line(pong))
    };
    assert_eq!(
        figures.into_iter().collect::<Vec<_>>(),
        [("x0".to_owned(), 12.157), ("x1".to_owned(), -1.399)]
    );
    let refusal = r#"{"type":"release","id":"0000000000000001","fields":{"note":"backlog","load":"x0:3"},"cause":34}"#;
    let Ok(Some(FromHost::Release {
        reason, figures, ..
    })) = decode_line(refusal)
    else {
        panic!("{:?}", decode_line(refusal))
    };
    assert_eq!(
        (reason, figures.get("x0")),
        (Some(reedring::Reason::Crowded), Some(&3.0))
    );
}

#[test]
fn lines_that_are_not_messages_make_the_input_unreadable() {
    for text in [
        "",
        "noise",
        "[]",
        r#"{"id":"9b1f03aa5c7e2d41"}"#,
        r#"{"type":"answer","id":"9b1f","sdp":""}"#,
        r#"{"type":"answer","id":"9b1f03aa5c7e2d41"}"#,
        r#"{"type":"release","id":"9b1f03aa5c7e2d41"}"#,
        r#"{"type":"release","id":"9b1f03aa5c7e2d41","cause":999}"#,
        r#"{"type":"note","id":"9b1f03aa5c7e2d41","fields":{"note":"use_cpu"}}"#,
        r#"{"type":"sing","id":"9b1f03aa5c7e2d41"}"#,
    ] {
        assert!(decode_line(text).is_err(), "{text}");
    }
    let mut reader = host::Reader::default();
    reader.push(&vec![b'{'; MAX]);
    assert_eq!(reader.next_message(), Err(host::Unreadable::TooLong));
}

#[test]
fn a_placement_request_to_a_host_has_the_clients_values() {
    let setup = ToHost::PlacementRequest {
        id: 0x9b1f,
        class: "play".to_owned(),
        key: 0x7f,
        idempotency_key: Some("5c0f".to_owned()),
        left_ms: 1_200,
        description: "v=0\r\n\u{e9}".to_owned(),
    };
    let line: serde_json::Value = serde_json::from_slice(&setup.encode()).unwrap();
    assert_eq!(line["id"], "0000000000009b1f");
    assert_eq!(line["fields"]["key"], "000000000000007f");
    assert_eq!(
        (&line["fields"]["idem"], &line["fields"]["left"]),
        (&"5c0f".into(), &"1200".into())
    );
    assert_eq!(line["sdp"], "v=0\r\n\u{e9}");
    assert!(setup.encode().ends_with(b"\n"));
}

fn names() -> Names {
    Names {
        zones: vec!["east".to_owned()],
        kinds: vec!["std".to_owned()],
    }
}

/// A watch event with one host, whose entry also has `more_keys`.
fn event(revision: u64, more_keys: &str) -> String {
    format!(
        r#"{{"rev":{revision},"pool":{{"seq":1,"whole":false,"hosts":[{{"host":"h-1","dial":"127.0.0.1:9","site":"east",
        "class":"std","block":2,"health":"active","share":4,"born_ms":0,"room":[1.5,2]{more_keys}}}]}}}}"#
    )
}

#[test]
fn a_response_of_discovery_with_any_invalid_part_is_rejected_whole() {
    let read = |latest: u64, events: &str| {
        WatchResponse::read(
            format!(r#"{{"rev":{latest},"notices":[{events}]}}"#).as_bytes(),
            &names(),
        )
    };
    let response = read(4, &format!("{},{}", event(3, ""), event(4, ""))).unwrap();
    assert_eq!(
        response.events[1].endpoints.as_ref().unwrap().hosts[0].free,
        Some([1.5, 2.0])
    );
    assert!(read(4, "").is_ok());
    assert!(
        read(3, &event(4, "")).is_err(),
        "an event has a number above that of the latest event"
    );
    assert!(
        read(4, &format!("{},{}", event(4, ""), event(3, ""))).is_err(),
        "the events are out of order"
    );
    for (valid, invalid) in [
        ("east", "west"),
        ("std", "huge"),
        ("active", "asleep"),
        ("127.0.0.1:9", "nowhere"),
        ("[1.5,2]", "[1.5]"),
        ("\"block\":2", "\"block\":-1"),
    ] {
        let text = event(4, "").replace(valid, invalid);
        assert_ne!(text, event(4, ""));
        assert!(
            read(4, &format!("{},{text}", event(3, ""))).is_err(),
            "{invalid}"
        );
    }
    let complete = format!(r#"{{"rev":4,"notices":[{}]}}"#, event(4, ""));
    for end in 0..complete.len() {
        assert!(WatchResponse::read(&complete.as_bytes()[..end], &names()).is_err());
    }
}

#[test]
fn the_error_about_an_invalid_configuration_names_the_place_in_one_line() {
    for (text, place) in [
        ("", "line 1"),
        ("{}", "name"),
        (r#"{"name":"n1","listen":"here"}"#, "socket address"),
    ] {
        let error = config::Config::read(text)
            .expect_err("an invalid configuration was accepted")
            .to_string();
        assert!(error.contains(place), "{error}");
        assert!(!error.contains('\n'), "more than one line: {error}");
    }
}

proptest! {
    #[test]
    fn no_input_of_a_client_makes_the_reader_panic(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20)) {
        let mut reader = client::Reader::default();
        for chunk in chunks {
            reader.push(&chunk);
            while let Ok(Some(_)) = reader.next_message() {}
        }
    }

    #[test]
    fn no_message_body_of_a_client_makes_the_decoder_panic(body in prop::collection::vec(any::<u8>(), 9..200)) {
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(&body);
        let _ = decode_one(&bytes);
    }

    #[test]
    fn messages_are_decoded_however_the_input_is_split(chunk_sizes in prop::collection::vec(1_usize..40, 1..30), count in 1_usize..5) {
        let all: Vec<u8> = (0..count as u64).flat_map(|n| message(1, n + 1, &PLACEMENT_REQUEST)).collect();
        let (mut reader, mut start, mut ids) = (client::Reader::default(), 0, Vec::new());
        for size in chunk_sizes.into_iter().chain([all.len()]) {
            let end = (start + size).min(all.len());
            reader.push(&all[start..end]);
            start = end;
            while let Some(message) = reader.next_message().unwrap() {
                let Ok(FromClient::PlacementRequest(request)) = message else { panic!("not a placement request") };
                ids.push(request.id);
            }
        }
        prop_assert_eq!(ids, (1..=count as u64).collect::<Vec<_>>());
        prop_assert!(!reader.is_partial());
    }

    #[test]
    fn no_line_of_a_host_makes_the_reader_panic(text in "\\PC{0,200}", split in 0_usize..200) {
        let mut reader = host::Reader::default();
        let bytes = text.as_bytes();
        let split = split.min(bytes.len());
        reader.push(&bytes[..split]);
        let _ = reader.next_message();
        reader.push(&bytes[split..]);
        reader.push(b"\n");
        while let Ok(Some(_)) = reader.next_message() {}
    }

    #[test]
    fn no_response_of_discovery_makes_the_decoder_panic(text in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = WatchResponse::read(&text, &names());
    }
}

/// Guards against a line that takes many times its size in memory: thousands of short named numbers, of which a few are used.
#[test]
fn a_line_with_more_named_numbers_than_a_load_report_has_is_rejected() {
    let listed = |count: usize| -> String {
        let numbers = (0..count).map(|n| format!("x{n:x}:1"));
        numbers.collect::<Vec<_>>().join(";")
    };
    let by_name = |count: usize| -> String {
        let numbers = (0..count).map(|n| format!(r#""x{n:x}":1"#));
        numbers.collect::<Vec<_>>().join(",")
    };
    let id = "9b1f03aa5c7e2d41";
    for (count, is_valid) in [
        (host::MAX_FIGURES, true),
        (host::MAX_FIGURES + 1, false),
        (1_500, false),
    ] {
        let (listed, by_name) = (listed(count), by_name(count));
        for fields in [format!(r#""load":"{listed}""#), by_name] {
            for (kind, cause) in [("pong", 1), ("release", 34)] {
                let line = format!(
                    r#"{{"type":"{kind}","id":"{id}","fields":{{{fields}}},"cause":{cause}}}"#
                );
                let decoded = decode_line(&line);
                if is_valid {
                    assert!(matches!(decoded, Ok(Some(_))), "{count}: {decoded:?}");
                } else {
                    let error = host::Unreadable::InvalidLine(host::LineError::TooManyFigures);
                    assert_eq!(decoded, Err(error), "{count}");
                }
            }
        }
    }
}
