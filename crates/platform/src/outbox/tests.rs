//! What left, and what is written after its sender went.

use tokio::net::TcpListener;

use super::*;

#[test]
fn messages_of_which_a_byte_left_are_counted() {
    let budget = Budget::default();
    let (sender, outbox) = outbox(&budget);
    for message in ["abc", "de", "fgh"] {
        sender.send(message.as_bytes());
    }
    assert_eq!((outbox.begun(), budget.held()), (0, 8));
    for (count, begun) in [(1, 1), (2, 1), (1, 2), (1, 2), (2, 3), (1, 3)] {
        outbox.0.waiting().leave(count);
        assert_eq!(outbox.begun(), begun);
    }
    assert_eq!(sender.len(), 0);
    sender.send(b"ij");
    outbox.0.waiting().leave(1);
    assert_eq!(outbox.begun(), 4);
}

#[tokio::test]
async fn what_waits_is_written_after_its_sender_went_and_not_once_it_is_cut() {
    let budget = Budget::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    stream.writable().await.unwrap();
    let stream = Arc::new(stream);
    let (sender, waits) = outbox(&budget);
    sender.send(b"whole");
    drop(sender);
    assert!(waits.is_closed() && !waits.is_over());
    waits.attach(&stream, Vec::new());
    waits.write().unwrap();
    assert!(waits.is_over() && budget.held() == 0);
    let (sender, waits) = outbox(&budget);
    waits.attach(&stream, Vec::new());
    sender.send(b"whole");
    sender.cut();
    waits.write().unwrap();
    assert_eq!(
        (waits.is_over(), waits.begun(), budget.held()),
        (true, 0, 0)
    );
    drop(waits);
    sender.send(b"nobody writes it");
    assert_eq!(budget.held(), 0);
}
