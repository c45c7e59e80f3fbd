//! Which connections are accepted, and what is read in one go.

use reedring_platform_protocol::config::Limits;

use socket2::SockRef;

use super::*;
use crate::outbox::{self as outboxes};

fn bounds() -> Bounds {
    Bounds::of(&Limits {
        cores: 1.0,
        memory_mb: 32,
        sockets: 64,
    })
}

/// A placer that ends has taken whom the system took for it, however late its own turn comes.
#[tokio::test]
async fn who_waits_when_listening_stops_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut clients = Vec::new();
    for _ in 0..8 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    let ((stop, stopped), (came, mut coming)) = (oneshot::channel(), mpsc::channel(16));
    drop(stop);
    accept(
        listener,
        Places::new(&bounds()),
        Budget::default(),
        came,
        stopped,
    )
    .await;
    for _ in 0..8 {
        assert!(matches!(coming.recv().await, Some(Incoming::Client(..))));
    }
    assert!(
        TcpStream::connect(address).await.is_err(),
        "and nobody after that"
    );
}

/// A client's connection and the placer's end of it, served by a task.
async fn served() -> (
    TcpStream,
    outboxes::Sender,
    mpsc::Receiver<Incoming>,
    tokio::task::JoinHandle<()>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let stream = Arc::new(listener.accept().await.unwrap().0);
    let (out, messages) = outbox(&Budget::default());
    messages.attach(&stream, Vec::new());
    let (came, coming) = mpsc::channel(16);
    let serving = tokio::spawn(async move { serve(1, &stream, messages, &came).await });
    (client, out, coming, serving)
}

/// A test of a placer: 11 bytes, and the cause.
const TEST: [u8; 15] = [0, 13, 52, 0, 0, 0, 0, 0, 0, 0, 9, 194, 0, 1, 0];

/// Its bytes lie in the socket's buffer in the instant in which the engine closes on it: they are heard, and it stays.
#[tokio::test]
async fn who_speaks_in_the_instant_of_an_idle_close_is_heard() {
    for _ in 0..16 {
        let (client, out, mut coming, serving) = served().await;
        client.writable().await.unwrap();
        assert_eq!(client.try_write(&TEST).unwrap(), TEST.len());
        out.close_idle();
        let said = coming.recv().await.expect("it is not closed on");
        assert!(matches!(said, Incoming::Said(said) if matches!(said[0], Input::Client(1, Ok(_)))));
        // With nothing more to hear it ends.
        out.close_idle();
        tokio::time::timeout(Duration::from_secs(20), serving)
            .await
            .expect("the close")
            .unwrap();
    }
}

/// Half a message lies there: its rest is waited for.
#[tokio::test]
async fn half_a_message_in_the_instant_of_an_idle_close_may_come_to_its_end() {
    let (mut client, out, mut coming, _serving) = served().await;
    client.writable().await.unwrap();
    assert_eq!(client.try_write(&TEST[..5]).unwrap(), 5);
    out.close_idle();
    tokio::task::yield_now().await;
    tokio::io::AsyncWriteExt::write_all(&mut client, &TEST[5..])
        .await
        .unwrap();
    assert!(matches!(coming.recv().await, Some(Incoming::Said(_))));
}

/// What a client says, takes back and ends in one go is known together.
#[tokio::test]
async fn what_is_said_and_ended_in_one_go_comes_together() {
    let (mut client, _out, mut coming, _serving) = served().await;
    client.writable().await.unwrap();
    assert_eq!(client.try_write(&TEST.repeat(3)).unwrap(), 3 * TEST.len());
    SockRef::from(&client)
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    let Some(Incoming::Said(said)) = coming.recv().await else {
        panic!("nothing was said")
    };
    assert!(matches!(
        said[..],
        [
            Input::Client(..),
            Input::Client(..),
            Input::Client(..),
            Input::ClientEnded(1)
        ]
    ));
    drop(tokio::io::AsyncWriteExt::shutdown(&mut client).await);
}

/// Connections of clients wait in the listen queue, not in descriptors, once all places are taken.
#[tokio::test]
async fn no_more_are_taken_than_there_are_places() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (places, (_stop, stopped), (came, mut coming)) = (
        Places::new(&bounds()),
        oneshot::channel(),
        mpsc::channel(512),
    );
    tokio::spawn(accept(listener, places, Budget::default(), came, stopped));
    let most = bounds().clients + bounds().overflow + TURNED_AWAY;
    let mut clients = Vec::new();
    for _ in 0..most + 20 {
        clients.push(TcpStream::connect(address).await.unwrap());
    }
    let mut taken = Vec::new();
    for _ in 0..most {
        let Some(Incoming::Client(_, out)) = coming.recv().await else {
            panic!("one is not taken")
        };
        taken.push(out);
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    assert!(
        coming.try_recv().is_err(),
        "more were taken than there are places"
    );
    // As one ends the next is taken.
    drop(taken.pop());
    while !matches!(coming.recv().await, Some(Incoming::Client(..))) {}
}

/// What still waits for an idle client is written before it is closed on.
#[tokio::test]
async fn who_is_idle_gets_what_waits_for_it_before_its_close() {
    let (mut client, out, _coming, serving) = served().await;
    let all = vec![7; 8 * 1024 * 1024];
    out.send(&all);
    out.flush();
    assert!(out.len() > 0, "more than the sockets take");
    out.close_idle();
    let mut read = vec![0; all.len()];
    let whole = tokio::io::AsyncReadExt::read_exact(&mut client, &mut read);
    tokio::time::timeout(Duration::from_secs(20), whole)
        .await
        .expect("all of it")
        .unwrap();
    assert_eq!(read, all);
    tokio::time::timeout(Duration::from_secs(20), serving)
        .await
        .expect("the close")
        .unwrap();
}
