//! The event loop of a placer: which component gets which input, and in which order.

mod dispatch;

use reedring::{Event as ModuleEvent, Micros, Placer};
use reedring_node_protocol::AcceptorReport;
use reedring_settings::Settings;
use reedring_state::{BeliefSnapshot, NodeIdentity};

use crate::configuration::{AgreementEffects, Configuration};
use crate::constraints::{ConstraintTracker, OpenMachines, TURNS_PER_FLUSH};
use crate::context::Context;
use crate::dispatch_blocks::DispatchBlocks;
use crate::event::Event;
use crate::health_checks::HealthChecks;
use crate::io::{Input, Output, Start};
use crate::ledger::Ledger;
use crate::lifecycle::JobLifecycle;
use crate::module::DecisionModule;
use crate::node_links::{self, NodeHandshake};
use crate::nodes::NodeRegistry;
use crate::persistence::{RowSources, WriteAheadQueue};
use crate::requests::{CallContext, Caller, ClientRequests};
use crate::restore::{self, Restored};
use crate::sessions::Sessions;
use crate::timers::Timer;

/// The core of one placer: all of its state. The crate documentation shows the loop that drives it.
pub struct Core {
    cx: Context,
    module: DecisionModule,
    nodes: NodeRegistry,
    ledger: Ledger,
    sessions: Sessions,
    constraints: ConstraintTracker,
    blocks: DispatchBlocks,
    queue: WriteAheadQueue,
    configuration: Configuration,
    health_checks: HealthChecks,
    requests: ClientRequests,
}

/// The components, borrowed separately, so that a method of one can take others as arguments.
struct Components<'a> {
    lifecycle: JobLifecycle<'a>,
    configuration: &'a mut Configuration,
    health_checks: &'a mut HealthChecks,
    requests: &'a mut ClientRequests,
    module: &'a mut DecisionModule,
}

impl Core {
    /// A core without jobs, nodes or persisted state.
    pub fn new(settings: Settings, start: Start) -> Self {
        let kinds = settings
            .kinds
            .iter()
            .map(|kind| kind.name.clone())
            .collect();
        let reconcile_until = start.now + settings.limits.settle_us;
        let mut nodes = NodeRegistry::new(kinds, start.now, reconcile_until);
        let zone = settings.hall.as_deref().map(|zone| nodes.zone_number(zone));
        let placer = Placer::new(settings.module(zone), start.seed);
        let configuration = Configuration::new(&settings, start.incarnation);
        let window = settings.site.cold_window_us;
        let mut cx = Context::new(settings, start);
        cx.set_timer(reconcile_until, Timer::ReconciliationDeadline);
        if let Some(window) = window {
            // Announces the nodes that were withheld because they were warming up.
            cx.set_timer(start.now + window, Timer::AnnounceNodes);
        }
        Self {
            cx,
            module: DecisionModule::new(placer),
            nodes,
            ledger: Ledger::new(start.incarnation),
            sessions: Sessions::default(),
            constraints: ConstraintTracker::default(),
            blocks: DispatchBlocks::default(),
            queue: WriteAheadQueue::default(),
            configuration,
            health_checks: HealthChecks::default(),
            requests: ClientRequests::default(),
        }
    }

    /// A core that persists its state and starts from the state of a former incarnation.
    pub fn with_state(settings: Settings, start: Start, restored: Restored) -> Self {
        let mut core = Self::new(settings, start);
        restore::restore(&mut core.components().lifecycle, restored);
        core
    }

    /// Sets the clock (in nanoseconds) that times the decision module. It affects only the counters.
    pub fn time_module(&mut self, stopwatch: fn() -> u64) {
        self.module.set_stopwatch(stopwatch);
    }

    /// The settings in use.
    pub const fn settings(&self) -> &Settings {
        self.cx.settings()
    }

    /// The latest time at which [`Core::flush`] must be called if no input arrives before; `None` where no timer is
    /// set. The time is in the past where work is pending.
    pub fn next_wake(&self) -> Option<Micros> {
        let is_idle = !self.requests.has_listings() && self.constraints.is_idle();
        if is_idle {
            self.cx.next_timer_at()
        } else {
            Some(self.cx.clock().started_at())
        }
    }

