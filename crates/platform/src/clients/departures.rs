//! Clients that depart, or give up one request: what is done with it.
//!
//! Nothing here stops an attempt that was sent. [`Event::Withdrawn`] tells the decision module, which answers with
//! `Action::Stop` where the settings let attempts be stopped; `Engine::give_up` then releases the attempt at its host.
//! Without that the attempt ends as any other, and `Engine::task_accepted` stops a task that its host accepts after the
//! request was closed.

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

    /// Does with a request what its client's departure requires, and reports what that was.
    pub(super) fn request_departs(
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
                self.end_attempts(now, request);
            }
            DepartureAction::RecallAndAnswer => {
                self.recall_attempt(request);
                self.end_attempts(now, request);
            }
            DepartureAction::Abandon => {
                // An attempt that waits for a link would begin once that is up, whether attempts may be stopped or not.
                self.recall_attempt(request);
                if self.requests.close(request).is_some() {
                    self.events.push(Event::Withdrawn(request));
                }
            }
            DepartureAction::StopTask => self.stop_task(now, request, CANCELLED),
        }
        action
    }

    /// Takes an attempt back that waits for a link.
    fn recall_attempt(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (id, Some(attempt)) = (entry.wire_id(), entry.in_flight) else {
            return;
        };
        if self.unqueue(attempt.link, id) {
            self.take_back(request, Outcome::Unsent.into());
        }
    }

    /// No further attempt begins: the decision module gives the final answer as soon as none is in flight.
    fn end_attempts(&mut self, now: Micros, request: RequestId) {
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
