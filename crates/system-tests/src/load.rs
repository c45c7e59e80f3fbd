//! Clients of a fleet: they submit, wait, and count what they were told.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use reedring_client::Session;
use reedring_client::drmaa::rpc::Range;
use reedring_client::drmaa::{Error, ErrorCode, JobTemplate};

use crate::TrialError;

/// What clients were told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Jobs whose submission was acknowledged.
    pub taken: usize,
    /// Submissions that were turned away.
    pub turned_away: usize,
    /// Outcomes of jobs.
    pub ended: BTreeMap<String, usize>,
    /// Jobs without an outcome.
    pub untold: Vec<String>,
}

#[derive(Default)]
struct Told {
    taken: Vec<String>,
    turned_away: usize,
    outcomes: BTreeMap<String, String>,
}

type Thread = JoinHandle<Result<(), Error>>;

/// Clients at one placer, one that submits and one that waits.
pub struct Load {
    over: Arc<AtomicBool>,
    told: Arc<Mutex<Told>>,
    threads: Vec<Thread>,
}

fn lock(told: &Mutex<Told>) -> std::sync::MutexGuard<'_, Told> {
    told.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    /// Submits bulks of these classes in turn, each with so many jobs, until it is told to end; only one where no
    /// time between two is told.
    ///
    /// # Errors
    /// Where the placer can't be reached.
    pub fn start(
        contact: &str,
        classes: &[&str],
        bulk: u64,
        life_ms: u64,
        every: Option<Duration>,
    ) -> Result<Self, TrialError> {
        let session = Arc::new(Session::open(contact)?);
        let (over, told) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Told::default())),
        );
        let submitted = Arc::new(AtomicBool::new(false));
        let submits = {
            let submitted = Arc::clone(&submitted);
            let (session, over, told) =
                (Arc::clone(&session), Arc::clone(&over), Arc::clone(&told));
            let classes: Vec<String> = classes.iter().map(|class| (*class).to_owned()).collect();
            std::thread::spawn(move || {
                for class in classes.iter().cycle() {
                    let mut template = JobTemplate::new();
                    template.set("drmaa_remote_command", "work")?;
                    let native = format!("class={class} life={life_ms}ms cores=0.1 memory=0.1");
                    template.set("drmaa_native_specification", &native)?;
                    match session.run_bulk_jobs(
                        &template,
                        Range {
                            first: 1,
                            last: bulk,
                            step: 1,
                        },
                    ) {
                        Ok(jobs) => lock(&told).taken.extend(jobs),
                        Err(error) if error.code == ErrorCode::TryLater => {
                            lock(&told).turned_away += 1
                        }
                        Err(error) => {
                            submitted.store(true, Ordering::Relaxed);
                            return Err(error);
                        }
                    }
                    let Some(every) = every.filter(|_| !over.load(Ordering::Relaxed)) else {
                        break;
                    };
                    std::thread::sleep(every);
                }
                submitted.store(true, Ordering::Relaxed);
                Ok(())
            })
        };
        let waits = {
            let (over, told) = (Arc::clone(&over), Arc::clone(&told));
            let done = Arc::clone(&submitted);
            std::thread::spawn(move || {
                loop {
                    // Before the call: what is submitted during it is not among what it looked at.
                    let last = over.load(Ordering::Relaxed) && done.load(Ordering::Relaxed);
                    match session.wait(None, Some(Duration::from_secs(2))) {
                        Ok(info) => {
                            let outcome =
                                info.usage("reedring.outcome").unwrap_or("none").to_owned();
                            lock(&told).outcomes.insert(info.job, outcome);
                        }
                        Err(error) if error.code == ErrorCode::InvalidJob => {
                            if last {
                                return Ok(());
                            }
                            std::thread::sleep(Duration::from_millis(2));
                        }
                        Err(error) if error.code == ErrorCode::ExitTimeout => {}
                        Err(error) => return Err(error),
                    }
                }
            })
        };
        Ok(Self {
            over,
            told,
            threads: vec![submits, waits],
        })
    }

    /// Submits nothing more, waits for every outcome, and tells.
    ///
    /// # Errors
    /// Where a client failed, or was not done in time.
    pub fn end(self, within: Duration) -> Result<Outcomes, TrialError> {
        self.over.store(true, Ordering::Relaxed);
        let until = Instant::now() + within;
        for thread in self.threads {
            while !thread.is_finished() {
                if Instant::now() > until {
                    let told = lock(&self.told);
                    let untold = told
                        .taken
                        .iter()
                        .filter(|job| !told.outcomes.contains_key(*job))
                        .count();
                    let what = format!("{untold} of {} jobs", told.taken.len());
                    return Err(TrialError::Silent(
                        "a client".to_owned(),
                        what,
                        String::new(),
                    ));
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            thread.join().map_err(|_| TrialError::Panicked)??;
        }
        let told = lock(&self.told);
        let mut found = Outcomes {
            taken: told.taken.len(),
            turned_away: told.turned_away,
            ..Outcomes::default()
        };
        found.untold = told
            .taken
            .iter()
            .filter(|job| !told.outcomes.contains_key(*job))
            .cloned()
            .collect();
        for outcome in told.outcomes.values() {
            *found.ended.entry(outcome.clone()).or_default() += 1;
        }
        Ok(found)
    }
}

impl Outcomes {
    /// Adds another client's.
    pub fn add(&mut self, other: Self) {
        self.taken += other.taken;
        self.turned_away += other.turned_away;
        self.untold.extend(other.untold);
        for (outcome, count) in other.ended {
            *self.ended.entry(outcome).or_default() += count;
        }
    }
}
