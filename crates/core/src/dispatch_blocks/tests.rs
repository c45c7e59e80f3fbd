use reedring_plan::SuspendReason;

use super::*;
use crate::test_support::{context, registry};

const NODE: NodeNumber = NodeNumber(0);
const SUSPENDED: DispatchBlock = DispatchBlock::Suspended(SuspendReason::NoQuorum);

#[test]
fn a_node_is_blocked_until_its_last_reason_is_removed() {
    let (nodes, mut blocks) = (registry(&["node-0"]), DispatchBlocks::default());
    let machine = nodes.machine(NODE).unwrap();
    blocks.set(NODE, machine, BlockReason::SlowStartOverdue, true);
    blocks.set_configuration(NODE, machine, Some(SUSPENDED));
    blocks.set(NODE, machine, BlockReason::SlowStartOverdue, false);
    assert!(blocks.is_blocked(machine));
    blocks.set_configuration(NODE, machine, None);
    assert!(!blocks.is_blocked(machine));
    assert_eq!(blocks.describe(), "");
}

#[test]
fn a_new_configuration_reason_replaces_the_previous_one() {
    let (nodes, mut blocks) = (registry(&["node-0"]), DispatchBlocks::default());
    let machine = nodes.machine(NODE).unwrap();
    for reason in [SuspendReason::NoQuorum, SuspendReason::Pinned] {
        blocks.set_configuration(NODE, machine, Some(DispatchBlock::Suspended(reason)));
    }
    let reason = DispatchBlock::Suspended(SuspendReason::Pinned).description();
    assert_eq!(blocks.describe(), format!("1 held back ({reason})"));
}

#[test]
fn a_queued_request_is_restricted_to_the_open_machines_while_a_node_is_blocked() {
    let (nodes, mut cx) = (registry(&["node-0", "node-1"]), context());
    let (mut blocks, mut constraints) = (DispatchBlocks::default(), ConstraintTracker::default());
    let (ledger, request) = (Ledger::new(1), RequestId(1));
    let open = nodes.machine(NodeNumber(1)).unwrap();
    let machine = nodes.machine(NODE).unwrap();
    blocks.set(NODE, machine, BlockReason::SlowStartOverdue, true);
    blocks.restrict(request, &nodes, &mut cx);
    let restricted = ModuleEvent::EligibilityChanged {
        request,
        machines: vec![open],
    };
    assert_eq!(cx.take_module_events(), [restricted]);
    blocks.announce(&mut constraints, &ledger, &nodes, &mut cx);
    assert_eq!(cx.take_module_events(), []);
    blocks.set(NODE, machine, BlockReason::SlowStartOverdue, false);
    blocks.announce(&mut constraints, &ledger, &nodes, &mut cx);
    let mut machines = vec![machine, open];
    machines.sort_unstable();
    assert_eq!(
        cx.take_module_events(),
        [ModuleEvent::EligibilityChanged { request, machines }]
    );
    blocks.announce(&mut constraints, &ledger, &nodes, &mut cx);
    assert_eq!(
        cx.take_module_events(),
        [],
        "nothing has changed since the last announcement"
    );
}
