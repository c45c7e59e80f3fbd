//! Measures the time that persistence takes in the core's loop, without sockets or disk:
//! `cargo bench -p reedring-core --bench persistence`.

use std::time::Instant;

use reedring::{Event, Listing, Machine, MachineId, Placer};
use reedring_core::{Core, Input, Output, Restored, Start};
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_settings::{Settings, State};
use reedring_state::{Change, LedgerSnapshot};

const SETTINGS: &str = r#"
    placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
    kind = [{ name = "k", cores = 1000.0, memory = 1000.0 }]
    class = [{ name = "c", repeat = "safe", aim = "1s", give_up = "1h" }]
"#;
/// Number of jobs to submit.
const JOBS: u64 = 100_000;

/// Milliseconds since `started`.
fn ms_since(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

/// A core with this restored ledger if it `persists`, or without a state folder.
fn core(persists: bool, snapshot: LedgerSnapshot) -> Core {
    let mut settings =
        Settings::parse(SETTINGS, "bench").expect("the benchmark settings are valid");
    settings.state = persists.then(|| State::in_folder("state".into()));
    let start = Start {
        now: 1_000_000,
        unix_us: 1_000_000,
        incarnation: 9,
        seed: 1,
    };
    let restored = Restored {
        ledger: snapshot,
        ..Restored::default()
    };
    if persists {
        Core::with_state(settings, start, restored)
    } else {
        Core::new(settings, start)
    }
}

/// Submits [`JOBS`] jobs on hold, 1,000 per call and flush. Returns the duration of the longest flush in milliseconds,
/// and the changes to persist.
fn submit_jobs(core: &mut Core) -> (f64, Vec<Change>) {
    let (mut longest_ms, mut changes) = (0.0_f64, Vec::new());
    core.handle(
        1_000_000,
        Input::Call {
            conn: 1,
            id: 0,
            call: Call::Init {
                session: "s".to_owned(),
            },
        },
    );
    for call in 1..=JOBS / 1_000 {
        let key = CallKey {
            session: "s".to_owned(),
            call,
            settled: call,
            sent_to: 9,
        };
        let job = Box::new(JobSpec {
            command: "work".to_owned(),
            hold: true,
            ..JobSpec::default()
        });
        let range = Range {
            first: 1,
            last: 1_000,
            step: 1,
        };
        core.handle(
            1_000_000,
            Input::Call {
                conn: 1,
                id: call,
                call: Call::RunBulkJobs { key, job, range },
            },
        );
        let started = Instant::now();
        core.flush(1_000_000);
        longest_ms = longest_ms.max(ms_since(started));
        while let Some(output) = core.poll() {
            if let Output::Persist { batch, .. } = output {
                core.handle(1_000_000, Input::Durable(batch.sequence.0));
                changes.extend(batch.changes);
            }
        }
    }
    (longest_ms, changes)
}

fn main() {
    println!(
        "{} cores",
        std::thread::available_parallelism().map_or(1, usize::from)
    );
    for persists in [false, true] {
        let mut core = core(persists, LedgerSnapshot::default());
        let started = Instant::now();
        let (longest_ms, changes) = submit_jobs(&mut core);
        let label = if persists {
            "persisted"
        } else {
            "not persisted"
        };
        println!(
            "{JOBS} jobs submitted, {label}: {:.0} ms, longest flush of 1,000 jobs: {longest_ms:.2} ms",
            ms_since(started)
        );
        if !persists {
            continue;
        }
        core.handle(
            1_000_000,
            Input::StateUnavailable {
                reason: "full".to_owned(),
                marked_incomplete: true,
            },
        );
        core.handle(1_000_000, Input::StateAvailable);
        let started = Instant::now();
        core.flush(1_000_000);
        println!(
            "rewrite of all rows after the state folder failed: the loop is blocked for {:.1} ms",
            ms_since(started)
        );
        let mut snapshot = LedgerSnapshot::default();
        for change in changes {
            match change {
                Change::Session(number, Some(row)) => drop(snapshot.sessions.insert(number, row)),
                Change::Template(session, call, Some(row)) => {
                    snapshot
                        .templates
                        .entry(session)
                        .or_default()
                        .insert(call, row);
                }
                Change::Job(number, Some(row)) => drop(snapshot.jobs.insert(number, *row)),
                _ => {}
            }
        }
        let started = Instant::now();
        let mut restarted = self::core(true, snapshot);
        restarted.flush(1_000_000);
        println!(
            "start of a core that restores these jobs: {:.0} ms",
            ms_since(started)
        );
    }
    for machines in [110, 6_400_u64] {
        let settings =
            Settings::parse(SETTINGS, "bench").expect("the benchmark settings are valid");
        let mut placer = Placer::new(settings.module(None), 1);
        let machine = |id| Machine {
            id: MachineId(id),
            health: reedring::Health::Ready,
            free_cores: Some(500.0),
            free_memory: Some(500.0),
            ..Machine::default()
        };
        let listed = (0..machines).map(machine).collect();
        placer.step(
            1,
            &[Event::Listed(Listing::Snapshot(listed))],
            &mut Vec::new(),
        );
        let started = Instant::now();
        let beliefs = placer.beliefs(2);
        println!(
            "export of the beliefs about {} machines: {:.2} ms",
            beliefs.machines.len(),
            ms_since(started)
        );
    }
}
