//! Set-up functions shared by the unit tests of several components.

use reedring_settings::{NodeEntry, NodeList, Settings};

use crate::context::Context;
use crate::ids::NodeNumber;
use crate::io::{Output, Start};
use crate::nodes::NodeRegistry;

/// The time in microseconds at which the placer under test starts, on its own clock and since 1970.
pub(crate) const START: u64 = 1_000_000;

/// The context of a placer that has just started.
pub(crate) fn context() -> Context {
    let text = r#"
        placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
        kind = [{ name = "k", cores = 16.0, memory = 64.0 }]
        class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "8s" }]
    "#;
    let settings = Settings::parse(text, "test").expect("the test settings are valid");
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

/// An entry of the node list for a node with this name.
pub(crate) fn entry(name: &str) -> NodeEntry {
    NodeEntry::at(name, ([127, 0, 0, 1], 7_000).into())
}

/// A registry whose node list contains nodes with these names, numbered from 0 in this order.
pub(crate) fn registry(names: &[&str]) -> NodeRegistry {
    let mut nodes = NodeRegistry::new(vec!["k".to_owned()], START, START);
    let list = NodeList {
        revision: 1,
        nodes: names.iter().map(|name| entry(name)).collect(),
    };
    assert!(nodes.apply_list(list).is_ok());
    nodes
}

/// Connects a node: its handshake is done, and it has reported that it holds no tasks.
pub(crate) fn connect(nodes: &mut NodeRegistry, number: NodeNumber) {
    nodes.handshake_done(number, START, 1, 0, true);
    assert_eq!(
        nodes.add_held_tasks_page(number, Vec::new(), true),
        Some(Vec::new())
    );
}

/// Removes and returns all outputs of a context, in order.
pub(crate) fn outputs(cx: &mut Context) -> Vec<Output> {
    std::iter::from_fn(|| cx.next_output()).collect()
}
