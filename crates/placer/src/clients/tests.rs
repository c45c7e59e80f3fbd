use std::time::{Duration, Instant};

use reedring_core::Input;
use reedring_drmaa::framing::Reader;
use reedring_drmaa::rpc::{INVALID_REQUEST, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

use super::*;
use crate::inbound::{InboundEvent, ResponseSender};

/// The client's end of a connection, and the event loop's ends of its queues.
struct ServedConnection {
    client: DuplexStream,
    events: mpsc::Receiver<InboundEvent>,
    responses: ResponseSender,
}

/// Serves a connection that buffers `capacity` bytes in each direction.
async fn serve(capacity: usize) -> ServedConnection {
    let (client, server) = tokio::io::duplex(capacity);
    let (reader, writer) = tokio::io::split(server);
    let (inbound, mut events) = mpsc::channel(8);
    let connection = ClientConnection::new(1, Arc::new(PlacerContext::for_tests()), inbound);
    tokio::spawn(connection.run(ClientStream {
        reader: Box::new(reader),
        writer: Box::new(writer),
    }));
    let Some(InboundEvent::ClientConnected { conn: 1, responses }) = events.recv().await else {
        panic!("the first event is not a client connection with number 1")
    };
    ServedConnection {
        client,
        events,
        responses,
    }
}

/// A response of more than 100 bytes, which exceeds the capacity of the connection.
fn response(text: &str) -> Response {
    Response::fault(None, INVALID_REQUEST, text.repeat(100))
}

#[tokio::test]
async fn responses_queued_when_a_client_closes_its_side_are_written() {
    let mut connection = serve(64).await;
    for text in ["a", "b"] {
        connection.responses.send(response(text)).unwrap();
    }
    connection.client.shutdown().await.unwrap();
    assert!(matches!(
        connection.events.recv().await,
        Some(InboundEvent::Core(Input::ClientDisconnected(1)))
    ));
    let mut bytes = Vec::new();
    connection.client.read_to_end(&mut bytes).await.unwrap();
    let mut frames = Reader::new(bytes.len());
    frames.push(&bytes);
    for text in ["a", "b"] {
        let body = String::from_utf8(frames.next_body().unwrap().unwrap()).unwrap();
        assert!(body.contains(&text.repeat(100)), "{body}");
    }
    assert_eq!(frames.next_body(), Ok(None));
    assert!(connection.responses.is_closed());
}

#[tokio::test]
async fn a_connection_is_closed_a_second_after_its_client_closes_its_side_without_reading() {
    let mut connection = serve(64).await;
    connection.responses.send(response("a")).unwrap();
    connection.client.shutdown().await.unwrap();
    let started = Instant::now();
    tokio::time::timeout(Duration::from_secs(10), connection.responses.closed())
        .await
        .unwrap();
    assert!(
        started.elapsed() >= Duration::from_millis(900),
        "{:?}",
        started.elapsed()
    );
}
