//! Rule 1: each accepted job gets exactly one outcome before its client gives up.

use reedring_node_protocol::AttemptId;
use serde_json::Value;

use super::observed::{Job, PendingCall, ReportedOutcome};
use super::{Checker, Rule, SLACK_US, text_at};
use crate::trace::Frame;

/// How a placer learned that a node accepted an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptedBy<'a> {
    /// The answer to its offer.
    Answer,
    /// The node's report of what it runs, with the job's name.
    Report(&'a str),
}

/// The value of a usage entry of a DRMAA job info.
fn usage<'a>(ended: &'a Value, key: &str) -> Option<&'a str> {
    let entries = ended.get("usage")?.as_array()?;
    let entry = entries
        .iter()
        .find(|entry| entry.get(0).and_then(Value::as_str) == Some(key))?;
    entry.get(1).and_then(Value::as_str)
}

/// Whether a call waits for a job of a session.
fn waits_for(call: &PendingCall, session: &str, job: &str) -> bool {
    let is_wait = ["drmaa_wait", "drmaa_synchronize"].contains(&call.method.as_str());
    let of_session = call.params.pointer("/key/session").and_then(Value::as_str) == Some(session);
    let waited_for = call.params.get("job").and_then(Value::as_str);
    is_wait && of_session && waited_for.is_none_or(|waited_for| waited_for == job)
}

impl Checker {
    /// A client got the end of a job.
    pub(super) fn outcome_reported(&mut self, frame: &Frame, call: &PendingCall, ended: &Value) {
        let name = text_at(ended, "job");
        let outcome = usage(ended, "reedring.outcome").unwrap_or_default();
        let Some(job) = self.jobs.get_mut(name) else {
            return;
        };
        let (submitted, placed) = (job.frame, job.placed);
        if let Some(before) = &job.reported {
            if before.outcome != outcome {
                let text = format!("job {name} was reported {}, then {outcome}", before.outcome);
                let frames = vec![submitted, before.frame, frame.number];
                self.breach(Rule::OneOutcome, frames, text);
            }
            return;
        }
        job.reported = Some(ReportedOutcome {
            outcome: outcome.to_owned(),
            frame: frame.number,
        });
        match outcome {
            "placed" if !placed => {
                let text = format!("job {name} was reported placed, and no node had accepted it");
                self.breach(Rule::OneOutcome, vec![submitted, frame.number], text);
            }
            "refused" | "failed" => {
                // A node may have accepted it in the moment of its deadline; it was stopped there.
                self.report.placed -= usize::from(placed);
                if outcome == "refused" {
                    self.report.refused += 1;
                    self.check_refusal(name, frame.number);
                } else {
                    self.report.failed += 1;
                }
                self.check_in_time(frame, call, name, outcome);
            }
            "terminated" => self.report.terminated += 1,
            _ => {}
        }
    }

    /// A client that calls after its deadline gets its answer later.
    fn check_in_time(&mut self, frame: &Frame, call: &PendingCall, name: &str, outcome: &str) {
        let Some(job) = self.jobs.get(name) else {
            return;
        };
        let Some(deadline) = job.deadline_us else {
            return;
        };
        let due = self.last_moment(&frame.place, deadline.max(call.time_us));
        if frame.time_us > due {
            let late = frame.time_us - deadline;
            let text =
                format!("job {name} was reported {outcome} {late} us after its client gave up");
            let frames = vec![job.frame, frame.number];
            self.breach(Rule::OneOutcome, frames, text);
        }
    }

    fn last_moment(&self, placer: &str, at: u64) -> u64 {
        let placer = self.placers.get(placer);
        placer.map_or(at, |placer| placer.last_moment(at))
    }

    /// A placer learned that a node accepted an attempt.
    pub(super) fn attempt_accepted(&mut self, frame: &Frame, id: AttemptId, by: AcceptedBy<'_>) {
        let mut stopped = false;
        let name = match (self.attempts.get_mut(&id), by) {
            (Some(attempt), _) => {
                attempt.accepted = true;
                stopped = attempt.stopped;
                attempt.job.clone()
            }
            (None, AcceptedBy::Report(job)) => job.to_owned(),
            (None, AcceptedBy::Answer) => return,
        };
        let Some(job) = self.jobs.get_mut(&name).filter(|job| !job.placed) else {
            return;
        };
        if stopped && by == AcceptedBy::Answer {
            // An attempt that was stopped before the answer came is no placement. What a node still runs may become one.
            return;
        }
        job.placed = true;
        let (submitted, deadline) = (job.frame, job.deadline_us);
        self.report.placed += 1;
        let late = deadline.is_some_and(|at| frame.time_us > self.last_moment(&frame.place, at));
        if late && by == AcceptedBy::Answer {
            let text = format!("job {name} was accepted after its client gave up");
            self.breach(Rule::OneOutcome, vec![submitted, frame.number], text);
        }
    }

    /// At the end of the trace: a job without an outcome is a breach where its client still waits for it.
    pub(super) fn check_missing_outcomes(&mut self) {
        let mut found = Vec::new();
        for (name, job) in &self.jobs {
            self.report.excused += usize::from(job.excused);
            if job.has_outcome() || job.excused || !self.is_overdue(job) {
                continue;
            }
            let mut calls = self.calls.iter();
            let call = calls.find(|(key, call)| {
                key.placer == job.placer && waits_for(call, &job.session, name)
            });
            if let Some((_, call)) = call {
                let text = format!("job {name} has no outcome, and its client gave up waiting");
                found.push((vec![job.frame, call.frame], text));
            }
        }
        for (frames, text) in found {
            self.breach(Rule::OneOutcome, frames, text);
        }
    }

    fn is_overdue(&self, job: &Job) -> bool {
        let deadline = job.deadline_us;
        deadline.is_some_and(|at| self.now_us > at.saturating_add(SLACK_US))
    }
}
