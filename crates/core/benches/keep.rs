//! What the state folder takes of the core's loop, without sockets or disk: `cargo bench -p reedring-core`.

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
const JOBS: u64 = 100_000;

fn ms(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e3
}

fn core(keeps: bool, image: LedgerSnapshot) -> Core {
    let mut settings = Settings::parse(SETTINGS, "bench").expect("the bench's own settings");
    settings.state = keeps.then(|| State::in_folder("state".into()));
    let start = Start {
        now: 1_000_000,
        unix_us: 1_000_000,
        incarnation: 9,
        seed: 1,
    };
    let restored = Restored {
        ledger: image,
        ..Restored::default()
    };
    if keeps {
        Core::with_state(settings, start, restored)
    } else {
        Core::new(settings, start)
    }
}

/// Submits held jobs, a thousand at a time; the milliseconds of the longest flush, and the changes to keep.
fn fill(core: &mut Core) -> (f64, Vec<Change>) {
    let (mut longest, mut changes) = (0.0_f64, Vec::new());
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
        let began = Instant::now();
        core.flush(1_000_000);
        longest = longest.max(ms(began));
        while let Some(output) = core.poll() {
            if let Output::Persist { batch, .. } = output {
                core.handle(1_000_000, Input::Durable(batch.sequence.0));
                changes.extend(batch.changes);
            }
        }
    }
    (longest, changes)
}

fn main() {
    println!(
        "{} cores",
        std::thread::available_parallelism().map_or(1, usize::from)
    );
    for keeps in [false, true] {
        let mut core = core(keeps, LedgerSnapshot::default());
        let began = Instant::now();
        let (longest, changes) = fill(&mut core);
        let word = if keeps { "kept" } else { "not kept" };
        println!(
            "{JOBS} jobs, {word}: {:.0} ms, the longest flush of 1,000 jobs {longest:.2} ms",
            ms(began)
        );
        if !keeps {
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
        let began = Instant::now();
        core.flush(1_000_000);
        println!(
            "every row anew, after a loss: the loop stands for {:.1} ms",
            ms(began)
        );
        let mut image = LedgerSnapshot::default();
        for change in changes {
            match change {
                Change::Session(number, Some(row)) => drop(image.sessions.insert(number, row)),
                Change::Template(session, call, Some(row)) => {
                    image
                        .templates
                        .entry(session)
                        .or_default()
                        .insert(call, row);
                }
                Change::Job(number, Some(row)) => drop(image.jobs.insert(number, *row)),
                _ => {}
            }
        }
        let began = Instant::now();
        let mut next = self::core(true, image);
        next.flush(1_000_000);
        println!("a core with them taken up: {:.0} ms", ms(began));
    }
    for machines in [110, 6_400_u64] {
        let settings = Settings::parse(SETTINGS, "bench").expect("the bench's own settings");
        let mut placer = Placer::new(settings.module(None), 1);
        let line = |id| Machine {
            id: MachineId(id),
            health: reedring::Health::Ready,
            free_cores: Some(500.0),
            free_memory: Some(500.0),
            ..Machine::default()
        };
        let lines = (0..machines).map(line).collect();
        placer.step(
            1,
            &[Event::Listed(Listing::Snapshot(lines))],
            &mut Vec::new(),
        );
        let began = Instant::now();
        let beliefs = placer.beliefs(2);
        println!(
            "beliefs of {} machines told: {:.2} ms",
            beliefs.machines.len(),
            ms(began)
        );
    }
}
