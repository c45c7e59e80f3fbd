//! Fixed bytes of the platform's messages. They decode to the same values and the same values encode to them in every
//! version, because the program at the other end has another version. The literals here must not change with the code.
//!
//! `messages.rs` checks the bytes of refusals, answers, moves and health check results to clients, and decodes answers,
//! releases and health check results of hosts; those cases are not repeated here.

use reedring_platform_protocol::client::{self, FromClient, ToClient};
use reedring_platform_protocol::config::Config;
use reedring_platform_protocol::discovery::{self, Names, WatchResponse};
use reedring_platform_protocol::host::{self, FromHost, ToHost};
use reedring_platform_protocol::{CANCELLED, ERROR, FAILED, GIVEN_UP, NOT_STARTED, REFUSED};

fn from_client(bytes: &[u8]) -> FromClient {
    let mut reader = client::Reader::default();
    reader.push(bytes);
    let message = reader
        .next_message()
        .expect("the length field is valid")
        .expect("the message is complete")
        .expect("the message is valid");
    assert!(!reader.is_partial());
    message
}

#[test]
fn a_placement_request_with_every_parameter_is_decoded() {
    let bytes = b"\x00\xab\x01\x9b\x1f\x03\xaa\x5c\x7e\x2d\x41\
        \xb4\x00\x04take\
        \xb5\x00\x041500\
        \xb6\x00\x05radio\
        \xb7\x00\x011\
        \xb8\x00\x107f3a9c21e0b4d655\
        \xb9\x00\x3ccores:0.5;memory:2.25;service:00000000b4d65521;at:host-00017\
        \xc1\x00\x205c0f5c0f5c0f5c0f5c0f5c0f5c0f5c0f\
        \xc3\x00\x10v=0\r\nm=audio 9\r\n";
    let FromClient::PlacementRequest(request) = from_client(bytes) else {
        panic!("not a placement request")
    };
    assert_eq!(
        (request.id, request.class.as_str(), request.left_ms),
        (0x9b1f_03aa_5c7e_2d41, "take", 1_500)
    );
    assert_eq!(
        (request.tenant.as_deref(), request.is_retry),
        (Some("radio"), true)
    );
    assert_eq!(
        (request.key, request.service),
        (0x7f3a_9c21_e0b4_d655, 0xb4d6_5521)
    );
    assert_eq!(
        (request.cores, request.memory, request.runs_at.as_deref()),
        (0.5, 2.25, Some("host-00017"))
    );
    assert_eq!(
        request.idempotency_key.as_deref(),
        Some("5c0f5c0f5c0f5c0f5c0f5c0f5c0f5c0f")
    );
    assert_eq!(request.description, "v=0\r\nm=audio 9\r\n");
}

#[test]
fn all_other_client_messages_are_decoded() {
    let id = 0x0102_0304_0506_0708;
    let bytes = |kind: u8| [&[0, 9, kind], [1, 2, 3, 4, 5, 6, 7, 8].as_slice()].concat();
    assert_eq!(
        from_client(&bytes(12)),
        FromClient::Release {
            id,
            cause: GIVEN_UP
        }
    );
    let release = b"\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x1f";
    assert_eq!(
        from_client(release),
        FromClient::Release {
            id,
            cause: CANCELLED
        }
    );
    assert_eq!(from_client(&bytes(52)), FromClient::HealthCheck(id));
    assert_eq!(from_client(&bytes(16)), FromClient::ReleaseConfirmed(id));
    for ignored in [6, 44, 51, 53] {
        assert_eq!(
            from_client(&bytes(ignored)),
            FromClient::Ignored,
            "{ignored}"
        );
    }
}

#[test]
fn causes_have_the_numbers_of_the_platform() {
    assert_eq!(
        [GIVEN_UP, CANCELLED, REFUSED, FAILED, ERROR, NOT_STARTED],
        [16, 31, 34, 41, 47, 102]
    );
}

