//! The whole placer on loopback sockets, with simulated clients, hosts and discovery.

mod simulated_peers;

use std::time::{Duration, Instant};

use reedring_connection::SignalRequest;
use reedring_platform_protocol::REFUSED;
use serde_json::json;
use simulated_peers::{
    Client, Discovery, DiscoveryBehavior, Host, host_placer_client, message, placement_request,
    placer_with_answering_host, start_placer, wait_for,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

#[tokio::test]
async fn a_request_is_sent_to_a_host_and_its_answer_and_task_end_to_the_client() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&message(52, 3, &[(194, &[0])])).await;
    assert_eq!(
        client.receive().await.unwrap(),
        simulated_peers::ReceivedMessage {
            kind: 53,
            id: 3,
            parameters: vec![(194, vec![1])]
        }
    );
    client
        .send(&placement_request(0x51, "take", 1_500, ""))
        .await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    assert_eq!(
        (&line["type"], &line["id"]),
        (&json!("setup"), &json!("0000000000000051"))
    );
    assert_eq!(line["fields"]["class"], "take");
    assert_eq!(line["fields"]["key"], format!("{:016x}", 0x51 ^ 0xabc));
    assert_eq!(line["fields"]["idem"], "5c0f6e1a");
    assert_eq!(line["sdp"], "v=0\r\no=81 \u{e9}\r\n");
    let left: u64 = line["fields"]["left"].as_str().unwrap().parse().unwrap();
    assert!((1_000..=1_500).contains(&left), "{left}");
    link.answer(&line["id"], "t=0 \u{fc}\r\n\u{1}").await;
    let answer = client.receive().await.unwrap();
    assert_eq!((answer.kind, answer.id), (ANSWER, 0x51));
    assert_eq!(answer.description(), "t=0 \u{fc}\r\n\u{1}".as_bytes());
    link.release(&line["id"], 16).await;
    let end = client.receive().await.unwrap();
    assert_eq!((end.kind, end.id, end.cause()), (RELEASE, 0x51, Some(16)));
}

