use super::*;
use reedring_node_protocol::Message;

fn counts() -> PlacerCounts {
    let (traffic, mut all) = (PeerTraffic::default(), PlacerCounts::default());
    traffic
        .of("hollow-1")
        .record_written(&Message::Probe { nonce: 1 }, 20);
    traffic.of("hollow-2").record_read(
        &Message::Report {
            nonce: 1,
            report: Vec::new(),
        },
        30,
    );
    traffic
        .of("real-1")
        .record_written(&Message::Probe { nonce: 2 }, 40);
    all.add_peers("placer-1", &traffic, |peer| peer.starts_with("hollow-"));
    all
}

#[test]
fn a_line_is_read_back_and_holds_the_wanted_peers_alone() {
    let all = counts();
    assert_eq!(PlacerCounts::parse(&all.to_string()).as_ref(), Some(&all));
    assert_eq!(
        all.sum().total(Share::Whole),
        Count {
            messages: 2,
            bytes: 50
        }
    );
    assert_eq!(all.sum().total(Share::Control), Count::default());
    for wrong in [
        "count a",
        "counts a:b",
        "counts a:probe:1:2:3",
        "counts a:probe:1:2:3:x",
    ] {
        assert_eq!(PlacerCounts::parse(wrong), None, "{wrong}");
    }
}

#[test]
fn sums_and_differences_are_taken_kind_by_kind() {
    let (once, mut twice) = (counts(), counts());
    twice.add(&once);
    assert_eq!(
        twice.sum().total(Share::Work),
        Count {
            messages: 4,
            bytes: 100
        }
    );
    assert_eq!(twice.since(&once), once);
}
