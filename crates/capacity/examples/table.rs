//! Prints the table of `docs/CAPACITY.md` for a run file:
//! `cargo run -p reedring-capacity --example table -- docs/capacity/runs.json`.

use reedring_capacity::measurement::RunFile;
use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: table RUNS.json");
        return ExitCode::FAILURE;
    };
    match table(&path) {
        Ok(table) => {
            print!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{path}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn table(path: &str) -> Result<String, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path)?;
    let runs = RunFile::from_json(&text)?;
    Ok(reedring_capacity::page::render(&runs))
}