#[tokio::test]
async fn a_client_can_end_its_task_from_another_connection() {
    let (host, placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 1_500, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    link.answer(&line["id"], "x").await;
    client.receive().await.unwrap();
    let mut other = Client::connect(placer.address).await;
    other.send(&message(12, 1, &[(194, &[16])])).await;
    let release = link.receive_line().await.unwrap();
    assert_eq!(
        (&release["type"], &release["id"]),
        (&json!("release"), &line["id"])
    );
    // The client ended the task itself, so it is not sent its end: the next message is the health check result.
    link.release(&line["id"], 31).await;
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(client.receive().await.unwrap().kind, 53);
}

/// Invalid input is answered by a failing release, or its connection is closed, within 10 s.
#[tokio::test]
async fn invalid_input_is_rejected_or_its_connection_closed_and_reaches_no_host() {
    let (mut host_messages, placer) = placer_with_answering_host().await;
    let key = b"00000000000000aa".as_slice();
    let figures = b"cores:1;memory:1;service:0000000000000007".as_slice();
    let request_with = |id, change: (u8, &[u8])| {
        let all = [
            (180, b"play".as_slice()),
            (181, b"900"),
            (182, b"radio"),
            (184, key),
            (185, figures),
            (195, b"x"),
        ];
        message(
            1,
            id,
            &all.map(|(code, value)| {
                if code == change.0 {
                    change
                } else {
                    (code, value)
                }
            }),
        )
    };
    let bad: Vec<Vec<u8>> = vec![
        vec![],
        vec![0],
        request_with(1, (180, b"sing")),
        request_with(1, (182, b"nobody")),
        request_with(1, (181, b"-5")),
        request_with(1, (185, b"cores:nan;memory:1;service:0000000000000007")),
        request_with(1, (185, b"cores:1e9;memory:1;service:0000000000000007")),
        request_with(1, (195, b"\xff\xfe")),
        request_with(0, (180, b"play")),
        message(123, 4, &[]),
        message(1, 4, &[]),
        request_with(1, (180, b"play"))[..40].to_vec(),
        vec![0, 3, 1, 2, 3],
        vec![0xff; 70_000],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ];
    let began = Instant::now();
    // All are sent at once, so that none waits for another.
    let address = placer.address;
    let each = bad.into_iter().map(|bytes| {
        tokio::spawn(async move {
            let mut client = Client::connect(address).await;
            // The placer may close the connection before all is written.
            let _ = client.stream.write_all(&bytes).await;
            if let Some(received) = client.receive().await {
                assert!(
                    received.kind == RELEASE && received.cause() != Some(REFUSED),
                    "{received:?} for {bytes:?}"
                );
            }
        })
    });
    for one in each.collect::<Vec<_>>() {
        one.await.unwrap();
    }
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
    let mut good = Client::connect(placer.address).await;
    good.send(&placement_request(7, "play", 1_500, "")).await;
    assert_eq!(good.receive().await.unwrap().kind, ANSWER);
    assert_eq!(
        wait_for("the valid request", host_messages.recv())
            .await
            .unwrap()["id"],
        "0000000000000007"
    );
    assert!(host_messages.try_recv().is_err());
}

/// A client that sends 60 MiB of garbage at full speed is disconnected, and other clients are served.
#[tokio::test]
async fn a_flood_of_garbage_is_disconnected() {
    let (_host_messages, placer) = placer_with_answering_host().await;
    let mut flood = Client::connect(placer.address).await;
    let chunk = vec![0x5a; 64 * 1024];
    let mut sent = 0;
    while sent < 60 * 1024 * 1024 && flood.stream.write_all(&chunk).await.is_ok() {
        sent += chunk.len();
    }
    assert!(sent < 60 * 1024 * 1024, "the placer read all 60 MiB");
    let mut good = Client::connect(placer.address).await;
    good.send(&placement_request(7, "play", 1_500, "")).await;
    assert_eq!(good.receive().await.unwrap().kind, ANSWER);
}

/// The link of an attempt is reset: the request is sent again if its class is safe to repeat, else it fails.
#[tokio::test]
async fn a_request_whose_link_is_reset_is_repeated_only_if_its_class_allows_it() {
    for (class, again, read) in [
        ("play", true, true),
        ("print", false, true),
        ("play", true, false),
    ] {
        let (host, _placer, mut client) = host_placer_client().await;
        client.send(&placement_request(1, class, 3_000, "")).await;
        let mut link = host.accept_link().await;
        // The link is reset after the host read the request, or before.
        if read {
            link.receive_line().await.unwrap();
        }
        link.reset();
        if again {
            let mut link = host.accept_link().await;
            let line = link.receive_line().await.unwrap();
            link.answer(&line["id"], "second").await;
            assert_eq!(client.receive().await.unwrap().description(), b"second");
        } else {
            let failed = client.receive().await.unwrap();
            assert!(
                failed.kind == RELEASE && failed.cause() != Some(REFUSED),
                "{failed:?}"
            );
        }
    }
}

/// A link that is reset while it is idle uses up no attempt, and is made again while its host runs tasks.
#[tokio::test]
async fn a_reset_idle_link_is_made_again_and_receives_the_task_end() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "print", 3_000, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    link.answer(&line["id"], "x").await;
    client.receive().await.unwrap();
    link.reset();
    let mut link = host.accept_link().await;
    link.release(&line["id"], 16).await;
    let end = client.receive().await.unwrap();
    assert_eq!((end.kind, end.id, end.cause()), (RELEASE, 1, Some(16)));
    client.send(&placement_request(2, "print", 3_000, "")).await;
    let line = link.receive_line().await.unwrap();
    link.answer(&line["id"], "y").await;
    assert_eq!(client.receive().await.unwrap().description(), b"y");
}

/// A link with unreadable input is closed; answers with an unknown ID and duplicates are ignored.
#[tokio::test]
async fn invalid_answers_are_not_passed_to_the_client() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 5_000, "")).await;
    let invalid: [&[u8]; 3] = [
        b"\x00\xff noise\n",
        b"{\"type\":\"answer\",\"id\":\"0000000000000001\",\"fields\":{}}\n",
        &[b'{'; 20_000],
    ];
    for bytes in invalid {
        let mut link = host.accept_link().await;
        link.receive_line().await.unwrap();
        link.send_bytes(bytes).await;
        // The placer closes the link.
        while link.receive_line().await.is_some() {}
    }
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    link.answer(&json!("00000000000000ff"), "nobody's").await;
    link.answer(&line["id"], "good").await;
    link.answer(&line["id"], "once more").await;
    let answer = client.receive().await.unwrap();
    assert_eq!(
        (answer.kind, answer.description()),
        (ANSWER, b"good".to_vec())
    );
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(
        client.receive().await.unwrap().kind,
        53,
        "the client must not receive a second answer"
    );
}

#[tokio::test]
async fn a_request_to_a_silent_host_fails_at_its_deadline_and_is_released() {
    let (host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "print", 800, "")).await;
    let mut link = host.accept_link().await;
    let line = link.receive_line().await.unwrap();
    let began = Instant::now();
    let failed = client.receive().await.unwrap();
    assert!(
        failed.kind == RELEASE && failed.cause() != Some(REFUSED),
        "{failed:?}"
    );
    assert!(began.elapsed() < Duration::from_secs(5));
    // The host receives a release, as the request has failed.
    loop {
        let message = link
            .receive_line()
            .await
            .expect("a release before the close");
        if message["type"] == "release" {
            break assert_eq!(
                (&message["id"], &message["cause"]),
                (&line["id"], &json!(16))
            );
        }
    }
}

