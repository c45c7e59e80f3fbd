//! What clients ask and hear, and what lists say: the ledger of jobs that the rules go by.

use std::collections::{BTreeMap, BTreeSet};

use reedring_drmaa::native::duration_us;
use serde_json::Value;

use super::known::{Job, Pending, Placer};
use super::told::NodeFile;
use super::{Judge, json};
use crate::trace::Frame;

impl Judge {
    pub(super) fn placer_ended(&mut self, name: &str) {
        let keeps = self
            .placers
            .get(name)
            .is_some_and(|placer| placer.told.state.is_some());
        for job in self
            .jobs
            .values_mut()
            .filter(|job| job.placer == name && !job.placed && job.told.is_none())
        {
            // What a placer held when it was killed is for its owner to ask again, unless it keeps its promises.
            job.excused = !keeps;
        }
        self.calls.retain(|key, _| key.0 != name);
        for attempt in self
            .attempts
            .values_mut()
            .filter(|attempt| attempt.placer == name)
        {
            attempt.unlinked |= !attempt.accepted;
        }
    }

    pub(super) fn listed(&mut self, frame: &Frame) {
        let text = String::from_utf8_lossy(&frame.bytes);
        let list: NodeFile = toml::from_str(&text).unwrap_or_default();
        let placer = self.placers.entry(frame.place.clone()).or_default();
        let mut open = BTreeSet::new();
        placer.spots = list
            .node
            .iter()
            .map(|line| (line.name.clone(), line.spot()))
            .collect();
        let control = list.node.iter().filter(|line| line.control);
        placer.control = control.map(|line| line.name.clone()).collect();
        for line in list.node {
            placer.known.insert(line.name.clone());
            placer
                .places
                .insert(line.name.clone(), (line.rack, line.hall));
            if line.health.is_empty() || line.health == "ready" {
                open.insert(line.name);
            }
        }
        for node in &placer.known {
            if open.contains(node) {
                placer.closed_by_list.remove(node);
            } else {
                placer
                    .closed_by_list
                    .entry(node.clone())
                    .or_insert(frame.time_us);
            }
        }
    }

    pub(super) fn client_calls(&mut self, frame: &Frame) {
        let Some(body) = json(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else {
            return;
        };
        let method = body
            .get("method")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        let params = body.get("params").cloned().unwrap_or_default();
        if method == "reedring_drain" {
            let node = params
                .get("node")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_owned();
            let drain = params
                .get("drain")
                .and_then(Value::as_bool)
                .unwrap_or(false);
            if let Some(placer) = self.placers.get_mut(&frame.place) {
                if drain {
                    placer.closed_by_hand.entry(node).or_insert(frame.time_us);
                } else {
                    placer.closed_by_hand.remove(&node);
                }
            }
        }
        let pending = Pending {
            frame: frame.number,
            time_us: frame.time_us,
            method,
            params,
        };
        self.calls
            .insert((frame.place.clone(), frame.link, id), pending);
    }

    pub(super) fn client_hears(&mut self, frame: &Frame) {
        let Some(body) = json(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else {
            return;
        };
        let Some(call) = self.calls.remove(&(frame.place.clone(), frame.link, id)) else {
            return;
        };
        let Some(result) = body.get("result") else {
            return;
        };
        if let Some(jobs) = result
            .get("submitted")
            .and_then(|s| s.get("jobs"))
            .and_then(Value::as_array)
        {
            jobs.iter()
                .filter_map(Value::as_str)
                .for_each(|job| self.taken(frame, &call, job));
        }
        if let Some(ended) = result.get("ended") {
            self.told_end(frame, &call, ended);
        }
    }

    pub(super) fn taken(&mut self, frame: &Frame, call: &Pending, name: &str) {
        if let Some(job) = self.jobs.get_mut(name) {
            // The same submission, answered again: by the successor of a placer that died, perhaps.
            job.excused = false;
            if job.placer != frame.place || job.told.is_none() && !job.placed {
                job.placer.clone_from(&frame.place);
                if let Some(at) = job.gives_up_us.as_mut() {
                    *at = (*at).max(
                        call.time_us + Self::patience(&self.placers, &frame.place, &call.params),
                    );
                }
            }
            return;
        }
        let spec = call.params.get("job").cloned().unwrap_or_default();
        let held = spec.get("hold").and_then(Value::as_bool).unwrap_or(false)
            || spec.get("start").is_some();
        let patience = Self::patience(&self.placers, &frame.place, &call.params);
        let session = call
            .params
            .pointer("/key/session")
            .and_then(Value::as_str)
            .unwrap_or_default();
        self.report.taken += 1;
        let placed = self
            .by_job
            .get(name)
            .is_some_and(|all| all.iter().any(|id| self.attempts[id].accepted));
        let job = Job {
            frame: call.frame,
            placer: frame.place.clone(),
            session: session.to_owned(),
            gives_up_us: (!held).then(|| call.time_us + patience),
            placed,
            told: None,
            ended: false,
            excused: false,
        };
        self.report.placed += usize::from(placed);
        self.jobs.insert(name.to_owned(), job);
    }

    pub(super) fn patience(
        placers: &BTreeMap<String, Placer>,
        placer: &str,
        params: &Value,
    ) -> u64 {
        let spec = params.get("job").cloned().unwrap_or_default();
        let told = placers.get(placer).map(|placer| &placer.told);
        let class = told.and_then(|told| told.class_of(&spec));
        class
            .and_then(|class| duration_us(&class.give_up))
            .unwrap_or(u64::MAX / 4)
    }
}
