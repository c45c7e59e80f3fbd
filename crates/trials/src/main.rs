//! Plays trials. The processes of a trial are this program too: `program` runs `reedring` with what follows.
#![forbid(unsafe_code)]

use std::path::Path;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use reedring_trials::versions::Round;

/// Trials of whole programs over loopback sockets.
#[derive(Parser)]
#[command(name = "reedring-trials")]
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

fn main() -> ExitCode {
    let mut arguments = std::env::args_os();
    let name = arguments.next();
    if std::env::args_os().nth(1).is_some_and(|word| word == "program") {
        return reedring_cli::main_with(name.into_iter().chain(arguments.skip(1)));
    }
    let trial = Cli::parse().trial;
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("reedring-trials: {error}");
            return ExitCode::from(2);
        }
    };
    match trial {
        Trial::Versions(rounds) => versions(&program, &rounds),
        Trial::Control(rounds) => control(&program, &rounds),
    }
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
        let Self { clean, jobs, settled } = &mut self;
        settled.sort_by(f64::total_cmp);
        let at = |part: usize| settled.get((settled.len() * part / 100).min(settled.len().saturating_sub(1)));
        let (median, most) = (at(50).copied().unwrap_or(0.0), at(100).copied().unwrap_or(0.0));
        println!(
            "{clean} of {rounds} rounds clean, from seed {seed}: {jobs} jobs; in force after the last fault: median \
             {median:.2} s, at most {most:.2} s"
        );
        if clean == rounds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn versions(program: &Path, rounds: &Rounds) -> ExitCode {
    let mut sums = Sums::default();
    for seed in rounds.seed..rounds.seed + rounds.rounds {
        match reedring_trials::versions::round(program, seed) {
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
        match reedring_trials::control::round(program, seed) {
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