/// A new host at the address of one that left gets a link of its own.
#[tokio::test]
async fn a_host_can_reuse_the_address_of_one_that_left() {
    let (host, placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 3_000, "")).await;
    let mut old = host.accept_link().await;
    let line = old.receive_line().await.unwrap();
    old.answer(&line["id"], "old").await;
    client.receive().await.unwrap();
    placer.discovery.publish(
        false,
        vec![
            host.entry("h-1", "east", "left"),
            host.entry("h-2", "east", "active"),
        ],
    );
    old.reset();
    let end = client.receive().await.unwrap();
    assert_eq!(
        (end.kind, end.id),
        (RELEASE, 1),
        "the task must be lost with its host"
    );
    // Requests to the new host must not be sent on links that were made to the old one.
    let mut messages = host.answer_all_requests();
    client.send(&placement_request(2, "play", 3_000, "")).await;
    assert_eq!(
        client.receive().await.unwrap().description(),
        b"here \"0000000000000002\""
    );
    assert_eq!(
        wait_for("the placement request", messages.recv())
            .await
            .unwrap()["id"],
        "0000000000000002"
    );
}

/// While discovery fails, the endpoints that it published before stay in use; afterwards new events are received.
#[tokio::test]
async fn discovery_that_fails_is_polled_again() {
    for behavior in [
        DiscoveryBehavior::Truncates,
        DiscoveryBehavior::Silent,
        DiscoveryBehavior::Fails,
    ] {
        let (first, second) = (Host::new().await, Host::new().await);
        let (line, drained) = (
            first.entry("h-1", "east", "active"),
            first.entry("h-1", "east", "leaving"),
        );
        let mut at_first = first.answer_all_requests();
        let placer = start_placer(vec![line]).await;
        placer.discovery.set_behavior(behavior);
        let mut client = Client::connect(placer.address).await;
        client.send(&placement_request(1, "play", 3_000, "")).await;
        assert_eq!(client.receive().await.unwrap().kind, ANSWER, "{behavior:?}");
        placer
            .discovery
            .publish(false, vec![drained, second.entry("h-2", "east", "active")]);
        let polls_before = placer.discovery.requests.lock().unwrap().len();
        placer
            .discovery
            .wait_for_requests(|polls| polls.len() >= polls_before + 2)
            .await;
        placer.discovery.set_behavior(DiscoveryBehavior::Normal);
        let mut at_second = second.answer_all_requests();
        // Until the event is received, requests are sent to the host listed before.
        let mut id = 10;
        wait_for("the event", async {
            while at_second.try_recv().is_err() {
                id += 1;
                client.send(&placement_request(id, "play", 3_000, "")).await;
                client.receive().await.unwrap();
            }
        })
        .await;
        while at_first.try_recv().is_ok() {}
        client.send(&placement_request(9, "play", 3_000, "")).await;
        assert_eq!(client.receive().await.unwrap().kind, ANSWER);
        assert!(
            at_first.try_recv().is_err(),
            "{behavior:?}: a draining host must not receive new requests"
        );
    }
}

#[tokio::test]
async fn a_reload_changes_the_address_of_discovery_and_keeps_the_revision() {
    let (first, second) = (Host::new().await, Host::new().await);
    let mut placer = start_placer(vec![first.entry("h-1", "east", "active")]).await;
    let discovery = Discovery::new().await;
    discovery.copy_events(&placer.discovery);
    discovery.publish(
        false,
        vec![
            first.entry("h-1", "east", "left"),
            second.entry("h-2", "east", "active"),
        ],
    );
    // An invalid configuration leaves the previous one in force, and the file is read again.
    std::fs::write(&placer.path, "{").unwrap();
    placer.signals.send(SignalRequest::Reload).await.unwrap();
    placer.write_config(&discovery);
    discovery.wait_for_requests(|polls| !polls.is_empty()).await;
    assert!(discovery.requests.lock().unwrap()[0].starts_with("/board/poll?watch=1&linger="));
    let mut messages = second.answer_all_requests();
    let mut client = Client::connect(placer.address).await;
    let mut id = 0;
    wait_for(
        "a request to the host that the new discovery lists",
        async {
            while messages.try_recv().is_err() {
                id += 1;
                client.send(&placement_request(id, "play", 300, "")).await;
                client.receive().await.unwrap();
            }
        },
    )
    .await;
}

