//! Queued requests with a constraint: which machines are open to each.
//!
//! What speaks of copies can't be told for two requests at once: the first one placed changes the machines of the
//! second. So requests whose constraint speaks of copies take turns: each is open for one step of the decision module
//! in which nothing else is drawn. What does not speak of copies is told once, and again when the site changes.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use reedring::{MachineId, RequestId};
use reedring_constraint::{Topic, Verdict};

use super::site::SiteView;
use super::subject::ConstrainedJob;
use super::topic_index::TopicIndex;

/// The machines that are open to a request, for the decision module.
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
    /// The machines that the decision module was told last.
    announced: Option<Vec<MachineId>>,
    /// Preferences dropped for it, from the last.
    dropped: usize,
    /// It was open, and found no room.
    had_turn: bool,
    /// An offer of it is unanswered.
    offered: bool,
}

/// Queued requests with a constraint.
#[derive(Debug, Default)]
pub(super) struct QueuedRequests {
    requests: BTreeMap<RequestId, QueuedRequest>,
    by_topic: TopicIndex<RequestId>,
    /// Requests whose machines may have changed.
    stale: BTreeSet<RequestId>,
    /// The one that is open in this step, among those that take turns.
    turn: Option<RequestId>,
    /// Whose turn it was last.
    last_turn: Option<RequestId>,
    /// Nodes have reported what they hold since this placer started, or had their time to: until then copies of a
    /// former incarnation may run that nobody knows of, and what speaks of copies waits.
    reconciled: bool,
}

impl QueuedRequests {
    pub fn contains(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    pub fn is_idle(&self) -> bool {
        self.stale.is_empty() && self.turn.is_none()
    }

    /// Queues a request; the machines that the decision module must be told at once.
    pub fn add(
        &mut self,
        request: RequestId,
        job: ConstrainedJob,
        site: &mut SiteView,
    ) -> OpenMachines {
        let takes_turns = job.constraint.takes_turns();
        self.by_topic.add(&job.constraint.depends, request);
        let machines = if takes_turns {
            Vec::new()
        } else {
            site.open_ever(&job)
        };
        if takes_turns {
            self.stale.insert(request);
        }
        let announced = Some(machines.clone());
        let queued = QueuedRequest {
            job,
            announced,
            dropped: 0,
            had_turn: false,
            offered: false,
        };
        self.requests.insert(request, queued);
        OpenMachines { request, machines }
    }

    /// A request is answered, or withdrawn.
    pub fn remove(&mut self, request: RequestId) {
        let Some(queued) = self.requests.remove(&request) else {
            return;
        };
        self.by_topic
            .remove(&queued.job.constraint.depends, request);
        self.stale.remove(&request);
        if self.turn == Some(request) {
            self.turn = None;
        }
    }

    /// An offer of a request left: until its end is known the request gets no machine, and the next one its turn.
    pub fn offered(&mut self, request: RequestId) -> Option<OpenMachines> {
        let queued = self.requests.get_mut(&request)?;
        queued.offered = true;
        if !queued.job.constraint.takes_turns() {
            return None;
        }
        queued.announced = Some(Vec::new());
        if self.turn == Some(request) {
            self.turn = None;
        }
        Some(OpenMachines::none(request))
    }

    /// The attempt of a request ended, and the request is still queued.
    pub fn offer_ended(&mut self, request: RequestId) {
        if let Some(queued) = self.requests.get_mut(&request) {
            queued.offered = false;
            self.stale.insert(request);
        }
    }

    pub fn all_changed(&mut self) {
        self.stale.extend(self.requests.keys());
    }

    /// Nodes' health changed. It matters only to those that take turns: for all others the decision module sees to it.
    pub fn health_changed(&mut self) {
        let takes_turns =
            |(_, queued): &(&RequestId, &QueuedRequest)| queued.job.constraint.takes_turns();
        let requests = self.requests.iter().filter(takes_turns);
        self.stale.extend(requests.map(|(request, _)| *request));
    }

    pub fn copies_changed(&mut self, topics: &[Topic]) {
        self.stale.extend(self.by_topic.of(topics));
    }

    /// The copies of a former incarnation are known now, as far as they will be.
    pub fn reconciled(&mut self) {
        if !std::mem::replace(&mut self.reconciled, true) {
            self.all_changed();
        }
    }

    /// Some time passed: among those that had machines and found no room on them, the next gets a turn.
    pub fn rotate(&mut self) {
        let waits = |(_, queued): &(&RequestId, &QueuedRequest)| queued.had_turn && !queued.offered;
        let from = self.last_turn.map_or(Bound::Unbounded, Bound::Excluded);
        let after = self.requests.range((from, Bound::Unbounded)).find(waits);
        let next = after
            .or_else(|| self.requests.iter().find(waits))
            .map(|(request, _)| *request);
        if let Some(queued) = next.and_then(|request| self.requests.get_mut(&request)) {
            // A preference that keeps a request queued is dropped: the last first.
            let most = queued.job.constraint.constraint.clauses.len();
            queued.dropped = (queued.dropped + 1).min(most);
        }
        self.stale.extend(next);
    }

    /// What the decision module must be told next: the request whose turn it was is closed, and the next one that has
    /// machines is opened. Each is open for one step of the module alone, so that no other draw of that step can take
    /// from it what it was told. Empty where nothing changed.
    pub fn next_turn(&mut self, site: &mut SiteView) -> Vec<OpenMachines> {
        let mut told: Vec<OpenMachines> = self.close_turn().into_iter().collect();
        while let Some(request) = self.stale.pop_first() {
            let Some(queued) = self.requests.get(&request).filter(|queued| !queued.offered) else {
                continue;
            };
            let (job, dropped) = (queued.job.clone(), queued.dropped);
            if !job.constraint.takes_turns() {
                told.extend(self.announce(request, site.open_ever(&job)));
            } else if self.reconciled {
                let machines = site.open_now(&job, dropped);
                if !machines.is_empty() {
                    self.turn = Some(request);
                    told.extend(self.announce(request, machines));
                    break;
                }
            }
        }
        told
    }

    /// The request whose turn it was is open no more.
    pub fn close_turn(&mut self) -> Option<OpenMachines> {
        let request = self.turn.take()?;
        self.last_turn = Some(request);
        let queued = self.requests.get_mut(&request)?;
        queued.had_turn = true;
        queued.announced = Some(Vec::new());
        Some(OpenMachines::none(request))
    }

    fn announce(&mut self, request: RequestId, machines: Vec<MachineId>) -> Option<OpenMachines> {
        let queued = self.requests.get_mut(&request)?;
        (queued.announced.as_ref() != Some(&machines)).then(|| {
            queued.announced = Some(machines.clone());
            OpenMachines { request, machines }
        })
    }

    /// Why a queued request got no place, as far as its constraint goes.
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
