//! One step of the agreement: evaluates the reports of the nodes and the settings file, and applies the result.

use reedring::{Event as ModuleEvent, Micros};
use reedring_node_protocol::{ConfigRequest, Message, VersionStamp};
use reedring_plan::{
    ChangePhase, ChangeProgress, ClusterView, ConfigDocument, DispatchBlock, LeaseInputs,
    LeaseState, Membership, NodeRequest, ProposerInputs, QuorumContact, SlowStart, dispatch_block,
    lease_state,
};
use reedring_state::{self as state, Change};

use super::{Agreement, BUSY_INTERVAL_US};
use crate::configuration::AgreementEffects;
use crate::configuration::proposal_error::ProposalError;
use crate::context::Context;
use crate::ids::NodeNumber;
use crate::io::Output;
use crate::persistence::Requires;
use crate::timers::Timer;

/// Microseconds between two queries to the control machines while no majority of them has answered within the lease.
const QUORUM_RETRY_US: Micros = 500_000;
/// How often a heartbeat queries all voters within one lease.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// What follows from the nodes that the configuration blocks.
#[derive(Debug, Default)]
struct BlockedNodes {
    /// Whether some node is blocked for a reason that may end without a message from a node.
    needs_polling: bool,
    /// Learners that are warming up and are unblocked once a request has raised their floor.
    learners_to_raise: Vec<NodeNumber>,
}

/// What the voters are sent after a step: the configuration by which this placer acts now.
struct Heartbeat {
    stamp: VersionStamp,
    /// Whether this placer acts by another configuration than before the step.
    is_changed: bool,
    /// Microseconds after which the voters are queried again.
    interval: Micros,
}

impl Agreement {
    /// Runs one step: evaluates the lease, applies the settings, advances the ballot, updates the blocked nodes, and sends
    /// the requests that are due.
    pub fn advance(&mut self, now: Micros, effects: &mut AgreementEffects<'_>) {
        self.inputs_changed = false;
        let view = self.peers.view(effects.nodes);
        let list_revision = effects.nodes.list_revision();
        let contact = self.peers.lease.update_quorum_contact(now, &view);
        self.update_committed(&view);
        let before = self.stamp(list_revision);
        self.lease_state = self.evaluate_lease(&view, contact);
        self.apply_settings(&view, effects);
        let proposal = self.proposal(&view);
        let rejected = proposal.as_ref().err().map(ToString::to_string);
        self.report_status(rejected, effects.cx);
        let proposal = proposal
            .ok()
            .flatten()
            .filter(|_| contact == QuorumContact::Recent);
        let ChangeProgress {
            phase,
            mut requests,
        } = self.advance_ballot(now, &view, contact, proposal.as_ref());
        let stamp = self.stamp(list_revision);
        let heartbeat = Heartbeat {
            stamp,
            is_changed: (stamp.version, stamp.joint) != (before.version, before.joint),
            interval: self.heartbeat_interval(&view, contact),
        };
        requests.extend(self.heartbeat_requests(now, &heartbeat, &view, effects));
        let blocked = self.update_blocked_nodes(now, effects);
        let request = ConfigRequest::RaiseFloor { stamp };
        let raise = |node: &NodeNumber| NodeRequest {
            node: node.0,
            request: request.clone(),
        };
        requests.extend(blocked.learners_to_raise.iter().map(raise));
        let requests = self.due_requests(now, requests);
        let is_waiting = matches!(self.lease_state, LeaseState::Suspended(_))
            && contact == QuorumContact::Recent;
        let is_busy = phase != ChangePhase::Idle || blocked.needs_polling || is_waiting;
        let interval = if is_busy {
            BUSY_INTERVAL_US
        } else {
            heartbeat.interval
        };
        self.schedule_next_step(now, &view, interval, effects.cx);
        for NodeRequest { node, request } in requests {
            effects.queue.send(
                NodeNumber(node),
                effects.nodes,
                Message::ConfigRequest(request),
                Requires::Nothing,
            );
        }
    }

    /// Updates the committed configuration, takes the next queued one of the settings file if that is possible now, and
    /// parses the committed and the chosen configuration into settings.
    fn update_committed(&mut self, view: &ClusterView) {
        self.committed = self.committed.max(view.committed());
        if let Some(next) = self.file.take_next_queued(self.committed.number) {
            self.set_own_configuration(next);
        }
        let file = self.file.settings();
        self.catalog.parse_settings(self.committed, file);
        if let Some(chosen) = view.chosen(self.committed) {
            self.catalog.parse_settings(chosen, file);
        }
    }

