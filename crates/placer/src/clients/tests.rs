use std::time::{Duration, Instant};

use reedring_core::Input;
use reedring_drmaa::framing::Reader;
use reedring_drmaa::rpc::{INVALID_REQUEST, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;

use super::*;
use crate::inbound::{InboundEvent, ResponseSender};

/// A client's end of a connection that is served, and what the event loop gets of it.
struct Served {
    client: DuplexStream,
    events: mpsc::Receiver<InboundEvent>,
    responses: ResponseSender,
}

/// Serves a connection that carries so many bytes before the client reads.
async fn serve(carries: usize) -> Served {
    let (client, server) = tokio::io::duplex(carries);
    let (reader, writer) = tokio::io::split(server);
    let (inbound, mut events) = mpsc::channel(8);
    let connection = ClientConnection::new(1, Arc::new(PlacerContext::for_tests()), inbound);
    tokio::spawn(connection.run(ClientStream {
        reader: Box::new(reader),
        writer: Box::new(writer),
    }));
    let Some(InboundEvent::ClientConnected { conn: 1, responses }) = events.recv().await else {
        panic!("no connection")
    };
    Served {
        client,
        events,
        responses,
    }
}

/// An answer of some hundred bytes.
fn response(text: &str) -> Response {
    Response::fault(None, INVALID_REQUEST, text.repeat(100))
}

#[tokio::test]
async fn responses_that_wait_when_a_client_closes_its_side_are_written() {
    let mut served = serve(64).await;
    for text in ["a", "b"] {
        served.responses.send(response(text)).unwrap();
    }
    served.client.shutdown().await.unwrap();
    assert!(matches!(
        served.events.recv().await,
        Some(InboundEvent::Core(Input::ClientDisconnected(1)))
    ));
    let mut bytes = Vec::new();
    served.client.read_to_end(&mut bytes).await.unwrap();
    let mut frames = Reader::new(bytes.len());
    frames.push(&bytes);
    for text in ["a", "b"] {
        let body = String::from_utf8(frames.next_body().unwrap().unwrap()).unwrap();
        assert!(body.contains(&text.repeat(100)), "{body}");
    }
    assert_eq!(frames.next_body(), Ok(None));
    assert!(served.responses.is_closed());
}

#[tokio::test]
async fn a_client_that_closes_its_side_and_reads_nothing_is_left_after_a_second() {
    let mut served = serve(64).await;
    served.responses.send(response("a")).unwrap();
    served.client.shutdown().await.unwrap();
    let started = Instant::now();
    tokio::time::timeout(Duration::from_secs(10), served.responses.closed())
        .await
        .unwrap();
    assert!(
        started.elapsed() >= Duration::from_millis(900),
        "{:?}",
        started.elapsed()
    );
}
