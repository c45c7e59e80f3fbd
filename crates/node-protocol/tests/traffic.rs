//! Counters of messages and bytes.

use reedring_node_protocol::{Count, Counts, Message, MessageKind, PeerCounters, PeerTraffic};

#[test]
fn kinds_index_their_counters_and_have_distinct_names() {
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
fn each_message_is_counted_with_its_kind_direction_and_peer_alone() {
    let traffic = PeerTraffic::default();
    let probe = Message::Probe { nonce: 1 };
    let link = traffic.of("node-1");
    link.record_written(&probe, 20);
    link.record_written(&probe, 22);
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
            peer: first,
            traffic: of_first,
        },
        PeerCounters {
            peer: second,
            traffic: of_second,
        },
    ] = &peers[..]
    else {
        panic!("two peers")
    };
    assert_eq!((first.as_str(), second.as_str()), ("node-1", "node-2"));
    let counts = of_first.counts();
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
    let none = of_second.counts();
    assert_eq!([none.written, none.read], <[Counts; 2]>::default());
}
