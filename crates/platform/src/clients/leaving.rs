//! Clients that leave, or leave one request: what becomes of it.

use reedring::{Event, Micros, Outcome, RequestId};
use reedring_platform_protocol::CANCELLED;

use crate::decide::{self, Leaving, Parting, Stage};
use crate::state::{Engine, Out, Phase, Request};

impl Engine {
    fn stage(&self, entry: &Request) -> Stage {
        let unsent = |out: &Out| self.links.get(&out.link).is_some_and(|link| !link.is_up());
        match entry.phase {
            Phase::Open if entry.is_fresh() => Stage::Fresh,
            Phase::Open => match &entry.out {
                None => Stage::Held,
                Some(out) if unsent(out) => Stage::Connecting,
                Some(_) => Stage::Out,
            },
            Phase::Standing { .. } => Stage::Standing,
            Phase::Ending { .. } | Phase::Closed => Stage::Over,
        }
    }

    /// What becomes of a request whose client leaves, and that it comes to be.
    pub(super) fn part(&mut self, now: Micros, id: u64, leaving: Leaving) -> Parting {
        let Some((request, stage)) = self
            .request_of(id)
            .map(|(request, entry)| (request, self.stage(entry)))
        else {
            return Parting::Nothing;
        };
        let parting = decide::parting(stage, leaving);
        match parting {
            Parting::Nothing | Parting::Moment => {}
            Parting::Answer | Parting::LastAttempt => self.stop_attempts(now, request),
            Parting::Recall => {
                self.recall(request);
                self.stop_attempts(now, request);
            }
            Parting::GiveUp => {
                // What waits for a connection would begin when it stands, whether attempts may be stopped or not.
                self.recall(request);
                if self.close(request).is_some() {
                    self.events.push(Event::Withdrawn(request));
                }
            }
            Parting::End => self.cut(now, request, CANCELLED),
        }
        parting
    }

    /// Takes an attempt back that waits for a connection.
    fn recall(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let (id, Some(out)) = (entry.setup.id, entry.out) else {
            return;
        };
        if self.unsend(out.link, id) {
            self.take_back(request, Outcome::Unsent, None, Vec::new());
        }
    }

    /// No attempt begins any more: the module gives the final answer as soon as none is out.
    fn stop_attempts(&mut self, now: Micros, request: RequestId) {
        if self
            .requests
            .get(&request)
            .is_some_and(|entry| !entry.submitted)
        {
            self.submit(now, request, true);
        } else if let Some(entry) = self
            .requests
            .get_mut(&request)
            .filter(|entry| !entry.client_left)
        {
            entry.client_left = true;
            self.events.push(Event::Last(request));
        }
    }
}
