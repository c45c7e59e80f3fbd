//! Counting written messages, and writing pending bytes after the writer is dropped or has aborted.

use tokio::net::TcpListener;

use super::*;

#[test]
fn messages_begun_counts_messages_with_at_least_one_byte_written() {
    let budget = WriteBudget::default();
    let WriteBuffer { writer, queue } = WriteBuffer::new(&budget);
    for message in ["abc", "de", "fgh"] {
        writer.send(message.as_bytes());
    }
    assert_eq!((queue.messages_begun(), budget.pending()), (0, 8));
    for (count, begun) in [(1, 1), (2, 1), (1, 2), (1, 2), (2, 3), (1, 3)] {
        queue.0.pending().written(count);
        assert_eq!(queue.messages_begun(), begun);
    }
    assert_eq!(writer.len(), 0);
    writer.send(b"ij");
    queue.0.pending().written(1);
    assert_eq!(queue.messages_begun(), 4);
}

#[tokio::test]
async fn pending_bytes_are_written_after_the_writer_is_dropped_and_not_after_an_abort() {
    let budget = WriteBudget::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    stream.writable().await.unwrap();
    let stream = Arc::new(stream);
    let WriteBuffer { writer, queue } = WriteBuffer::new(&budget);
    writer.send(b"whole");
    drop(writer);
    assert!(queue.is_closed() && !queue.is_done());
    queue.attach(&stream, Vec::new());
    queue.write().unwrap();
    assert!(queue.is_done() && budget.pending() == 0);
    let WriteBuffer { writer, queue } = WriteBuffer::new(&budget);
    queue.attach(&stream, Vec::new());
    writer.send(b"whole");
    writer.abort();
    queue.write().unwrap();
    assert_eq!(
        (queue.is_done(), queue.messages_begun(), budget.pending()),
        (true, 0, 0)
    );
    drop(queue);
    writer.send(b"nobody writes it");
    assert_eq!(budget.pending(), 0);
}
