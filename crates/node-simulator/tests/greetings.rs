//! A crowd at one node.

use reedring_node_protocol::{
    ConfigDigest, ConfigRequest, ConfigVersion, Message, VersionInfo, VersionStamp,
};
use reedring_node_simulator::{Config, Effect, Groups, Node};
use reedring_plan::ConfigDocument;

fn stamp(number: u64) -> VersionStamp {
    VersionStamp {
        version: ConfigVersion {
            number,
            digest: ConfigDigest([number as u8; 16]),
        },
        joint: false,
        list_revision: 1,
        build: 9,
    }
}

/// 350 placers on three versions greet one node at once: each is told where it stands, in one message, and the node
/// knows how many are behind.
#[test]
fn hundreds_of_placers_on_three_versions_are_greeted_at_once() {
    let (mut node, mut groups) = (Node::new(Config::named("n"), 1, 1, 0), Groups::default());
    let hello = |n: u64| {
        let version_info = VersionInfo {
            stamp: stamp(1 + n % 3),
            build: "build".to_owned(),
        };
        Message::Hello {
            placer: format!("placer-{n}"),
            incarnation: 1,
            link: 1,
            version_info: Some(version_info),
        }
    };
    node.message(0, 0, hello(2), &mut groups);
    let kept = ConfigDocument::new(3, "the plan").unwrap();
    let force = ConfigRequest::Commit {
        version: kept.version(),
        text: "the plan".to_owned(),
        list: 1,
    };
    node.message(1, 0, Message::ConfigRequest(force), &mut groups);
    node.effects();
    for n in 0..350 {
        node.message(2, 1 + n, hello(n), &mut groups);
        let told = node.effects();
        let welcomes = told
            .iter()
            .filter(|effect| matches!(effect, Effect::Send(_, Message::Welcome { .. })))
            .count();
        let records = told
            .iter()
            .filter(|effect| matches!(effect, Effect::Send(_, Message::AcceptorReport(_))))
            .count();
        assert_eq!(
            (welcomes, records),
            (1, 0),
            "one greeting tells nobody else"
        );
    }
    let record = node.record(3);
    assert_eq!(
        (record.committed, record.connected_placers),
        (kept.version(), 350)
    );
    assert_eq!(
        usize::from(record.lagging_placers),
        (0..350).filter(|n| n % 3 < 2).count()
    );
}
