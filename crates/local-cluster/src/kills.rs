//! A placer in a process of its own, killed again and again under load.
//!
//! Nodes and clients are here, the placer is the program: SIGKILL takes it at a drawn moment, the files that
//! it leaves are checked, and it is started again. In the end every job that was acknowledged must have one
//! outcome, and the audit judges from the nodes' sockets that no unsafe task was started twice.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_audit::{Breach, Recorder};
use reedring_client::Session;
use reedring_client::drmaa::rpc::Range;
use reedring_client::drmaa::{ErrorCode, JobTemplate};
use reedring_state::{Disk, StateExport};
use reedring_test_processes::{Launch, Program, free_address};

use crate::badday::BadDayError;
use crate::site::{Plan, Site, SiteError};

/// What is played.
#[derive(Clone, Debug)]
pub struct Kills {
    /// The `reedring` program.
    pub program: PathBuf,
    /// Kills.
    pub count: u32,
    /// Milliseconds that a placer lives at most.
    pub life_ms: u32,
    /// Seed of all that is drawn; the moments of a real process are not drawn alone.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Killed {
    /// Kills.
    pub kills: u32,
    /// Jobs whose submission was acknowledged.
    pub taken: usize,
    /// Their outcomes.
    pub outcomes: BTreeMap<String, usize>,
    /// Jobs without an outcome.
    pub untold: Vec<String>,
    /// Ends that were told again by a successor that had not kept that they were; clients passed them by.
    pub told_again: u64,
    /// What was wrong with files between two lives.
    pub damaged: Vec<String>,
    /// Rules that were broken, by the audit.
    pub breaches: Vec<Breach>,
    /// Time from a start to the contact line, in milliseconds, over all starts.
    pub start_ms: Vec<f64>,
}

impl Killed {
    /// Nothing was lost, doubled, or damaged.
    pub fn is_clean(&self) -> bool {
        self.untold.is_empty() && self.damaged.is_empty() && self.breaches.is_empty()
    }
}

const SETTINGS: &str = include_str!("kills.toml");
/// How long outcomes are awaited in the end: longer than any class's patience.
const AWAIT: Duration = Duration::from_secs(60);

/// How long a placer may take to say its contact.
const READY: Duration = Duration::from_secs(60);

fn start(program: &Path, config: &Path) -> Result<Program, BadDayError> {
    let config = config.display().to_string();
    let arguments = ["--log", "error", "serve", "--config", &config];
    let placer = Launch::new(program, "the placer", &arguments).start();
    let ready = placer.and_then(|placer| {
        placer.wait_line(0, "its contact", READY, |line| {
            line.starts_with("contact: ")
        })?;
        Ok(placer)
    });
    ready.map_err(|error| BadDayError::Script(error.to_string()))
}

