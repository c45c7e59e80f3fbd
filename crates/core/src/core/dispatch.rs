//! Dispatch of node messages, actions of the decision module and timers to the components that handle them.

use reedring::{Action, Micros, RequestId};
use reedring_node_protocol::Message;
use reedring_state::Outcome;

use super::{Components, Core};
use crate::event::Event;
use crate::ids::NodeNumber;
use crate::lifecycle::{JobLifecycle, OfferDecision};
use crate::node_links;
use crate::requests::wait_timed_out;
use crate::timers::Timer;

impl Core {
    /// Handles a message of a node.
    pub(super) fn node_message(&mut self, now: Micros, name: &str, message: Message) {
        let Some(node) = self.nodes.number(name) else {
            return;
        };
        let Components {
            mut lifecycle,
            configuration,
            health_checks,
            ..
        } = self.components();
        let JobLifecycle { nodes, cx, .. } = &mut lifecycle;
        match message {
            Message::InFlight { tasks, last } => {
                let is_reconciled =
                    node_links::holdings_reported(&mut lifecycle, now, node, tasks, last);
                if is_reconciled {
                    self.reconciliation_done(now);
                }
            }
            Message::Report { nonce, report } => {
                health_checks.answered(now, nonce, report, nodes, cx)
            }
            Message::AcceptorReport(report) => configuration.report_received(now, node, report, cx),
            Message::ConfigText { version, text } => {
                configuration.text_received(node, version, &text, nodes, cx);
            }
            Message::ConfigDelta(delta) => configuration.delta_received(node, &delta, nodes, cx),
            message => handle_attempt_message(&mut lifecycle, now, node, message),
        }
    }

    /// Carries out an action of the decision module.
    pub(super) fn apply_action(&mut self, now: Micros, action: Action) {
        let Components {
            mut lifecycle,
            configuration,
            health_checks,
            ..
        } = self.components();
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => {
                let list_revision = lifecycle.nodes.list_revision();
                let node = lifecycle.nodes.by_machine(machine);
                let stamp = node.and_then(|node| configuration.stamp_for(node, list_revision));
                lifecycle.offer(
                    now,
                    OfferDecision {
                        request,
                        machine,
                        within_us,
                        stamp,
                    },
                );
            }
            Action::Stop(id) => lifecycle.stop(now, id),
            Action::Refuse {
                request,
                stay_away_us: retry_after_us,
            } => {
                lifecycle.answer(now, request, Outcome::Refused, retry_after_us);
            }
            Action::Fail(request) => lifecycle.answer(now, request, Outcome::Failed, None),
            Action::Move(request) => {
                if let Some(id) = lifecycle.ledger.first_open_attempt(request) {
                    lifecycle.stop(now, id);
                }
            }
            Action::Probe(machine) => {
                health_checks.start(now, machine, lifecycle.nodes, lifecycle.queue, lifecycle.cx);
            }
            Action::Timer { token, after_us } => {
                lifecycle.cx.set_timer(now + after_us, Timer::Module(token));
            }
            Action::Log(text) => lifecycle.cx.log(Event::ModuleMessage { text }),
            // Idle connections stay open, placers exchange no messages, and the shell delivers each new node list
            // without a request.
            Action::CloseIdle(_) | Action::Tell { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }

    /// Handles a timer that is due.
    pub(super) fn timer_due(&mut self, now: Micros, timer: Timer) {
        let Components {
            mut lifecycle,
            health_checks,
            ..
        } = self.components();
        match timer {
            Timer::Module(token) => {
                lifecycle.constraints.rotate();
                lifecycle.cx.notify_module(reedring::Event::TimerDue(token));
            }
            Timer::OfferTimeout(id) => lifecycle.offer_timed_out(now, id),
            Timer::StopTimeout(id) => lifecycle.stop_timed_out(now, id),
            Timer::ReattachTimeout { node, connection } => {
                if lifecycle.nodes.is_still_down(node, connection) {
                    lifecycle.close_unanswered_attempts(now, node);
                }
            }
            Timer::NodeLost { node, connection } => {
                if lifecycle.nodes.is_still_down(node, connection) {
                    lifecycle.node_lost(now, node, "node unreachable");
                }
            }
            Timer::AnnounceNodes => lifecycle.nodes.announce_all(now, lifecycle.cx),
            Timer::Configuration => self.advance_configuration(now),
            Timer::SlowStart(node) => lifecycle.evaluate_slow_start(now, node),
            Timer::HealthCheck(nonce) => {
                health_checks.failed(now, nonce, lifecycle.nodes, lifecycle.cx);
            }
            Timer::RequestPlacement(job) => lifecycle.delay_elapsed(now, job),
            Timer::PlacementDeadline { job, request } => {
                lifecycle.placement_overdue(now, job, RequestId(request));
            }
            Timer::RunLimit(job) => lifecycle.run_limit_reached(now, job),
            Timer::WaitTimeout { session, call } => wait_timed_out(&mut lifecycle, session, call),
            Timer::ReconciliationDeadline => self.reconciliation_done(now),
            Timer::ForgetFinished => lifecycle.remove_expired_jobs(now),
            Timer::PersistBeliefs => self.persist_beliefs(now),
            Timer::Recover { job, last } => lifecycle.recover(now, job, last),
        }
    }

    /// Persists the beliefs of the decision module and schedules the next time.
    fn persist_beliefs(&mut self, now: Micros) {
        if let Some(every) = self
            .cx
            .settings()
            .state
            .as_ref()
            .map(|state| state.learn_us)
        {
            self.cx.set_timer(now + every, Timer::PersistBeliefs);
        }
        self.output_beliefs(now);
    }
}

/// Handles a message of a node about an attempt.
fn handle_attempt_message(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    node: NodeNumber,
    message: Message,
) {
    match message {
        Message::Accepted { attempt, report } => {
            lifecycle.accept_reported(now, node, attempt, report)
        }
        Message::Rejected {
            attempt,
            reason,
            report,
            ..
        } => {
            lifecycle.rejection_reported(now, node, attempt, reason, report);
        }
        Message::TaskSignal {
            attempt,
            kind,
            amount,
        } => {
            lifecycle.signal_reported(now, node, attempt, kind, amount);
        }
        Message::Ended {
            attempt,
            end,
            ran,
            report,
        } => {
            lifecycle.end_reported(now, node, attempt, end, ran, report);
        }
        // The shell handles the answer to its handshake itself.
        Message::Welcome { .. } => {}
        // Only placers send these; from a node they are ignored.
        Message::Hello { .. }
        | Message::Offer { .. }
        | Message::ConfigRequest(_)
        | Message::Stop { .. }
        | Message::Probe { .. }
        | Message::Suspend { .. }
        | Message::Resume { .. }
        | Message::Ack { .. } => {}
        // Handled by `node_message`.
        Message::InFlight { .. }
        | Message::Report { .. }
        | Message::AcceptorReport(_)
        | Message::ConfigText { .. }
        | Message::ConfigDelta(_) => {}
    }
}
