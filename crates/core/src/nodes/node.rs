//! One node: its entry in the node list, what operators asked for, and its connection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use reedring::names::machine_id;
use reedring::{self as module, AttemptId, MachineId, Micros};
use reedring_drmaa::rpc::NodeLine;
use reedring_node_protocol::{InFlightTask, RejectionReason};
use reedring_settings::{Health, NodeEntry};

/// The connection to a node.
#[derive(Debug, Default)]
pub(super) enum Link {
    /// Never made, and no attempt to connect has failed yet.
    #[default]
    NeverConnected,
    Down,
    /// The handshake is done; the node reports what it holds, and this much of it has come.
    Reconciling(Vec<InFlightTask>),
    Up,
}

/// What is told to operators of the tasks at a node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeLoad {
    /// Offers that are unanswered.
    pub waiting: usize,
    /// Tasks that it accepted, and what they reserve.
    pub held: usize,
    pub cores: f64,
    pub memory: f64,
}

/// A node that was listed, or known to a former incarnation of the placer.
#[derive(Debug)]
pub(crate) struct Node {
    pub(super) name: String,
    pub(super) machine: MachineId,
    pub(super) address: SocketAddr,
    pub(super) entry: NodeEntry,
    /// The node list holds it.
    pub(super) listed: bool,
    /// An operator drains it.
    pub(super) drained: bool,
    pub(super) link: Link,
    /// Counts connections, so that a timer knows its own.
    pub(super) connections: u64,
    /// The node's own incarnation and its start, once known.
    pub(super) incarnation: Option<u64>,
    pub(super) started_at: Option<Micros>,
    pub(super) can_suspend: bool,
    /// It has reported what it holds since this placer started.
    pub(super) reconciled: bool,
    /// The placer's attempts at it.
    pub(super) attempts: BTreeSet<AttemptId>,
    /// Offers that it rejected, by reason.
    pub(super) rejections: BTreeMap<RejectionReason, u64>,
    /// Until when offers that it answered late count against it while it is warming up.
    pub(super) overdue_until: Micros,
    /// Only a former incarnation's ledger names it so far: where it is the node list will say.
    pub(super) restored: bool,
    /// What the decision module was told of it last.
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

    /// Its entry in the node list.
    pub const fn entry(&self) -> &NodeEntry {
        &self.entry
    }

    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    pub const fn is_drained(&self) -> bool {
        self.drained
    }

    /// Only a former incarnation's ledger names it so far.
    pub const fn is_restored(&self) -> bool {
        self.restored
    }

    /// Messages can be sent to it: it has reported what it holds on this connection.
    pub const fn is_up(&self) -> bool {
        matches!(self.link, Link::Up)
    }

    pub const fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    pub const fn can_suspend(&self) -> bool {
        self.can_suspend
    }

    /// Until when offers that it answered late count against it while it is warming up.
    pub const fn overdue_until(&self) -> Micros {
        self.overdue_until
    }

    /// The placer's attempts at it, in order.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.attempts.iter().copied()
    }

    pub fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Ready, draining or gone, by the node list and the operator.
    pub fn health(&self) -> Health {
        match self.entry.health {
            _ if !self.listed => Health::Gone,
            Health::Ready if self.drained => Health::Draining,
            health => health,
        }
    }

    /// Its handshake names this incarnation; whether that is the one known before.
    pub(super) fn confirm_incarnation(
        &mut self,
        now: Micros,
        incarnation: u64,
        up_ms: u64,
    ) -> bool {
        let same = self.incarnation == Some(incarnation);
        // An incarnation that only the ledger names has no start yet.
        if !same || self.started_at.is_none() {
            self.incarnation = Some(incarnation);
            self.started_at = Some(now.saturating_sub(up_ms.saturating_mul(1_000)));
        }
        same
    }

    /// What operators see of it.
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
