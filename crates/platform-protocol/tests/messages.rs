//! Messages as they cross the sockets: whole, cut anywhere, and wrong in every way that was thought of.

mod wire;

use proptest::prelude::*;
use reedring_platform_protocol::client::{self, FromClient, InvalidMessage, ToClient};
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::host::{self, FromHost, ToHost};
use reedring_platform_protocol::{FULL, MAX, config};
use wire::message;

const SETUP: [(u8, &[u8]); 6] = [
    (180, b"play"),
    (181, b"1500"),
    (182, b"radio"),
    (184, b"7f3a9c21e0b4d655"),
    (185, b"cores:1;memory:2.5;service:00000000b4d65521"),
    (195, b"v=0\r\nm=audio 9\r\n"),
];

/// A good set-up in which one parameter is another; `None` leaves it out.
fn with(code: u8, value: Option<&[u8]>) -> Vec<u8> {
    let mut parameters: Vec<(u8, &[u8])> = SETUP
        .into_iter()
        .filter(|(other, _)| *other != code)
        .collect();
    parameters.extend(value.map(|value| (code, value)));
    message(1, 5, &parameters)
}

fn one(bytes: &[u8]) -> Result<FromClient, InvalidMessage> {
    let mut reader = client::Reader::default();
    reader.push(bytes);
    let message = reader
        .next_message()
        .expect("it can be told apart")
        .expect("it is whole");
    assert!(!reader.is_partial());
    message
}

#[test]
fn a_set_up_is_read_whole() {
    let Ok(FromClient::PlacementRequest(setup)) = one(&message(1, 5, &SETUP)) else {
        panic!("no set-up")
    };
    assert_eq!(
        (setup.id, setup.class.as_str(), setup.left_ms),
        (5, "play", 1_500)
    );
    assert_eq!(
        (setup.cores, setup.memory, setup.service),
        (1.0, 2.5, 0xb4d6_5521)
    );
    assert_eq!(
        (setup.key, setup.is_retry, setup.runs_at),
        (0x7f3a_9c21_e0b4_d655, false, None)
    );
    assert_eq!(setup.description, "v=0\r\nm=audio 9\r\n");
    let handed = with(
        185,
        Some(b"cores:1;memory:2;service:00000000b4d65521;at:h-1"),
    );
    let Ok(FromClient::PlacementRequest(setup)) = one(&handed) else {
        panic!("no set-up")
    };
    assert_eq!(setup.runs_at.as_deref(), Some("h-1"));
    // A task that stands already is handed over with the longest time there is.
    assert!(one(&with(181, Some(b"4294967"))).is_ok());
}

