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

/// The end of a flush.
fn cut(queue: &mut WriteAheadQueue, cx: &mut Context) -> Vec<Output> {
    let (mut sessions, mut ledger) = (Sessions::default(), Ledger::new(1));
    let nodes = registry(&["node-0"]);
    let mut sources = RowSources {
        sessions: &mut sessions,
        ledger: &mut ledger,
        nodes: &nodes,
    };
    queue.cut(START, &mut sources, cx);
    outputs(cx)
}

/// A queue with a state folder.
fn persisting(cx: &mut Context) -> WriteAheadQueue {
    let mut queue = WriteAheadQueue::default();
    queue.start(None, cx);
    queue
}

#[test]
fn a_reply_leaves_once_its_batch_is_durable() {
    let mut cx = context();
    let mut queue = persisting(&mut cx);
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
fn without_a_state_folder_nothing_waits() {
    let (mut queue, mut cx) = (WriteAheadQueue::default(), context());
    queue.reply(CLIENT, reply());
    let out = cut(&mut queue, &mut cx);
    assert!(matches!(&out[..], [Output::Reply { .. }]), "{out:?}");
}

#[test]
fn what_waits_for_a_connection_that_ended_is_void() {
    let (mut cx, mut nodes) = (context(), registry(&["node-0"]));
    connect(&mut nodes, NODE);
    let mut queue = persisting(&mut cx);
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
fn a_folder_that_fails_releases_what_waits_and_a_folder_that_is_back_gets_every_row() {
    let mut cx = context();
    let mut queue = persisting(&mut cx);
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
