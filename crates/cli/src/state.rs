//! `reedring state`: a placer's state folder, looked at and moved while no placer runs on it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use jiff::Timestamp;
use reedring_state::{BeliefError, Disk, FolderContents, Phase, StateExport};

use crate::Failure;
use crate::programs::read;

/// Look at a state folder, or move it.
#[derive(Args)]
pub struct State {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Say whose state it is and what it holds.
    Show {
        /// The folder.
        dir: PathBuf,
    },
    /// Check every page, row and file; the exit status is 1 where something is wrong.
    Check {
        /// The folder.
        dir: PathBuf,
    },
    /// Write all of it as JSON to standard output.
    Export {
        /// The folder.
        dir: PathBuf,
    },
    /// Make a state folder of an export.
    Import {
        /// The folder; it must hold no ledger.
        dir: PathBuf,
        /// The export.
        file: PathBuf,
    },
}

fn open(dir: &Path) -> Result<FolderContents, Failure> {
    if !dir.is_dir() {
        return Err(format!("{}: there is no such folder", dir.display()).into());
    }
    Ok(StateExport::read(Disk::lock(dir)?)?)
}

fn time(unix_us: u64) -> String {
    Timestamp::from_microsecond(unix_us as i64)
        .map_or_else(|_| unix_us.to_string(), |at| at.to_string())
}

const fn word(phase: &Phase) -> &'static str {
    match phase {
        Phase::Held => "held",
        Phase::Delayed { .. } => "delayed",
        Phase::Pending { .. } => "being placed",
        Phase::Placed => "placed",
        Phase::Running => "running",
        Phase::Suspended => "suspended",
        Phase::Ending(_) => "being ended",
        Phase::Ended(_) => "over, not waited for yet",
    }
}

fn show(export: &StateExport, passed_by: &[BeliefError]) {
    let ledger = &export.ledger;
    println!("placer {}, format {}", export.placer, export.format);
    println!(
        "last kept: {}, in life {} of {}",
        time(ledger.last_write_at()),
        ledger.last_incarnation(),
        ledger.incarnations.len()
    );
    if ledger.incomplete {
        println!("promises of the last life are missing: its folder could not be written");
    }
    println!("sessions: {}", ledger.sessions.len());
    let mut phases: BTreeMap<&str, usize> = BTreeMap::new();
    ledger
        .jobs
        .values()
        .for_each(|job| *phases.entry(word(&job.phase)).or_default() += 1);
    println!("jobs: {}", ledger.jobs.len());
    phases
        .iter()
        .for_each(|(phase, count)| println!("  {phase}: {count}"));
    let open: usize = ledger
        .jobs
        .values()
        .map(|job| job.open_attempts.len())
        .sum();
    println!("attempts whose end is not known: {open}");
    ledger
        .draining_nodes
        .iter()
        .for_each(|node| println!("drained by an operator: {node}"));
    match &export.beliefs {
        Some(learned) => println!(
            "learned of {} nodes, kept {}",
            learned.nodes.len(),
            time(learned.saved_at)
        ),
        None => println!("learned: nothing"),
    }
    passed_by
        .iter()
        .for_each(|error| println!("passed by: {error}"));
}

impl State {
    pub fn run(self) -> Result<ExitCode, Failure> {
        match self.what {
            What::Show { dir } => {
                let FolderContents {
                    export,
                    skipped_belief_files: passed_by,
                } = open(&dir)?;
                show(&export, &passed_by);
            }
            What::Check { dir } => {
                let FolderContents {
                    export,
                    skipped_belief_files: passed_by,
                } = open(&dir)?;
                let wrong = export.ledger.violations();
                wrong.iter().for_each(|wrong| println!("ledger: {wrong}"));
                passed_by
                    .iter()
                    .for_each(|error| println!("learned: {error}"));
                if !(wrong.is_empty() && passed_by.is_empty()) {
                    return Ok(ExitCode::FAILURE);
                }
                println!(
                    "{}: {} jobs, all pages and rows are whole",
                    dir.display(),
                    export.ledger.jobs.len()
                );
            }
            What::Export { dir } => {
                serde_json::to_writer_pretty(std::io::stdout().lock(), &open(&dir)?.export)?;
                println!();
            }
            What::Import { dir, file } => {
                let text = read(&file)?;
                let export: StateExport = serde_json::from_str(&text)
                    .map_err(|error| format!("{}: {error}", file.display()))?;
                export.write(Disk::lock(&dir)?)?;
                println!(
                    "{}: {} jobs of placer {}",
                    dir.display(),
                    export.ledger.jobs.len(),
                    export.placer
                );
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
