//! `reedring`: a placer, stand-in nodes, a site of both on loopback, and what operators and testers need.
#![forbid(unsafe_code)]

mod check;
mod constraint;
mod log;
mod operator;
mod platform;
mod programs;
mod state;
mod submit;
mod trial;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A scheduler that places long-running work on a cluster's machines.
#[derive(Parser)]
#[command(name = "reedring", version, about)]
struct Cli {
    /// What is logged: off, error, warn, info, debug, trace, or a filter such as `reedring_placer=debug`.
    #[arg(
        long,
        global = true,
        default_value = "warn,reedring_platform=info",
        value_name = "FILTER"
    )]
    log: String,
    /// How it is logged, on standard error.
    #[arg(long, global = true, value_enum, default_value_t = log::Format::Text)]
    log_format: log::Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one placer until it is interrupted.
    Serve(programs::Serve),
    /// Run one placer on the platform, by its protocol, until it is asked to end.
    Platform(platform::Platform),
    /// Run simulated nodes until interrupted.
    #[command(alias = "standin")]
    NodeSimulator(programs::NodeSimulator),
    /// Run a placer and stand-in nodes on loopback until interrupted.
    Local(programs::Local),
    /// Check settings, and the node list that they name.
    Check(check::Check),
    /// Submit a job, wait for it, and exit with its status.
    Submit(submit::Submit),
    /// List the jobs of a placer.
    Jobs(operator::Jobs),
    /// Show one job and what happened to it.
    Job(operator::Job),
    /// List the nodes as a placer sees them.
    Nodes(operator::Nodes),
    /// Keep new work from a node.
    Drain(operator::Drain),
    /// Let new work come to a node again.
    Undrain(operator::Undrain),
    /// Check and explain constraints.
    Constraint(constraint::ConstraintArgs),
    /// Play a script of faults against placers and nodes, and audit it.
    #[command(alias = "bad-day")]
    FaultScenario(trial::FaultScenario),
    /// Judge the five rules from a trace.
    Audit(trial::Audit),
    /// Measure the whole path on loopback.
    Bench(trial::Bench),
    /// Kill a placer process again and again under load, and audit it.
    #[command(alias = "kills")]
    CrashTest(trial::CrashTest),
    /// Look at a placer's state folder, or move it, while no placer runs on it.
    State(state::State),
}

/// What went wrong, in words for the user.
type Failure = Box<dyn std::error::Error>;

/// Runs the program with the arguments of this process; its exit code.
pub fn main() -> ExitCode {
    run(Cli::parse())
}

/// Runs it with these arguments, the first of which is the name that it is called by.
pub fn main_with(args: impl IntoIterator<Item = std::ffi::OsString>) -> ExitCode {
    run(Cli::parse_from(args))
}

fn run(cli: Cli) -> ExitCode {
    if let Err(error) = log::start(&cli.log, cli.log_format) {
        eprintln!("reedring: --log: {error}");
        return ExitCode::from(2);
    }
    let result = match cli.command {
        Command::Serve(serve) => serve.run(),
        Command::Platform(platform) => platform.run(),
        Command::NodeSimulator(simulator) => simulator.run(),
        Command::Local(local) => local.run(),
        Command::Check(check) => check.run(),
        Command::Submit(submit) => submit.run(),
        Command::Jobs(jobs) => jobs.run(),
        Command::Job(job) => job.run(),
        Command::Nodes(nodes) => nodes.run(),
        Command::Drain(drain) => drain.run(),
        Command::Undrain(undrain) => undrain.run(),
        Command::Constraint(constraint) => constraint.run(),
        Command::FaultScenario(scenario) => scenario.run(),
        Command::Audit(audit) => audit.run(),
        Command::Bench(bench) => bench.run(),
        Command::CrashTest(test) => test.run(),
        Command::State(state) => state.run(),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("reedring: {error}");
            ExitCode::from(2)
        }
    }
}
