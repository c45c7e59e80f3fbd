//! Messages of simulated clients, hosts and discovery.

use std::collections::BTreeMap;

use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::client::PlacementRequest;
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::host::FromHost;

/// A host's JSON entry in an endpoint list of discovery; `port` is on the loopback address.
pub fn host_entry(id: &str, port: u16, site: &str, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{id}","dial":"127.0.0.1:{port}","site":"{site}","class":"std","block":1,"health":"{health}","born_ms":{born_ms},"room":[64,256]}}"#
    )
}

/// A response of discovery with one event: the list of all hosts if `whole`, else changed entries only.
pub fn watch_response(rev: u64, whole: bool, lines: &[String]) -> WatchResponse {
    let names = Names {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["std".into()],
    };
    let lines = lines.join(",");
    let text = format!(
        r#"{{"rev":{rev},"notices":[{{"rev":{rev},"pool":{{"whole":{whole},"hosts":[{lines}]}}}}]}}"#
    );
    WatchResponse::read(text.as_bytes(), &names)
        .expect("the simulated discovery response must be valid")
}

/// A placement request whose deadline is in `left_ms`.
pub fn placement_request(id: u64, class: &str, left_ms: u64) -> PlacementRequest {
    PlacementRequest {
        id,
        class: class.to_owned(),
        left_ms,
        tenant: Some("radio".to_owned()),
        is_retry: false,
        key: id ^ 0xabc,
        idempotency_key: (class == "take").then(|| format!("{id:032x}")),
        cores: 0.5,
        memory: 1.0,
        service: 7,
        runs_at: None,
        description: format!("for {id}"),
    }
}

/// A host's message that an attempt or a task ended.
pub(super) fn host_release(id: u64, cause: u8) -> FromHost {
    FromHost::Release {
        id,
        cause,
        reason: None,
        figures: BTreeMap::new(),
    }
}

/// A host's message that a task has ended.
pub fn task_end(id: u64) -> FromHost {
    host_release(id, GIVEN_UP)
}

/// The classes in `settings.json`.
pub const CLASSES: [&str; 3] = ["play", "take", "print"];

/// Entries of `count` active hosts, alternating between two zones.
pub fn hosts(count: u16) -> Vec<String> {
    (1..=count)
        .map(|n| {
            host_entry(
                &format!("h-{n}"),
                n,
                if n % 2 == 0 { "east" } else { "west" },
                "active",
                0,
            )
        })
        .collect()
}
