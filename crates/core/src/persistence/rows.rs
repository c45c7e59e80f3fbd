//! Converts jobs, attempts and requirements into the rows that are persisted.

use reedring::{AttemptId, Micros};
use reedring_state as state;

use crate::context::Context;
use crate::decide::AttemptState;
use crate::ledger::{Attempt, Job, Ledger, Phase};
use crate::nodes::NodeRegistry;
use crate::requirements::JobRequirements;

/// The row of the requirements that all jobs of a submission share.
pub(super) fn requirements_row(requirements: &JobRequirements, cx: &Context) -> state::JobTemplate {
    state::JobTemplate {
        template_json: serde_json::to_string(&requirements.spec).unwrap_or_default(),
        class: cx.class(requirements.class).name.clone(),
        tenant: cx.settings().tenants[usize::from(requirements.tenant)].clone(),
        service: requirements.service.clone(),
        cores: requirements.cores,
        memory: requirements.memory,
        run_time_us: requirements.expected_run_time_us,
    }
}

/// The row of a job with its open attempts.
pub(super) fn job_row(
    job: &Job,
    ledger: &Ledger,
    nodes: &NodeRegistry,
    cx: &Context,
) -> state::Job {
    let unix = |at: Micros| cx.clock().unix_us(at);
    let attempt = |id: &AttemptId| Some(attempt_row(ledger.attempt(*id)?, nodes, cx));
    state::Job {
        session: job.session.0,
        call: job.name.call,
        index: job.name.index,
        idempotency_key: job.key.0,
        phase: phase_row(job, cx),
        outcome: job.outcome,
        lost_before: job.is_retry,
        may_have_run: job.may_have_run,
        submitted_at: unix(job.submitted),
        placed_at: job.placed.map(unix),
        started_at: job.started.map(unix),
        ended_at: job.ended.map(unix),
        attempt_count: job.attempt_count,
        last_node: job.history.last().map(|record| nodes.name(record.node)),
        open_attempts: job.attempts.iter().filter_map(attempt).collect(),
        violated_clauses: job.violated.clone(),
    }
}

fn phase_row(job: &Job, cx: &Context) -> state::Phase {
    let until = cx.clock().unix_us(job.until);
    match &job.phase {
        Phase::OnHold => state::Phase::Held,
        Phase::Delayed if job.recovering => state::Phase::Pending { deadline: until },
        Phase::Delayed => state::Phase::Delayed { until },
        Phase::Requested(_) => state::Phase::Pending { deadline: until },
        Phase::Placed(_) => state::Phase::Placed,
        Phase::Running(_) => state::Phase::Running,
        Phase::Suspended(_) => state::Phase::Suspended,
        Phase::Ending(ending) => state::Phase::Ending(ending.clone()),
        Phase::Ended(ending) => state::Phase::Ended(ending.clone()),
    }
}

fn attempt_row(attempt: &Attempt, nodes: &NodeRegistry, cx: &Context) -> state::Attempt {
    state::Attempt {
        incarnation: attempt.wire.incarnation,
        request: attempt.wire.request,
        number: attempt.wire.number,
        node: nodes.name(attempt.node),
        node_incarnation: attempt.node_incarnation,
        sent_at: cx.clock().unix_us(attempt.sent),
        state: match attempt.state {
            AttemptState::Offered => state::AttemptState::Offered,
            AttemptState::Accepted => state::AttemptState::Accepted,
            AttemptState::Stopping => state::AttemptState::Stopping,
        },
        accepted: attempt.accepted,
    }
}
