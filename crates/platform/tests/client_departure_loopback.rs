//! Clients that close their sending side or reset the connection while a request is pending, with the whole placer.

mod simulated_peers;

use std::time::{Duration, Instant};

use reedring_platform_protocol::REFUSED;
use simulated_peers::{Client, Host, host_placer_client, message, placement_request, start_placer};
use tokio::io::AsyncWriteExt;

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

/// A request waits, as its only host is draining. When its client closes its sending side it is refused at once, long
/// before its deadline.
#[tokio::test]
async fn a_waiting_request_is_refused_when_its_client_closes_its_sending_side() {
    let host = Host::new().await;
    let placer = start_placer(vec![host.entry("h-1", "east", "leaving")]).await;
    let mut client = Client::connect(placer.address).await;
    client
        .send(&placement_request(1, "print", 15_000, ""))
        .await;
    // The request was handled once the health check after it is answered.
    client.send(&message(52, 2, &[(194, &[0])])).await;
    assert_eq!(client.receive().await.unwrap().kind, 53);
    let began = Instant::now();
    client.stream.shutdown().await.unwrap();
    let answer = client.receive().await.expect("an answer");
    assert_eq!(
        (answer.kind, answer.id, answer.cause()),
        (RELEASE, 1, Some(REFUSED))
    );
    assert_eq!(
        client.receive().await,
        None,
        "the connection must be closed after the answer"
    );
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
}

/// The link of an attempt is reset after its client closed its sending side: no other attempt may follow, as the client
/// may have departed.
#[tokio::test]
async fn no_attempt_follows_after_the_client_closed_its_sending_side() {
    let (host, placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 15_000, "")).await;
    let mut link = host.accept_link().await;
    link.receive_line().await.unwrap();
    client.stream.shutdown().await.unwrap();
    // The placer has handled the end of stream once a client that connected later is answered.
    let mut other = Client::connect(placer.address).await;
    other.send(&message(52, 2, &[(194, &[0])])).await;
    assert_eq!(other.receive().await.unwrap().kind, 53);
    link.reset();
    let answer = client.receive().await.expect("an answer");
    assert_eq!((answer.kind, answer.id), (RELEASE, 1));
    assert_eq!(client.receive().await, None);
    // The next request that the host receives is the other client's.
    other.send(&placement_request(2, "play", 15_000, "")).await;
    let mut link = host.accept_link().await;
    let line = loop {
        match link.receive_line().await {
            Some(line) if line["type"] == "setup" => break line,
            Some(_) => {}
            None => link = host.accept_link().await,
        }
    };
    assert_eq!(line["id"], "0000000000000002");
    link.answer(&line["id"], "x").await;
    assert_eq!(other.receive().await.unwrap().kind, ANSWER);
}

/// When its client resets the connection, the attempt is given up by a release to the host.
#[tokio::test]
async fn an_attempt_is_released_at_its_host_when_its_client_resets_the_connection() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 15_000, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    client.stream.set_zero_linger().unwrap();
    drop(client);
    loop {
        let message = link
            .receive_line()
            .await
            .expect("a release before the close");
        if message["type"] == "release" {
            assert_eq!(
                (&message["id"], &message["cause"]),
                (&line["id"], &serde_json::json!(16))
            );
            break;
        }
    }
}