#[test]
fn failures_refusals_without_delay_and_failed_health_checks_are_encoded() {
    let id = 0x0102_0304_0506_0708;
    let failure = b"\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x29";
    assert_eq!(ToClient::failure(id, FAILED).encode(), failure);
    let refusal = b"\x00\x0d\x0c\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x22";
    assert_eq!(ToClient::refusal(id, None).encode(), refusal);
    let not_in_service = b"\x00\x0d\x35\x01\x02\x03\x04\x05\x06\x07\x08\xc2\x00\x01\x00";
    assert_eq!(
        ToClient::HealthCheckResult { id, passed: false }.encode(),
        not_in_service
    );
}

#[test]
fn all_messages_to_hosts_are_encoded() {
    let setup = |idem: Option<&str>| ToHost::PlacementRequest {
        id: 0x9b1f,
        class: "play".to_owned(),
        key: 0x7f,
        idempotency_key: idem.map(str::to_owned),
        left_ms: 1_200,
        description: "v=0\r\n\u{e9}\"\\\u{1}".to_owned(),
    };
    let keyed = "{\"type\":\"setup\",\"id\":\"0000000000009b1f\",\"fields\":{\"class\":\"play\",\"idem\":\"5c0f\",\
                 \"key\":\"000000000000007f\",\"left\":\"1200\"},\"sdp\":\"v=0\\r\\n\u{e9}\\\"\\\\\\u0001\"}\n";
    assert_eq!(text(&setup(Some("5c0f"))), keyed);
    assert_eq!(text(&setup(None)), keyed.replace("\"idem\":\"5c0f\",", ""));
    let release = ToHost::Release {
        id: u64::MAX,
        cause: GIVEN_UP,
    };
    assert_eq!(
        text(&release),
        "{\"type\":\"release\",\"id\":\"ffffffffffffffff\",\"fields\":{},\"cause\":16}\n"
    );
    for (wants_report, cause) in [(false, 0), (true, 1)] {
        let health_check = format!(
            "{{\"type\":\"ping\",\"id\":\"0000000000000003\",\"fields\":{{}},\"cause\":{cause}}}\n"
        );
        assert_eq!(
            text(&ToHost::HealthCheck {
                id: 3,
                wants_report
            }),
            health_check
        );
    }
}

fn text(message: &ToHost) -> String {
    String::from_utf8(message.encode()).expect("a line is UTF-8")
}

fn from_host(line: &str) -> FromHost {
    let mut reader = host::Reader::default();
    reader.push(line.as_bytes());
    reader.push(b"\n");
    reader
        .next_message()
        .expect("the line is a message")
        .expect("the line is complete")
}

#[test]
fn notes_of_hosts_are_decoded_to_signals() {
    let note = |name: &str, value: &str| {
        from_host(&format!(
            r#"{{"type":"note","id":"000000000000000a","fields":{{"note":"{name}","value":{value}}}}}"#
        ))
    };
    let signal = |note: reedring::Note| FromHost::TaskSignal { id: 10, note };
    assert_eq!(note("running", "null"), signal(reedring::Note::Runs));
    assert_eq!(
        note("use_cpu", "\"0.25\""),
        signal(reedring::Note::Cores(0.25))
    );
    assert_eq!(note("use_ram", "1.5"), signal(reedring::Note::Memory(1.5)));
    assert_eq!(note("health", "0.75"), signal(reedring::Note::Served(0.75)));
    assert_eq!(note("ram_high", "1"), signal(reedring::Note::Pressure(1.0)));
    assert_eq!(note("weather", "1"), FromHost::Ignored);
}

#[test]
fn reasons_and_load_reports_of_host_releases_are_decoded() {
    for (name, expected) in [
        ("lack_cpu", Some(reedring::Reason::NoCores)),
        ("lack_ram", Some(reedring::Reason::NoMemory)),
        ("backlog", Some(reedring::Reason::Crowded)),
        ("unfit", Some(reedring::Reason::NotHere)),
        ("killed", Some(reedring::Reason::Evicted)),
        ("displaced", Some(reedring::Reason::PushedOut)),
        ("dismissed", Some(reedring::Reason::SentAway)),
        ("tired", None),
    ] {
        let line = format!(
            r#"{{"type":"release","id":"000000000000000a","fields":{{"note":"{name}","x0":2,"load":"x1:3;x2:-1"}},"cause":41}}"#
        );
        let FromHost::Release {
            id: 10,
            cause: FAILED,
            reason,
            figures,
        } = from_host(&line)
        else {
            panic!("{line}")
        };
        assert_eq!(reason, expected, "{name}");
        let figures: Vec<(&str, f64)> = figures
            .iter()
            .map(|(name, value)| (name.as_str(), *value))
            .collect();
        assert_eq!(figures, [("x0", 2.0), ("x1", 3.0), ("x2", -1.0)]);
    }
}

