//! What the tests of several components set up.

use reedring_settings::{NodeEntry, NodeList, Settings};

use crate::context::Context;
use crate::ids::NodeNumber;
use crate::io::{Output, Start};
use crate::nodes::NodeRegistry;

/// Microseconds at which the tests' placer starts.
pub(crate) const START: u64 = 1_000_000;

/// A context of a placer that has just started.
pub(crate) fn context() -> Context {
    let text = r#"
        placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
        kind = [{ name = "k", cores = 16.0, memory = 64.0 }]
        class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "8s" }]
    "#;
    let settings = Settings::parse(text, "test").expect("the test's own settings");
    Context::new(
        settings,
        Start {
            now: START,
            unix_us: START,
            incarnation: 1,
            seed: 7,
        },
    )
}

/// An entry of the node list.
pub(crate) fn entry(name: &str) -> NodeEntry {
    NodeEntry::at(name, ([127, 0, 0, 1], 7_000).into())
}

/// A registry whose node list has these nodes, numbered in this order.
pub(crate) fn registry(names: &[&str]) -> NodeRegistry {
    let mut nodes = NodeRegistry::new(vec!["k".to_owned()], START, START);
    let list = NodeList {
        revision: 1,
        nodes: names.iter().map(|name| entry(name)).collect(),
    };
    assert!(nodes.apply_list(list).is_ok());
    nodes
}

/// Brings the connection to a node up: its handshake is done, and it holds nothing.
pub(crate) fn connect(nodes: &mut NodeRegistry, number: NodeNumber) {
    nodes.handshake_done(number, START, 1, 0, true);
    assert_eq!(
        nodes.add_held_tasks_page(number, Vec::new(), true),
        Some(Vec::new())
    );
}

/// All outputs of a context, in order.
pub(crate) fn outputs(cx: &mut Context) -> Vec<Output> {
    std::iter::from_fn(|| cx.next_output()).collect()
}
