use reedring_drmaa::rpc::Response;

use super::*;
use crate::test_support::{START, connect, context, outputs, registry};

const NODE: NodeNumber = NodeNumber(0);
const CLIENT: ConnectionId = 1;

fn reply() -> Output {
    let response = Response::new(1, Ok(reedring_drmaa::rpc::Answer::Done));
    Output::Reply {
        conn: CLIENT,
        response,
    }
}

/// Cuts a batch as at the end of a flush; returns all outputs of the context.
fn cut(queue: &mut WriteAheadQueue, cx: &mut Context) -> Vec<Output> {
    let (mut sessions, mut ledger) = (Sessions::default(), Ledger::new(1));
    let nodes = registry(&["node-0"]);
    let mut sources = RowSources {
        sessions: &mut sessions,
        ledger: &mut ledger,
        nodes: &nodes,
    };
    queue.cut_batch(START, &mut sources, cx);
    outputs(cx)
}

/// A queue whose state folder is configured and can be written.
fn persisting_queue(cx: &mut Context) -> WriteAheadQueue {
    let mut queue = WriteAheadQueue::default();
    queue.start(None, cx);
    queue
}

#[test]
fn a_reply_is_sent_once_its_batch_is_durable() {
    let mut cx = context();
    let mut queue = persisting_queue(&mut cx);
    queue.reply(CLIENT, reply());
    let out = cut(&mut queue, &mut cx);
    assert!(
        matches!(
            &out[..],
            [Output::Persist {
                is_rewrite: false,
                ..
            }]
        ),
        "{out:?}"
    );
    assert_eq!(queue.durable(START, 1, &mut cx).len(), 1);
}

#[test]
fn without_a_state_folder_a_reply_is_sent_at_once() {
    let (mut queue, mut cx) = (WriteAheadQueue::default(), context());
    queue.reply(CLIENT, reply());
    let out = cut(&mut queue, &mut cx);
    assert!(matches!(&out[..], [Output::Reply { .. }]), "{out:?}");
}

#[test]
fn messages_that_wait_are_discarded_when_the_connection_ends() {
    let (mut cx, mut nodes) = (context(), registry(&["node-0"]));
    connect(&mut nodes, NODE);
    let mut queue = persisting_queue(&mut cx);
    queue.send(
        NODE,
        &nodes,
        Message::Probe { nonce: 1 },
        Requires::CurrentBatch,
    );
    cut(&mut queue, &mut cx);
    queue.connection_changed(NODE);
    assert_eq!(queue.durable(START, 1, &mut cx).len(), 0);
}

#[test]
fn a_failed_folder_releases_waiting_outputs_and_a_restored_folder_gets_every_row() {
    let mut cx = context();
    let mut queue = persisting_queue(&mut cx);
    queue.reply(CLIENT, reply());
    cut(&mut queue, &mut cx);
    let released = queue.suspend("full".to_owned(), false, &mut cx);
    assert_eq!(released.map(|released| released.len()), Some(1));
    assert_eq!(queue.unavailable(), Some("full"));
    assert!(!queue.may_offer(Effect::Unsafe, &cx) && queue.may_offer(Effect::Safe, &cx));
    queue.resume(&mut cx);
    outputs(&mut cx);
    let out = cut(&mut queue, &mut cx);
    assert!(
        matches!(
            &out[..],
            [Output::Persist {
                is_rewrite: true,
                ..
            }]
        ),
        "{out:?}"
    );
}
