//! The whole placer on loopback, against small stand-ins.

mod standins;

use std::time::{Duration, Instant};

use reedring_connection::SignalRequest;
use reedring_platform_protocol::FULL;
use serde_json::json;
use standins::{Client, Discovery, Host, Mood, alone, message, obliged, placer, setup, soon};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ANSWER: u8 = 9;
const RELEASE: u8 = 12;

#[tokio::test]
async fn a_task_goes_from_its_client_to_a_host_and_its_end_back() {
    let (host, _placer, mut client) = alone().await;
    client.send(&message(52, 3, &[(194, &[0])])).await;
    assert_eq!(
        client.got().await.unwrap(),
        standins::Got {
            kind: 53,
            id: 3,
            parameters: vec![(194, vec![1])]
        }
    );
    client.send(&setup(0x51, "take", 1_500, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
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
    let answer = client.got().await.unwrap();
    assert_eq!((answer.kind, answer.id), (ANSWER, 0x51));
    assert_eq!(answer.description(), "t=0 \u{fc}\r\n\u{1}".as_bytes());
    link.release(&line["id"], 16).await;
    let end = client.got().await.unwrap();
    assert_eq!((end.kind, end.id, end.cause()), (RELEASE, 0x51, Some(16)));
}

#[tokio::test]
async fn an_client_ends_its_task_from_another_connection() {
    let (host, placer, mut client) = alone().await;
    client.send(&setup(1, "play", 1_500, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    link.answer(&line["id"], "x").await;
    client.got().await.unwrap();
    let mut other = Client::connect(placer.address).await;
    other.send(&message(12, 1, &[(194, &[16])])).await;
    let cut = link.line().await.unwrap();
    assert_eq!((&cut["type"], &cut["id"]), (&json!("release"), &line["id"]));
    // Who ended it is owed nothing: the next thing it hears is the answer to its test.
    link.release(&line["id"], 31).await;
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(client.got().await.unwrap().kind, 53);
}

/// What is bad gets a failing release or a close in time, and nothing of it reaches a host.
#[tokio::test]
async fn bad_input_is_answered_or_closed_on_and_reaches_no_host() {
    let (mut reached, placer) = obliged().await;
    let key = b"00000000000000aa".as_slice();
    let figures = b"cores:1;memory:1;service:0000000000000007".as_slice();
    let whole = |id, change: (u8, &[u8])| {
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
        whole(1, (180, b"sing")),
        whole(1, (182, b"nobody")),
        whole(1, (181, b"-5")),
        whole(1, (185, b"cores:nan;memory:1;service:0000000000000007")),
        whole(1, (185, b"cores:1e9;memory:1;service:0000000000000007")),
        whole(1, (195, b"\xff\xfe")),
        whole(0, (180, b"play")),
        message(123, 4, &[]),
        message(1, 4, &[]),
        whole(1, (180, b"play"))[..40].to_vec(),
        vec![0, 3, 1, 2, 3],
        vec![0xff; 70_000],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ];
    let began = Instant::now();
    // All at once: none of them waits for another.
    let address = placer.address;
    let each = bad.into_iter().map(|bytes| {
        tokio::spawn(async move {
            let mut client = Client::connect(address).await;
            // It may be closed on before all of it is written.
            let _ = client.stream.write_all(&bytes).await;
            if let Some(got) = client.got().await {
                assert!(
                    got.kind == RELEASE && got.cause() != Some(FULL),
                    "{got:?} for {bytes:?}"
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
    good.send(&setup(7, "play", 1_500, "")).await;
    assert_eq!(good.got().await.unwrap().kind, ANSWER);
    assert_eq!(
        soon("the good one", reached.recv()).await.unwrap()["id"],
        "0000000000000007"
    );
    assert!(reached.try_recv().is_err());
}

/// 60 MB at full speed are cut, and others are served meanwhile.
#[tokio::test]
async fn a_body_without_end_is_cut() {
    let (_told, placer) = obliged().await;
    let mut flood = Client::connect(placer.address).await;
    let chunk = vec![0x5a; 64 * 1024];
    let mut sent = 0;
    while sent < 60 * 1024 * 1024 && flood.stream.write_all(&chunk).await.is_ok() {
        sent += chunk.len();
    }
    assert!(sent < 60 * 1024 * 1024, "all of it was taken");
    let mut good = Client::connect(placer.address).await;
    good.send(&setup(7, "play", 1_500, "")).await;
    assert_eq!(good.got().await.unwrap().kind, ANSWER);
}

/// An attempt on a connection that breaks is sent again where its class allows it, and failed where not.
#[tokio::test]
async fn a_connection_reset_under_a_set_up_is_what_its_class_allows() {
    for (class, again, read) in [
        ("play", true, true),
        ("print", false, true),
        ("play", true, false),
    ] {
        let (host, _placer, mut client) = alone().await;
        client.send(&setup(1, class, 3_000, "")).await;
        let mut link = host.link().await;
        // One that is reset while it is new may have been read, or not.
        if read {
            link.line().await.unwrap();
        }
        link.reset();
        if again {
            let mut link = host.link().await;
            let line = link.line().await.unwrap();
            link.answer(&line["id"], "second").await;
            assert_eq!(client.got().await.unwrap().description(), b"second");
        } else {
            let failed = client.got().await.unwrap();
            assert!(
                failed.kind == RELEASE && failed.cause() != Some(FULL),
                "{failed:?}"
            );
        }
    }
}

/// A connection that was reset while idle costs no attempt, and while tasks stand it is made again.
#[tokio::test]
async fn an_idle_connection_that_is_reset_is_made_again_and_the_end_heard() {
    let (host, _placer, mut client) = alone().await;
    client.send(&setup(1, "print", 3_000, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    link.answer(&line["id"], "x").await;
    client.got().await.unwrap();
    link.reset();
    let mut link = host.link().await;
    link.release(&line["id"], 16).await;
    let end = client.got().await.unwrap();
    assert_eq!((end.kind, end.id, end.cause()), (RELEASE, 1, Some(16)));
    client.send(&setup(2, "print", 3_000, "")).await;
    let line = link.line().await.unwrap();
    link.answer(&line["id"], "y").await;
    assert_eq!(client.got().await.unwrap().description(), b"y");
}

/// What can't be read ends the connection; what is more than was asked for is passed over.
#[tokio::test]
async fn spoilt_answers_never_pass_on() {
    let (host, _placer, mut client) = alone().await;
    client.send(&setup(1, "play", 5_000, "")).await;
    let spoilt: [&[u8]; 3] = [
        b"\x00\xff noise\n",
        b"{\"type\":\"answer\",\"id\":\"0000000000000001\",\"fields\":{}}\n",
        &[b'{'; 20_000],
    ];
    for bytes in spoilt {
        let mut link = host.link().await;
        link.line().await.unwrap();
        link.raw(bytes).await;
        // The placer is done with it.
        while link.line().await.is_some() {}
    }
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    link.answer(&json!("00000000000000ff"), "nobody's").await;
    link.answer(&line["id"], "good").await;
    link.answer(&line["id"], "once more").await;
    let answer = client.got().await.unwrap();
    assert_eq!(
        (answer.kind, answer.description()),
        (ANSWER, b"good".to_vec())
    );
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(client.got().await.unwrap().kind, 53, "no second answer");
}

#[tokio::test]
async fn a_host_that_says_nothing_costs_its_client_no_more_than_its_time() {
    let (host, _placer, mut client) = alone().await;
    client.send(&setup(1, "print", 800, "")).await;
    let mut link = host.link().await;
    let line = link.line().await.unwrap();
    let began = Instant::now();
    let failed = client.got().await.unwrap();
    assert!(
        failed.kind == RELEASE && failed.cause() != Some(FULL),
        "{failed:?}"
    );
    assert!(began.elapsed() < Duration::from_secs(5));
    // The host is told that nobody waits any more.
    loop {
        let said = link.line().await.expect("a release before the close");
        if said["type"] == "release" {
            break assert_eq!((&said["id"], &said["cause"]), (&line["id"], &json!(16)));
        }
    }
}

/// A new host at the address of one that left gets its own connection.
#[tokio::test]
async fn an_address_is_taken_over_by_another_host() {
    let (host, placer, mut client) = alone().await;
    client.send(&setup(1, "play", 3_000, "")).await;
    let mut old = host.link().await;
    let line = old.line().await.unwrap();
    old.answer(&line["id"], "old").await;
    client.got().await.unwrap();
    placer.discovery.tell(
        false,
        vec![
            host.line("h-1", "east", "left"),
            host.line("h-2", "east", "active"),
        ],
    );
    old.reset();
    let end = client.got().await.unwrap();
    assert_eq!((end.kind, end.id), (RELEASE, 1), "it is over with its host");
    // What was connected to for the old host before its end was told carries nothing of the new one.
    let mut told = host.obliging();
    client.send(&setup(2, "play", 3_000, "")).await;
    assert_eq!(
        client.got().await.unwrap().description(),
        b"here \"0000000000000002\""
    );
    assert_eq!(
        soon("the set-up", told.recv()).await.unwrap()["id"],
        "0000000000000002"
    );
}

/// Whatever discovery does, what it told before holds, and what it tells then comes through.
#[tokio::test]
async fn a_board_that_breaks_or_falls_silent_is_asked_again() {
    for mood in [Mood::Breaks, Mood::Silent, Mood::Errs] {
        let (first, second) = (Host::new().await, Host::new().await);
        let (line, drained) = (
            first.line("h-1", "east", "active"),
            first.line("h-1", "east", "leaving"),
        );
        let mut at_first = first.obliging();
        let placer = placer(vec![line]).await;
        placer.discovery.set(mood);
        let mut client = Client::connect(placer.address).await;
        client.send(&setup(1, "play", 3_000, "")).await;
        assert_eq!(client.got().await.unwrap().kind, ANSWER, "{mood:?}");
        placer
            .discovery
            .tell(false, vec![drained, second.line("h-2", "east", "active")]);
        let asked = placer.discovery.asked.lock().unwrap().len();
        placer
            .discovery
            .until_asked(|asks| asks.len() >= asked + 2)
            .await;
        placer.discovery.set(Mood::Well);
        let mut at_second = second.obliging();
        // Until the event came through, tasks go where it was told before.
        let mut id = 10;
        soon("the event", async {
            while at_second.try_recv().is_err() {
                id += 1;
                client.send(&setup(id, "play", 3_000, "")).await;
                client.got().await.unwrap();
            }
        })
        .await;
        while at_first.try_recv().is_ok() {}
        client.send(&setup(9, "play", 3_000, "")).await;
        assert_eq!(client.got().await.unwrap().kind, ANSWER);
        assert!(
            at_first.try_recv().is_err(),
            "{mood:?}: nothing new to a host that drains"
        );
    }
}

#[tokio::test]
async fn a_new_configuration_moves_the_board_and_the_numbers_go_on() {
    let (first, second) = (Host::new().await, Host::new().await);
    let mut placer = placer(vec![first.line("h-1", "east", "active")]).await;
    let discovery = Discovery::new().await;
    discovery.continues(&placer.discovery);
    discovery.tell(
        false,
        vec![
            first.line("h-1", "east", "left"),
            second.line("h-2", "east", "active"),
        ],
    );
    // One that can't be read leaves the old in force, and is read again.
    std::fs::write(&placer.path, "{").unwrap();
    placer.ask.send(SignalRequest::Reload).await.unwrap();
    placer.configure(&discovery);
    discovery.until_asked(|asks| !asks.is_empty()).await;
    assert!(discovery.asked.lock().unwrap()[0].starts_with("/board/poll?watch=1&linger="));
    let mut told = second.obliging();
    let mut client = Client::connect(placer.address).await;
    let mut id = 0;
    soon("the new discovery's host", async {
        while told.try_recv().is_err() {
            id += 1;
            client.send(&setup(id, "play", 300, "")).await;
            client.got().await.unwrap();
        }
    })
    .await;
}

#[tokio::test]
async fn a_placer_asked_to_end_takes_what_still_comes_and_answers_all() {
    let (host, placer, mut client) = alone().await;
    client.send(&setup(1, "play", 5_000, "")).await;
    let mut link = host.link().await;
    let first = link.line().await.unwrap();
    placer.ask.send(SignalRequest::Shutdown).await.unwrap();
    // Until it knows, its test passes.
    client.until_its_test_fails().await;
    let mut late = Client::connect(placer.address).await;
    late.send(&setup(3, "play", 5_000, "")).await;
    let second = link.line().await.unwrap();
    link.answer(&second["id"], "late").await;
    assert_eq!(late.got().await.unwrap().description(), b"late");
    link.answer(&first["id"], "first").await;
    assert_eq!(client.got().await.unwrap().description(), b"first");
    soon("the end", placer.served).await.unwrap();
    assert!(late.got().await.is_none());
}

/// A client that sends and never reads is cut; its neighbours are served.
/// A host that leaves the list ends all of its tasks at once, and one connection is owed all of these ends.
#[tokio::test]
async fn a_burst_of_ends_cuts_nobody_who_reads() {
    let host = Host::new().await;
    let placer = placer(vec![host.line("h-1", "east", "active")]).await;
    let mut client = Client::connect(placer.address).await;
    let count = 2_000;
    let held: Vec<u8> = (1..=count)
        .flat_map(|id| setup(id, "play", 4_294_967, ";at:h-1"))
        .collect();
    client.send(&held).await;
    // Its test is passed once all of that was taken in.
    client.send(&message(52, 9, &[(194, &[0])])).await;
    assert_eq!(client.got().await.unwrap().kind, 53);
    placer
        .discovery
        .tell(false, vec![host.line("h-1", "east", "left")]);
    for _ in 0..count {
        assert_eq!(
            client.got().await.expect("it is not closed on").kind,
            RELEASE
        );
    }
}

#[tokio::test]
async fn an_client_that_said_all_it_has_to_say_gets_its_answers_and_its_close() {
    let (_told, placer) = obliged().await;
    let mut client = Client::connect(placer.address).await;
    let asks: Vec<u8> = (1..=3)
        .flat_map(|id| setup(id, "play", 5_000, ""))
        .collect();
    client.send(&asks).await;
    client.stream.shutdown().await.unwrap();
    for _ in 1..=3 {
        assert_eq!(client.got().await.expect("all it asked for").kind, ANSWER);
    }
    assert_eq!(client.got().await, None);
}

/// What can't be read comes after a set-up on the same connection: that one still ends with an answer.
#[tokio::test]
async fn what_was_asked_before_bytes_that_are_no_message_is_answered() {
    let (_host, _placer, mut client) = alone().await;
    client.send(&setup(1, "play", 5_000, "")).await;
    client.send(&[0, 3, 1, 2, 3]).await;
    let end = client.got().await.expect("an answer");
    assert!(
        (end.kind, end.id) == (RELEASE, 1) && end.cause() != Some(FULL),
        "{end:?}"
    );
    assert_eq!(client.got().await, None);
}

#[tokio::test]
async fn who_does_not_read_is_cut() {
    let (_told, placer) = obliged().await;
    let mut deaf = Client::connect(placer.address).await;
    let test = message(52, 2, &[(194, &[0])]).repeat(1_000);
    soon("the cut", async {
        while deaf.stream.write_all(&test).await.is_ok() {}
    })
    .await;
    let mut good = Client::connect(placer.address).await;
    good.send(&setup(7, "play", 1_500, "")).await;
    assert_eq!(good.got().await.unwrap().kind, ANSWER);
    let mut rest = Vec::new();
    let _ = deaf.stream.read_to_end(&mut rest).await;
}

/// Descriptors stay bounded, and silence in hundreds keeps nobody out.
#[tokio::test]
async fn hundreds_that_say_nothing_keep_nobody_out() {
    let (_told, placer) = obliged().await;
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(Client::connect(placer.address).await);
    }
    let mut good = Client::connect(placer.address).await;
    good.send(&setup(7, "play", 1_500, "")).await;
    assert_eq!(good.got().await.unwrap().kind, ANSWER);
    for mut one in silent {
        assert!(one.got().await.is_none());
    }
}
