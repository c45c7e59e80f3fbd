//! Links to hosts that are closed: what a host sends until it learns of the close is reported.

use std::time::Duration;

use reedring_platform_protocol::host::FromHost;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::*;
use crate::decide::LinkEnd;
use crate::write_buffer::{WriteBudget, WriteBuffer};

const LINK: u64 = 7;
/// A host's message that a task has come to its end.
const TASK_END: &[u8] =
    b"{\"type\":\"release\",\"id\":\"0000000000000051\",\"fields\":{},\"cause\":16}\n";

/// A link, and the listener of its host.
struct ServedLink {
    listener: TcpListener,
    writer: MessageWriter,
    incoming: mpsc::Receiver<Incoming>,
    permits: ConnectionPermits,
}

/// Starts to connect a link.
async fn connect_link() -> ServedLink {
    connect_link_with_queue(16).await
}

/// Starts to connect a link whose task waits while more inputs than this are not taken.
async fn connect_link_with_queue(inputs: usize) -> ServedLink {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, incoming) = mpsc::channel(inputs);
    let WriteBuffer { writer, queue } = WriteBuffer::new(&WriteBudget::default());
    let permits = ConnectionPermits::new(&bounds());
    let connector = HostConnector {
        link: LINK,
        address: listener.local_addr().unwrap(),
        timeout: Duration::from_secs(20),
        permits: permits.clone(),
        incoming: sender,
    };
    tokio::spawn(connector.run(queue));
    ServedLink {
        listener,
        writer,
        incoming,
        permits,
    }
}

