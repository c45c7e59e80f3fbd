//! Submissions of jobs, including those that a former incarnation may have carried out already.

use std::sync::Arc;

use reedring::names::task_key;
use reedring::{Micros, TaskKey};
use reedring_drmaa::rpc::{Answer, Call, CallKey, Range, Submitted};
use reedring_drmaa::{Error, ErrorCode, JobSpec, Result};
use reedring_state::{Ending, Outcome};

use super::{CallContext, Caller, ClientRequests, DeferredSubmission, error, queries};
use crate::decide::{self, PriorSubmission, Resubmission};
use crate::ids::{CallIndex, JobNumber, SessionNumber};
use crate::ledger::{Job, JobName, Phase};
use crate::lifecycle::JobLifecycle;
use crate::requirements::JobRequirements;
use crate::sessions::CallRecord;
use crate::timers::Timer;

/// A call that submits one job, or one for each index of a range.
pub(super) struct Submission {
    key: CallKey,
    spec: JobSpec,
    range: Range,
    is_bulk: bool,
}

impl Submission {
    /// A submission of one job.
    pub fn single(key: CallKey, spec: JobSpec) -> Self {
        let range = Range {
            first: 1,
            last: 1,
            step: 1,
        };
        Self {
            key,
            spec,
            range,
            is_bulk: false,
        }
    }

    /// A submission of a job for each index of a range.
    pub const fn bulk(key: CallKey, spec: JobSpec, range: Range) -> Self {
        Self {
            key,
            spec,
            range,
            is_bulk: true,
        }
    }

    /// The call that made the submission, to carry it out later.
    fn into_call(self) -> Call {
        let Self {
            key,
            spec,
            range,
            is_bulk,
        } = self;
        let job = Box::new(spec);
        if is_bulk {
            Call::RunBulkJobs { key, job, range }
        } else {
            Call::RunJob { key, job }
        }
    }
}

/// What is done for each index of a submission.
type SubmissionPlan = Vec<(u64, Resubmission)>;

impl ClientRequests {
    /// Submits jobs. `None` where the submission is deferred until nodes have reported their tasks.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        session: SessionNumber,
        caller: Caller,
        submission: Submission,
        cx: &mut CallContext<'_, '_>,
    ) -> Option<Result<Answer>> {
        let requirements = match check(&submission, cx) {
            Ok(requirements) => Arc::new(requirements),
            Err(error) => return Some(Err(error)),
        };
        let lifecycle = &mut *cx.lifecycle;
        let Some(plan) = plan(lifecycle, now, session, &submission, &requirements) else {
            let deadline = lifecycle.nodes.reconcile_until();
            lifecycle
                .cx
                .set_timer(deadline, Timer::ReconciliationDeadline);
            self.deferred.push(DeferredSubmission {
                caller,
                call: submission.into_call(),
            });
            return None;
        };
        let starts = plan
            .iter()
            .filter(|(_, step)| *step == Resubmission::Start)
            .count();
        let (unfinished, limit) = (
            lifecycle.ledger.unfinished(),
            lifecycle.cx.settings().limits.jobs,
        );
        if starts > 0 && unfinished + starts > limit {
            let text =
                format!("{unfinished} jobs have not ended, and the limit is {limit}; try later");
            return Some(Err(error(ErrorCode::TryLater, text)));
        }
        let Submission { key, range, .. } = &submission;
        add_jobs(lifecycle, now, session, &submission, &requirements, plan)?;
        if let Some(session) = lifecycle.sessions.get_mut(session) {
            session.record(key.call, CallRecord::Submission(*range));
        }
        Some(Ok(submitted(key, *range, lifecycle.queue.warning())))
    }
}

/// Checks a submission and returns what its jobs require.
///
/// # Errors
/// `InvalidArgument` for a range without indices or with too many, and those of [`JobRequirements::new`] and
/// [`check_acceptance`].
fn check(submission: &Submission, cx: &CallContext<'_, '_>) -> Result<JobRequirements> {
    let lifecycle = &*cx.lifecycle;
    let settings = lifecycle.cx.settings();
    let (most, range) = (settings.limits.bulk, submission.range);
    if range.indices(most).is_none() {
        let text = format!(
            "the range from {} to {} by {} must have 1 to {most} indices, and start at 1 or above",
            range.first, range.last, range.step
        );
        return Err(error(ErrorCode::InvalidArgument, text));
    }
    let schema = queries::schema(lifecycle);
    let requirements = JobRequirements::new(submission.spec.clone(), settings, schema.as_ref())?;
    check_acceptance(&requirements, cx)?;
    Ok(requirements)
}

/// Checks that this placer accepts jobs of the class now.
///
/// # Errors
/// `TryLater` where the placer is fenced, the class is closed, or the class needs persistence, which is unavailable.
fn check_acceptance(requirements: &JobRequirements, cx: &CallContext<'_, '_>) -> Result<()> {
    let lifecycle = &*cx.lifecycle;
    let class = lifecycle.cx.class(requirements.class);
    let name = &class.name;
    let try_later = |text: String| Err::<(), Error>(error(ErrorCode::TryLater, text));
    if let Some(why) = cx.configuration.fence_reason() {
        return try_later(format!(
            "this placer accepts no new jobs: {why}; use another placer"
        ));
    }
    if class.closed {
        return try_later(format!(
            "class `{name}` accepts no new jobs: it is not in the active configuration"
        ));
    }
    let queue = &lifecycle.queue;
    if let Some(why) = queue
        .unavailable()
        .filter(|_| !queue.may_offer(class.effect, lifecycle.cx))
    {
        return try_later(format!(
            "class `{name}` must not start twice, and starts can't be recorded now: {why}"
        ));
    }
    Ok(())
}

