//! Which connections are accepted, and what is read at once.

use std::sync::Arc;

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
        incoming,
    }
}

/// A placer that exits has taken the connections that the system accepted, however late its own turn comes.
#[tokio::test]
async fn connections_that_wait_when_listening_stops_are_accepted() {
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
        "and none after that"
    );
}

/// A client's connection, and the placer's end of it.
struct Served {
    client: TcpStream,
    writer: MessageWriter,
    incoming: mpsc::Receiver<Incoming>,
    task: tokio::task::JoinHandle<()>,
}

/// A client's connection whose other end is served by its task.
async fn served() -> Served {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let stream = Arc::new(listener.accept().await.unwrap().0);
    let WriteBuffer { writer, queue } = WriteBuffer::new(&WriteBudget::default());
    queue.attach(&stream, Vec::new());
    let (sender, incoming) = mpsc::channel(16);
    let task = tokio::spawn(async move { ClientTask::new(1, &stream, queue, &sender).run().await });
    Served {
        client,
        writer,
        incoming,
        task,
    }
}

/// A test of a placer: 11 bytes, and the cause.
const TEST: [u8; 15] = [0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 194, 0, 1, 0];

/// A client's message lies in the socket's buffer when the engine closes the connection as idle: it is read, and the
/// connection stays.
#[tokio::test]
async fn a_message_that_crosses_an_idle_close_is_read() {
    for _ in 0..16 {
        let Served {
            client,
            writer,
            mut incoming,
            task,
        } = served().await;
        client.writable().await.unwrap();
        assert_eq!(client.try_write(&TEST).unwrap(), TEST.len());
        writer.close_if_idle();
        let received = incoming.recv().await.expect("it is not closed");
        assert!(
            matches!(received, Incoming::Inputs(inputs) if matches!(inputs[0], Input::ClientMessage(1, Ok(_))))
        );
        // With nothing more to read it ends.
        writer.close_if_idle();
        tokio::time::timeout(Duration::from_secs(20), task)
            .await
            .expect("the close")
            .unwrap();
    }
}

/// A part of a message lies there: the rest is waited for.
#[tokio::test]
async fn a_partial_message_that_crosses_an_idle_close_may_be_completed() {
    let Served {
        mut client,
        writer,
        mut incoming,
        task: _task,
    } = served().await;
    client.writable().await.unwrap();
    assert_eq!(client.try_write(&TEST[..5]).unwrap(), 5);
    writer.close_if_idle();
    tokio::task::yield_now().await;
    tokio::io::AsyncWriteExt::write_all(&mut client, &TEST[5..])
        .await
        .unwrap();
    assert!(matches!(incoming.recv().await, Some(Incoming::Inputs(_))));
}

/// What a client sends, cancels and ends at once is reported together.
#[tokio::test]
async fn messages_and_the_end_of_stream_are_reported_together() {
    let Served {
        mut client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = served().await;
    client.writable().await.unwrap();
    assert_eq!(client.try_write(&TEST.repeat(3)).unwrap(), 3 * TEST.len());
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

/// Connections of clients wait in the accept queue, not in descriptors, once all permits are taken.
#[tokio::test]
async fn no_more_are_accepted_than_there_are_permits() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((_stop, stopped), (sender, mut incoming)) = (oneshot::channel(), mpsc::channel(512));
    tokio::spawn(acceptor(sender).run(listener, stopped));
    let most = bounds().clients + bounds().client_overflow + EXCESS_CLIENTS;
    let mut clients = Vec::new();
    for _ in 0..most + 20 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    let mut taken = Vec::new();
    for _ in 0..most {
        let Some(Incoming::Client(_, writer)) = incoming.recv().await else {
            panic!("one is not accepted")
        };
        taken.push(writer);
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(
        incoming.try_recv().is_err(),
        "more were accepted than there are permits"
    );
    // When one ends the next is accepted.
    drop(taken.pop());
    while !matches!(incoming.recv().await, Some(Incoming::Client(..))) {}
}

/// What still waits for an idle client is written before its connection is closed.
#[tokio::test]
async fn pending_bytes_are_written_before_an_idle_close() {
    let Served {
        mut client,
        writer,
        incoming: _incoming,
        task,
    } = served().await;
    let all = vec![7; 8 * 1024 * 1024];
    writer.send(&all);
    writer.flush();
    assert!(writer.len() > 0, "more than the sockets take");
    writer.close_if_idle();
    let mut read = vec![0; all.len()];
    let whole = tokio::io::AsyncReadExt::read_exact(&mut client, &mut read);
    tokio::time::timeout(Duration::from_secs(20), whole)
        .await
        .expect("all of it")
        .unwrap();
    assert_eq!(read, all);
    tokio::time::timeout(Duration::from_secs(20), task)
        .await
        .expect("the close")
        .unwrap();
}