#[test]
fn what_can_be_told_apart_but_not_used_names_its_id() {
    let figures: &[&[u8]] = &[
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
    let times: &[&[u8]] = &[
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
    let mut wrong: Vec<Vec<u8>> = figures.iter().map(|value| with(185, Some(value))).collect();
    wrong.extend(times.iter().map(|value| with(181, Some(value))));
    wrong.extend([180, 181, 184, 185, 195].map(|code| with(code, None)));
    wrong.extend([180, 182, 195].map(|code| with(code, Some(b"\xc3\x28"))));
    wrong.push(with(184, Some(b"7f3a9c21e0b4d65")));
    wrong.push(with(183, Some(b"yes")));
    wrong.push(with(99, Some(b"?")));
    wrong.push(message(
        1,
        5,
        &[SETUP.as_slice(), &[(180, b"play")]].concat(),
    ));
    wrong.push(message(123, 5, &[]));
    wrong.push(message(9, 5, &SETUP));
    wrong.push(message(12, 5, &[(194, b"16")]));
    for bytes in wrong {
        let unusable = one(&bytes).expect_err("it was taken");
        assert_eq!(unusable.id, 5, "{unusable}");
    }
    let mut cut = message(1, 5, &SETUP);
    cut.truncate(cut.len() - 1);
    let length = (cut.len() - 2) as u16;
    cut[..2].copy_from_slice(&length.to_be_bytes());
    assert!(
        one(&cut).is_err(),
        "its last parameter is longer than the message"
    );
    assert!(one(&message(1, 0, &SETUP)).is_err(), "it has no id");
}

#[test]
fn lengths_that_are_none_end_a_connection() {
    for length in (0..9).chain([MAX as u16 - 1, MAX as u16, u16::MAX]) {
        let mut reader = client::Reader::default();
        reader.push(&length.to_be_bytes());
        assert!(reader.next_message().is_err(), "{length}");
    }
}

#[test]
fn messages_to_clients_have_the_platforms_numbers() {
    let refusal = ToClient::refusal(5, Some(250)).encode();
    assert_eq!(refusal, message(12, 5, &[(186, b"250"), (194, &[FULL])]));
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

fn line(text: &str) -> Result<Option<FromHost>, host::Unreadable> {
    let mut reader = host::Reader::default();
    reader.push(text.as_bytes());
    reader.push(b"\n");
    reader.next_message()
}

#[test]
fn hosts_are_understood() {
    let answer = line(r#"{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{},"sdp":"x\r\n"}"#);
    let description = "x\r\n".to_owned();
    assert_eq!(
        answer,
        Ok(Some(FromHost::Answer {
            id: 0x9b1f_03aa_5c7e_2d41,
            description
        }))
    );
    let full = line(
        r#"{"type":"release","id":"9b1f03aa5c7e2d41","fields":{"note":"lack_ram","x0":"1.5"},"cause":34}"#,
    );
    let Ok(Some(FromHost::Release {
        cause: FULL,
        reason,
        figures,
        ..
    })) = full
    else {
        panic!("{full:?}")
    };
    assert_eq!(reason, Some(reedring::Reason::NoMemory));
    assert_eq!(figures.get("x0"), Some(&1.5));
    let note =
        line(r#"{"type":"note","id":"9b1f03aa5c7e2d41","fields":{"note":"use_cpu","value":0.5}}"#);
    assert!(matches!(
        note,
        Ok(Some(FromHost::TaskSignal {
            note: reedring::Note::Cores(0.5),
            ..
        }))
    ));
    let pong = line(r#"{"type":"pong","id":"0000000000000001","fields":{},"cause":1}"#);
    assert!(matches!(
        pong,
        Ok(Some(FromHost::HealthCheckResult {
            id: 1,
            passed: true,
            ..
        }))
    ));
}

/// Seen on palermo-cluster-later: a load report is one text that lists its figures.
#[test]
fn a_load_report_is_read_from_one_text() {
    let pong = r#"{"type":"pong","id":"0000000000000001","fields":{"load":"x0:12.157;x1:-1.399;x2:nan;x3"},"cause":1}"#;
    let Ok(Some(FromHost::HealthCheckResult { figures, .. })) = line(pong) else {
        panic!("{:?}", line(pong))
    };
    assert_eq!(
        figures.into_iter().collect::<Vec<_>>(),
        [("x0".to_owned(), 12.157), ("x1".to_owned(), -1.399)]
    );
    let full = r#"{"type":"release","id":"0000000000000001","fields":{"note":"backlog","load":"x0:3"},"cause":34}"#;
    let Ok(Some(FromHost::Release {
        reason, figures, ..
    })) = line(full)
    else {
        panic!("{:?}", line(full))
    };
    assert_eq!(
        (reason, figures.get("x0")),
        (Some(reedring::Reason::Crowded), Some(&3.0))
    );
}

#[test]
fn lines_that_are_no_messages_end_a_connection() {
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
        assert!(line(text).is_err(), "{text}");
    }
    let mut reader = host::Reader::default();
    reader.push(&vec![b'{'; MAX]);
    assert_eq!(reader.next_message(), Err(host::Unreadable::TooLong));
}

#[test]
fn a_request_is_passed_on_as_the_client_sent_it() {
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

fn notice(rev: u64, what: &str) -> String {
    format!(
        r#"{{"rev":{rev},"pool":{{"seq":1,"whole":false,"hosts":[{{"host":"h-1","dial":"127.0.0.1:9","site":"east",
        "class":"std","block":2,"health":"active","share":4,"born_ms":0,"room":[1.5,2]{what}}}]}}}}"#
    )
}