    /// The next output that the shell is to carry out; `None` where there is none.
    pub fn poll(&mut self) -> Option<Output> {
        self.cx.next_output()
    }

    /// Processes an input. The decision module reacts to it with the next [`Core::flush`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        let Components {
            mut lifecycle,
            configuration,
            ..
        } = self.components();
        match input {
            Input::Call { conn, id, call } => {
                let caller = Caller { conn, id };
                self.with_requests(|requests, calls| requests.handle(now, caller, call, calls));
            }
            Input::ClientDisconnected(conn) => {
                self.sessions.client_disconnected(conn);
                self.queue.client_disconnected(conn);
                self.requests.client_disconnected(conn);
            }
            Input::NodeListChanged(list) => {
                if node_links::node_list_changed(&mut lifecycle, now, list) {
                    configuration.nodes_changed();
                }
            }
            Input::SettingsChanged(settings) => configuration.file_changed(&settings, lifecycle.cx),
            Input::LinkUp {
                node,
                reported_name,
                incarnation,
                up_ms,
                can_suspend,
                report,
            } => {
                let handshake = NodeHandshake {
                    listed_as: node,
                    reported_name,
                    incarnation,
                    up_ms,
                    can_suspend,
                };
                self.link_up(now, handshake, report);
            }
            Input::Message { node, message } => self.node_message(now, &node, message),
            Input::LinkDown { node, reason } => {
                node_links::link_down(&mut lifecycle, now, &node, &reason);
            }
            Input::OffersUnwritten(attempts) => lifecycle.offers_unwritten(now, &attempts),
            Input::Durable(seq) => lifecycle.batch_durable(now, seq),
            Input::StateUnavailable {
                reason,
                marked_incomplete,
            } => {
                lifecycle.state_unavailable(now, reason, marked_incomplete);
            }
            Input::StateAvailable => self.queue.resume(&mut self.cx),
            Input::Tick => {}
        }
    }

    /// Runs the timers that are due and lets the decision module decide on all events since the last flush.
    pub fn flush(&mut self, now: Micros) {
        while let Some(due) = self.cx.next_timer_at().filter(|due| *due <= now) {
            // The lag is recorded first, because the answer margins of requests in this flush depend on it.
            self.cx.note_lag(now, now - due);
            if let Some(timer) = self.cx.next_timer(now) {
                self.timer_due(now, timer);
            }
        }
        self.advance_configuration(now);
        let Self {
            blocks,
            constraints,
            ledger,
            nodes,
            cx,
            ..
        } = self;
        blocks.announce(constraints, ledger, nodes, cx);
        self.decide(now);
        self.report_constraints(now);
        self.with_requests(|requests, calls| requests.answer_next_listing(now, calls));
        let Self {
            queue,
            sessions,
            ledger,
            nodes,
            cx,
            ..
        } = self;
        queue.cut_batch(
            now,
            &mut RowSources {
                sessions,
                ledger,
                nodes,
            },
            cx,
        );
    }

    /// Sends the outputs that wait for no change of the current flush. The shell calls it before [`Core::flush`], which
    /// may take long.
    pub fn release(&mut self, now: Micros) {
        self.queue.release(now, &mut self.cx);
    }

    /// Outputs the decision module's beliefs to be persisted, where a state folder is configured. The shell calls it
    /// when the placer shuts down.
    pub fn output_beliefs(&mut self, now: Micros) {
        if !self.queue.is_enabled() {
            return;
        }
        let beliefs = self.module.beliefs(now);
        let node_of = |machine| {
            let node = self.nodes.get(self.nodes.by_machine(machine)?)?;
            Some(NodeIdentity {
                name: node.name().to_owned(),
                incarnation: node.incarnation(),
            })
        };
        let snapshot = BeliefSnapshot::new(self.cx.clock().unix_us(now), beliefs, node_of);
        self.cx.output(Output::PersistBeliefs(Box::new(snapshot)));
    }

    // ---- Steps of the loop ----

    /// Handles a completed handshake with a node.
    fn link_up(&mut self, now: Micros, handshake: NodeHandshake, report: Option<AcceptorReport>) {
        let Components {
            mut lifecycle,
            configuration,
            ..
        } = self.components();
        if let Some(number) = node_links::link_up(&mut lifecycle, now, handshake) {
            configuration.node_connected(now, number, report, lifecycle.cx);
            lifecycle.nodes.announce(number, now, lifecycle.cx);
        }
    }

    fn components(&mut self) -> Components<'_> {
        Components {
            lifecycle: JobLifecycle {
                cx: &mut self.cx,
                ledger: &mut self.ledger,
                nodes: &mut self.nodes,
                sessions: &mut self.sessions,
                constraints: &mut self.constraints,
                blocks: &mut self.blocks,
                queue: &mut self.queue,
            },
            configuration: &mut self.configuration,
            health_checks: &mut self.health_checks,
            requests: &mut self.requests,
            module: &mut self.module,
        }
    }

    /// Calls a function with the client requests and the components that a call may use.
    fn with_requests(&mut self, call: impl FnOnce(&mut ClientRequests, &mut CallContext<'_, '_>)) {
        let Components {
            mut lifecycle,
            configuration,
            requests,
            module,
            ..
        } = self.components();
        let module_ns = module.spent_ns();
        call(
            requests,
            &mut CallContext {
                lifecycle: &mut lifecycle,
                configuration,
                module_ns,
            },
        );
    }

    /// Advances the agreement on the configuration if that is due.
    fn advance_configuration(&mut self, now: Micros) {
        let Self {
            cx,
            nodes,
            blocks,
            queue,
            configuration,
            ..
        } = self;
        configuration.advance_if_due(
            now,
            &mut AgreementEffects {
                cx,
                nodes,
                blocks,
                queue,
            },
        );
    }

    /// Runs the decision module until it has no more events, or [`TURNS_PER_FLUSH`] turns were taken. Requests whose
    /// constraints depend on other copies take turns, so that each is decided with the copies of those before it known.
    fn decide(&mut self, now: Micros) {
        let mut turns = 0;
        loop {
            if !self.cx.has_module_events() {
                let opened = self.constraints.next_turn();
                if opened.is_empty() {
                    break;
                }
                turns += 1;
                self.announce_open(opened);
            }
            for action in self.module.step(now, &mut self.cx) {
                self.apply_action(now, action);
            }
            if turns >= TURNS_PER_FLUSH && !self.cx.has_module_events() {
                // The request whose turn it is must be closed before the decision module chooses in the next flush.
                let closed = self.constraints.close_turn();
                self.announce_open(closed);
                break;
            }
        }
    }

    /// Notifies the decision module which machines are open to each of these requests.
    fn announce_open(&mut self, opened: impl IntoIterator<Item = OpenMachines>) {
        for OpenMachines { request, machines } in opened {
            self.cx
                .notify_module(ModuleEvent::EligibilityChanged { request, machines });
        }
    }

    /// Logs each constraint of a placed job that became violated, or satisfied again.
    fn report_constraints(&mut self, now: Micros) {
        for change in self.constraints.evaluate_placed(now) {
            let Some(job) = self.ledger.job(change.job) else {
                continue;
            };
            let (job, clause) = (job.name.to_string(), change.breach.text);
            self.cx.log(match change.violated_since {
                None => Event::ConstraintViolated {
                    job,
                    clause,
                    remedy: change.breach.remedy,
                },
                Some(since) => {
                    let violated_us = now.saturating_sub(since);
                    Event::ConstraintRestored {
                        job,
                        clause,
                        violated_us,
                    }
                }
            });
        }
    }

    /// Continues what waited for nodes to report their tasks, if all have or the time allowed for that is over.
    fn reconciliation_done(&mut self, now: Micros) {
        let mut lifecycle = self.components().lifecycle;
        if lifecycle.all_reconciled(now) {
            lifecycle.reconciliation_done(now);
            self.with_requests(|requests, calls| requests.retry_deferred(now, calls));
        }
    }
}