impl ServedLink {
    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.unwrap().0
    }

    async fn receive(&mut self) -> Input {
        let received = tokio::time::timeout(Duration::from_secs(20), self.incoming.recv()).await;
        match received.expect("nothing was reported within 20 s") {
            Some(Incoming::Input(input)) => input,
            _ => panic!("no input was reported"),
        }
    }

    /// Receives the end of a task and then the end of the link.
    async fn receive_task_end_and_link_end(&mut self) -> LinkEnd {
        let message = self.receive().await;
        let is_end = matches!(
            message,
            Input::HostMessage(
                LINK,
                FromHost::Release {
                    id: 0x51,
                    cause: 16,
                    ..
                }
            )
        );
        assert!(is_end, "{message:?}");
        match self.receive().await {
            Input::LinkDown {
                link: LINK, end, ..
            } => end,
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against ends of tasks that are lost as they cross the close of a link.
#[tokio::test]
async fn what_a_host_sends_before_it_learns_of_the_close_is_reported() {
    let mut link = connect_link().await;
    let mut host = link.accept().await;
    assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
    link.writer.half_close();
    assert_eq!(
        host.read(&mut [0]).await.unwrap(),
        0,
        "the host sees the end"
    );
    host.write_all(TASK_END).await.unwrap();
    drop(host);
    assert_eq!(link.receive_task_end_and_link_end().await, LinkEnd::Closed);
}

/// Guards against ends of tasks that are lost on a connection that was made for an attempt which was given up meanwhile:
/// a host sends them once, on the next connection that it accepts.
#[tokio::test]
async fn a_link_that_is_closed_while_it_is_connected_is_still_read() {
    let mut link = connect_link().await;
    // The task of the link gets its permit and begins to connect, and does not learn of the connection yet.
    tokio::task::yield_now().await;
    link.writer.half_close();
    let mut host = link.accept().await;
    host.write_all(TASK_END).await.unwrap();
    assert_eq!(
        host.read(&mut [0]).await.unwrap(),
        0,
        "the host sees the end"
    );
    drop(host);
    assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
    assert_eq!(link.receive_task_end_and_link_end().await, LinkEnd::Closed);
}

/// Guards against input that is dropped with an error of the connection, or when the link is ended for its descriptor.
#[tokio::test]
async fn what_arrived_before_a_reset_or_an_abort_is_reported() {
    for is_reset in [true, false] {
        let mut link = connect_link().await;
        let host = link.accept().await;
        assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
        // Nothing below waits, so the link's task sees the input and the end of the link at once.
        assert_eq!(host.try_write(TASK_END).unwrap(), TASK_END.len());
        if is_reset {
            SockRef::from(&host)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
            drop(host);
            link.writer.send(b"x");
            link.writer.flush();
        } else {
            link.writer.abort();
        }
        let end = link.receive_task_end_and_link_end().await;
        let want = if is_reset {
            LinkEnd::Reset
        } else {
            LinkEnd::Incomplete
        };
        assert_eq!(end, want);
    }
}

/// A link that its host closes counts as read to its end only if that is after a whole message: the rest may have been the
/// end of a task.
#[tokio::test]
async fn a_link_that_its_host_closes_in_the_middle_of_a_message_is_incomplete() {
    for (rest, want) in [
        (TASK_END, LinkEnd::Incomplete),
        (b"".as_slice(), LinkEnd::Closed),
    ] {
        for is_half_closed in [false, true] {
            let mut link = connect_link().await;
            let mut host = link.accept().await;
            assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
            if is_half_closed {
                link.writer.half_close();
            }
            host.write_all(TASK_END).await.unwrap();
            host.write_all(&rest[..rest.len() / 2]).await.unwrap();
            host.shutdown().await.unwrap();
            assert_eq!(link.receive_task_end_and_link_end().await, want);
        }
    }
}

/// Guards against a second start of a task: its request was written after the link's task had counted the messages that were
/// begun, while the count waited in a full input queue, so the request passed for unsent and was sent again.
#[tokio::test]
async fn nothing_is_written_after_the_messages_of_a_link_were_counted() {
    const BEFORE: &[u8] = b"written before\n";
    // The inputs before the end of the link fill the queue: the message, and the log event of what can't be read.
    for (host_sends, inputs) in [(b"noise\n".as_slice(), 2), (b"", 1)] {
        let mut link = connect_link_with_queue(inputs).await;
        let mut host = link.accept().await;
        assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
        link.writer.send(BEFORE);
        assert!(link.writer.flush());
        host.write_all(TASK_END).await.unwrap();
        host.write_all(host_sends).await.unwrap();
        host.shutdown().await.unwrap();
        while link.incoming.len() < inputs {
            tokio::task::yield_now().await;
        }
        for _ in 0..64 {
            tokio::task::yield_now().await;
        }
        link.writer.send(b"written after\n");
        link.writer.flush();
        let begun = loop {
            match link.incoming.recv().await.expect("the end of the link") {
                Incoming::Input(Input::LinkDown { messages_begun, .. }) => break messages_begun,
                _ => continue,
            }
        };
        link.writer.send(b"written after the end\n");
        link.writer.flush();
        drop(link.writer);
        let mut received = Vec::new();
        // The connection may end with a reset, after what was written.
        let _ = host.read_to_end(&mut received).await;
        let messages = received.iter().filter(|byte| **byte == b'\n').count();
        assert_eq!(messages as u64, begun, "the host sent {host_sends:?}");
    }
}

/// A closed link holds its permit until it ends, which an abort does at once.
#[tokio::test]
async fn a_closed_link_keeps_its_permit_until_it_ends() {
    let mut link = connect_link().await;
    let all = link.permits.available();
    let _host = link.accept().await;
    assert!(matches!(link.receive().await, Input::LinkUp(LINK)));
    link.writer.half_close();
    tokio::task::yield_now().await;
    assert_eq!(link.permits.available(), all - 1);
    link.writer.abort();
    drop(link.writer);
    // The channel is closed once the link's task has ended.
    while let Some(input) = link.incoming.recv().await {
        assert!(matches!(input, Incoming::Input(Input::LinkDown { .. })));
    }
    assert_eq!(link.permits.available(), all);
}
