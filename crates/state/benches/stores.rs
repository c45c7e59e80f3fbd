//! Compares the ledger with an append-only log on the same disk: `cargo bench -p reedring-state`.
//!
//! The log does the minimum: it appends and syncs one frame with a checksum per batch, without snapshots or compaction.
//! Its times are therefore a lower bound for a log in place of the embedded database.

use std::fs::File;
use std::io::Write;
use std::time::Instant;

use reedring_state::{Batch, BatchSequence, Change, Disk, Job, LedgerWriter, Phase};

fn job(index: u64) -> Box<Job> {
    Box::new(Job {
        session: 1,
        call: 1,
        index,
        idempotency_key: index,
        phase: Phase::Pending {
            deadline: 1_796_000_000_000_000,
        },
        outcome: None,
        lost_before: false,
        may_have_run: false,
        submitted_at: 1_796_000_000_000_000,
        placed_at: None,
        started_at: None,
        ended_at: None,
        attempt_count: 1,
        last_node: Some("node-17".to_owned()),
        open_attempts: Vec::new(),
        violated_clauses: None,
    })
}

fn main() {
    println!(
        "{} cores",
        std::thread::available_parallelism().map_or(1, usize::from)
    );
    println!(
        "{:>10} {:>12} {:>16} {:>16} {:>7}",
        "rows", "", "store", "log", "ratio"
    );
    for rows in [1_u64, 64, 512, 4_096] {
        let commits = if rows == 1 { 1_000 } else { 100 };
        let dir = tempfile::tempdir_in(".").expect("can't create a temporary folder");
        let folder = Disk::lock(dir.path()).expect("can't lock the folder");
        let mut writer = LedgerWriter::open(folder, "bench")
            .expect("can't open the ledger")
            .writer;
        let started = Instant::now();
        for sequence in 1..=commits {
            let changes = (0..rows)
                .map(|n| Change::Job(sequence * rows + n, Some(job(n))))
                .collect();
            writer
                .write([Batch {
                    sequence: BatchSequence(sequence),
                    at: sequence,
                    changes,
                }])
                .expect("can't write a batch to the ledger");
        }
        let store_seconds = started.elapsed().as_secs_f64();
        let mut log = File::create(dir.path().join("log")).expect("can't create the log file");
        let started = Instant::now();
        for sequence in 1..=commits {
            let mut frame = Vec::new();
            for n in 0..rows {
                let row = postcard::to_stdvec(&(sequence * rows + n, job(n)))
                    .expect("can't encode a row");
                frame.extend_from_slice(&(row.len() as u32).to_le_bytes());
                frame.extend_from_slice(&row);
            }
            frame.extend_from_slice(&crc32c::crc32c(&frame).to_le_bytes());
            log.write_all(&frame)
                .and_then(|()| log.sync_data())
                .expect("can't append a frame to the log");
        }
        let log_seconds = started.elapsed().as_secs_f64();
        let ms_per_commit = |seconds: f64| seconds / commits as f64 * 1e3;
        println!(
            "{rows:>10} {:>12} {:>16.3} {:>16.3} {:>7.1}",
            "ms a commit",
            ms_per_commit(store_seconds),
            ms_per_commit(log_seconds),
            store_seconds / log_seconds
        );
        let rows_per_second = |seconds: f64| (rows * commits) as f64 / seconds;
        println!(
            "{:>10} {:>12} {:>16.0} {:>16.0}",
            "",
            "rows/s",
            rows_per_second(store_seconds),
            rows_per_second(log_seconds)
        );
        writer.close();
    }
}
