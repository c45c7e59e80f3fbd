//! The order in which the loop takes input in and writes.

use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::config::Limits;
use reedring_platform_protocol::host::ToHost;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

use super::event_loop::{DISCOVERY_QUEUE, INPUT_QUEUE, next_input};
use super::shell::{Shell, ShellSettings};
use crate::bounds::Bounds;
use crate::errors::DiscoveryError;
use crate::io::{Input, Output};
use crate::sockets::{ConnectionPermits, Incoming};
use crate::write_buffer::{WriteBudget, WriteBuffer};

/// A drain counts from when discovery published it, however much input waits before it.
#[tokio::test]
async fn updates_of_discovery_go_before_all_input_that_waits() {
    for _ in 0..32 {
        let (updates, mut discovery) = mpsc::channel(DISCOVERY_QUEUE);
        let (sender, mut incoming) = mpsc::channel(INPUT_QUEUE);
        for conn in 0..INPUT_QUEUE as u64 {
            let input = Incoming::Input(Input::ClientDisconnected(conn));
            sender.try_send(input).ok().unwrap();
        }
        let failed = Input::DiscoveryFailed(Arc::new(DiscoveryError::NoDescriptor));
        updates.try_send(failed).unwrap();
        let first = next_input(&mut discovery, &mut incoming, &mut Vec::new(), None).await;
        assert!(
            matches!(&first[..], [Input::DiscoveryFailed(_)]),
            "{first:?}"
        );
    }
}

/// Seen on split+mass: the release of an attempt was written after the next attempt on another link, as the task of the
/// first link waited for the engine. Nothing but the loop may be needed to write it, and it writes it first.
#[tokio::test]
async fn an_attempt_is_given_up_before_the_next_one_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, _incoming) = mpsc::channel(4);
    let limits = Limits {
        cores: 1.0,
        memory_mb: 32,
        sockets: 64,
    };
    let (stop_listening, _stopped) = oneshot::channel();
    let mut shell = Shell::new(ShellSettings {
        connect_timeout: Duration::from_secs(1),
        permits: ConnectionPermits::new(&Bounds::from_limits(&limits)),
        budget: WriteBudget::default(),
        max_pending_bytes: 1 << 20,
        stop_listening,
        incoming: sender,
    });
    let mut ends = Vec::new();
    for link in [1, 2] {
        let WriteBuffer { writer, queue } = WriteBuffer::new(&shell.budget);
        let stream = Arc::new(TcpStream::connect(address).await.unwrap());
        stream.writable().await.unwrap();
        queue.attach(&stream, Vec::new());
        shell.links.insert(link, writer);
        ends.push((listener.accept().await.unwrap().0, queue));
    }
    let request = ToHost::PlacementRequest {
        id: 7,
        class: "play".to_owned(),
        key: 1,
        idempotency_key: None,
        left_ms: 100,
        description: "x".to_owned(),
    };
    // Both in one pass of the loop, whatever else was sent on the second before.
    shell.carry_out(
        0,
        Output::ToHost(
            2,
            ToHost::HealthCheck {
                id: 1,
                wants_report: false,
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
    shell.carry_out(0, Output::ToHost(2, request));
    let mut bytes = [0; 256];
    let count = ends[0].0.read(&mut bytes).await.unwrap();
    assert!(
        std::str::from_utf8(&bytes[..count])
            .unwrap()
            .contains("release")
    );
    assert_eq!(
        ends[1].1.messages_begun(),
        0,
        "the request waits for the end of the pass"
    );
    shell.flush();
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