#[tokio::test]
async fn a_placer_that_shuts_down_accepts_late_requests_and_answers_all() {
    let (host, placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 5_000, "")).await;
    let mut link = host.accept_link().await;
    let first = link.receive_line().await.unwrap();
    placer.signals.send(SignalRequest::Shutdown).await.unwrap();
    // Health checks pass until the placer has handled the signal.
    client.wait_for_failing_health_check().await;
    let mut late = Client::connect(placer.address).await;
    late.send(&placement_request(3, "play", 5_000, "")).await;
    let second = link.receive_line().await.unwrap();
    link.answer(&second["id"], "late").await;
    assert_eq!(late.receive().await.unwrap().description(), b"late");
    link.answer(&first["id"], "first").await;
    assert_eq!(client.receive().await.unwrap().description(), b"first");
    wait_for("the exit of the placer", placer.task)
        .await
        .unwrap();
    assert!(late.receive().await.is_none());
}

/// A host that is removed from the endpoint list ends all of its tasks at once, and all of these ends are sent on one
/// connection.
#[tokio::test]
async fn a_burst_of_task_ends_does_not_disconnect_a_client_that_reads() {
    let host = Host::new().await;
    let placer = start_placer(vec![host.entry("h-1", "east", "active")]).await;
    let mut client = Client::connect(placer.address).await;
    let count = 2_000;
    let handed_over: Vec<u8> = (1..=count)
        .flat_map(|id| placement_request(id, "play", 4_294_967, ";at:h-1"))
        .collect();
    client.send(&handed_over).await;
    // The health check is answered once all of that was handled.
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(client.receive().await.unwrap().kind, 53);
    placer
        .discovery
        .publish(false, vec![host.entry("h-1", "east", "left")]);
    for _ in 0..count {
        assert_eq!(
            client
                .receive()
                .await
                .expect("the connection must not be closed")
                .kind,
            RELEASE
        );
    }
}

#[tokio::test]
async fn a_client_that_closes_its_sending_side_gets_its_answers_before_the_close() {
    let (_host_messages, placer) = placer_with_answering_host().await;
    let mut client = Client::connect(placer.address).await;
    let requests: Vec<u8> = (1..=3)
        .flat_map(|id| placement_request(id, "play", 5_000, ""))
        .collect();
    client.send(&requests).await;
    client.stream.shutdown().await.unwrap();
    for _ in 1..=3 {
        assert_eq!(
            client
                .receive()
                .await
                .expect("an answer to each request")
                .kind,
            ANSWER
        );
    }
    assert_eq!(client.receive().await, None);
}

/// Unreadable bytes follow a placement request on the same connection: the request still gets a final answer.
#[tokio::test]
async fn a_request_followed_by_unreadable_bytes_gets_a_final_answer() {
    let (_host, _placer, mut client) = host_placer_client().await;
    client.send(&placement_request(1, "play", 5_000, "")).await;
    client.send(&[0, 3, 1, 2, 3]).await;
    let end = client.receive().await.expect("an answer");
    assert!(
        (end.kind, end.id) == (RELEASE, 1) && end.cause() != Some(REFUSED),
        "{end:?}"
    );
    assert_eq!(client.receive().await, None);
}

/// A client that sends health checks and never reads the results is disconnected, and other clients are served.
#[tokio::test]
async fn a_client_that_does_not_read_is_disconnected() {
    let (_host_messages, placer) = placer_with_answering_host().await;
    let mut unread = Client::connect(placer.address).await;
    let health_checks = message(52, 2, &[(194, &[0])]).repeat(1_000);
    wait_for("the disconnection", async {
        while unread.stream.write_all(&health_checks).await.is_ok() {}
    })
    .await;
    let mut good = Client::connect(placer.address).await;
    good.send(&placement_request(7, "play", 1_500, "")).await;
    assert_eq!(good.receive().await.unwrap().kind, ANSWER);
    let mut rest = Vec::new();
    let _ = unread.stream.read_to_end(&mut rest).await;
}

/// Hundreds of silent clients are disconnected in time, and do not keep other clients from being served.
#[tokio::test]
async fn hundreds_of_silent_clients_keep_no_other_client_out() {
    let (_host_messages, placer) = placer_with_answering_host().await;
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(Client::connect(placer.address).await);
    }
    let mut good = Client::connect(placer.address).await;
    good.send(&placement_request(7, "play", 1_500, "")).await;
    assert_eq!(good.receive().await.unwrap().kind, ANSWER);
    for mut one in silent {
        assert!(one.receive().await.is_none());
    }
}
