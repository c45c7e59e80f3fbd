//! Plays trials. The processes of a trial are this program too: `program` runs `reedring` with what follows.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

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
    let Trial::Versions(Rounds { seed, rounds }) = Cli::parse().trial;
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("reedring-trials: {error}");
            return ExitCode::from(2);
        }
    };
    let mut clean = 0;
    for seed in seed..seed + rounds {
        match reedring_trials::versions::round(&program, seed) {
            Ok(round) => {
                println!("{round}");
                clean += u64::from(round.is_clean());
            }
            Err(error) => println!("seed {seed}: {error}"),
        }
    }
    println!("{clean} of {rounds} rounds clean, from seed {seed}");
    if clean == rounds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
