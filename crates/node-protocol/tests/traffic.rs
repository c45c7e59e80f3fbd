//! Tests of the counters of messages and bytes.

use reedring_node_protocol::{Count, Counts, Message, MessageKind, PeerCounters, PeerTraffic};

#[test]
fn each_message_kind_has_its_own_counter_index_and_name() {
    for (index, kind) in MessageKind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, index);
        let others = &MessageKind::ALL[..index];
        assert!(
            others.iter().all(|other| other.name() != kind.name()),
            "{kind:?}"
        );
    }
}

#[test]
fn a_message_is_counted_only_under_its_kind_direction_and_peer() {
    let traffic = PeerTraffic::default();
    let probe = Message::Probe { nonce: 1 };
    let first_peer = traffic.of("node-1");
    first_peer.record_written(&probe, 20);
    first_peer.record_written(&probe, 22);
    traffic.of("node-1").record_read(
        &Message::Report {
            nonce: 1,
            report: Vec::new(),
        },
        30,
    );
    traffic.of("node-2");
    let peers = traffic.peers();
    let [
        PeerCounters {
            peer: first_name,
            traffic: first_traffic,
        },
        PeerCounters {
            peer: second_name,
            traffic: second_traffic,
        },
    ] = &peers[..]
    else {
        panic!("{} peers instead of two", peers.len())
    };
    assert_eq!(
        (first_name.as_str(), second_name.as_str()),
        ("node-1", "node-2")
    );
    let counts = first_traffic.counts();
    for kind in MessageKind::ALL {
        let expected = |counted: MessageKind, messages, bytes| {
            if kind == counted {
                Count { messages, bytes }
            } else {
                Count::default()
            }
        };
        assert_eq!(
            counts.written[kind as usize],
            expected(MessageKind::Probe, 2, 42),
            "{kind:?}"
        );
        assert_eq!(
            counts.read[kind as usize],
            expected(MessageKind::Report, 1, 30),
            "{kind:?}"
        );
    }
    let unused = second_traffic.counts();
    assert_eq!([unused.written, unused.read], <[Counts; 2]>::default());
}