    fn evaluate_lease(&self, view: &ClusterView, contact: QuorumContact) -> LeaseState {
        let committed = self.committed;
        let usability = |version| self.catalog.usability(version, committed);
        let inputs = LeaseInputs {
            local: self.file.local_config(),
            cluster: view,
            known_committed: committed,
            contact,
        };
        lease_state(&inputs, usability)
    }

    /// Applies the settings of the active configuration if they differ from those in use.
    fn apply_settings(&self, view: &ClusterView, effects: &mut AgreementEffects<'_>) {
        let LeaseState::Active(active) = &self.lease_state else {
            return;
        };
        let AgreementEffects { cx, nodes, .. } = effects;
        let settings = self
            .catalog
            .settings_for(active, view.connected_placers(), cx.settings());
        let Some(settings) = settings.filter(|settings| settings != cx.settings()) else {
            return;
        };
        nodes.set_kinds(
            settings
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect(),
        );
        cx.replace_settings(settings.clone());
        let zone = settings.hall.as_deref().map(|zone| nodes.zone_number(zone));
        cx.notify_module(ModuleEvent::SettingsChanged(Box::new(
            settings.module(zone),
        )));
        cx.output(Output::Settings(Box::new(settings)));
    }

    /// The configuration of the settings file if it may be proposed now. `None` if its number is not above that of the
    /// committed one.
    ///
    /// # Errors
    /// Why it can't be proposed although its number is higher; an operator has to act.
    fn proposal(&self, view: &ClusterView) -> Result<Option<ConfigDocument>, ProposalError> {
        let (own, committed) = (self.own_version(), self.committed);
        let (connected, learned) = (view.connected_placers(), view.newest_learned());
        if own.number <= committed.number {
            return Ok(None);
        }
        if committed.number == 0 && own != learned && own.number <= learned.number {
            return Err(ProposalError::NotFirst { learned, own });
        }
        if committed.number > 0 && own.number != committed.number + 1 {
            return Err(ProposalError::NotNext { committed, own });
        }
        let placers = self.file.settings().site.placers;
        if placers < connected {
            return Err(ProposalError::TooFewPlacers {
                own,
                placers,
                connected,
            });
        }
        match self
            .catalog
            .check_joint_form(committed, self.file.settings())
        {
            Ok(()) => Ok(Some(self.file.document().clone())),
            Err(conflicts) => Err(ProposalError::NoJointForm {
                committed,
                own,
                conflicts,
            }),
        }
    }

    /// Logs the status of the configuration when it differs from the last one that was logged.
    fn report_status(&mut self, rejected: Option<String>, cx: &mut Context) {
        let status = self.status(rejected);
        if self.last_status.as_ref() != Some(&status) {
            self.last_status = Some(status.clone());
            cx.output(Output::Fenced(self.fence_reason().is_some()));
            cx.log(status);
        }
    }

    /// Advances the ballot; returns its phase and the requests for it. Without a recent answer of a majority it stays idle.
    fn advance_ballot(
        &mut self,
        now: Micros,
        view: &ClusterView,
        contact: QuorumContact,
        proposal: Option<&ConfigDocument>,
    ) -> ChangeProgress {
        let may_preempt = self.backoff.may_preempt(now, view);
        let may_complete = self.backoff.may_complete_change(now, view);
        if contact != QuorumContact::Recent {
            return ChangeProgress {
                phase: ChangePhase::Idle,
                requests: Vec::new(),
            };
        }
        let mut progress = self.proposer.advance(&ProposerInputs {
            cluster: view,
            known_committed: self.committed,
            proposal,
            documents: &self.catalog.documents,
            may_preempt,
        });
        if !may_complete {
            progress.requests.retain(|request| {
                !matches!(
                    request.request,
                    ConfigRequest::EnterJoint { .. } | ConfigRequest::Commit { .. }
                )
            });
        }
        progress
    }

    fn heartbeat_interval(&self, view: &ClusterView, contact: QuorumContact) -> Micros {
        // Control machines are few, so they can be queried more often while no majority of them has answered recently.
        let has_control_machines = view.membership != Membership::AllNodes;
        if contact != QuorumContact::Recent && has_control_machines {
            QUORUM_RETRY_US
        } else {
            self.file.lease_us() / HEARTBEATS_PER_LEASE
        }
    }

