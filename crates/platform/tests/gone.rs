//! Clients that go at the wrong instant, on the whole shell.

mod standins;

use std::time::{Duration, Instant};

use reedring_platform_protocol::FULL;
use standins::{Client, Host, alone, message, placer, setup};
use tokio::io::AsyncWriteExt;

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

/// No host takes anything: a client that says that it said all has its answer at once, long before its time is over.
#[tokio::test]
async fn who_ended_while_it_was_held_is_refused_at_once() {
    let host = Host::new().await;
    let placer = placer(vec![host.line("h-1", "east", "leaving")]).await;
    let mut client = Client::connect(placer.address).await;
    client.send(&setup(1, "print", 15_000, "")).await;
    // It is held once the test behind it is passed.
    client.send(&message(52, 2, &[(194, &[0])])).await;
    assert_eq!(client.got().await.unwrap().kind, 53);
    let began = Instant::now();
    client.stream.shutdown().await.unwrap();
    let answer = client.got().await.expect("an answer");
    assert_eq!(
        (answer.kind, answer.id, answer.cause()),
        (RELEASE, 1, Some(FULL))
    );
    assert_eq!(client.got().await, None, "and its close");
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
}

/// Its attempt breaks after it said all: another would begin for somebody who may have gone.
#[tokio::test]
async fn no_attempt_follows_for_who_ended() {
    let (host, placer, mut client) = alone().await;
    client.send(&setup(1, "play", 15_000, "")).await;
    let mut link = host.link().await;
    link.line().await.unwrap();
    client.stream.shutdown().await.unwrap();
    // The placer knows of the end once another client, that came after it, is answered.
    let mut other = Client::connect(placer.address).await;
    other.send(&message(52, 2, &[(194, &[0])])).await;
    assert_eq!(other.got().await.unwrap().kind, 53);
    link.reset();
    let answer = client.got().await.expect("an answer");
    assert_eq!((answer.kind, answer.id), (RELEASE, 1));
    assert_eq!(client.got().await, None);
    // What the host is asked for next is another's.
    other.send(&setup(2, "play", 15_000, "")).await;
    let mut link = host.link().await;
    let line = loop {
        match link.line().await {
            Some(line) if line["type"] == "setup" => break line,
            Some(_) => {}
            None => link = host.link().await,
        }
    };
    assert_eq!(line["id"], "0000000000000002");
    link.answer(&line["id"], "x").await;
    assert_eq!(other.got().await.unwrap().kind, ANSWER);
}

/// A reset gives the attempt up on the wire, and none follows.
#[tokio::test]
async fn an_attempt_is_given_up_on_the_wire_for_who_was_reset() {
    let (host, _placer, mut client) = alone().await;
    client.send(&setup(1, "play", 15_000, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    client.stream.set_zero_linger().unwrap();
    drop(client);
    loop {
        let said = link.line().await.expect("a release before the close");
        if said["type"] == "release" {
            assert_eq!(
                (&said["id"], &said["cause"]),
                (&line["id"], &serde_json::json!(16))
            );
            break;
        }
    }
}
