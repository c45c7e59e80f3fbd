//! Calls of clients and the responses to them, and node lists: which jobs there are, and until when each is awaited.

use std::collections::BTreeSet;

use reedring_drmaa::native::duration_us;
use serde_json::Value;

use super::observed::{CallKey, Job, PendingCall, RackLocation};
use super::settings::NodeFile;
use super::{Checker, client_frame, text_at};
use crate::trace::Frame;

/// For how long a client waits whose class is not known: for ever, and far from an overflow.
const UNKNOWN_WAIT_US: u64 = u64::MAX / 4;

impl Checker {
    pub(super) fn placer_ended(&mut self, name: &str) {
        let placer = self.placers.get(name);
        let stores_promises = placer.is_some_and(|placer| placer.settings.state.is_some());
        let waiting = self.jobs.values_mut();
        for job in waiting.filter(|job| job.placer == name && !job.has_outcome()) {
            // The client submits it again, unless the placer stores its promises.
            job.excused = !stores_promises;
        }
        self.calls.retain(|key, _| key.placer != name);
        for attempt in self.attempts.values_mut() {
            attempt.unlinked |= attempt.placer == name && !attempt.accepted;
        }
    }

    pub(super) fn node_list(&mut self, frame: &Frame) {
        let text = String::from_utf8_lossy(&frame.bytes);
        let list: NodeFile = toml::from_str(&text).unwrap_or_default();
        let placer = self.placers.entry(frame.place.clone()).or_default();
        let location = |line: &super::settings::NodeLine| (line.name.clone(), line.location());
        placer.locations = list.node.iter().map(location).collect();
        let control = list.node.iter().filter(|line| line.control);
        placer.control = control.map(|line| line.name.clone()).collect();
        let mut ready = BTreeSet::new();
        for line in list.node {
            placer.known_nodes.insert(line.name.clone());
            if line.is_ready() {
                ready.insert(line.name.clone());
            }
            let rack_location = RackLocation {
                rack: line.rack,
                zone: line.zone,
            };
            placer.racks.insert(line.name, rack_location);
        }
        for node in &placer.known_nodes {
            if ready.contains(node) {
                placer.unavailable_by_list.remove(node);
            } else {
                let since = placer.unavailable_by_list.entry(node.clone());
                since.or_insert(frame.time_us);
            }
        }
    }

    pub(super) fn request_from_client(&mut self, frame: &Frame) {
        let Some(body) = client_frame(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else {
            return;
        };
        let call = PendingCall {
            frame: frame.number,
            time_us: frame.time_us,
            method: text_at(&body, "method").to_owned(),
            params: body.get("params").cloned().unwrap_or_default(),
        };
        if call.method == "reedring_drain" {
            self.drain_request(frame, &call.params);
        }
        self.calls.insert(call_key(frame, id), call);
    }

    fn drain_request(&mut self, frame: &Frame, params: &Value) {
        let Some(placer) = self.placers.get_mut(&frame.place) else {
            return;
        };
        let node = text_at(params, "node");
        let drain = params.get("drain").and_then(Value::as_bool);
        if drain.unwrap_or(false) {
            let since = placer.drained_by_operator.entry(node.to_owned());
            since.or_insert(frame.time_us);
        } else {
            placer.drained_by_operator.remove(node);
        }
    }

    pub(super) fn response_to_client(&mut self, frame: &Frame) {
        let Some(body) = client_frame(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else {
            return;
        };
        let Some(call) = self.calls.remove(&call_key(frame, id)) else {
            return;
        };
        let Some(result) = body.get("result") else {
            return;
        };
        let submitted = result.pointer("/submitted/jobs").and_then(Value::as_array);
        for job in submitted.into_iter().flatten().filter_map(Value::as_str) {
            self.job_submitted(frame, &call, job);
        }
        if let Some(ended) = result.get("ended") {
            self.outcome_reported(frame, &call, ended);
        }
    }

    fn job_submitted(&mut self, frame: &Frame, call: &PendingCall, name: &str) {
        let wait_us = self.client_wait_us(&frame.place, &call.params);
        if let Some(job) = self.jobs.get_mut(name) {
            // The same submission, answered again: perhaps by the next incarnation of a placer that died.
            job.excused = false;
            if job.placer != frame.place || !job.has_outcome() {
                job.placer.clone_from(&frame.place);
                if let Some(deadline) = job.deadline_us.as_mut() {
                    *deadline = (*deadline).max(call.time_us + wait_us);
                }
            }
            return;
        }
        let spec = call.params.get("job").cloned().unwrap_or_default();
        let on_hold = spec.get("hold").and_then(Value::as_bool).unwrap_or(false);
        let delayed = spec.get("start").is_some();
        let session = call.params.pointer("/key/session").and_then(Value::as_str);
        let attempts = self.attempts_by_job.get(name);
        let placed = attempts.is_some_and(|all| all.iter().any(|id| self.attempts[id].accepted));
        self.report.taken += 1;
        self.report.placed += usize::from(placed);
        let job = Job {
            frame: call.frame,
            placer: frame.place.clone(),
            session: session.unwrap_or_default().to_owned(),
            deadline_us: (!on_hold && !delayed).then(|| call.time_us + wait_us),
            placed,
            reported: None,
            excused: false,
        };
        self.jobs.insert(name.to_owned(), job);
    }

    /// For how long the client of a submission waits for its outcome.
    fn client_wait_us(&self, placer: &str, params: &Value) -> u64 {
        let spec = params.get("job").cloned().unwrap_or_default();
        let settings = self.placers.get(placer).map(|placer| &placer.settings);
        let class = settings.and_then(|settings| settings.class_of(&spec));
        class
            .and_then(|class| duration_us(&class.give_up))
            .unwrap_or(UNKNOWN_WAIT_US)
    }
}

fn call_key(frame: &Frame, id: u64) -> CallKey {
    CallKey {
        placer: frame.place.clone(),
        connection: frame.link,
        id,
    }
}
