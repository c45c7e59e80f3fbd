use std::time::Duration;

use reedring_node_protocol::{AttemptId, FrameDecoder, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::*;

/// The last link of the task under test, before its first one here.
const LAST_LINK: u64 = 4;

/// The task of a link to a node behind this listener.
fn task_of(listener: &TcpListener, inbound: InboundSender) -> LinkTask {
    LinkTask {
        node: "n".into(),
        address: listener.local_addr().unwrap(),
        link: LinkNumber::from(LAST_LINK),
        context: Arc::new(PlacerContext::for_tests()),
        inbound,
        permit: ReconnectScheduler::new("p", 1).add_link(""),
        versions: VersionNegotiation::default(),
        traffic: None,
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

async fn send_welcome(node: &mut TcpStream) {
    let welcome = Message::Welcome {
        node: "n".into(),
        incarnation: 1,
        up_ms: 0,
        can_suspend: false,
        acceptor_report: None,
    };
    node.write_all(&encode(&welcome)).await.unwrap();
}

/// A message for the link of this number.
fn addressed(link: u64, message: Message) -> AddressedMessage {
    AddressedMessage {
        link: Some(LinkNumber::from(link)),
        message,
    }
}

/// The first messages that a node reads.
async fn read_messages(node: &mut TcpStream, count: usize) -> Vec<Message> {
    let (mut reader, mut buffer, mut messages) = (FrameDecoder::default(), [0; 256], Vec::new());
    while messages.len() < count {
        let read = node.read(&mut buffer).await.unwrap();
        assert!(read > 0, "{messages:?}");
        reader.push(&buffer[..read]);
        while let Ok(Some((message, _))) = reader.next_message() {
            messages.push(message);
        }
    }
    messages
}

/// A core behind a backlog sends on for an older link after the newer one has reported what its node runs.
#[tokio::test]
async fn a_message_for_an_older_link_is_not_written_to_a_newer_one() {
    let listener = listen().await;
    let (inbound, mut events) = mpsc::channel(8);
    let task = task_of(&listener, inbound);
    let (out, messages) = mpsc::channel(8);
    out.send(addressed(LAST_LINK, Message::Probe { nonce: 1 }))
        .await
        .unwrap();
    let running = tokio::spawn(task.run(messages));
    let (mut node, _) = listener.accept().await.unwrap();
    send_welcome(&mut node).await;
    let Some(InboundEvent::LinkEstablished { link, .. }) = events.recv().await else {
        panic!("no link")
    };
    out.send(addressed(LAST_LINK, Message::Probe { nonce: 2 }))
        .await
        .unwrap();
    out.send(addressed(link.get(), Message::Probe { nonce: 3 }))
        .await
        .unwrap();
    let read = read_messages(&mut node, 2).await;
    assert!(
        matches!(
            read[..],
            [Message::Hello { .. }, Message::Probe { nonce: 3 }]
        ),
        "{read:?}"
    );
    running.abort();
}

fn offer_of(attempt: AttemptId) -> Message {
    Message::Offer {
        attempt,
        task: Box::default(),
        within_ms: 0,
        stamp: None,
    }
}

/// Such an attempt does not run, and the core must not count it for longer than it takes to learn so.
#[tokio::test]
async fn offers_that_are_never_written_are_reported_to_the_core() {
    for is_reachable in [true, false] {
        let listener = listen().await;
        let (inbound, mut events) = mpsc::channel(8);
        let task = task_of(&listener, inbound);
        let (out, messages) = mpsc::channel(8);
        let attempt = AttemptId {
            incarnation: 1,
            request: 1,
            number: 0,
        };
        out.send(addressed(LAST_LINK, offer_of(attempt)))
            .await
            .unwrap();
        out.send(addressed(LAST_LINK, Message::Probe { nonce: 1 }))
            .await
            .unwrap();
        // Either the next link is established and finds what was meant for the one before, or none can be.
        let listener = is_reachable.then_some(listener);
        let running = tokio::spawn(task.run(messages));
        let mut node = None;
        if let Some(listener) = &listener {
            let (stream, _) = listener.accept().await.unwrap();
            send_welcome(node.insert(stream)).await;
        }
        let first = events.recv().await;
        assert_eq!(
            matches!(first, Some(InboundEvent::LinkEstablished { .. })),
            is_reachable
        );
        let report = tokio::time::timeout(Duration::from_secs(10), events.recv()).await;
        let Ok(Some(InboundEvent::Core(Input::OffersUnwritten(attempts)))) = report else {
            panic!("not reported")
        };
        assert_eq!(attempts, [attempt]);
        running.abort();
    }
}

/// Answers every hello, for as long as the task runs.
fn spawn_nodes(listener: TcpListener) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connected = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            send_welcome(&mut stream).await;
            connected.push(stream);
        }
    })
}

/// How many links were established, and how many attempts failed.
#[derive(Debug, Default)]
struct LinkCounts {
    established: usize,
    failed: usize,
}

async fn count_until(events: &mut mpsc::Receiver<InboundEvent>, deadline: Instant) -> LinkCounts {
    let mut counts = LinkCounts::default();
    while let Ok(Some(event)) = tokio::time::timeout_at(deadline, events.recv()).await {
        match event {
            InboundEvent::LinkEstablished { .. } => counts.established += 1,
            InboundEvent::Core(Input::LinkDown { .. }) => counts.failed += 1,
            _ => {}
        }
    }
    counts
}

/// A hundred nodes of a zone behind one address, which refuses connections and then no longer does.
#[tokio::test]
async fn a_zone_that_is_cut_off_is_tried_at_its_own_rate_and_reached_as_soon_as_it_returns() {
    use reedring_core::reconnect::{ZONE_BURST, ZONE_RATE};
    const NODES: usize = 100;
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (inbound, mut events) = mpsc::channel(1_024);
    let mut links = LinkSupervisor::new(Arc::new(PlacerContext::for_tests()), inbound);
    let started = Instant::now();
    for n in 0..NODES {
        links.connect(
            format!("node-{n}"),
            NodeLocation {
                address,
                zone: "hall".to_owned(),
            },
        );
    }
    let counts = count_until(&mut events, started + Duration::from_secs(3)).await;
    assert_eq!(counts.established, 0);
    let most = NODES + (ZONE_BURST + 3 * ZONE_RATE) as usize + 1;
    assert!(
        (NODES + 30..=most).contains(&counts.failed),
        "{counts:?}, {most} attempts at most"
    );
    // A link that nobody wants any more is not tried.
    links.disconnect("node-0");
    let listener = TcpListener::bind(address).await.unwrap();
    let nodes = spawn_nodes(listener);
    let counts = count_until(&mut events, Instant::now() + Duration::from_secs(2)).await;
    assert_eq!(
        counts.established,
        NODES - 1,
        "all others are reached within 2 s"
    );
    nodes.abort();
}