#[test]
fn ignored_messages_and_failed_health_checks_of_hosts_are_decoded() {
    for (kind, message) in [
        ("progress", FromHost::Ignored),
        ("released", FromHost::ReleaseConfirmed(10)),
        ("ping", FromHost::Ignored),
        ("move", FromHost::Ignored),
    ] {
        assert_eq!(
            from_host(&format!(r#"{{"type":"{kind}","id":"000000000000000a"}}"#)),
            message
        );
    }
    let failed =
        from_host(r#"{"type":"pong","id":"00000000000000ff","fields":{"x0":1},"cause":0}"#);
    let FromHost::HealthCheckResult {
        id: 255,
        passed: false,
        figures,
    } = failed
    else {
        panic!("{failed:?}")
    };
    assert_eq!(figures.get("x0"), Some(&1.0));
}

const RESPONSE: &str = r#"{"rev":9,"notices":[
    {"rev":7,"pool":{"seq":3,"whole":true,"hosts":[
        {"host":"h-1","dial":"10.1.2.3:9000","site":"east","class":"std","block":1,"health":"active","share":4,
         "born_ms":1700000000123,"room":[1.5,-2]},
        {"host":"h-2","dial":"[::1]:9001","site":"west","class":"big","block":65535,"health":"leaving"}]}},
    {"rev":8,"pool":null},
    {"rev":9,"pool":{"whole":false,"hosts":[
        {"host":"h-2","dial":"[::1]:9001","site":"west","class":"big","block":2,"health":"left","born_ms":0,
         "room":null}]}}]}"#;

fn names() -> Names {
    let owned = |names: [&str; 2]| names.map(str::to_owned).to_vec();
    Names {
        zones: owned(["east", "west"]),
        kinds: owned(["std", "big"]),
    }
}

fn assert_response(response: &WatchResponse) {
    assert_eq!(response.revision, 9);
    assert_eq!(
        response
            .events
            .iter()
            .map(|event| event.revision)
            .collect::<Vec<_>>(),
        [7, 8, 9]
    );
    assert_eq!(response.events[1].endpoints, None);
    let lists: Vec<&discovery::EndpointList> = response
        .events
        .iter()
        .filter_map(|event| event.endpoints.as_ref())
        .collect();
    assert_eq!(
        lists
            .iter()
            .map(|list| (list.is_snapshot, list.hosts.len()))
            .collect::<Vec<_>>(),
        [(true, 2), (false, 1)]
    );
    let (first, second, last) = (&lists[0].hosts[0], &lists[0].hosts[1], &lists[1].hosts[0]);
    assert_eq!(
        (first.name.as_str(), first.address.to_string().as_str()),
        ("h-1", "10.1.2.3:9000")
    );
    assert_eq!(
        (first.zone.as_str(), first.kind.as_str(), first.cell),
        ("east", "std", 1)
    );
    assert_eq!(
        (first.started_at_ms, first.free),
        (1_700_000_000_123, Some([1.5, -2.0]))
    );
    assert_eq!(first.health, discovery::HostHealth::Active);
    assert_eq!(
        (second.name.as_str(), second.address.to_string().as_str()),
        ("h-2", "[::1]:9001")
    );
    assert_eq!(
        (second.cell, second.started_at_ms, second.free),
        (65_535, 0, None)
    );
    assert_eq!(
        (second.health, last.health),
        (discovery::HostHealth::Draining, discovery::HostHealth::Left)
    );
    assert_eq!((last.cell, last.free), (2, None));
}

#[test]
fn a_response_of_discovery_is_decoded() {
    assert_response(
        &WatchResponse::read(RESPONSE.as_bytes(), &names()).expect("the response is valid"),
    );
}

#[test]
fn a_configuration_with_every_key_is_decoded() {
    let text = include_str!("wire/config.json").replace("\"EVENTS\"", RESPONSE);
    let config = Config::read(&text).expect("the configuration is valid");
    assert_eq!(
        (config.name.as_str(), config.listen.to_string().as_str()),
        ("n1", "127.0.0.1:7001")
    );
    assert_eq!(
        (config.seed, config.discovery.to_string().as_str()),
        (0x8c1f_30d2_7a5b_e964, "127.0.0.1:7002")
    );
    assert_eq!(
        (
            config.limits.cores,
            config.limits.memory_mb,
            config.limits.sockets
        ),
        (1.5, 48, 256)
    );
    assert_response(&config.known);
    let settings = &config.settings;
    assert!(settings.lists_free);
    assert_eq!(settings.classes, ["play", "take", "print"]);
    assert_eq!(settings.tenants, ["radio", "press"]);
    assert_eq!(settings.zones, ["east", "west"]);
    assert_eq!(settings.kinds, ["std", "big"]);
    assert_eq!(settings.report, ["x0", "x1", "x2"]);
    assert_eq!(
        (settings.idle_close_us, settings.per_connection),
        (Some(30_000_000), Some(100))
    );
    assert_eq!(settings.longest_wait_us, Some(2_500_000));
    assert_module_settings(&settings.module);
}

fn assert_module_settings(module: &reedring::Settings) {
    use reedring::{Effect, Group, Place, ReportField, ReportStyle};
    assert_eq!(
        (module.schedulers, module.position, module.zone),
        (3, Some(1), Some(1))
    );
    let classes = &module.classes;
    let effects: Vec<(Effect, Group)> = classes
        .iter()
        .map(|class| (class.effect, class.group))
        .collect();
    assert_eq!(
        effects,
        [
            (Effect::Safe, Group::Cell),
            (Effect::Keyed, Group::Zone),
            (Effect::Unsafe, Group::All)
        ]
    );
    let times: Vec<(Option<u64>, u64)> = classes
        .iter()
        .map(|class| (class.window_us, class.aim_us))
        .collect();
    assert_eq!(
        times,
        [
            (None, 700_000),
            (Some(5_000_000), 800_000),
            (None, 2_000_000)
        ]
    );
    let places: Vec<Option<(Place, u32)>> = classes.iter().map(|class| class.spread).collect();
    assert_eq!(
        places,
        [
            Some((Place::Machine, 1)),
            Some((Place::Cell, 2)),
            Some((Place::Zone, 3))
        ]
    );
    assert_eq!(
        classes.iter().map(|class| class.kind).collect::<Vec<_>>(),
        [Some(0), Some(1), None]
    );
    assert_eq!(
        classes.iter().map(|class| class.calm).collect::<Vec<_>>(),
        [Some(0.5), Some(0.6), Some(0.7)]
    );
    let kinds: Vec<_> = module
        .kinds
        .iter()
        .map(|kind| (kind.cores, kind.memory))
        .collect();
    assert_eq!(
        kinds,
        [(Some(64.0), Some(256.0)), (Some(128.0), Some(512.0))]
    );
    assert_eq!(
        (module.accepts_cores, module.accepts_memory),
        (Some(2.0), Some(1.5))
    );
    assert_eq!(
        (module.mean_cores, module.mean_memory),
        (Some(1.25), Some(2.75))
    );
    assert!(module.list_on_request && module.report_counts_requests && module.yes_when_running);
    assert_eq!(module.report_style, ReportStyle::Probes);
    assert_eq!(
        module.report_fields,
        [ReportField::Cores, ReportField::Memory, ReportField::Other]
    );
    let rules = &module.rules;
    assert_eq!(
        (rules.max_attempts, rules.may_stop, rules.may_probe),
        (Some(4), true, true)
    );
    assert_eq!(
        (rules.connect_timeout_us, rules.warm_after_us),
        (Some(250_000), Some(60_000_000))
    );
    assert_eq!(
        (rules.slow_start_window_us, rules.slow_start_offers),
        (Some(2_000_000), Some(8.5))
    );
    assert_eq!(rules.must_ask_us, Some(10_000_000));
    assert_eq!(
        (module.prices.fleet, module.prices.cross_zone),
        (Some(40.0), Some(12.5))
    );
}
