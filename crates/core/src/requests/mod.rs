//! Calls of clients and operators, by kind.
//!
//! | kind | module |
//! | --- | --- |
//! | submissions, including those repeated after a restart of the placer | `submission` |
//! | hold, release, suspend, resume, terminate | `control` |
//! | waits and synchronizations | `waiting` |
//! | queries of operators, and `drmaa_job_ps` | `queries` |
//!
//! [`ClientRequests`] owns the calls that are deferred. All other state is changed through [`JobLifecycle`].

mod control;
mod queries;
mod submission;
mod waiting;

use std::collections::VecDeque;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, Call, CallKey, Jobs, Response};
use reedring_drmaa::{Error, ErrorCode, Result, VERSION};

use crate::configuration::Configuration;
use crate::ids::{JobNumber, SessionNumber};
use crate::io::ConnectionId;
use crate::ledger::JobName;
use crate::lifecycle::JobLifecycle;
use crate::node_links;
use crate::sessions::CallRecord;
use submission::{Submission, submitted};
use waiting::Wait;
pub(crate) use waiting::wait_timed_out;

fn error(code: ErrorCode, text: impl Into<String>) -> Error {
    Error::new(code, text)
}

/// Where the answer to a call goes: the client's connection, and the id of the call on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub conn: ConnectionId,
    pub id: u64,
}

/// A submission that waits for nodes to report their tasks.
#[derive(Debug)]
struct DeferredSubmission {
    caller: Caller,
    call: Call,
}

/// An operator's request for a list of jobs.
#[derive(Debug)]
struct ListingRequest {
    caller: Caller,
    call: Call,
}

/// The components that a call reads or changes.
pub(crate) struct CallContext<'a, 'b> {
    pub lifecycle: &'a mut JobLifecycle<'b>,
    pub configuration: &'a Configuration,
    /// Nanoseconds spent in the decision module since the start, for the counters.
    pub module_ns: u64,
}

/// The calls that are answered later than in the step in which they arrive, except waits, which sessions own.
#[derive(Debug, Default)]
pub(crate) struct ClientRequests {
    deferred: Vec<DeferredSubmission>,
    /// Operators' requests for lists of jobs, which may be long. One is answered per flush, after all other work, so
    /// that many of them do not delay other calls.
    listings: VecDeque<ListingRequest>,
}

impl ClientRequests {
    /// Carries out a call and answers it, unless the answer comes later.
    pub fn handle(
        &mut self,
        now: Micros,
        caller: Caller,
        call: Call,
        cx: &mut CallContext<'_, '_>,
    ) {
        if let Some(result) = self.execute(now, caller, call, cx) {
            cx.lifecycle
                .reply(caller.conn, Response::new(caller.id, result));
        }
    }

    /// Drops the deferred calls of a connection that has ended.
    pub fn client_disconnected(&mut self, conn: ConnectionId) {
        self.deferred
            .retain(|deferred| deferred.caller.conn != conn);
        self.listings.retain(|listing| listing.caller.conn != conn);
    }

    /// Carries out the submissions that waited for nodes to report their tasks.
    pub fn retry_deferred(&mut self, now: Micros, cx: &mut CallContext<'_, '_>) {
        for DeferredSubmission { caller, call } in std::mem::take(&mut self.deferred) {
            self.handle(now, caller, call, cx);
        }
    }

    pub fn has_listings(&self) -> bool {
        !self.listings.is_empty()
    }

    /// Answers the next request for a list of jobs.
    pub fn answer_next_listing(&mut self, now: Micros, cx: &mut CallContext<'_, '_>) {
        if let Some(ListingRequest { caller, call }) = self.listings.pop_front() {
            let result = stateless_call(now, call, cx);
            cx.lifecycle
                .reply(caller.conn, Response::new(caller.id, result));
        }
    }

    /// Carries out a call; `None` where its answer comes later. A call of a session that was made before gets the
    /// answer that is recorded.
    fn execute(
        &mut self,
        now: Micros,
        caller: Caller,
        call: Call,
        cx: &mut CallContext<'_, '_>,
    ) -> Option<Result<Answer>> {
        let key = match &call {
            Call::Exit { key }
            | Call::RunJob { key, .. }
            | Call::RunBulkJobs { key, .. }
            | Call::Control { key, .. }
            | Call::Synchronize { key, .. }
            | Call::Wait { key, .. } => key.clone(),
            Call::ListJobs { .. } => {
                self.listings.push_back(ListingRequest { caller, call });
                return None;
            }
            _ => return Some(stateless_call(now, call, cx)),
        };
        let number = match cx.lifecycle.sessions.find(&key.session) {
            Ok(number) => number,
            Err(error) => return Some(Err(error)),
        };
        let session = cx.lifecycle.sessions.get_mut(number)?;
        session.touch(now);
        session.settle(key.settled);
        match session.call_record(key.call) {
            Err(error) => Some(Err(error)),
            Ok(Some(CallRecord::Answer(result))) => Some(result.clone()),
            Ok(Some(CallRecord::Submission(range))) => {
                let range = *range;
                Some(Ok(submitted(&key, range, cx.lifecycle.queue.warning())))
            }
            Ok(None) => self.session_call(now, number, key, caller, call, cx),
        }
    }

