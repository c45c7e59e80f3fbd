//! Accepting client connections, closing them as idle, and reporting their input.

mod input;
mod links;

use std::sync::Arc;

use reedring_platform_protocol::client::FromClient;
use reedring_platform_protocol::config::Limits;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::client::ClientTask;
use super::permits::EXCESS_CLIENTS;
use super::*;
use crate::bounds::Bounds;
use crate::write_buffer::{WriteBudget, WriteBuffer};

fn bounds() -> Bounds {
    Bounds::from_limits(&Limits {
        cores: 1.0,
        memory_mb: 32,
        sockets: 64,
    })
}

fn acceptor(incoming: mpsc::Sender<Incoming>) -> Acceptor {
    Acceptor {
        permits: ConnectionPermits::new(&bounds()),
        budget: WriteBudget::default(),
        input_budget: InputBudget::new(32 << 20),
        incoming,
    }
}

/// Guards against dropping connections at the exit that the system has accepted and the placer has not yet.
#[tokio::test]
async fn queued_connections_are_accepted_after_listening_stops() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    let ((stop, stopped), (sender, mut incoming)) = (oneshot::channel(), mpsc::channel(16));
    drop(stop);
    acceptor(sender).run(listener, stopped).await;
    for _ in 0..8 {
        assert!(matches!(incoming.recv().await, Some(Incoming::Client(..))));
    }
    assert!(
        TcpStream::connect(address).await.is_err(),
        "connections must be refused after the acceptor ended"
    );
}

/// A client's connection, and the placer's side of it.
struct ServedClient {
    client: TcpStream,
    writer: MessageWriter,
    incoming: mpsc::Receiver<Incoming>,
    task: tokio::task::JoinHandle<()>,
}

/// Connects a client and starts the placer's task for it.
async fn serve_client() -> ServedClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let stream = Arc::new(listener.accept().await.unwrap().0);
    let WriteBuffer { writer, queue } = WriteBuffer::new(&WriteBudget::default());
    queue.attach(&stream, Vec::new());
    let (sender, incoming) = mpsc::channel(16);
    let task = tokio::spawn(async move {
        let budget = InputBudget::new(32 << 20);
        ClientTask::new(1, &stream, queue, &sender, &budget)
            .run()
            .await
    });
    ServedClient {
        client,
        writer,
        incoming,
        task,
    }
}

/// An encoded health check of a placer: the length 13, 9 bytes of type and ID, and a cause parameter of 4 bytes.
const HEALTH_CHECK: [u8; 15] = [0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 194, 0, 1, 0];

/// Guards against losing a message that is in the socket's receive buffer when the engine closes the connection as
/// idle: it is read, and the connection stays open.
#[tokio::test]
async fn a_message_that_crosses_an_idle_close_is_read() {
    for _ in 0..16 {
        let ServedClient {
            client,
            writer,
            mut incoming,
            task,
        } = serve_client().await;
        client.writable().await.unwrap();
        assert_eq!(client.try_write(&HEALTH_CHECK).unwrap(), HEALTH_CHECK.len());
        writer.close_if_idle();
        let received = incoming
            .recv()
            .await
            .expect("the connection was closed though a message had arrived");
        assert!(
            matches!(received, Incoming::Inputs(inputs) if matches!(inputs[0], Input::ClientMessage(1, Ok(_))))
        );
        // With nothing left to read, the next idle close ends the connection.
        writer.close_if_idle();
        tokio::time::timeout(Duration::from_secs(20), task)
            .await
            .expect("the connection was not closed within 20 s")
            .unwrap();
    }
}

/// An encoded release of a running task: the length 13, 9 bytes of type and ID, and a cause parameter of 4 bytes.
const RELEASE: [u8; 15] = [0, 13, 12, 0, 0, 0, 0, 0, 0, 0, 9, 194, 0, 1, 31];

