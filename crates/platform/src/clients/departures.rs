//! What is done with a request when its client departs or cancels it.
//!
//! Nothing here stops an attempt that was sent. [`Event::Withdrawn`] notifies the decision module, which returns
//! `Action::Stop` if the settings allow attempts to be stopped; `Engine::abandon_attempt` then releases the attempt at
//! its host. Otherwise the attempt ends as any other, and `Engine::task_accepted` stops a task that its host accepts
//! after the request was closed.

use reedring::{Event, Micros, Outcome, RequestId};
use reedring_platform_protocol::CANCELLED;

use crate::decide::{self, ClientDeparture, DepartureAction, RequestStage};
use crate::state::{Engine, InFlightAttempt, Phase, Request};

impl Engine {
    fn stage(&self, request: &Request) -> RequestStage {
        let is_connecting = |attempt: &InFlightAttempt| {
            self.hosts
                .link(attempt.link)
                .is_some_and(|link| !link.is_up)
        };
        match request.phase {
            Phase::Open if request.is_unsubmitted() => RequestStage::Received,
            Phase::Open => match &request.in_flight {
                None => RequestStage::Queued,
                Some(attempt) if is_connecting(attempt) => RequestStage::Connecting,
                Some(_) => RequestStage::InFlight,
            },
            Phase::Running(_) => RequestStage::Running,
            Phase::Stopping(_) | Phase::Closed => RequestStage::Done,
        }
    }

    /// Applies the action that a client's departure requires to one of its requests, and returns the action.
    pub(super) fn handle_departure(
        &mut self,
        now: Micros,
        id: u64,
        departure: ClientDeparture,
    ) -> DepartureAction {
        let Some(found) = self.requests.find(id) else {
            return DepartureAction::Nothing;
        };
        let request = found.id;
        let action = decide::departure_action(self.stage(found.request), departure);
        match action {
            DepartureAction::Nothing | DepartureAction::AllowGrace => {}
            DepartureAction::Answer | DepartureAction::FinishAttempt => {
                self.stop_further_attempts(now, request);
            }
            DepartureAction::RecallAndAnswer => {
                self.recall_queued_attempt(request);
                self.stop_further_attempts(now, request);
            }
            DepartureAction::Abandon => {
                // An attempt that waits for a link would begin once the link is established, even where the settings do
                // not allow attempts to be stopped.
                self.recall_queued_attempt(request);
                self.cancel_deadline(request);
                if self.requests.close(request).is_some() {
                    self.events.push(Event::Withdrawn(request));
                }
            }
            DepartureAction::StopTask => self.stop_task(now, request, CANCELLED),
        }
        action
    }

    /// Recalls the attempt of a request if it still waits for a link.
    fn recall_queued_attempt(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (id, Some(attempt)) = (entry.wire_id(), entry.in_flight) else {
            return;
        };
        if self.remove_queued_attempt(attempt.link, id) {
            self.end_attempt(request, Outcome::Unsent.into());
        }
    }

    /// Lets no further attempt begin: the decision module gives the final answer as soon as no attempt is in flight.
    fn stop_further_attempts(&mut self, now: Micros, request: RequestId) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        if !entry.is_submitted {
            self.submit(now, request, true);
        } else if !entry.client_departed {
            entry.client_departed = true;
            self.events.push(Event::NoFurtherAttempts(request));
        }
    }
}