    /// The heartbeat, if it is due: queries that carry the current version stamp to all voters; the answers renew the lease.
    /// A changed stamp is persisted and sent at once.
    fn heartbeat_requests(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        view: &ClusterView,
        effects: &mut AgreementEffects<'_>,
    ) -> Vec<NodeRequest> {
        let Heartbeat {
            stamp,
            is_changed,
            interval,
        } = *heartbeat;
        let is_first = self.last_heartbeat_at == 0;
        let is_due = is_changed || is_first || now >= self.last_heartbeat_at + interval;
        if is_changed || is_first {
            effects
                .queue
                .record(Change::ActiveConfig(state::ActiveConfigRow {
                    version_number: stamp.version.number,
                    digest: stamp.version.digest.to_string(),
                    joint: stamp.joint,
                    node_list_revision: stamp.list_revision,
                }));
        }
        if !is_due {
            return Vec::new();
        }
        self.last_heartbeat_at = now;
        effects.cx.output(Output::ActiveConfiguration(stamp));
        let query = |(node, _)| NodeRequest {
            node,
            request: ConfigRequest::Query { stamp },
        };
        view.voters().map(query).collect()
    }

    /// Updates which nodes are blocked: those to which the lease or the configuration allows no dispatch.
    fn update_blocked_nodes(
        &self,
        now: Micros,
        effects: &mut AgreementEffects<'_>,
    ) -> BlockedNodes {
        let settings = effects.cx.settings();
        let window_us = settings.site.cold_window_us.unwrap_or(0) + settings.jitter_us();
        let mut blocked = BlockedNodes::default();
        for (number, node) in effects.nodes.iter() {
            let state = self.peers.aged_state(now, number);
            let is_warming_up = effects.nodes.is_warming_up(number, now, &settings.site);
            let slow_start = SlowStart {
                is_warming_up,
                window_ms: window_us / 1_000,
            };
            let reason = dispatch_block(&self.lease_state, &state, slow_start);
            blocked.needs_polling |= reason.is_some_and(DispatchBlock::needs_polling);
            if reason.is_some_and(|block| block.is_lifted_by_raising_floor(&state)) {
                blocked.learners_to_raise.push(number);
            }
            effects
                .blocks
                .set_configuration(number, node.machine(), reason);
        }
        blocked
    }

    /// The requests that are due now, shortened by what their nodes have already. A request is dropped if its node has sent
    /// no report.
    fn due_requests(&mut self, now: Micros, requests: Vec<NodeRequest>) -> Vec<NodeRequest> {
        if self.delta_base.as_ref().map(ConfigDocument::version) != Some(self.committed)
            && let Some(committed) = self.catalog.documents.document(self.committed)
        {
            self.delta_base = Some(committed);
        }
        let (base, peers, fetch_in_full) =
            (self.delta_base.as_ref(), &self.peers, self.fetch_in_full);
        let compact = |NodeRequest { node, request }: NodeRequest| {
            let in_full = matches!(request, ConfigRequest::Fetch { version, .. } if Some(version) == fetch_in_full);
            let report = peers.report(NodeNumber(node)).filter(|_| !in_full);
            let request = match report {
                Some(report) => self.compactor.compact(request, report, base),
                None => request,
            };
            NodeRequest { node, request }
        };
        let requests = requests.into_iter().map(compact).collect();
        let due = self.backoff.due_requests(now, requests).into_iter();
        due.filter(|request| self.peers.report(NodeNumber(request.node)).is_some())
            .collect()
    }

    /// Schedules the next step, and removes configurations that are no longer needed.
    fn schedule_next_step(
        &mut self,
        now: Micros,
        view: &ClusterView,
        interval: Micros,
        cx: &mut Context,
    ) {
        self.next_step_at = now + interval;
        // A step runs when the lease expires, so that the placer is suspended on time.
        let expiry = self.peers.lease.expires_at(view).filter(|at| *at > now);
        self.next_step_at = expiry.map_or(self.next_step_at, |at| self.next_step_at.min(at));
        let base = self
            .delta_base
            .as_ref()
            .map_or(self.committed, ConfigDocument::version);
        self.catalog
            .remove_obsolete(self.committed, base, self.file.document().version());
        cx.set_timer(self.next_step_at, Timer::Configuration);
    }
}
