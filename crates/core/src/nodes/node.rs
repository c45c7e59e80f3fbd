//! One node: its entry in the node list, whether an operator drains it, its connection, and its attempts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use reedring::names::machine_id;
use reedring::{self as module, AttemptId, MachineId, Micros};
use reedring_drmaa::rpc::NodeLine;
use reedring_node_protocol::{InFlightTask, RejectionReason};
use reedring_settings::{Health, NodeEntry};

/// The state of the connection to a node.
#[derive(Debug, Default)]
pub(super) enum Link {
    /// No connection was made yet, and no attempt to connect has failed yet.
    #[default]
    NeverConnected,
    /// The connection was lost, closed, or could not be made.
    Down,
    /// The handshake is done, and the node is reporting the tasks that it holds; these have arrived so far.
    Reconciling(Vec<InFlightTask>),
    /// The node has reported all tasks that it holds, and messages can be sent.
    Up,
}

/// The tasks at a node, for operators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeLoad {
    /// Offers that the node has not answered.
    pub waiting: usize,
    /// Tasks that the node accepted.
    pub held: usize,
    /// Cores that the accepted tasks reserve.
    pub cores: f64,
    /// Memory that the accepted tasks reserve, in the unit of the settings file.
    pub memory: f64,
}

/// A node that was listed, or known to a former incarnation of the placer.
#[derive(Debug)]
pub(crate) struct Node {
    pub(super) name: String,
    pub(super) machine: MachineId,
    pub(super) address: SocketAddr,
    pub(super) entry: NodeEntry,
    /// Whether the node list has the node.
    pub(super) listed: bool,
    /// Whether an operator drains the node.
    pub(super) drained: bool,
    pub(super) link: Link,
    /// The number of handshakes so far. It identifies a connection, so that a timer of an older one is ignored.
    pub(super) connections: u64,
    /// The node's own incarnation; `None` until its handshake or the ledger names it.
    pub(super) incarnation: Option<u64>,
    /// When this incarnation of the node started, on the placer's clock; `None` before its first handshake.
    pub(super) started_at: Option<Micros>,
    /// Whether the node can suspend tasks, by its last handshake.
    pub(super) can_suspend: bool,
    /// Whether the node has reported the tasks that it holds since this placer started.
    pub(super) reconciled: bool,
    /// The placer's open attempts at the node.
    pub(super) attempts: BTreeSet<AttemptId>,
    /// How many offers the node rejected, by reason.
    pub(super) rejections: BTreeMap<RejectionReason, u64>,
    /// Until when late answers count against the node while it is warming up.
    pub(super) overdue_until: Micros,
    /// Whether only the ledger of a former incarnation names the node so far. Its address is not known before a node list
    /// has it.
    pub(super) restored: bool,
    /// The last announcement of the node to the decision module; `None` if there was none.
    pub(super) announced: Option<module::Machine>,
}

impl Node {
    pub(super) fn new(entry: NodeEntry) -> Self {
        Self {
            name: entry.name.clone(),
            machine: machine_id(&entry.name),
            address: entry.address,
            entry,
            listed: true,
            drained: false,
            link: Link::NeverConnected,
            connections: 0,
            incarnation: None,
            started_at: None,
            can_suspend: false,
            reconciled: false,
            attempts: BTreeSet::new(),
            rejections: BTreeMap::new(),
            overdue_until: 0,
            restored: false,
            announced: None,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub const fn machine(&self) -> MachineId {
        self.machine
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The node's entry in the node list; the last one if it is no longer listed.
    pub const fn entry(&self) -> &NodeEntry {
        &self.entry
    }

    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    pub const fn is_drained(&self) -> bool {
        self.drained
    }

    /// Whether only the ledger of a former incarnation names the node so far.
    pub const fn is_restored(&self) -> bool {
        self.restored
    }

    /// Whether messages can be sent to the node: it has reported the tasks that it holds on this connection.
    pub const fn is_up(&self) -> bool {
        matches!(self.link, Link::Up)
    }

    pub const fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    pub const fn can_suspend(&self) -> bool {
        self.can_suspend
    }

    /// Until when late answers count against the node while it is warming up.
    pub const fn overdue_until(&self) -> Micros {
        self.overdue_until
    }

    /// The placer's open attempts at the node, in the order of their ids.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.attempts.iter().copied()
    }

    pub fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The node's health by the node list and the operator: an unlisted node is gone, and a ready one that an operator drains
    /// is draining.
    pub fn health(&self) -> Health {
        match self.entry.health {
            _ if !self.listed => Health::Gone,
            Health::Ready if self.drained => Health::Draining,
            health => health,
        }
    }

    /// Records the incarnation that the node's handshake names. Returns whether it is the one that was known before.
    pub(super) fn confirm_incarnation(
        &mut self,
        now: Micros,
        incarnation: u64,
        up_ms: u64,
    ) -> bool {
        let same = self.incarnation == Some(incarnation);
        // If the incarnation is known from the ledger only, the start of the node is not known yet.
        if !same || self.started_at.is_none() {
            self.incarnation = Some(incarnation);
            self.started_at = Some(now.saturating_sub(up_ms.saturating_mul(1_000)));
        }
        same
    }

    /// The node's line in the list for operators. `plan` describes the configuration that the node stores.
    pub fn line(&self, load: NodeLoad, kind: &str, plan: Option<String>) -> NodeLine {
        let rejection =
            |(reason, count): (&RejectionReason, &u64)| (reason.word().to_owned(), *count);
        let listed = if self.listed {
            self.entry.health
        } else {
            Health::Gone
        };
        NodeLine {
            node: self.name.clone(),
            address: self.address.to_string(),
            kind: kind.to_owned(),
            rack: self.entry.rack.clone(),
            hall: self.entry.hall.clone(),
            listed: listed.word().to_owned(),
            drained: self.drained,
            linked: self.is_up(),
            waiting: load.waiting,
            held: load.held,
            cores: load.cores,
            memory: load.memory,
            plan,
            refusals: self.rejections.iter().map(rejection).collect(),
        }
    }
}
