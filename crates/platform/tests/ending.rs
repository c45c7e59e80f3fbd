//! The instants in which something ends: the placer itself, and a host's answer.

mod standins;

use reedring_connection::SignalRequest;
use reedring_platform_protocol::FULL;
use serde_json::json;
use standins::{Client, Mood, alone, message, setup, soon};

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

/// Asked to end, twice, while it reads a configuration that is broken over and over and discovery says nothing: what it
/// took is answered, what still comes too, and it ends.
#[tokio::test]
async fn asked_to_end_twice_amid_a_reload_and_a_silent_list_it_answers_and_ends() {
    let (host, placer, mut client) = alone().await;
    placer.discovery.set(Mood::Silent);
    client.send(&setup(1, "print", 8_000, "")).await;
    let mut link = host.link().await;
    let first = link.line().await.unwrap();
    std::fs::write(&placer.path, "{").unwrap();
    for asked in [
        SignalRequest::Reload,
        SignalRequest::Shutdown,
        SignalRequest::Reload,
        SignalRequest::Shutdown,
    ] {
        placer.ask.send(asked).await.unwrap();
    }
    client.until_its_test_fails().await;
    let mut late = Client::connect(placer.address).await;
    late.send(&setup(3, "print", 8_000, "")).await;
    let second = link.line().await.unwrap();
    link.answer(&second["id"], "late").await;
    link.answer(&first["id"], "first").await;
    assert_eq!(client.got().await.unwrap().description(), b"first");
    assert_eq!(late.got().await.unwrap().description(), b"late");
    soon("the end", placer.served).await.unwrap();
    assert!(late.got().await.is_none());
}

/// A client sends in the instant in which the placer goes: it has all that was written to it, and its connection ends.
#[tokio::test]
async fn the_last_answers_are_written_to_who_goes_on_sending() {
    let (host, placer, mut client) = alone().await;
    client.send(&setup(1, "play", 8_000, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    placer.ask.send(SignalRequest::Shutdown).await.unwrap();
    let (read, mut write) = client.stream.into_split();
    // Tests without end.
    let sends = tokio::spawn(async move {
        let test = message(52, 2, &[(194, &[0])]);
        while tokio::io::AsyncWriteExt::write_all(&mut write, &test)
            .await
            .is_ok()
        {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    link.answer(&line["id"], "whole").await;
    let all = soon("the end", async {
        let (mut read, mut all) = (read, Vec::new());
        let mut chunk = [0; 4_096];
        while let Ok(count @ 1..) = tokio::io::AsyncReadExt::read(&mut read, &mut chunk).await {
            all.extend_from_slice(&chunk[..count]);
        }
        all
    })
    .await;
    assert!(all.windows(5).any(|bytes| bytes == b"whole"));
    soon("the end", placer.served).await.unwrap();
    sends.abort();
}

/// An answer comes byte by byte, and in the middle of it another connection's: it is one whole answer.
#[tokio::test]
async fn an_answer_that_comes_byte_by_byte_is_one_answer() {
    let (host, _placer, mut client) = alone().await;
    client.send(&setup(1, "print", 8_000, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    let answer = format!(
        "{}\n",
        json!({"type": "answer", "id": line["id"], "fields": {}, "sdp": "slow"})
    );
    for byte in answer.bytes() {
        link.raw(&[byte]).await;
        // The placer has read that before the next one comes: it answers a test.
        client.send(&message(52, 2, &[(194, &[0])])).await;
        let got = client.got().await.unwrap();
        if got.kind == ANSWER {
            assert_eq!(got.description(), b"slow");
            break;
        }
    }
    link.answer(&line["id"], "a second one").await;
    client.send(&setup(2, "print", 8_000, "")).await;
    let next = link.line().await.unwrap();
    link.answer(&next["id"], "next").await;
    let mut answers = Vec::new();
    while answers
        .last()
        .is_none_or(|answer: &Vec<u8>| answer != b"next")
    {
        let got = client.got().await.unwrap();
        if got.kind == ANSWER {
            answers.push(got.description());
        }
    }
    assert!(!answers.contains(&b"a second one".to_vec()), "{answers:?}");
}

/// An answer that breaks off may have run: an unsafe task fails, and is never refused nor sent again.
#[tokio::test]
async fn an_answer_that_breaks_off_fails_an_unsafe_task() {
    for resets in [false, true] {
        let (host, _placer, mut client) = alone().await;
        client.send(&setup(1, "print", 8_000, "")).await;
        let mut link = host.link().await;
        let line = link.line().await.unwrap();
        link.raw(format!("{{\"type\":\"answer\",\"id\":{}", line["id"]).as_bytes())
            .await;
        if resets {
            link.reset();
        } else {
            drop(link);
        }
        let failed = client.got().await.unwrap();
        assert!(
            (failed.kind, failed.id) == (RELEASE, 1) && failed.cause() != Some(FULL),
            "{failed:?}"
        );
    }
}
