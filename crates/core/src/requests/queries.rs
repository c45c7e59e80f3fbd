//! Queries of clients and operators: jobs, nodes, constraints and counters.

use std::sync::Arc;

use reedring::Micros;
use reedring_constraint::{ConstraintError, OwnService, Schema};
use reedring_drmaa::rpc::{Answer, JobLine, JobsPage, NodeLine, Stats};
use reedring_drmaa::{ErrorCode, Result};

use super::{error, find_job};
use crate::configuration::Configuration;
use crate::constraints::{ConstrainedJob, JobConstraint};
use crate::ids::{JobNumber, NodeNumber, SessionNumber};
use crate::ledger::Job;
use crate::lifecycle::JobLifecycle;
use crate::nodes::{Node, NodeLoad};

/// The most jobs in one page of a list.
const MAX_PAGE: usize = 1_000;

/// The DRMAA state of a job.
pub(super) fn job_state(
    lifecycle: &JobLifecycle<'_>,
    session: SessionNumber,
    name: &str,
) -> Result<Answer> {
    let job = lifecycle.ledger.job(find_job(lifecycle, session, name)?);
    let state = job.map(Job::state);
    state
        .map(Answer::State)
        .ok_or_else(|| error(ErrorCode::InvalidJob, "the job does not exist any more"))
}

/// A job as a line of a list.
fn job_line(lifecycle: &JobLifecycle<'_>, job: &Job, now: Micros) -> JobLine {
    let node = job
        .history
        .last()
        .map(|record| lifecycle.nodes.name(record.node));
    job.line(lifecycle.cx.settings(), node.as_deref(), now)
}

/// A page of at most `limit` jobs by their numbers, from the one after the number `after` on.
pub(super) fn jobs_page(
    lifecycle: &JobLifecycle<'_>,
    now: Micros,
    after: Option<u64>,
    limit: usize,
) -> JobsPage {
    let limit = limit.clamp(1, MAX_PAGE);
    let first = JobNumber(after.map_or(0, |after| after.saturating_add(1)));
    let page: Vec<(JobNumber, &Job)> = lifecycle.ledger.jobs_from(first).take(limit + 1).collect();
    let next = (page.len() > limit).then(|| page[limit - 1].0.0);
    let jobs = page
        .iter()
        .take(limit)
        .map(|(_, job)| job_line(lifecycle, job, now))
        .collect();
    JobsPage { jobs, next }
}

/// One job with its attempts, the evaluation of its constraint, and the clauses that are violated.
pub(super) fn show_job(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    name: &str,
) -> Result<Answer> {
    let number = lifecycle.job_named(name);
    let found = number.and_then(|number| Some((number, lifecycle.ledger.job(number)?)));
    let (number, job) = found.ok_or_else(|| {
        let text = format!("`{name}` is not a job of this placer, or its end was returned already");
        error(ErrorCode::InvalidJob, text)
    })?;
    let line = job_line(lifecycle, job, now);
    let mut detail = job.detail(line, |node| lifecycle.nodes.name(node));
    if let Some(constrained) = job.requirements.constrained_job() {
        detail
            .stands
            .push(lifecycle.constraints.explain(&constrained).to_string());
        let violated = lifecycle.constraints.violated(number).into_iter();
        detail.stands.extend(violated.map(|(text, since)| {
            let violated_s = now.saturating_sub(since) as f64 / 1e6;
            format!("`{text}` does not hold for {violated_s:.1} s")
        }));
    }
    Ok(Answer::Job(Box::new(detail)))
}

/// The names and types that constraints may use; `None` before the first node list.
pub(super) fn schema(lifecycle: &JobLifecycle<'_>) -> Option<Schema> {
    let kinds = lifecycle
        .cx
        .settings()
        .kinds
        .iter()
        .map(|kind| kind.name.clone())
        .collect();
    let constraints = &lifecycle.constraints;
    constraints
        .has_nodes()
        .then(|| Schema::of(kinds, constraints.fleet()))
}

/// How a constraint would be evaluated now.
pub(super) fn explain(lifecycle: &mut JobLifecycle<'_>, text: &str) -> Result<Answer> {
    let invalid =
        |mistake: ConstraintError| error(ErrorCode::InvalidAttributeValue, mistake.to_string());
    let constraint = lifecycle.cx.settings().constraint(text).map_err(invalid)?;
    schema(lifecycle)
        .map_or(Ok(()), |schema| schema.check(&constraint, text))
        .map_err(invalid)?;
    let own = OwnService::new("", "");
    let constraint = Arc::new(JobConstraint::new(constraint, &own));
    let job = ConstrainedJob {
        constraint,
        own,
        topics: Arc::default(),
    };
    Ok(Answer::Text(
        lifecycle.constraints.explain(&job).to_string(),
    ))
}

/// The placer's counters.
pub(super) fn stats(lifecycle: &JobLifecycle<'_>, module_ns: u64) -> Answer {
    let stats = Stats {
        live: lifecycle.ledger.unfinished() as u64,
        jobs: lifecycle.ledger.job_count() as u64,
        module_us: module_ns / 1_000,
        ..lifecycle.cx.stats.clone()
    };
    Answer::Stats(Box::new(stats))
}

/// All nodes, except those without attempts that only the ledger of a former incarnation names.
pub(super) fn node_lines(
    lifecycle: &JobLifecycle<'_>,
    configuration: &Configuration,
) -> Vec<NodeLine> {
    let is_known = |(_, node): &(NodeNumber, &Node)| !node.is_restored() || node.has_attempts();
    let line = |(number, node): (NodeNumber, &Node)| {
        // The last report of a node that is not connected may be outdated.
        let connected = Some(number).filter(|_| node.is_up());
        let plan =
            connected.and_then(|number| configuration.describe_node(number, lifecycle.nodes));
        let kind = lifecycle.nodes.kind_name(node.entry().kind);
        node.line(node_load(lifecycle, node), kind, plan)
    };
    lifecycle.nodes.iter().filter(is_known).map(line).collect()
}

/// The number of unanswered offers to a node, and of its accepted tasks with the cores and memory that they reserve.
fn node_load(lifecycle: &JobLifecycle<'_>, node: &Node) -> NodeLoad {
    let mut load = NodeLoad::default();
    for id in node.attempts() {
        let Some(attempt) = lifecycle.ledger.attempt(id) else {
            continue;
        };
        if !attempt.accepted {
            load.waiting += 1;
        } else if let Some(job) = lifecycle.ledger.job(attempt.job) {
            load.held += 1;
            load.cores += job.requirements.cores;
            load.memory += job.requirements.memory;
        }
    }
    load
}