/// What is done for each index of a submission; `None` where nodes must report their tasks first.
fn plan(
    lifecycle: &JobLifecycle<'_>,
    now: Micros,
    session: SessionNumber,
    submission: &Submission,
    requirements: &JobRequirements,
) -> Option<SubmissionPlan> {
    let key = &submission.key;
    // A submission that was first sent to a former incarnation may have been carried out there.
    let is_repeated = key.sent_to != lifecycle.cx.clock().incarnation();
    let is_complete = lifecycle.ledger.is_complete(key.sent_to);
    let effect = lifecycle.cx.class(requirements.class).effect;
    let may_wait = now < lifecycle.nodes.reconcile_until();
    let indices = submission
        .range
        .indices(lifecycle.cx.settings().limits.bulk)?;
    let step = |index: u64| {
        let place = CallIndex {
            call: key.call,
            index,
        };
        let session = lifecycle.sessions.get(session);
        let existing = session.and_then(|session| session.job(place));
        let prior = match existing {
            Some(_) => PriorSubmission::Held,
            None if lifecycle.all_reconciled(now) => PriorSubmission::NotHeld,
            None => PriorSubmission::Unreported,
        };
        match (is_repeated, existing) {
            (false, None) => Resubmission::Start,
            _ => decide::resubmission(effect, prior, may_wait, is_complete),
        }
    };
    let steps = indices.map(|index| (index, step(index)));
    steps
        .map(|(index, step)| (step != Resubmission::Wait).then_some((index, step)))
        .collect()
}

/// Adds the jobs of a submission that do not exist already, and starts or fails each by the plan.
fn add_jobs(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    session: SessionNumber,
    submission: &Submission,
    requirements: &Arc<JobRequirements>,
    plan: SubmissionPlan,
) -> Option<()> {
    let key = &submission.key;
    let is_repeated = key.sent_to != lifecycle.cx.clock().incarnation();
    let session_name = Arc::clone(lifecycle.sessions.get(session)?.name());
    let class = lifecycle.cx.class(requirements.class).name.clone();
    for (index, step) in plan
        .into_iter()
        .filter(|(_, step)| *step != Resubmission::Existing)
    {
        let name = JobName {
            session: Arc::clone(&session_name),
            call: key.call,
            index,
        };
        let task_key = job_key(
            &class,
            requirements.key.as_deref(),
            &name,
            submission.is_bulk,
        );
        let job = Job::new(name, session, Arc::clone(requirements), task_key, now);
        let job = lifecycle.add_job(Job {
            is_retry: is_repeated,
            ..job
        });
        if step == Resubmission::Start {
            start(lifecycle, now, job);
        } else {
            fail_resubmitted(lifecycle, now, job);
        }
    }
    Some(())
}

/// Starts a new job: puts it on hold where its template says so, delays it until its start time, or requests its
/// placement.
fn start(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: JobNumber) {
    let Some(job) = lifecycle.ledger.job_mut(number) else {
        return;
    };
    let spec = &job.requirements.spec;
    if spec.hold {
        job.phase = Phase::OnHold;
        return;
    }
    let start = spec
        .start
        .map(|at| at.saturating_mul(1_000_000).max(0) as u64);
    let start = start.map(|at| lifecycle.cx.clock().at_unix_us_or_start(at));
    match start.filter(|at| *at > now) {
        Some(at) => {
            (job.phase, job.until) = (Phase::Delayed, at);
            lifecycle.cx.set_timer(at, Timer::RequestPlacement(number));
        }
        None => lifecycle.request_placement(now, number),
    }
}

/// Ends a resubmitted job as failed: a former incarnation may have run it to its end.
fn fail_resubmitted(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: JobNumber) {
    let ending = Ending::aborted(
        "failed: the placer was started anew since it was submitted, no node holds it, and it may have run to its end",
    );
    lifecycle.set_phase(number, Phase::Ending(ending));
    lifecycle.record_outcome(number, Outcome::Failed);
    lifecycle.finish_ending(now, number);
}

/// The task key of a job: all submissions of the same job have the same. It is made of the client's key, with the index
/// of a bulk submission, or of the job's name where the client gave none.
fn job_key(class: &str, key: Option<&str>, name: &JobName, is_bulk: bool) -> TaskKey {
    match key {
        Some(key) if is_bulk => task_key(class, &format!("{key}\n{}", name.index)),
        Some(key) => task_key(class, key),
        None => task_key(class, &format!("\n{name}")),
    }
}

/// The answer to a submission, with the names of its jobs, which follow from the call and the indices.
pub(super) fn submitted(key: &CallKey, range: Range, warning: Option<String>) -> Answer {
    let name = |index| {
        JobName {
            session: key.session.as_str().into(),
            call: key.call,
            index,
        }
        .to_string()
    };
    let jobs = range
        .indices(u64::MAX)
        .map(|indices| indices.map(name).collect())
        .unwrap_or_default();
    Answer::Submitted(Submitted { jobs, warning })
}
