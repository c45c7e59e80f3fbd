//! Shutdown of the placer during other activity, and answers of hosts that arrive in parts or incompletely.

mod simulated_peers;

use reedring_connection::SignalRequest;
use reedring_platform_protocol::REFUSED;
use serde_json::json;
use simulated_peers::{
    Client, DiscoveryBehavior, host_placer_client, message, placement_request, wait_for,
};

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

/// The placer receives two shutdown signals while it retries an invalid configuration and discovery does not answer:
/// earlier and late requests are answered, and it exits.
#[tokio::test]
async fn shutdown_during_a_failed_reload_with_silent_discovery_answers_all_and_exits() {
    let (host, placer, mut client) = host_placer_client().await;
    placer.discovery.set_behavior(DiscoveryBehavior::Silent);
    client.send(&placement_request(1, "print", 8_000, "")).await;
    let mut link = host.accept_link().await;
    let first = link.receive_line().await.unwrap();
    std::fs::write(&placer.path, "{").unwrap();
    for signal in [
        SignalRequest::Reload,
        SignalRequest::Shutdown,
        SignalRequest::Reload,
        SignalRequest::Shutdown,
    ] {
        placer.signals.send(signal).await.unwrap();
    }
    client.wait_for_failing_health_check().await;
    let mut late = Client::connect(placer.address).await;
    late.send(&placement_request(3, "print", 8_000, "")).await;
    let second = link.receive_line().await.unwrap();
    link.answer(&second["id"], "late").await;
    link.answer(&first["id"], "first").await;
    assert_eq!(client.receive().await.unwrap().description(), b"first");
    assert_eq!(late.receive().await.unwrap().description(), b"late");
    wait_for("the exit of the placer", placer.task)
        .await
        .unwrap();
    assert!(late.receive().await.is_none());
}

/// A client sends while the placer exits: it receives all that was written to it, and its connection is closed.
#[tokio::test]
async fn the_last_answers_are_written_to_a_client_that_keeps_sending() {
    let (host, placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 8_000, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    placer.signals.send(SignalRequest::Shutdown).await.unwrap();
    let (read, mut write) = client.stream.into_split();
    // Sends health checks until the connection is closed.
    let sends = tokio::spawn(async move {
        let health_check = message(52, 2, &[(194, &[0])]);
        while tokio::io::AsyncWriteExt::write_all(&mut write, &health_check)
            .await
            .is_ok()
        {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    link.answer(&line["id"], "whole").await;
    let all = wait_for("the end of the connection", async {
        let (mut read, mut all) = (read, Vec::new());
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = tokio::io::AsyncReadExt::read(&mut read, &mut chunk).await {
            all.extend_from_slice(&chunk[..count]);
        }
        all
    })
    .await;
    assert!(all.windows(5).any(|bytes| bytes == b"whole"));
    wait_for("the exit of the placer", placer.task)
        .await
        .unwrap();
    sends.abort();
}

/// An answer arrives byte by byte: the client receives it once, and a second answer to the same request is ignored.
#[tokio::test]
async fn an_answer_that_arrives_byte_by_byte_is_one_answer() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "print", 8_000, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    let answer = format!(
        "{}\n",
        json!({"type": "answer", "id": line["id"], "fields": {}, "sdp": "slow"})
    );
    for byte in answer.bytes() {
        link.send_bytes(&[byte]).await;
        // Waits for a health check result, so that the placer reads the byte before the next one is sent.
        client.send(&message(52, 2, &[(194, &[0])])).await;
        let received = client.receive().await.unwrap();
        if received.kind == ANSWER {
            assert_eq!(received.description(), b"slow");
            break;
        }
    }
    link.answer(&line["id"], "a second one").await;
    client.send(&placement_request(2, "print", 8_000, "")).await;
    let next = link.receive_line().await.unwrap();
    link.answer(&next["id"], "next").await;
    let mut answers = Vec::new();
    while answers
        .last()
        .is_none_or(|answer: &Vec<u8>| answer != b"next")
    {
        let received = client.receive().await.unwrap();
        if received.kind == ANSWER {
            answers.push(received.description());
        }
    }
    assert!(!answers.contains(&b"a second one".to_vec()), "{answers:?}");
}

/// A task whose answer is incomplete may have run: if its class is unsafe to repeat, it fails, and is neither refused
/// nor sent again.
#[tokio::test]
async fn an_incomplete_answer_fails_an_unsafe_request() {
    for is_reset in [false, true] {
        let (host, _placer, mut client) = host_placer_client().await;
        client.send(&placement_request(1, "print", 8_000, "")).await;
        let mut link = host.accept_link().await;
        let line = link.receive_line().await.unwrap();
        link.send_bytes(format!("{{\"type\":\"answer\",\"id\":{}", line["id"]).as_bytes())
            .await;
        if is_reset {
            link.reset();
        } else {
            drop(link);
        }
        let failed = client.receive().await.unwrap();
        assert!(
            (failed.kind, failed.id) == (RELEASE, 1) && failed.cause() != Some(REFUSED),
            "{failed:?}"
        );
    }
}