/// Guards against tasks that run on without an owner: what a client sent before its connection was reset was dropped with
/// it, though a release of a task needs no connection any more.
#[tokio::test]
async fn a_release_sent_before_a_reset_is_reported() {
    for has_read in [false, true] {
        let ServedClient {
            client,
            writer: _writer,
            mut incoming,
            task,
        } = serve_client().await;
        client.writable().await.unwrap();
        if has_read {
            assert_eq!(client.try_write(&HEALTH_CHECK).unwrap(), HEALTH_CHECK.len());
            assert!(matches!(incoming.recv().await, Some(Incoming::Inputs(_))));
        }
        assert_eq!(client.try_write(&RELEASE).unwrap(), RELEASE.len());
        SockRef::from(&client)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(client);
        let received = tokio::time::timeout(Duration::from_secs(20), incoming.recv()).await;
        let Ok(Some(Incoming::Inputs(inputs))) = received else {
            panic!("the release was not reported");
        };
        assert!(
            matches!(
                inputs[..],
                [Input::ClientMessage(
                    1,
                    Ok(FromClient::Release { id: 9, .. })
                )]
            ),
            "{inputs:?}"
        );
        tokio::time::timeout(Duration::from_secs(20), task)
            .await
            .expect("the connection was not closed within 20 s")
            .unwrap();
    }
}

/// If part of a message has arrived when the connection is closed as idle, the connection stays open for the rest.
#[tokio::test]
async fn a_partial_message_that_crosses_an_idle_close_may_be_completed() {
    let ServedClient {
        mut client,
        writer,
        mut incoming,
        task: _task,
    } = serve_client().await;
    client.writable().await.unwrap();
    assert_eq!(client.try_write(&HEALTH_CHECK[..5]).unwrap(), 5);
    writer.close_if_idle();
    tokio::task::yield_now().await;
    tokio::io::AsyncWriteExt::write_all(&mut client, &HEALTH_CHECK[5..])
        .await
        .unwrap();
    assert!(matches!(incoming.recv().await, Some(Incoming::Inputs(_))));
}

/// Messages and an end of stream that a client sends in one go are reported in one batch.
#[tokio::test]
async fn messages_and_the_end_of_stream_are_reported_together() {
    let ServedClient {
        mut client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = serve_client().await;
    client.writable().await.unwrap();
    assert_eq!(
        client.try_write(&HEALTH_CHECK.repeat(3)).unwrap(),
        3 * HEALTH_CHECK.len()
    );
    SockRef::from(&client)
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    let Some(Incoming::Inputs(inputs)) = incoming.recv().await else {
        panic!("nothing was reported")
    };
    assert!(matches!(
        inputs[..],
        [
            Input::ClientMessage(..),
            Input::ClientMessage(..),
            Input::ClientMessage(..),
            Input::ClientEndOfStream(1)
        ]
    ));
    drop(tokio::io::AsyncWriteExt::shutdown(&mut client).await);
}

/// Once all permits are taken, client connections wait in the accept queue and use no descriptors.
#[tokio::test]
async fn no_more_connections_are_accepted_than_there_are_permits() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((_stop, stopped), (sender, mut incoming)) = (oneshot::channel(), mpsc::channel(512));
    tokio::spawn(acceptor(sender).run(listener, stopped));
    let max_accepted = bounds().clients + bounds().client_overflow + EXCESS_CLIENTS;
    let mut clients = Vec::new();
    for _ in 0..max_accepted + 20 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    let mut writers = Vec::new();
    for _ in 0..max_accepted {
        let Some(Incoming::Client(_, writer)) = incoming.recv().await else {
            panic!("a connection was not accepted though a permit was free")
        };
        writers.push(writer);
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(
        incoming.try_recv().is_err(),
        "more connections were accepted than there are permits"
    );
    // When one connection ends, the next one is accepted.
    drop(writers.pop());
    while !matches!(incoming.recv().await, Some(Incoming::Client(..))) {}
}

/// Bytes pending for a client are written before its connection is closed as idle.
#[tokio::test]
async fn pending_bytes_are_written_before_an_idle_close() {
    let ServedClient {
        mut client,
        writer,
        incoming: _incoming,
        task,
    } = serve_client().await;
    let all = vec![7; 8 * 1024 * 1024];
    writer.send(&all);
    writer.flush();
    assert!(
        writer.len() > 0,
        "the message must exceed the socket buffers"
    );
    writer.close_if_idle();
    let mut read = vec![0; all.len()];
    let read_all = tokio::io::AsyncReadExt::read_exact(&mut client, &mut read);
    tokio::time::timeout(Duration::from_secs(20), read_all)
        .await
        .expect("the read_all message was not received within 20 s")
        .unwrap();
    assert_eq!(read, all);
    tokio::time::timeout(Duration::from_secs(20), task)
        .await
        .expect("the connection was not closed within 20 s")
        .unwrap();
}
