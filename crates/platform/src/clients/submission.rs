//! Submission of requests to the decision module: one per connection in turn, a bounded number at a time.

use reedring::{Event, Micros, RequestId, Task};

use crate::ids::ConnId;
use crate::state::{Engine, Request};

/// How long a request may wait until the input that its client sent after it is read, as that input may cancel the
/// request or end the stream: longer than it takes to read what sockets hold.
const READ_AHEAD_US: Micros = 1_000_000;

impl Engine {
    /// Submits a request whose deadline passed while it waited behind others as one without attempts, so that it is
    /// answered at once. Its task never ran.
    pub(crate) fn request_deadline(&mut self, now: Micros, request: RequestId) {
        if self
            .requests
            .get(request)
            .is_some_and(Request::is_unsubmitted)
        {
            self.submit(now, request, true);
        }
    }

    /// Submits a request to the decision module. If its client has departed, no attempt begins and the module answers
    /// at once.
    pub(super) fn submit(&mut self, now: Micros, request: RequestId, client_departed: bool) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        (entry.is_submitted, entry.client_departed) = (true, client_departed);
        let grace_us = if client_departed {
            0
        } else {
            entry.deadline.saturating_sub(now)
        };
        self.cancel_deadline(request);
        let task = self
            .requests
            .get(request)
            .map(|entry| self.task_from_request(&entry.placement_request));
        if let Some(Ok(task)) = task {
            self.events.push(Event::Arrived {
                task: Task { request, ..task },
                grace_us,
            });
        }
    }

    /// Cancels the timer of a request's deadline, if one is set.
    pub(super) fn cancel_deadline(&mut self, request: RequestId) {
        let entry = self.requests.get_mut(request);
        if let Some(timer) = entry.and_then(|entry| entry.deadline_timer.take()) {
            self.timers.cancel(timer);
        }
    }

    /// When the next request of a connection may be submitted: at once, or, while more input of the connection is to be
    /// read, [`READ_AHEAD_US`] after the request was received. `None` if the connection has ended.
    fn submission_time(&self, conn: ConnId) -> Option<Micros> {
        let client = self.clients.get(&conn)?;
        if !client.has_unread_input {
            return Some(0);
        }
        let first = client
            .unsubmitted
            .front()
            .and_then(|first| self.requests.get(*first));
        Some(first.map_or(0, |first| first.received_at) + READ_AHEAD_US)
    }

    /// When the next request of any connection may be submitted; `None` if there is none.
    pub(crate) fn next_submission(&self) -> Option<Micros> {
        self.submission_queue
            .iter()
            .filter_map(|conn| self.submission_time(*conn))
            .min()
    }

    /// Submits up to `limit` requests to the decision module, one of each connection in turn.
    pub(crate) fn submit_next(&mut self, now: Micros, limit: usize) {
        let (mut submitted, mut skipped) = (0, 0);
        while submitted < limit && skipped < self.submission_queue.len() {
            let Some(conn) = self.submission_queue.pop_front() else {
                return;
            };
            let Some(at) = self.submission_time(conn) else {
                continue;
            };
            if at > now {
                self.submission_queue.push_back(conn);
                skipped += 1;
                continue;
            }
            if let Some(request) = self.take_unsubmitted(conn) {
                (submitted, skipped) = (submitted + 1, 0);
                self.submit(now, request, false);
            }
        }
    }

    /// Takes the next request of a connection out of its queue, and queues the connection again if it has more
    /// requests. `None` if the request was answered in the meantime.
    fn take_unsubmitted(&mut self, conn: ConnId) -> Option<RequestId> {
        let client = self.clients.get_mut(&conn)?;
        let next = client.unsubmitted.pop_front();
        if !client.unsubmitted.is_empty() {
            self.submission_queue.push_back(conn);
        }
        next.filter(|next| {
            self.requests
                .get(*next)
                .is_some_and(Request::is_unsubmitted)
        })
    }
}