    /// Carries out a call of a session that was not made before, and records its answer; `None` where the answer comes
    /// later.
    fn session_call(
        &mut self,
        now: Micros,
        session: SessionNumber,
        key: CallKey,
        caller: Caller,
        call: Call,
        cx: &mut CallContext<'_, '_>,
    ) -> Option<Result<Answer>> {
        let number = key.call;
        let wait = |timeout_s| Wait {
            session,
            call: number,
            caller,
            timeout_s,
        };
        let lifecycle = &mut *cx.lifecycle;
        let result = match call {
            Call::RunJob { job, .. } => {
                let submission = Submission::single(key, *job);
                return self.submit(now, session, caller, submission, cx);
            }
            Call::RunBulkJobs { job, range, .. } => {
                let submission = Submission::bulk(key, *job, range);
                return self.submit(now, session, caller, submission, cx);
            }
            Call::Exit { .. } => close_session(lifecycle, session),
            Call::Control { jobs, action, .. } => {
                control::control(lifecycle, now, session, &jobs, action)
            }
            Call::Synchronize {
                jobs,
                timeout_s,
                dispose,
                ..
            } => waiting::synchronize(lifecycle, now, wait(timeout_s), &jobs, dispose)?,
            Call::Wait { job, timeout_s, .. } => {
                waiting::wait(lifecycle, now, wait(timeout_s), job.as_deref())?
            }
            _ => return None,
        };
        let session = lifecycle.sessions.get_mut(session)?;
        session.record(number, CallRecord::Answer(result.clone()));
        Some(result)
    }
}

/// Carries out a call whose answer is not recorded in a session: it changes nothing there, or may be made twice.
fn stateless_call(now: Micros, call: Call, cx: &mut CallContext<'_, '_>) -> Result<Answer> {
    let lifecycle = &mut *cx.lifecycle;
    match call {
        Call::Init { session } => {
            let limit = lifecycle.cx.settings().limits.sessions;
            let number = lifecycle.sessions.open(&session, now, limit)?;
            if let Some(session) = lifecycle.sessions.get_mut(number) {
                session.touch(now);
            }
            Ok(Answer::Session {
                life: lifecycle.cx.clock().incarnation(),
            })
        }
        Call::JobPs { session, job } => {
            let number = lifecycle.sessions.find(&session)?;
            queries::job_state(lifecycle, number, &job)
        }
        Call::Version {} => Ok(Answer::Version(VERSION.0, VERSION.1)),
        Call::DrmSystem {} => Ok(Answer::Text(format!(
            "reedring {}",
            env!("CARGO_PKG_VERSION")
        ))),
        Call::ListJobs { after, limit } => Ok(Answer::Jobs(queries::jobs_page(
            lifecycle, now, after, limit,
        ))),
        Call::ShowJob { job } => queries::show_job(lifecycle, now, &job),
        Call::ListNodes {} => Ok(Answer::Nodes(queries::node_lines(
            lifecycle,
            cx.configuration,
        ))),
        Call::Drain { node, drain } => node_links::set_drained(lifecycle, now, &node, drain),
        Call::Explain { text } => queries::explain(lifecycle, &text),
        Call::Stats {} => Ok(queries::stats(lifecycle, cx.module_ns)),
        _ => Err(error(ErrorCode::InternalError, "the call needs a session")),
    }
}

/// Closes a session: the calls that wait in it are answered with an error.
fn close_session(lifecycle: &mut JobLifecycle<'_>, number: SessionNumber) -> Result<Answer> {
    let session = lifecycle.sessions.get(number);
    let waiting = session
        .map(|session| session.waiting_calls())
        .unwrap_or_default();
    for call in waiting {
        let closed = error(ErrorCode::NoActiveSession, "the session was closed");
        lifecycle.complete_call(number, call, Err(closed));
    }
    Ok(Answer::Done)
}

/// The job of this name.
///
/// # Errors
/// `InvalidJob` where the session has no such job, or its end was returned already.
fn find_job(lifecycle: &JobLifecycle<'_>, number: SessionNumber, name: &str) -> Result<JobNumber> {
    let found = JobName::parse(name).and_then(|parsed| {
        let session = lifecycle.sessions.get(number);
        session
            .filter(|session| *session.name() == parsed.session)?
            .job(parsed.call_index())
    });
    found.ok_or_else(|| {
        let text = format!("`{name}` is no job of this session, or its end was told");
        error(ErrorCode::InvalidJob, text)
    })
}

/// The jobs that a call names.
///
/// # Errors
/// Those of [`find_job`].
fn named_jobs(
    lifecycle: &JobLifecycle<'_>,
    number: SessionNumber,
    jobs: &Jobs,
) -> Result<Vec<JobNumber>> {
    match jobs {
        Jobs::All => {
            let session = lifecycle.sessions.get(number);
            Ok(session
                .map(|session| session.jobs().collect())
                .unwrap_or_default())
        }
        Jobs::These(names) => names
            .iter()
            .map(|name| find_job(lifecycle, number, name))
            .collect(),
    }
}
