//! Churn on sockets: hosts and clients that come and go leave no descriptor and no memory behind. The placer is the
//! program itself, so that only what it holds is counted; sizes of maps over a longer churn are in the engine's tests.

#[path = "../../platform/tests/simulated_peers/mod.rs"]
mod simulated_peers;

use std::net::SocketAddr;
use std::path::Path;

use reedring_test_processes::{Launch, Program};
use simulated_peers::{Client, Discovery, Host, config, message, placement_request, wait_for};

const ROUNDS: u64 = 60;
/// Rounds after which everything that is made once is there.
const SETTLED: u64 = 20;
/// Clients that come in each round for nothing but a test.
const PASSERS: u64 = 10;
/// KiB that the rest of the rounds may add: 4 KiB for each connection would be 1,600.
const MOST_GROWN: usize = 1_000;

/// The placer's process, ended with the test.
struct Placer(Program);

impl Placer {
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.0.id()))
            .expect("it runs")
            .count()
    }

    /// Resident memory in KiB.
    fn memory(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .expect("it is among them");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }
}

#[tokio::test]
async fn hosts_and_clients_that_came_and_went_leave_nothing_behind() {
    let mut host = Host::new().await;
    let line = |host: &Host, n: u64, health: &str| host.entry(&format!("h-{n}"), "east", health);
    let (discovery, first) = (Discovery::new().await, vec![line(&host, 0, "active")]);
    discovery.publish(true, first.clone());
    // A port that is free now.
    let address: SocketAddr = Host::new().await.address;
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    std::fs::write(&path, config(address, &discovery, first).to_string())
        .expect("it can be written");
    let (program, shown) = (
        Path::new(env!("CARGO_BIN_EXE_reedring")),
        path.display().to_string(),
    );
    let listen = address.to_string();
    let arguments = [
        "platform", "--log", "off", "--config", &shown, "--listen", &listen,
    ];
    let placer = Placer(
        Launch::new(program, "the placer", &arguments)
            .start()
            .expect("it starts"),
    );
    // It polls from after it listens.
    discovery
        .wait_for_requests(|asks| asks.iter().any(|ask| ask.contains("watch=1&")))
        .await;
    let mut settled = (0, 0);
    for n in 1..=ROUNDS {
        let new = Host::new().await;
        discovery.publish(
            false,
            vec![line(&new, n, "active"), line(&host, n - 1, "left")],
        );
        // It has taken that in once it asks for what comes after.
        let next = format!("watch={}&", n + 1);
        discovery
            .wait_for_requests(|asks| asks.iter().any(|ask| ask.contains(&next)))
            .await;
        host = new;
        for passer in 0..PASSERS {
            let mut client = Client::connect(address).await;
            client.send(&message(52, passer + 1, &[(194, &[0])])).await;
            assert_eq!(client.receive().await.expect("a test's answer").kind, 53);
        }
        let mut client = Client::connect(address).await;
        client.send(&placement_request(n, "play", 1_500, "")).await;
        // The second connection is the one kept ahead.
        let (mut link, _spare) = (host.accept_link().await, host.accept_link().await);
        let line = link.receive_line().await.expect("a set-up");
        link.answer(&line["id"], "x").await;
        assert_eq!(client.receive().await.expect("an answer").kind, 9);
        link.release(&line["id"], 16).await;
        assert_eq!(client.receive().await.expect("an end").cause(), Some(16));
        // Heard, so that it is not told again as this connection closes.
        client.send(&message(16, n, &[])).await;
        if n == SETTLED {
            settled = (placer.descriptors(), placer.memory());
        }
    }
    let (descriptors, memory) = settled;
    wait_for("the last connections' ends", async {
        while placer.descriptors() > descriptors + 4 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let grown = placer.memory().saturating_sub(memory);
    assert!(grown < MOST_GROWN, "{grown} KiB");
}
