//! The order in which the loop takes in and writes.

use reedring_platform_protocol::config::Limits;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::*;

/// A drain counts from when it was told, however much waits before it.
#[tokio::test]
async fn the_list_goes_before_all_that_waits() {
    for _ in 0..32 {
        let (list, mut listed) = mpsc::channel(LISTED);
        let (came, mut coming) = mpsc::channel(INPUTS);
        for conn in 0..INPUTS as u64 {
            came.try_send(Incoming::Input(Input::ClientGone(conn)))
                .ok()
                .unwrap();
        }
        list.try_send(Input::DiscoveryLost("a".to_owned())).unwrap();
        let told = next(&mut listed, &mut coming, &mut Vec::new(), None).await;
        assert!(matches!(&told[..], [Input::DiscoveryLost(_)]), "{told:?}");
    }
}

/// Seen on split+mass: the word that gave an attempt up left after the next set-up on another connection, as the
/// first one's task waited for the engine. Nothing but the loop may be needed to write it, and it writes it first.
#[tokio::test]
async fn an_attempt_is_given_up_before_the_next_one_leaves() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (came, _coming) = mpsc::channel(4);
    let mut shell = Shell {
        clients: BTreeMap::new(),
        links: BTreeMap::new(),
        connect: Duration::from_secs(1),
        places: Places::new(&Bounds::of(&Limits {
            cores: 1.0,
            memory_mb: 32,
            sockets: 64,
        })),
        budget: Budget::default(),
        most: 1 << 20,
        touched_clients: Vec::new(),
        touched_links: Vec::new(),
        stop: None,
        came,
        second: (0, 0),
    };
    let mut ends = Vec::new();
    for link in [1, 2] {
        let (sender, messages) = outbox(&shell.budget);
        let stream = std::sync::Arc::new(TcpStream::connect(address).await.unwrap());
        stream.writable().await.unwrap();
        messages.attach(&stream, Vec::new());
        shell.links.insert(link, sender);
        ends.push((listener.accept().await.unwrap().0, messages));
    }
    let setup = ToHost::PlacementRequest {
        id: 7,
        class: "play".to_owned(),
        key: 1,
        idem: None,
        left_ms: 100,
        description: "x".to_owned(),
    };
    // Both in one turn, whatever else was meant for the second before.
    shell.carry_out(
        0,
        Output::ToHost(
            2,
            ToHost::Test {
                id: 1,
                report: false,
            },
        ),
    );
    shell.carry_out(
        0,
        Output::ToHost(
            1,
            ToHost::Release {
                id: 7,
                cause: GIVEN_UP,
            },
        ),
    );
    shell.carry_out(0, Output::ToHost(2, setup));
    let mut bytes = [0; 256];
    let count = ends[0].0.read(&mut bytes).await.unwrap();
    assert!(
        std::str::from_utf8(&bytes[..count])
            .unwrap()
            .contains("release")
    );
    assert_eq!(
        ends[1].1.begun(),
        0,
        "the set-up waits for the end of the turn"
    );
    shell.write();
    let count = ends[1].0.read(&mut bytes).await.unwrap();
    assert!(
        std::str::from_utf8(&bytes[..count])
            .unwrap()
            .contains("setup")
    );
    // A connection that is closed has ended for its host before anything else is done.
    shell.carry_out(0, Output::CloseLink(2));
    assert_eq!(ends[1].0.read(&mut bytes).await.unwrap(), 0);
}
