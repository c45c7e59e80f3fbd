//! Rule 1: each task taken gets exactly one outcome before its owner gives up.

use reedring_node_protocol::AttemptId;
use serde_json::Value;

use super::known::Pending;
use super::{Judge, Rule, SLACK_US};
use crate::trace::Frame;

impl Judge {
    pub(super) fn told_end(&mut self, frame: &Frame, call: &Pending, ended: &Value) {
        let name = ended
            .get("job")
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned();
        let usage = ended
            .get("usage")
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default();
        let value = |key: &str| {
            let pair = usage
                .iter()
                .find(|pair| pair.get(0).and_then(Value::as_str) == Some(key))?;
            pair.get(1).and_then(Value::as_str).map(str::to_owned)
        };
        let outcome = value("reedring.outcome").unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        job.ended = true;
        let (taken, gives_up, placed) = (job.frame, job.gives_up_us, job.placed);
        match &job.told {
            Some((before, at)) if *before != outcome => {
                let (frames, text) = (
                    vec![taken, *at, frame.number],
                    format!("job {name} was told {before}, then {outcome}"),
                );
                return self.breach(Rule::OneOutcome, frames, text);
            }
            Some(_) => return,
            None => job.told = Some((outcome.clone(), frame.number)),
        }
        match outcome.as_str() {
            "placed" if !placed => {
                let text = format!("job {name} was told placed, and no node had accepted it");
                self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
            }
            "refused" | "failed" => {
                // A node may have accepted it in the moment in which its time was over; it was stopped there.
                self.report.placed -= usize::from(placed);
                if outcome == "refused" {
                    self.report.refused += 1;
                    self.refusal(&name, frame.number);
                } else {
                    self.report.failed += 1;
                }
                // Who asks late is answered late.
                let due = |at: u64| {
                    self.placers
                        .get(&frame.place)
                        .map_or(at, |placer| placer.due(at))
                };
                let by = gives_up.map(|at| due(at.max(call.time_us)));
                if by.is_some_and(|by| frame.time_us > by) {
                    let late = frame.time_us - gives_up.unwrap_or(0);
                    let text =
                        format!("job {name} was told {outcome} {late} us after its owner gave up");
                    self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
                }
            }
            "terminated" => self.report.terminated += 1,
            _ => {}
        }
    }

    pub(super) fn accepted(&mut self, frame: &Frame, id: AttemptId, job: Option<&str>) {
        let told_held = job.is_some();
        let stopped = self
            .attempts
            .get(&id)
            .is_some_and(|attempt| attempt.stopped);
        let name = match self.attempts.get_mut(&id) {
            Some(attempt) => {
                attempt.accepted = true;
                attempt.job.clone()
            }
            None => job.unwrap_or_default().to_owned(),
        };
        let Some(job) = self.jobs.get_mut(&name) else {
            return;
        };
        if job.placed {
            return;
        }
        if stopped && !told_held {
            // What was stopped before the yes came is no place; its placer may take up what is held still.
            return;
        }
        job.placed = true;
        let (taken, gives_up) = (job.frame, job.gives_up_us);
        self.report.placed += 1;
        let due = |at: u64| {
            self.placers
                .get(&frame.place)
                .map_or(at, |placer| placer.due(at))
        };
        let late = gives_up.is_some_and(|at| frame.time_us > due(at));
        if late && !told_held {
            let text = format!("job {name} was accepted after its owner gave up");
            self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
        }
    }

    pub(super) fn at_the_end(&mut self) {
        let waits = |call: &Pending, session: &str, name: &str| {
            let waits = ["drmaa_wait", "drmaa_synchronize"].contains(&call.method.as_str());
            let mine = call.params.pointer("/key/session").and_then(Value::as_str) == Some(session);
            let job = call.params.get("job").and_then(Value::as_str);
            waits && mine && job.is_none_or(|job| job == name)
        };
        let mut found = Vec::new();
        for (name, job) in &self.jobs {
            self.report.excused += usize::from(job.excused);
            let late = job
                .gives_up_us
                .is_some_and(|at| self.last_us > at.saturating_add(SLACK_US));
            if job.placed || job.told.is_some() || job.excused || !late {
                continue;
            }
            // Nothing crossed to its owner: a breach where the owner stood and waited.
            let call = self
                .calls
                .iter()
                .find(|(key, call)| key.0 == job.placer && waits(call, &job.session, name));
            if let Some((_, call)) = call {
                let text = format!("job {name} has no outcome, its owner gave up waiting");
                found.push((vec![job.frame, call.frame], text));
            }
        }
        for (frames, text) in found {
            self.breach(Rule::OneOutcome, frames, text);
        }
        for even in std::mem::take(&mut self.even) {
            self.evenly(&even);
        }
    }
}
