use std::time::Duration;

use reedring_node_protocol::{AttemptId, FrameDecoder, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::*;

/// Number of the link before the first link of the task under test.
const PREVIOUS_LINK: u64 = 4;

/// A link task for a node that accepts connections on this listener.
fn link_task_to(listener: &TcpListener, inbound: InboundSender) -> LinkTask {
    LinkTask {
        node: "n".into(),
        address: listener.local_addr().unwrap(),
        link: LinkNumber::from(PREVIOUS_LINK),
        context: Arc::new(PlacerContext::for_tests()),
        inbound,
        permit: ReconnectScheduler::new("p", 1).add_link(""),
        versions: VersionNegotiation::default(),
        traffic: None,
    }
}

async fn bind_listener() -> TcpListener {
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

/// A message that the core addressed to the link of this number.
fn addressed(link: u64, message: Message) -> AddressedMessage {
    AddressedMessage {
        link: Some(LinkNumber::from(link)),
        message,
    }
}

/// Reads the first `count` messages that the placer sends to a node.
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

/// Guards against a core with a backlog: it handles the new link late, and until then sends messages that are
/// addressed to the older link, although the node has already reported its running tasks on the new one.
#[tokio::test]
async fn a_message_for_an_older_link_is_not_written_to_a_newer_one() {
    let listener = bind_listener().await;
    let (inbound, mut events) = mpsc::channel(8);
    let task = link_task_to(&listener, inbound);
    let (out, messages) = mpsc::channel(8);
    out.send(addressed(PREVIOUS_LINK, Message::Probe { nonce: 1 }))
        .await
        .unwrap();
    let running = tokio::spawn(task.run(messages));
    let (mut node, _) = listener.accept().await.unwrap();
    send_welcome(&mut node).await;
    let Some(InboundEvent::LinkEstablished { link, .. }) = events.recv().await else {
        panic!("the first event is not an established link")
    };
    out.send(addressed(PREVIOUS_LINK, Message::Probe { nonce: 2 }))
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

fn offer(attempt: AttemptId) -> Message {
    Message::Offer {
        attempt,
        task: Box::default(),
        within_ms: 0,
        stamp: None,
    }
}

/// An attempt whose offer is never written can't run. Without the report the core would go on counting it as pending.
#[tokio::test]
async fn offers_that_are_never_written_are_reported_to_the_core() {
    for is_reachable in [true, false] {
        let listener = bind_listener().await;
        let (inbound, mut events) = mpsc::channel(8);
        let task = link_task_to(&listener, inbound);
        let (out, messages) = mpsc::channel(8);
        let attempt = AttemptId {
            incarnation: 1,
            request: 1,
            number: 0,
        };
        out.send(addressed(PREVIOUS_LINK, offer(attempt)))
            .await
            .unwrap();
        out.send(addressed(PREVIOUS_LINK, Message::Probe { nonce: 1 }))
            .await
            .unwrap();
        // If the node is reachable, the next link is established and discards messages that were addressed to the
        // previous one. Otherwise no link is established, and the messages are discarded while the task waits.
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
            panic!("the offer was not reported as unwritten within 10 s")
        };
        assert_eq!(attempts, [attempt]);
        running.abort();
    }
}

/// Spawns a task that sends a welcome on every connection, and keeps the connections open until it is aborted.
fn spawn_nodes(listener: TcpListener) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut connected = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            send_welcome(&mut stream).await;
            connected.push(stream);
        }
    })
}

/// Number of links that were established, and of attempts that failed.
#[derive(Debug, Default)]
struct LinkCounts {
    established: usize,
    failed: usize,
}

/// Counts the events of links until the deadline.
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

/// A hundred nodes of one zone share an address that first refuses connections and later accepts them. Guards against
/// retries of an unreachable zone above its rate, and against links that stay down after the zone has returned.
#[tokio::test]
async fn an_unreachable_zone_is_retried_at_its_rate_limit_and_reconnected_within_2_s_of_its_return()
{
    use reedring_core::reconnect::{ZONE_BURST, ZONE_RATE};
    const NODES: usize = 100;
    let listener = bind_listener().await;
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
    let max_failed = NODES + (ZONE_BURST + 3 * ZONE_RATE) as usize + 1;
    assert!(
        (NODES + 30..=max_failed).contains(&counts.failed),
        "{counts:?}, expected at most {max_failed} failed attempts"
    );
    // The link to this node is no longer requested, so it must not be attempted.
    links.disconnect("node-0");
    let listener = TcpListener::bind(address).await.unwrap();
    let nodes = spawn_nodes(listener);
    let counts = count_until(&mut events, Instant::now() + Duration::from_secs(2)).await;
    assert_eq!(
        counts.established,
        NODES - 1,
        "all other nodes are connected within 2 s"
    );
    nodes.abort();
}
