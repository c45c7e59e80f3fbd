//! Idle clients that fill the descriptors while discovery is down: the program itself, under a limit of the system's.

#[path = "../../platform/tests/simulated_peers/mod.rs"]
mod simulated_peers;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use reedring_test_processes::{Launch, free_address};
use simulated_peers::{Client, Discovery, Host, WAIT_LIMIT, config_at, message, placement_request};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const SOCKETS: usize = 128;
/// Connections that say nothing, each made again as soon as it is closed on.
const IDLE: usize = 400;

async fn says_nothing(address: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let _ = stream.read(&mut [0]).await;
        }
        tokio::task::yield_now().await;
    }
}

/// A usual client, which comes again when it is closed on before it got anything.
async fn is_served(address: SocketAddr, id: u64) -> u64 {
    for tries in 1..200 {
        let mut client = Client::connect(address).await;
        client.send(&message(52, id, &[(194, &[0])])).await;
        client.send(&placement_request(id, "play", 5_000, "")).await;
        let (Some(test), Some(answer)) = (client.receive().await, client.receive().await) else {
            continue;
        };
        assert_eq!((test.kind, answer.kind), (53, 9));
        return tries;
    }
    panic!("a usual client never gets in");
}

#[tokio::test]
async fn who_says_nothing_keeps_nobody_out_while_discovery_is_down() {
    let host = Host::new().await;
    let hosts = vec![host.entry("h-1", "east", "active")];
    let _asked = host.answer_all_requests();
    let (address, discovery) = (free_address().unwrap(), free_address().unwrap());
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(
        &path,
        config_at(address, discovery, SOCKETS, hosts.clone()).to_string(),
    )
    .unwrap();
    let (program, shown) = (
        Path::new(env!("CARGO_BIN_EXE_reedring")),
        path.display().to_string(),
    );
    let arguments = ["platform", "--config", &shown];
    let placer = Launch::new(program, "the placer", &arguments)
        .max_descriptors(SOCKETS)
        .start()
        .unwrap();
    placer
        .wait_line(0, "that discovery is down", WAIT_LIMIT, |line| {
            line.contains("refused")
        })
        .unwrap();
    let idle: Vec<_> = (0..IDLE)
        .map(|_| tokio::spawn(says_nothing(address)))
        .collect();
    let id = placer.id();
    let most = || {
        std::fs::read_dir(format!("/proc/{id}/fd"))
            .expect("it runs")
            .count()
    };
    // They fill what there is for clients.
    simulated_peers::wait_for("the crowd", async {
        while most() < SOCKETS / 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    for id in 1..=10 {
        let tries = is_served(address, id).await;
        assert!(tries <= 20, "try {tries} of {id}");
        assert!(most() <= SOCKETS, "{}", most());
    }
    // Discovery comes back and is asked, whoever sits at the door.
    let discovery = Discovery::at(discovery).await;
    discovery.publish(true, hosts);
    discovery.wait_for_requests(|asks| asks.len() >= 2).await;
    is_served(address, 11).await;
    let short =
        |line: &String| line.contains("could not be accepted") || line.contains("no descriptor");
    assert!(
        !placer.output_lines().iter().any(short),
        "{:?}",
        placer.output_lines().iter().find(|line| short(line))
    );
    // Asked to end it does, with all places taken and more at the door.
    let ended = tokio::task::spawn_blocking(move || placer.terminate(Duration::from_secs(10)));
    assert_eq!(
        simulated_peers::wait_for("the end", ended)
            .await
            .unwrap()
            .unwrap()
            .code(),
        Some(0)
    );
    idle.iter().for_each(tokio::task::JoinHandle::abort);
}
