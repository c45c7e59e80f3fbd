//! Queued requests with a constraint: which machines are open to each.
//!
//! If a constraint refers to copies or has preferences, placing one request can change the open machines of another.
//! Such requests therefore take turns: each is open for a single step of the decision module, and has no open machine
//! otherwise. For all other requests the machines are announced when they are queued, and again when the node list
//! changes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use reedring::{MachineId, RequestId};
use reedring_constraint::{Topic, Verdict};

use super::constrained_job::ConstrainedJob;
use super::site::SiteView;
use super::topic_index::TopicIndex;

/// The machines that are open to a request, as announced to the decision module.
pub(crate) struct OpenMachines {
    pub request: RequestId,
    pub machines: Vec<MachineId>,
}

impl OpenMachines {
    const fn none(request: RequestId) -> Self {
        Self {
            request,
            machines: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct QueuedRequest {
    job: ConstrainedJob,
    /// The machines that were announced to the decision module last.
    announced: Option<Vec<MachineId>>,
    /// Number of preferences that are ignored for this request, counted from the last one.
    dropped_preferences: usize,
    /// The request has been opened at least once and is still queued.
    had_turn: bool,
    /// An offer for this request has been sent, and its outcome is not known yet.
    offered: bool,
}

/// All queued requests that have a constraint.
#[derive(Debug, Default)]
pub(super) struct QueuedRequests {
    requests: BTreeMap<RequestId, QueuedRequest>,
    by_topic: TopicIndex<RequestId>,
    /// Requests whose open machines may have changed since they were announced.
    stale: BTreeSet<RequestId>,
    /// Among the requests that take turns, the one that is open during the current step of the decision module.
    current_turn: Option<RequestId>,
    /// The request whose turn ended last.
    last_turn: Option<RequestId>,
    /// Since this placer started, nodes have reported the tasks they hold, or the time for it is over. Until then,
    /// unknown copies of a former incarnation may run, so requests that take turns stay closed.
    reconciled: bool,
}

impl QueuedRequests {
    pub fn contains(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    pub fn is_idle(&self) -> bool {
        self.stale.is_empty() && self.current_turn.is_none()
    }

    /// Adds a queued request and returns its open machines, which the caller must announce to the decision module. A
    /// request that takes turns starts with none.
    pub fn add(
        &mut self,
        request: RequestId,
        job: ConstrainedJob,
        site: &mut SiteView,
    ) -> OpenMachines {
        let takes_turns = job.constraint.takes_turns();
        self.by_topic
            .add(&job.constraint.referenced_topics, request);
        let machines = if takes_turns {
            Vec::new()
        } else {
            site.eligible_ignoring_health(&job)
        };
        if takes_turns {
            self.stale.insert(request);
        }
        let announced = Some(machines.clone());
        let queued = QueuedRequest {
            job,
            announced,
            dropped_preferences: 0,
            had_turn: false,
            offered: false,
        };
        self.requests.insert(request, queued);
        OpenMachines { request, machines }
    }

    /// Removes a request that was answered or withdrawn.
    pub fn remove(&mut self, request: RequestId) {
        let Some(queued) = self.requests.remove(&request) else {
            return;
        };
        self.by_topic
            .remove(&queued.job.constraint.referenced_topics, request);
        self.stale.remove(&request);
        if self.current_turn == Some(request) {
            self.current_turn = None;
        }
    }

    /// Records that an offer for a request was sent. A request that takes turns is closed until the outcome is known,
    /// so that the next one gets its turn; the announcement that closes it is returned.
    pub fn offered(&mut self, request: RequestId) -> Option<OpenMachines> {
        let queued = self.requests.get_mut(&request)?;
        queued.offered = true;
        if !queued.job.constraint.takes_turns() {
            return None;
        }
        queued.announced = Some(Vec::new());
        if self.current_turn == Some(request) {
            self.current_turn = None;
        }
        Some(OpenMachines::none(request))
    }

    /// Records that the offer for a request ended without a placement; the request is evaluated again.
    pub fn offer_ended(&mut self, request: RequestId) {
        if let Some(queued) = self.requests.get_mut(&request) {
            queued.offered = false;
            self.stale.insert(request);
        }
    }

    /// Marks all requests for evaluation, because the node list or the excluded machines changed.
    pub fn all_changed(&mut self) {
        self.stale.extend(self.requests.keys());
    }

    /// Marks the requests that take turns for evaluation, because the health of nodes changed. For all other requests
    /// the decision module itself avoids nodes that are not ready.
    pub fn health_changed(&mut self) {
        let takes_turns =
            |(_, queued): &(&RequestId, &QueuedRequest)| queued.job.constraint.takes_turns();
        let requests = self.requests.iter().filter(takes_turns);
        self.stale.extend(requests.map(|(request, _)| *request));
    }

    /// Marks the requests whose constraints refer to copies of these topics.
    pub fn copies_changed(&mut self, topics: &[Topic]) {
        self.stale.extend(self.by_topic.referring_to(topics));
    }

    /// Records that nodes have reported the tasks they hold, or that the time for it is over.
    pub fn reconciled(&mut self) {
        if !std::mem::replace(&mut self.reconciled, true) {
            self.all_changed();
        }
    }

    /// Marks the next request, in rotation, that was opened before without being placed. One more of its preferences is
    /// ignored from then on.
    pub fn rotate(&mut self) {
        let is_waiting =
            |(_, queued): &(&RequestId, &QueuedRequest)| queued.had_turn && !queued.offered;
        let from = self.last_turn.map_or(Bound::Unbounded, Bound::Excluded);
        let after = self
            .requests
            .range((from, Bound::Unbounded))
            .find(is_waiting);
        let next = after
            .or_else(|| self.requests.iter().find(is_waiting))
            .map(|(request, _)| *request);
        if let Some(queued) = next.and_then(|request| self.requests.get_mut(&request)) {
            // Preferences must not keep a request queued: they are dropped one by one, from the last.
            let clause_count = queued.job.constraint.constraint.clauses.len();
            queued.dropped_preferences = (queued.dropped_preferences + 1).min(clause_count);
        }
        self.stale.extend(next);
    }

    /// Closes the request whose turn it was and opens the next one that has machines. Returns the changes to announce
    /// to the decision module; empty if nothing changed.
    ///
    /// Each request is open for one step of the module only, so that no other placement in that step can invalidate the
    /// announced machines.
    pub fn next_turn(&mut self, site: &mut SiteView) -> Vec<OpenMachines> {
        let mut announcements: Vec<OpenMachines> = self.close_turn().into_iter().collect();
        while let Some(request) = self.stale.pop_first() {
            let Some(queued) = self.requests.get(&request).filter(|queued| !queued.offered) else {
                continue;
            };
            let (job, dropped) = (queued.job.clone(), queued.dropped_preferences);
            if !job.constraint.takes_turns() {
                announcements.extend(self.announce(request, site.eligible_ignoring_health(&job)));
            } else if self.reconciled {
                let machines = site.open_now(&job, dropped);
                if !machines.is_empty() {
                    self.current_turn = Some(request);
                    announcements.extend(self.announce(request, machines));
                    break;
                }
            }
        }
        announcements
    }

    /// Ends the current turn. Returns the announcement that closes the request whose turn it was.
    pub fn close_turn(&mut self) -> Option<OpenMachines> {
        let request = self.current_turn.take()?;
        self.last_turn = Some(request);
        let queued = self.requests.get_mut(&request)?;
        queued.had_turn = true;
        queued.announced = Some(Vec::new());
        Some(OpenMachines::none(request))
    }

    /// Records the open machines of a request; returns them if they differ from those announced last.
    fn announce(&mut self, request: RequestId, machines: Vec<MachineId>) -> Option<OpenMachines> {
        let queued = self.requests.get_mut(&request)?;
        (queued.announced.as_ref() != Some(&machines)).then(|| {
            queued.announced = Some(machines.clone());
            OpenMachines { request, machines }
        })
    }

    /// Explains how its constraint keeps a queued request unplaced; `None` if the request is not tracked here.
    pub fn why_unplaced(&self, request: RequestId, site: &mut SiteView) -> Option<String> {
        let explanation = site.explain(&self.requests.get(&request)?.job);
        Some(match explanation.verdict {
            Verdict::Open => {
                format!(
                    "its constraint leaves {} nodes, and none took it",
                    explanation.open
                )
            }
            _ => explanation.to_string(),
        })
    }
}
