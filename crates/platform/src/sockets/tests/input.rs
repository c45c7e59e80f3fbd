//! How the input of clients is read and reported, while there is much of it and when it ends.

use std::time::Duration;

use reedring_platform_protocol::client::FromClient;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::*;
use crate::sockets::input_budget::{INPUT_BYTES, MIN_BYTES};

/// Connects a client that has sent these bytes, and starts the placer's task for it.
async fn serve_client_that_sent(bytes: &[u8]) -> ServedClient {
    let served = serve_client().await;
    served.client.writable().await.unwrap();
    assert_eq!(served.client.try_write(bytes).unwrap(), bytes.len());
    served
}

/// Guards against a flood of short messages that takes the placer over its memory limit: thousands of them were decoded
/// into one report. All are reported in parts, in order, and then the end of the stream.
#[tokio::test]
async fn a_flood_of_short_messages_is_reported_in_parts() {
    const MESSAGES: usize = 2_000;
    const MAX_INPUTS: usize = 256 + 1;
    let ServedClient {
        client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = serve_client_that_sent(&HEALTH_CHECK.repeat(MESSAGES)).await;
    SockRef::from(&client)
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    let mut messages = 0;
    loop {
        let received = tokio::time::timeout(Duration::from_secs(20), incoming.recv()).await;
        let Ok(Some(Incoming::Inputs(inputs))) = received else {
            panic!("{messages} messages were reported, and no end of the stream");
        };
        assert!(inputs.len() <= MAX_INPUTS, "{} inputs", inputs.len());
        let is_message = |input: &&Input| matches!(input, Input::ClientMessage(1, Ok(_)));
        messages += inputs.iter().filter(is_message).count();
        match inputs.last() {
            Some(Input::ClientEndOfStream(1)) => break,
            Some(Input::ClientInputRead { has_more, .. }) => {
                assert!(*has_more || messages == MESSAGES, "{messages}");
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(messages, MESSAGES);
}

/// Guards against input that is held in memory while the event loop is busy: each client's messages were decoded whenever
/// the input queue had a place. What exceeds the budget stays in the sockets, and is read once earlier input was handled.
#[tokio::test]
async fn input_that_waits_for_the_event_loop_is_bounded() {
    const CLIENTS: usize = 24;
    const MESSAGES: usize = 3_000;
    const MOST_WAITING: usize = MIN_BYTES / INPUT_BYTES;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ((_stop, stopped), (sender, mut incoming)) = (oneshot::channel(), mpsc::channel(512));
    let acceptor = Acceptor {
        input_budget: InputBudget::new(0),
        ..acceptor(sender)
    };
    tokio::spawn(acceptor.run(listener, stopped));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = TcpStream::connect(address).await.unwrap();
        client.writable().await.unwrap();
        let flood = HEALTH_CHECK.repeat(MESSAGES);
        assert_eq!(client.try_write(&flood).unwrap(), flood.len());
        clients.push(client);
    }
    let (mut messages, mut writers) = (0, Vec::new());
    while messages < CLIENTS * MESSAGES {
        for _ in 0..1_000 {
            tokio::task::yield_now().await;
        }
        let mut waiting = 0;
        let first = tokio::time::timeout(Duration::from_secs(20), incoming.recv()).await;
        let first = first.expect("input must be read once there is budget for it");
        let mut held = Vec::new();
        for received in first
            .into_iter()
            .chain(std::iter::from_fn(|| incoming.try_recv().ok()))
        {
            match received {
                Incoming::Client(_, writer) => writers.push(writer),
                Incoming::Inputs(inputs) => {
                    waiting += inputs.len();
                    let is_message =
                        |input: &&Input| matches!(input, Input::ClientMessage(_, Ok(_)));
                    messages += inputs.iter().filter(is_message).count();
                    held.push(inputs);
                }
                _ => panic!("only messages were sent"),
            }
        }
        assert!(waiting <= MOST_WAITING, "{waiting} inputs wait");
    }
    assert_eq!(messages, CLIENTS * MESSAGES);
}

/// Guards against requests that are begun for a client that has gone: its end was noticed only once all of its input was read.
#[tokio::test]
async fn the_end_of_a_client_is_reported_before_its_input_is_read_to_the_end() {
    // The end follows the messages, so they must fit into the receive buffer.
    const MESSAGES: usize = 3_000;
    let ServedClient {
        client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = serve_client_that_sent(&HEALTH_CHECK.repeat(MESSAGES)).await;
    SockRef::from(&client)
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    let Some(Incoming::Inputs(inputs)) = incoming.recv().await else {
        panic!("nothing was reported")
    };
    let [.., ending, last] = &inputs[..] else {
        panic!("{} inputs", inputs.len())
    };
    assert!(matches!(ending, Input::ClientEnding(1)), "{ending:?}");
    let has_more = matches!(last, Input::ClientInputRead { has_more: true, .. });
    assert!(has_more, "{last:?}");
    // It is reported once, and all messages follow.
    let is_message = |input: &&Input| matches!(input, Input::ClientMessage(..));
    let mut messages = inputs.iter().filter(is_message).count();
    drop(inputs);
    while messages < MESSAGES {
        let Some(Incoming::Inputs(inputs)) = incoming.recv().await else {
            panic!("{messages} messages were reported")
        };
        messages += inputs.iter().filter(is_message).count();
        assert!(
            !inputs
                .iter()
                .any(|input| matches!(input, Input::ClientEnding(_)))
        );
    }
    assert_eq!(messages, MESSAGES);
}

/// Guards against requests that wait for input which does not come: the read that took all of a client's input could not know
/// that, and the next one, which found nothing, was not reported.
#[tokio::test]
async fn it_is_reported_once_all_input_of_a_client_was_read() {
    // Two buffers are read at once; the messages fill one of them and a part of the other.
    const MESSAGES: usize = 20;
    const DESCRIPTION_BYTES: u16 = 1_000;
    let mut message = HEALTH_CHECK.to_vec();
    message.push(195);
    message.extend(DESCRIPTION_BYTES.to_be_bytes());
    message.extend(vec![b'x'; usize::from(DESCRIPTION_BYTES)]);
    let length = message.len() as u16 - 2;
    message[..2].copy_from_slice(&length.to_be_bytes());
    let ServedClient {
        client: _client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = serve_client_that_sent(&message.repeat(MESSAGES)).await;
    loop {
        let received = tokio::time::timeout(Duration::from_secs(20), incoming.recv()).await;
        let Ok(Some(Incoming::Inputs(inputs))) = received else {
            panic!("it was not reported that all input was read")
        };
        if let Some(Input::ClientInputRead {
            has_more: false, ..
        }) = inputs.last()
        {
            break;
        }
    }
}

/// Guards against tasks that run on without an owner: of what a client sent before its connection was reset, only the first
/// buffers were read.
#[tokio::test]
async fn all_releases_sent_before_a_reset_are_reported() {
    const RELEASES: usize = 8_000;
    let ServedClient {
        client,
        writer: _writer,
        mut incoming,
        task: _task,
    } = serve_client_that_sent(&RELEASE.repeat(RELEASES)).await;
    SockRef::from(&client)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(client);
    let mut releases = 0;
    while releases < RELEASES {
        let received = tokio::time::timeout(Duration::from_secs(20), incoming.recv()).await;
        let Ok(Some(Incoming::Inputs(inputs))) = received else {
            panic!("{releases} releases were reported")
        };
        let is_release = |input: &&Input| {
            matches!(
                input,
                Input::ClientMessage(1, Ok(FromClient::Release { .. }))
            )
        };
        releases += inputs.iter().filter(is_release).count();
    }
}
