//! One step of the agreement: all that is known is evaluated, and what follows is done.

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

/// Microseconds between two queries to control machines while no majority of them is heard.
const QUORUM_RETRY_US: Micros = 500_000;
/// How often all voters are queried within a lease: the heartbeat.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// What is blocked by the configuration.
#[derive(Debug, Default)]
struct BlockedNodes {
    /// Some node is, for a reason that may end without any message.
    ends_by_time: bool,
    /// Learners that are warming up and are to be told by what this placer acts.
    to_raise: Vec<NodeNumber>,
}

/// By what this placer acts after a step, for the voters.
struct Heartbeat {
    stamp: VersionStamp,
    /// It acts by another configuration than before the step.
    is_changed: bool,
    /// Microseconds after which the voters are queried again.
    interval: Micros,
}

impl Agreement {
    /// Evaluates all that is known, and does what follows.
    pub fn advance(&mut self, now: Micros, effects: &mut AgreementEffects<'_>) {
        self.changed = false;
        let view = self.peers.view(effects.nodes);
        let list = effects.nodes.list_revision();
        let contact = self.peers.lease.update_quorum_contact(now, &view);
        self.learn_committed(&view);
        let before = self.stamp(list);
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
        } = self.next_ballot(now, &view, contact, proposal.as_ref());
        let stamp = self.stamp(list);
        let heartbeat = Heartbeat {
            stamp,
            is_changed: (stamp.version, stamp.joint) != (before.version, before.joint),
            interval: self.heartbeat_interval(&view, contact),
        };
        requests.extend(self.heartbeat(now, &heartbeat, &view, effects));
        let blocked = self.block_nodes(now, effects);
        let request = ConfigRequest::RaiseFloor { stamp };
        let raise = |node: &NodeNumber| NodeRequest {
            node: node.0,
            request: request.clone(),
        };
        requests.extend(blocked.to_raise.iter().map(raise));
        let requests = self.due_requests(now, requests);
        let is_waiting = matches!(self.lease_state, LeaseState::Suspended(_))
            && contact == QuorumContact::Recent;
        let is_busy = phase != ChangePhase::Idle || blocked.ends_by_time || is_waiting;
        let interval = if is_busy {
            BUSY_INTERVAL_US
        } else {
            heartbeat.interval
        };
        self.schedule(now, &view, interval, effects.cx);
        for NodeRequest { node, request } in requests {
            effects.queue.send(
                NodeNumber(node),
                effects.nodes,
                Message::ConfigRequest(request),
                Requires::Nothing,
            );
        }
    }

    /// Learns which configuration is committed and which one is chosen to follow.
    fn learn_committed(&mut self, view: &ClusterView) {
        self.committed = self.committed.max(view.committed());
        if let Some(next) = self.file.next_queued(self.committed.number) {
            self.bring_in(next);
        }
        let file = self.file.settings();
        self.catalog.read(self.committed, file);
        if let Some(chosen) = view.chosen(self.committed) {
            self.catalog.read(chosen, file);
        }
    }

    fn evaluate_lease(&self, view: &ClusterView, contact: QuorumContact) -> LeaseState {
        let committed = self.committed;
        let usability = |version| self.catalog.usability(version, committed);
        let inputs = LeaseInputs {
            local: self.file.own(),
            cluster: view,
            known_committed: committed,
            contact,
        };
        lease_state(&inputs, usability)
    }

    /// Uses the settings of the active configuration from now on.
    fn apply_settings(&self, view: &ClusterView, effects: &mut AgreementEffects<'_>) {
        let LeaseState::Active(acts) = &self.lease_state else {
            return;
        };
        let AgreementEffects { cx, nodes, .. } = effects;
        let settings = self
            .catalog
            .settings_for(acts, view.connected_placers(), cx.settings());
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

    /// The configuration of the settings file, where it may be proposed now.
    ///
    /// # Errors
    /// Why it can't be, where operators have to act.
    fn proposal(&self, view: &ClusterView) -> Result<Option<ConfigDocument>, ProposalError> {
        let (own, committed) = (self.own_version(), self.committed);
        let (linked, learned) = (view.connected_placers(), view.newest_learned());
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
        if placers < linked {
            return Err(ProposalError::TooFewPlacers {
                own,
                placers,
                linked,
            });
        }
        match self.catalog.has_joint_form(committed, self.file.settings()) {
            Ok(()) => Ok(Some(self.file.document().clone())),
            Err(conflicts) => Err(ProposalError::NoJointForm {
                committed,
                own,
                conflicts,
            }),
        }
    }

    /// Reports the configuration in use, each time that it is another.
    fn report_status(&mut self, rejected: Option<String>, cx: &mut Context) {
        let status = self.status(rejected);
        if self.last_status.as_ref() != Some(&status) {
            self.last_status = Some(status.clone());
            cx.output(Output::Fenced(self.fenced().is_some()));
            cx.log(status);
        }
    }

    /// The requests by which the ballot goes on.
    fn next_ballot(
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
            documents: &self.catalog.texts,
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
        // Control machines are few: without a majority of them they are queried until one is heard.
        let few_voters = view.membership != Membership::AllNodes;
        if contact != QuorumContact::Recent && few_voters {
            QUORUM_RETRY_US
        } else {
            self.file.lease_us() / HEARTBEATS_PER_LEASE
        }
    }

    /// Tells the voters by what this placer acts now, and so hears that they are there.
    fn heartbeat(
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
        let is_first = self.last_heartbeat == 0;
        let is_due = is_changed || is_first || now >= self.last_heartbeat + interval;
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
        self.last_heartbeat = now;
        effects.cx.output(Output::ActiveConfiguration(stamp));
        let query = |(node, _)| NodeRequest {
            node,
            request: ConfigRequest::Query { stamp },
        };
        view.voters().map(query).collect()
    }

    /// Blocks the nodes to which nothing may be dispatched by the active configuration.
    fn block_nodes(&self, now: Micros, effects: &mut AgreementEffects<'_>) -> BlockedNodes {
        let settings = effects.cx.settings();
        let window = settings.site.cold_window_us.unwrap_or(0) + settings.jitter_us();
        let mut blocked = BlockedNodes::default();
        for (number, node) in effects.nodes.iter() {
            let state = self.peers.aged_state(now, number);
            let is_warming_up = effects.nodes.is_warming_up(number, now, &settings.site);
            let slow_start = SlowStart {
                is_warming_up,
                window_ms: window / 1_000,
            };
            let reason = dispatch_block(&self.lease_state, &state, slow_start);
            blocked.ends_by_time |= reason.is_some_and(DispatchBlock::needs_polling);
            if reason.is_some_and(|block| block.is_lifted_by_raising_floor(&state)) {
                blocked.to_raise.push(number);
            }
            effects
                .blocks
                .set_configuration(number, node.machine(), reason);
        }
        blocked
    }

    /// The requests that are to be sent now, without what their nodes have already.
    fn due_requests(&mut self, now: Micros, requests: Vec<NodeRequest>) -> Vec<NodeRequest> {
        if self.base.as_ref().map(ConfigDocument::version) != Some(self.committed)
            && let Some(committed) = self.catalog.texts.document(self.committed)
        {
            self.base = Some(committed);
        }
        let (base, peers, fetch_in_full) = (self.base.as_ref(), &self.peers, self.fetch_in_full);
        let compact = |NodeRequest { node, request }: NodeRequest| {
            let in_full = matches!(request, ConfigRequest::Fetch { version, .. } if Some(version) == fetch_in_full);
            let report = peers.record(NodeNumber(node)).filter(|_| !in_full);
            let request = match report {
                Some(report) => self.compactor.compact(request, report, base),
                None => request,
            };
            NodeRequest { node, request }
        };
        let requests = requests.into_iter().map(compact).collect();
        let due = self.backoff.due_requests(now, requests).into_iter();
        due.filter(|request| self.peers.record(NodeNumber(request.node)).is_some())
            .collect()
    }

    /// Schedules the next step, and forgets what it will not need.
    fn schedule(&mut self, now: Micros, view: &ClusterView, interval: Micros, cx: &mut Context) {
        self.due = now + interval;
        // The lease lapses on time, whenever the next step would have been.
        let lapse = self.peers.lease.expires_at(view).filter(|at| *at > now);
        self.due = lapse.map_or(self.due, |at| self.due.min(at));
        let base = self
            .base
            .as_ref()
            .map_or(self.committed, ConfigDocument::version);
        self.catalog
            .forget_before(self.committed, base, self.file.document().version());
        cx.set_timer(self.due, Timer::Configuration);
    }
}