#[test]
fn an_answer_of_discovery_is_read_whole_or_not_at_all() {
    let read = |rev: u64, notices: &str| {
        WatchResponse::read(
            format!(r#"{{"rev":{rev},"notices":[{notices}]}}"#).as_bytes(),
            &names(),
        )
    };
    let told = read(4, &format!("{},{}", notice(3, ""), notice(4, ""))).unwrap();
    assert_eq!(
        told.events[1].endpoints.as_ref().unwrap().hosts[0].free,
        Some([1.5, 2.0])
    );
    assert!(read(4, "").is_ok());
    assert!(
        read(3, &notice(4, "")).is_err(),
        "an event after the last one"
    );
    assert!(
        read(4, &format!("{},{}", notice(4, ""), notice(3, ""))).is_err(),
        "out of order"
    );
    for (good, bad) in [
        ("east", "west"),
        ("std", "huge"),
        ("active", "asleep"),
        ("127.0.0.1:9", "nowhere"),
        ("[1.5,2]", "[1.5]"),
        ("\"block\":2", "\"block\":-1"),
    ] {
        let text = notice(4, "").replace(good, bad);
        assert_ne!(text, notice(4, ""));
        assert!(
            read(4, &format!("{},{text}", notice(3, ""))).is_err(),
            "{bad}"
        );
    }
    let whole = format!(r#"{{"rev":4,"notices":[{}]}}"#, notice(4, ""));
    for cut in 0..whole.len() {
        assert!(WatchResponse::read(&whole.as_bytes()[..cut], &names()).is_err());
    }
}

#[test]
fn a_wrong_configuration_is_told_with_its_place() {
    for (text, place) in [
        ("", "line 1"),
        ("{}", "name"),
        (r#"{"name":"n1","listen":"here"}"#, "socket address"),
    ] {
        let error = config::Config::read(text)
            .expect_err("it was taken")
            .to_string();
        assert!(error.contains(place), "{error}");
        assert!(!error.contains('\n'), "one line: {error}");
    }
}

proptest! {
    #[test]
    fn no_bytes_of_a_client_make_the_reader_panic(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..20)) {
        let mut reader = client::Reader::default();
        for chunk in chunks {
            reader.push(&chunk);
            while let Ok(Some(_)) = reader.next_message() {}
        }
    }

    #[test]
    fn no_body_that_is_told_apart_makes_the_reader_panic(body in prop::collection::vec(any::<u8>(), 9..200)) {
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(&body);
        let _ = one(&bytes);
    }

    #[test]
    fn cuts_change_nothing(cuts in prop::collection::vec(1_usize..40, 1..30), count in 1_usize..5) {
        let all: Vec<u8> = (0..count as u64).flat_map(|n| message(1, n + 1, &SETUP)).collect();
        let (mut reader, mut at, mut ids) = (client::Reader::default(), 0, Vec::new());
        for cut in cuts.into_iter().chain([all.len()]) {
            let end = (at + cut).min(all.len());
            reader.push(&all[at..end]);
            at = end;
            while let Some(message) = reader.next_message().unwrap() {
                let Ok(FromClient::PlacementRequest(setup)) = message else { panic!("no set-up") };
                ids.push(setup.id);
            }
        }
        prop_assert_eq!(ids, (1..=count as u64).collect::<Vec<_>>());
        prop_assert!(!reader.is_partial());
    }

    #[test]
    fn no_line_of_a_host_makes_the_reader_panic(text in "\\PC{0,200}", cut in 0_usize..200) {
        let mut reader = host::Reader::default();
        let bytes = text.as_bytes();
        let cut = cut.min(bytes.len());
        reader.push(&bytes[..cut]);
        let _ = reader.next_message();
        reader.push(&bytes[cut..]);
        reader.push(b"\n");
        while let Ok(Some(_)) = reader.next_message() {}
    }

    #[test]
    fn no_answer_of_discovery_makes_the_reader_panic(text in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = WatchResponse::read(&text, &names());
    }
}
