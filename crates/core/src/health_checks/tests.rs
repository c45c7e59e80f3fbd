use super::*;
use crate::io::Output;
use crate::test_support::{START, connect, context, outputs, registry};

const NODE: NodeNumber = NodeNumber(0);

#[test]
fn a_check_of_a_node_that_is_not_connected_fails_at_once() {
    let (nodes, mut cx) = (registry(&["node-0"]), context());
    let (mut checks, mut queue) = (HealthChecks::default(), WriteAheadQueue::default());
    let machine = nodes.machine(NODE).unwrap();
    checks.start(START, machine, &nodes, &mut queue, &mut cx);
    let failed = ModuleEvent::Probed {
        machine,
        answered: false,
        took_us: 0,
        report: Vec::new(),
    };
    assert_eq!(cx.take_module_events(), [failed]);
}

#[test]
fn an_answered_check_is_reported_once_and_its_timeout_does_not_fail_it() {
    let (mut nodes, mut cx) = (registry(&["node-0"]), context());
    let (mut checks, mut queue) = (HealthChecks::default(), WriteAheadQueue::default());
    connect(&mut nodes, NODE);
    let machine = nodes.machine(NODE).unwrap();
    checks.start(START, machine, &nodes, &mut queue, &mut cx);
    queue.release(START, &mut cx);
    let sent = outputs(&mut cx);
    assert!(
        matches!(
            &sent[..],
            [Output::Send {
                message: Message::Probe { nonce: 1 },
                ..
            }]
        ),
        "{sent:?}"
    );
    checks.answered(START + 5, 1, vec![0.5], &nodes, &mut cx);
    let answered = ModuleEvent::Probed {
        machine,
        answered: true,
        took_us: 5,
        report: vec![0.5],
    };
    assert_eq!(cx.take_module_events(), [answered]);
    checks.failed(START + 9, 1, &nodes, &mut cx);
    assert_eq!(cx.take_module_events(), []);
}
