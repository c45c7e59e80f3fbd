//! Plays trials. The processes of a trial are this program too: `program` runs `reedring` with what follows.
#![forbid(unsafe_code)]

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use reedring_system_tests::scale::slopes::{SlopeOptions, slopes};
use reedring_system_tests::scale::{self, ScaleError, ScaleOptions};
use reedring_system_tests::versions::Round;

/// Trials of whole programs over loopback sockets.
#[derive(Parser)]
#[command(name = "reedring-system-tests")]
struct Cli {
    #[command(subcommand)]
    trial: Trial,
}

#[derive(Subcommand)]
enum Trial {
    /// Changes of the plan under faults.
    Versions(Rounds),
    /// Changes of the plan while control machines are killed, a minority at a time.
    Control(Rounds),
    /// A cluster of many nodes and several placers on this machine: what it costs, counted.
    Scale(Box<Scale>),
    /// Nodes of a scale run, many in this process.
    #[command(hide = true)]
    HollowNodes {
        /// The nodes.
        #[arg(long)]
        config: PathBuf,
    },
    /// Placers of a scale run, many in this process.
    #[command(hide = true)]
    HollowPlacers {
        /// Settings of each placer.
        #[arg(long)]
        config: Vec<PathBuf>,
    },
}

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
struct Scale {
    #[command(subcommand)]
    several: Option<ScaleRuns>,
    #[command(flatten)]
    one: ScaleOptions,
}

#[derive(Subcommand)]
enum ScaleRuns {
    /// Runs that differ on one axis, lines through them, and one more run that the lines foretell.
    Slopes(Box<SlopeOptions>),
}

#[derive(Args)]
struct Rounds {
    /// Seed of the first round; each further one has the next.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rounds.
    #[arg(long, default_value_t = 1)]
    rounds: u64,
}

/// Exit code of a trial that could not be played.
const CANNOT_PLAY: u8 = 2;

fn failed(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("reedring-system-tests: {error}");
    ExitCode::from(CANNOT_PLAY)
}

/// Runs `reedring` in this process, where the first argument asks for that.
fn program(arguments: &[OsString]) -> Option<ExitCode> {
    let word = arguments.get(1)?;
    if word == "child-program" {
        if let Err(error) = scale::lifeline::die_with_parent() {
            return Some(failed(error));
        }
    } else if word != "program" {
        return None;
    }
    let name = arguments.iter().take(1);
    Some(reedring_cli::main_with(
        name.chain(arguments.iter().skip(2)).cloned(),
    ))
}

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().collect();
    if let Some(code) = program(&arguments) {
        return code;
    }
    match Cli::parse().trial {
        Trial::Versions(rounds) => with_own_program(|program| versions(program, &rounds)),
        Trial::Control(rounds) => with_own_program(|program| control(program, &rounds)),
        Trial::Scale(options) => scale_run(&options),
        Trial::HollowNodes { config } => ended(scale::hollow::nodes(&config)),
        Trial::HollowPlacers { config } => ended(scale::hollow::placers(&config)),
    }
}

fn ended(result: Result<(), scale::hollow::Failure>) -> ExitCode {
    result.map_or_else(failed, |()| ExitCode::SUCCESS)
}

fn scale_run(Scale { several, one }: &Scale) -> ExitCode {
    let played = || -> Result<(), ScaleError> {
        let (program, mut out) = (std::env::current_exe()?, std::io::stdout());
        if let Some(ScaleRuns::Slopes(options)) = several {
            return slopes(&program, options, &mut out);
        }
        let report = scale::play(&program, one, &mut out)?;
        print!("{}", report.table());
        one.json
            .as_deref()
            .map_or(Ok(()), |path| report.add_to(path))
    };
    played().map_or_else(failed, |()| ExitCode::SUCCESS)
}

/// Plays with this very program as the processes of the trial.
fn with_own_program(play: impl FnOnce(&Path) -> ExitCode) -> ExitCode {
    std::env::current_exe().map_or_else(failed, |program| play(&program))
}

/// What rounds came to, taken together.
#[derive(Default)]
struct Sums {
    clean: u64,
    jobs: usize,
    settled: Vec<f64>,
}

impl Sums {
    fn add(&mut self, round: &Round) {
        self.clean += u64::from(round.is_clean());
        self.jobs += round.outcomes.taken;
        self.settled.push(round.settled.as_secs_f64());
    }

    fn end(mut self, Rounds { seed, rounds }: &Rounds) -> ExitCode {
        let Self {
            clean,
            jobs,
            settled,
        } = &mut self;
        settled.sort_by(f64::total_cmp);
        let at = |part: usize| {
            settled.get((settled.len() * part / 100).min(settled.len().saturating_sub(1)))
        };
        let (median, most) = (
            at(50).copied().unwrap_or(0.0),
            at(100).copied().unwrap_or(0.0),
        );
        println!(
            "{clean} of {rounds} rounds clean, from seed {seed}: {jobs} jobs; in force after the last fault: median \
             {median:.2} s, at most {most:.2} s"
        );
        if clean == rounds {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

fn versions(program: &Path, rounds: &Rounds) -> ExitCode {
    let mut sums = Sums::default();
    for seed in rounds.seed..rounds.seed + rounds.rounds {
        match reedring_system_tests::versions::round(program, seed) {
            Ok(round) => {
                println!("{round}");
                sums.add(&round);
            }
            Err(error) => println!("seed {seed}: {error}"),
        }
    }
    sums.end(rounds)
}

fn control(program: &Path, rounds: &Rounds) -> ExitCode {
    let (mut sums, mut kills) = (Sums::default(), 0);
    for seed in rounds.seed..rounds.seed + rounds.rounds {
        match reedring_system_tests::control::round(program, seed) {
            Ok(played) => {
                println!("{played}");
                kills += played.kills;
                sums.add(&played.round);
            }
            Err(error) => println!("seed {seed}: {error}"),
        }
    }
    println!("{kills} control machines killed");
    sums.end(rounds)
}
