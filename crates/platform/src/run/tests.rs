//! The order in which the event loop handles input and writes messages.

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

/// A drain counts from when discovery published it, so its update must not queue behind other input.
#[tokio::test]
async fn discovery_updates_are_handled_before_other_pending_input() {
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

/// Guards against two live attempts of one request. If the release of an attempt were written by its link's task, which
/// may be waiting for the engine, the next attempt could be written on another link first. The event loop must write
/// the release itself, before the next attempt.
#[tokio::test]
async fn the_release_of_an_attempt_is_written_before_the_next_attempt() {
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
    let mut host_sides = Vec::new();
    for link in [1, 2] {
        let WriteBuffer { writer, queue } = WriteBuffer::new(&shell.budget);
        let stream = Arc::new(TcpStream::connect(address).await.unwrap());
        stream.writable().await.unwrap();
        queue.attach(&stream, Vec::new());
        shell.links.insert(link, writer);
        host_sides.push((listener.accept().await.unwrap().0, queue));
    }
    let request = ToHost::PlacementRequest {
        id: 7,
        class: "play".to_owned(),
        key: 1,
        idempotency_key: None,
        left_ms: 100,
        description: "x".to_owned(),
    };
    // Release and next attempt are sent in one pass of the loop, after a health check on the second link.
    shell.execute(
        0,
        Output::ToHost(
            2,
            ToHost::HealthCheck {
                id: 1,
                wants_report: false,
            },
        ),
    );
    shell.execute(
        0,
        Output::ToHost(
            1,
            ToHost::Release {
                id: 7,
                cause: GIVEN_UP,
            },
        ),
    );
    shell.execute(0, Output::ToHost(2, request));
    let mut bytes = [0; 256];
    let count = host_sides[0].0.read(&mut bytes).await.unwrap();
    assert!(
        std::str::from_utf8(&bytes[..count])
            .unwrap()
            .contains("release")
    );
    assert_eq!(
        host_sides[1].1.messages_begun(),
        0,
        "the request must not be written before the end of the pass"
    );
    shell.flush();
    let count = host_sides[1].0.read(&mut bytes).await.unwrap();
    assert!(
        std::str::from_utf8(&bytes[..count])
            .unwrap()
            .contains("setup")
    );
    // Closing a link shuts its connection down at once.
    shell.execute(0, Output::CloseLink(2));
    assert_eq!(host_sides[1].0.read(&mut bytes).await.unwrap(), 0);
}