/// What clients were told, over all threads.
#[derive(Default)]
struct Told {
    taken: Mutex<Vec<String>>,
    outcomes: Mutex<BTreeMap<String, String>>,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Client = std::thread::JoinHandle<Result<(), reedring_client::drmaa::Error>>;

/// One client submits small batches of all classes, ...
fn submits(
    session: Arc<Session>,
    told: Arc<Told>,
    mut draw: Pcg32,
    done: Arc<AtomicBool>,
) -> Client {
    std::thread::spawn(move || {
        while !told.over.load(Ordering::Relaxed) {
            let class = ["play", "capture", "edition"][draw.next_u32() as usize % 3];
            let mut template = JobTemplate::new();
            template.set("drmaa_remote_command", "work")?;
            let life = 5 + draw.next_u32() % 120;
            template.set(
                "drmaa_native_specification",
                &format!("class={class} life={life}ms cores=0.1"),
            )?;
            let range = Range {
                first: 1,
                last: 1 + u64::from(draw.next_u32() % 6),
                step: 1,
            };
            let jobs = session.run_bulk_jobs(&template, range)?;
            lock(&told.taken).extend(jobs);
            std::thread::sleep(Duration::from_millis(u64::from(draw.next_u32() % 10)));
        }
        done.store(true, Ordering::Relaxed);
        Ok(())
    })
}

/// ... and another thread of it waits for any job until none is left.
fn waits(session: Arc<Session>, told: Arc<Told>, done: Arc<AtomicBool>) -> Client {
    std::thread::spawn(move || {
        loop {
            // Before the call: what is submitted during it is not among what it looked at.
            let last = done.load(Ordering::Relaxed);
            match session.wait(None, Some(Duration::from_secs(5))) {
                Ok(info) => {
                    let outcome = info.usage("reedring.outcome").unwrap_or("none").to_owned();
                    lock(&told.outcomes).insert(info.job, outcome);
                }
                Err(error) if error.code == ErrorCode::InvalidJob => {
                    if last {
                        return Ok(());
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(error) if error.code == ErrorCode::ExitTimeout => {}
                Err(error) => return Err(error),
            }
        }
    })
}

impl Kills {
    /// Plays it.
    ///
    /// # Errors
    /// Where nodes, placer or clients can't be run; what is lost or doubled is no error but in the result.
    pub fn play(&self) -> Result<Killed, BadDayError> {
        let recorder = Arc::new(Recorder::in_memory());
        let mut plan = Plan::local(6);
        (plan.placers, plan.recorder, plan.seed) = (0, Some(Arc::clone(&recorder)), self.seed);
        for node in &mut plan.nodes {
            (node.look_ms, node.start_ms, node.starts) = (0.2, 3.0, 1_000);
        }
        let site = Site::start(plan)?;
        // The placer must have the same in each of its lives.
        let address = free_address()?;
        let config = site.dir().join("placer.toml");
        let folder = site.dir().join("state");
        let listen = format!("[placer]\nname = \"placer-1\"\nlisten = \"{address}\"\n");
        std::fs::write(
            &config,
            format!("{listen}nodes = \"nodes.toml\"\n{SETTINGS}"),
        )?;
        let mut found = Killed::default();
        let mut draw = Pcg32::new(self.seed, 1);
        let began = Instant::now();
        let mut placer = start(&self.program, &config)?;
        found.start_ms.push(began.elapsed().as_secs_f64() * 1e3);
        let client = |error| BadDayError::Site(SiteError::Client(error));
        let contact = format!("tcp:{address}");
        let told = Arc::new(Told::default());
        let mut clients = Vec::new();
        let mut sessions = Vec::new();
        for n in 0..3 {
            let session = Arc::new(Session::open(&contact).map_err(client)?);
            let (draw, done) = (
                Pcg32::new(self.seed, 10 + n),
                Arc::new(AtomicBool::new(false)),
            );
            clients.push(submits(
                Arc::clone(&session),
                Arc::clone(&told),
                draw,
                Arc::clone(&done),
            ));
            clients.push(waits(Arc::clone(&session), Arc::clone(&told), done));
            sessions.push(session);
        }
        for _ in 0..self.count {
            std::thread::sleep(Duration::from_micros(u64::from(
                draw.next_u32() % (self.life_ms.max(1) * 1_000),
            )));
            drop(placer);
            found.kills += 1;
            match StateExport::read(
                Disk::lock(&folder).map_err(|error| BadDayError::Script(error.to_string()))?,
            ) {
                Ok(contents) => {
                    let violations = contents.export.ledger.violations();
                    let skipped = &contents.skipped_belief_files;
                    found
                        .damaged
                        .extend(violations.iter().map(ToString::to_string));
                    found
                        .damaged
                        .extend(skipped.iter().map(ToString::to_string));
                }
                Err(error) => found.damaged.push(error.to_string()),
            }
            let began = Instant::now();
            placer = start(&self.program, &config)?;
            found.start_ms.push(began.elapsed().as_secs_f64() * 1e3);
        }
        told.over.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + AWAIT;
        for thread in clients {
            while !thread.is_finished() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(5));
            }
            if thread.is_finished() {
                thread
                    .join()
                    .map_err(|_| BadDayError::Script("a client panicked".to_owned()))?
                    .map_err(client)?;
            }
        }
        found.told_again = sessions.iter().map(|session| session.told_again()).sum();
        drop(placer);
        drop(site);
        let (taken, outcomes) = (lock(&told.taken).clone(), lock(&told.outcomes).clone());
        found.taken = taken.len();
        found.untold = taken
            .into_iter()
            .filter(|job| !outcomes.contains_key(job))
            .collect();
        for outcome in outcomes.into_values() {
            *found.outcomes.entry(outcome).or_default() += 1;
        }
        let frames = reedring_audit::read(&recorder.finish()?)?;
        found.breaches = reedring_audit::audit(&frames).breaches;
        Ok(found)
    }
}
