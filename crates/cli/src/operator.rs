//! What operators ask and do.

use std::process::ExitCode;

use clap::Args;
use reedring_client::Operator;
use reedring_drmaa::rpc::{JobLine, NodeLine};

use crate::Failure;
use crate::submit::Place;

/// Lines asked for at a time.
const PAGE: usize = 1_000;

/// List the jobs of a placer.
#[derive(Args)]
pub struct Jobs {
    #[command(flatten)]
    place: Place,
    /// Only jobs that are not over.
    #[arg(long)]
    live: bool,
}

/// Show one job.
#[derive(Args)]
pub struct Job {
    #[command(flatten)]
    place: Place,
    /// The job's id.
    job: String,
}

/// List the nodes.
#[derive(Args)]
pub struct Nodes {
    #[command(flatten)]
    place: Place,
}

/// Keep new work from a node.
#[derive(Args)]
pub struct Drain {
    #[command(flatten)]
    place: Place,
    /// The node.
    node: String,
}

/// Let new work come to a node again.
#[derive(Args)]
pub struct Undrain {
    #[command(flatten)]
    place: Place,
    /// The node.
    node: String,
}

impl Jobs {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let mut operator = Operator::connect(&self.place.contact)?;
        println!(
            "{:<44} {:<14} {:<10} {:<12} {:<10} {:>9}",
            "job", "state", "outcome", "class", "node", "age s"
        );
        let mut after = None;
        loop {
            let page = operator.jobs(after, PAGE)?;
            for job in page
                .jobs
                .iter()
                .filter(|job| !self.live || !job.state.is_final())
            {
                println!("{}", line(job));
            }
            after = page.next;
            if after.is_none() {
                return Ok(ExitCode::SUCCESS);
            }
        }
    }
}

fn line(job: &JobLine) -> String {
    let JobLine {
        job: name,
        state,
        outcome,
        class,
        node,
        age_ms,
        ..
    } = job;
    let state = format!("{state:?}");
    let (outcome, node) = (
        outcome.as_deref().unwrap_or("-"),
        node.as_deref().unwrap_or("-"),
    );
    let age = *age_ms as f64 / 1e3;
    format!("{name:<44} {state:<14} {outcome:<10} {class:<12} {node:<10} {age:>9.1}")
}

impl Job {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let job = Operator::connect(&self.place.contact)?.job(&self.job)?;
        let line = &job.line;
        println!("job      {}", line.job);
        println!("session  {}", job.session);
        println!("state    {:?}", line.state);
        println!("outcome  {}", line.outcome.as_deref().unwrap_or("none yet"));
        println!(
            "class    {}, tenant {}, service {}",
            line.class, line.tenant, line.service
        );
        println!("asks     {} cores, {} memory", job.cores, job.memory);
        job.constraint
            .iter()
            .for_each(|text| println!("bound    {text}"));
        job.stands
            .iter()
            .for_each(|line| println!("         {line}"));
        job.reason
            .iter()
            .for_each(|reason| println!("reason   {reason}"));
        for (n, attempt) in job.attempts.iter().enumerate() {
            println!(
                "attempt {n}: {} after {} ms: {}",
                attempt.node, attempt.sent_ms, attempt.fate
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Nodes {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let nodes = Operator::connect(&self.place.contact)?.nodes()?;
        println!(
            "{:<12} {:<10} {:<8} {:<8} {:<22} {:>5} {:>5} {:>8} {:>8}  refusals",
            "node", "kind", "rack", "hall", "state", "waits", "holds", "cores", "memory"
        );
        for node in nodes {
            let NodeLine {
                node: name,
                kind,
                rack,
                hall,
                listed,
                waiting,
                held,
                cores,
                memory,
                ..
            } = &node;
            let hand = if node.drained { ", by hand" } else { "" };
            let link = if node.linked { "" } else { ", no link" };
            let state = format!("{listed}{hand}{link}");
            let refusals: Vec<String> = node
                .refusals
                .iter()
                .map(|(why, n)| format!("{why} {n}"))
                .collect();
            println!(
                "{name:<12} {kind:<10} {rack:<8} {hall:<8} {state:<22} {waiting:>5} {held:>5} {cores:>8.1} \
                 {memory:>8.1}  {}{}",
                refusals.join(", "),
                node.plan
                    .as_ref()
                    .map(|plan| format!("  plan {plan}"))
                    .unwrap_or_default()
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn drain(place: &Place, node: &str, drain: bool) -> Result<ExitCode, Failure> {
    Operator::connect(&place.contact)?.drain(node, drain)?;
    println!(
        "{node}: {}",
        if drain {
            "drained"
        } else {
            "no longer drained"
        }
    );
    Ok(ExitCode::SUCCESS)
}

impl Drain {
    pub fn run(self) -> Result<ExitCode, Failure> {
        drain(&self.place, &self.node, true)
    }
}

impl Undrain {
    pub fn run(self) -> Result<ExitCode, Failure> {
        drain(&self.place, &self.node, false)
    }
}
