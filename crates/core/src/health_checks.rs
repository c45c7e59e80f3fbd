//! Health checks: the decision module requests one, a probe is sent to the node, and the result is reported back.

use std::collections::BTreeMap;

use reedring::{Event as ModuleEvent, MachineId, Micros};
use reedring_node_protocol::Message;

use crate::context::Context;
use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;
use crate::persistence::{Requires, WriteAheadQueue};
use crate::timers::Timer;

/// A health check that was sent to a node, and the time at which it was sent.
#[derive(Debug)]
struct HealthCheck {
    node: NodeNumber,
    sent: Micros,
}

/// The health checks that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct HealthChecks {
    /// The checks by the nonce of their probe.
    pending: BTreeMap<u64, HealthCheck>,
    last_nonce: u64,
}

impl HealthChecks {
    /// Sends a health check to a node and sets its timeout. The check of a node that is not connected fails at once.
    pub fn start(
        &mut self,
        now: Micros,
        machine: MachineId,
        nodes: &NodeRegistry,
        queue: &mut WriteAheadQueue,
        cx: &mut Context,
    ) {
        let Some(node) = nodes.by_machine(machine) else {
            return;
        };
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        self.pending.insert(nonce, HealthCheck { node, sent: now });
        if nodes.is_up(node) {
            cx.set_timer(
                now + cx.settings().links.probe_us,
                Timer::HealthCheck(nonce),
            );
            queue.send(node, nodes, Message::Probe { nonce }, Requires::Nothing);
        } else {
            self.failed(now, nonce, nodes, cx);
        }
    }

    /// Reports that a node answered a check, with its load report.
    pub fn answered(
        &mut self,
        now: Micros,
        nonce: u64,
        report: Vec<f64>,
        nodes: &NodeRegistry,
        cx: &mut Context,
    ) {
        self.complete(now, nonce, Some(report), nodes, cx);
    }

    /// Reports that a check failed. Does nothing if it was answered before.
    pub fn failed(&mut self, now: Micros, nonce: u64, nodes: &NodeRegistry, cx: &mut Context) {
        self.complete(now, nonce, None, nodes, cx);
    }

    /// Removes a pending check and reports its result to the decision module; no load report means that it failed.
    fn complete(
        &mut self,
        now: Micros,
        nonce: u64,
        report: Option<Vec<f64>>,
        nodes: &NodeRegistry,
        cx: &mut Context,
    ) {
        let Some(HealthCheck { node, sent }) = self.pending.remove(&nonce) else {
            return;
        };
        let Some(machine) = nodes.machine(node) else {
            return;
        };
        let (answered, took_us) = (report.is_some(), now.saturating_sub(sent));
        let report = report.unwrap_or_default();
        cx.notify_module(ModuleEvent::Probed {
            machine,
            answered,
            took_us,
            report,
        });
    }
}

#[cfg(test)]
mod tests;
