//! Bad days, audits and measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use reedring_audit::{Frame, Report, audit};
use reedring_local_cluster::badday::{DEFAULT, Script};
use reedring_local_cluster::kills::Kills;
use reedring_local_cluster::load::{self, Size};

use crate::Failure;
use crate::programs::read;

/// Play a script of troubles and audit it.
#[derive(Args)]
pub struct FaultScenario {
    /// The script; the built-in day unless told.
    script: Option<PathBuf>,
    /// Seed, in place of the script's own.
    #[arg(long)]
    seed: Option<u64>,
    /// Where to keep the trace.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
}

/// Kill a placer process again and again under load, and audit what nodes and clients saw.
#[derive(Args)]
pub struct CrashTest {
    /// Kills.
    #[arg(long, default_value_t = 1_000)]
    count: u32,
    /// Milliseconds that a placer lives at most.
    #[arg(long, default_value_t = 150)]
    life: u32,
    /// Seed of what is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Judge the five rules from a trace.
#[derive(Args)]
pub struct Audit {
    /// The traces: of a site in one process, or of each of its processes.
    #[arg(required = true)]
    traces: Vec<PathBuf>,
    /// Print the frames that each breach names.
    #[arg(long)]
    show: bool,
}

/// Measure the whole path on loopback.
#[derive(Args)]
pub struct Bench {
    /// Jobs in the bulk run that must end with one outcome each.
    #[arg(long, default_value_t = 10_000)]
    jobs: u64,
    /// Numbers of nodes to measure with.
    #[arg(long, value_delimiter = ',', default_values_t = [8, 100])]
    nodes: Vec<usize>,
    /// Seconds at each load.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Live jobs at which a placer's memory is measured.
    #[arg(long, default_value_t = 100_000)]
    live: u64,
    /// Measure restarts and the state folder in place of the path, with so many seeds each.
    #[arg(long, value_name = "SEEDS", num_args = 0..=1, default_missing_value = "5")]
    state: Option<u64>,
}

fn tell(report: &Report) -> ExitCode {
    println!(
        "jobs: {} taken, {} placed, {} refused, {} failed, {} terminated, {} held by a placer that was killed",
        report.taken,
        report.placed,
        report.refused,
        report.failed,
        report.terminated,
        report.excused
    );
    println!(
        "offers: {}, of them {} to cold nodes; {} frames can't be read",
        report.offers, report.cold_offers, report.unreadable
    );
    report.plans.iter().for_each(|line| println!("{line}"));
    for breach in &report.breaches {
        println!(
            "broken rule {}: {}; frames {:?}",
            breach.rule as u8, breach.text, breach.frames
        );
    }
    if report.breaches.is_empty() {
        println!("audit: clean");
        ExitCode::SUCCESS
    } else {
        println!("audit: {} broken rules", report.breaches.len());
        ExitCode::FAILURE
    }
}

impl FaultScenario {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let script = match &self.script {
            Some(path) => Script::parse(&read(path)?, &path.display().to_string())?,
            None => Script::parse(DEFAULT, "built-in")?,
        };
        let day = script.play(self.seed, self.trace.as_deref())?;
        println!("{} frames in {:.1} s", day.frames, day.took.as_secs_f64());
        println!(
            "owners: {} submitted, told {:?}, turned away {:?}",
            day.tally.submitted, day.tally.ended, day.tally.denied
        );
        day.tally
            .left
            .iter()
            .for_each(|job| println!("not over: {job}"));
        Ok(tell(&day.report))
    }
}

fn show(frame: &Frame) {
    let Frame {
        number,
        time_us,
        event,
        place,
        peer,
        link,
        bytes,
    } = frame;
    let what = match reedring_node_protocol::decode(bytes) {
        Ok(message) => format!("{message:?}"),
        Err(_) => String::from_utf8_lossy(bytes).replace("\r\n", " "),
    };
    let what: String = what.chars().take(600).collect();
    println!(
        "  {number} {:.6} {event:?} {place} {peer} {link}: {what}",
        *time_us as f64 / 1e6
    );
}

impl Audit {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let mut all = Vec::new();
        for trace in &self.traces {
            let wrong = |error: &dyn std::fmt::Display| format!("{}: {error}", trace.display());
            let bytes = std::fs::read(trace).map_err(|error| wrong(&error))?;
            all.push(reedring_audit::read(&bytes).map_err(|error| wrong(&error))?);
        }
        let frames = reedring_audit::merge(all);
        let report = audit(&frames);
        if self.show {
            for breach in &report.breaches {
                println!("rule {}: {}", breach.rule as u8, breach.text);
                breach
                    .frames
                    .iter()
                    .filter_map(|number| frames.get(*number))
                    .for_each(show);
            }
        }
        Ok(tell(&report))
    }
}

impl Bench {
    pub fn run(self) -> Result<ExitCode, Failure> {
        if let Some(seeds) = self.state {
            reedring_local_cluster::restart::bench(
                seeds.max(1),
                self.live,
                &mut std::io::stdout(),
            )?;
            return Ok(ExitCode::SUCCESS);
        }
        let program = std::env::current_exe()?;
        let size = Size {
            jobs: self.jobs,
            nodes: self.nodes,
            seconds: self.seconds,
            live: self.live,
            program,
        };
        let clean = load::bench(&size, &mut std::io::stdout())?;
        Ok(if clean {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}

impl CrashTest {
    pub fn run(self) -> Result<ExitCode, Failure> {
        let program = std::env::current_exe()?;
        let kills = Kills {
            program,
            count: self.count,
            life_ms: self.life,
            seed: self.seed,
        };
        let found = kills.play()?;
        println!(
            "{} kills, {} jobs acknowledged, outcomes {:?}",
            found.kills, found.taken, found.outcomes
        );
        let mut starts = found.start_ms.clone();
        starts.sort_by(f64::total_cmp);
        println!(
            "from start to contact: median {:.1} ms, at most {:.1} ms",
            starts[starts.len() / 2],
            starts[starts.len() - 1]
        );
        println!("ends told again, and passed by: {}", found.told_again);
        found
            .untold
            .iter()
            .for_each(|job| println!("no outcome: {job}"));
        found
            .damaged
            .iter()
            .for_each(|what| println!("damaged: {what}"));
        found
            .breaches
            .iter()
            .for_each(|breach| println!("broken rule {}: {}", breach.rule as u8, breach.text));
        if found.is_clean() {
            println!("kills: clean");
            return Ok(ExitCode::SUCCESS);
        }
        Ok(ExitCode::FAILURE)
    }
}
