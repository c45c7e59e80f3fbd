//! Owners: clients that submit at a rate, wait for every job, and ask again.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_client::drmaa::rpc::{Jobs, Range};
use reedring_client::drmaa::{Control, ErrorCode, JobTemplate};
use reedring_client::{Operator, Session};
use serde::Deserialize;

use crate::badday::session;
use crate::site::{Site, SiteError};

/// Between two submissions of an owner.
const BEAT: Duration = Duration::from_millis(50);
/// How long jobs are awaited after the last submission.
const LAST_WAIT: Duration = Duration::from_secs(15);

/// What is asked of each placer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// The class.
    class: String,
    /// Its tenants, by turns.
    #[serde(default)]
    tenants: Vec<String>,
    /// Jobs a second at each placer.
    rate: f64,
    /// How long they run.
    life: String,
    /// Cores that each asks for.
    cores: f64,
    /// Memory that each asks for.
    memory: f64,
    /// Services among which they are drawn.
    #[serde(default = "four")]
    services: u32,
    /// Where they may stand, in the words of docs/constraints.md.
    #[serde(default)]
    constraint: String,
    /// Their labels.
    #[serde(default)]
    labels: String,
}

fn four() -> u32 {
    4
}

/// What owners were told, over all placers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Jobs submitted.
    pub submitted: u64,
    /// Ends by outcome.
    pub ended: BTreeMap<String, u64>,
    /// Submissions that were turned away at the door, by error.
    pub denied: BTreeMap<String, u64>,
    /// Owners that gave up waiting at the end.
    pub unfinished: u64,
    /// Some of the jobs that were not over then, with their last attempt.
    pub left: Vec<String>,
}

struct Shared {
    session: Session,
    /// Demand, in thousandths of the usual.
    factor: AtomicU64,
    ends: AtomicBool,
    submitted: AtomicBool,
    /// Services to ask for again: their jobs, and their template.
    live: Mutex<BTreeMap<String, (JobTemplate, Vec<String>)>>,
    tally: Mutex<Tally>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An owner at each placer, each with a thread that submits and one that waits.
pub(crate) struct Owners {
    all: BTreeMap<String, Arc<Shared>>,
    threads: Vec<JoinHandle<()>>,
    draw: Pcg32,
}

impl Owners {
    pub fn open(site: &Site, demand: &[Demand], seed: u64) -> Result<Self, SiteError> {
        let (mut all, mut threads) = (BTreeMap::new(), Vec::new());
        for (n, placer) in site.placers().enumerate() {
            let shared = Arc::new(Shared {
                session: session(site, placer)?,
                factor: AtomicU64::new(1_000),
                ends: AtomicBool::new(false),
                submitted: AtomicBool::new(false),
                live: Mutex::default(),
                tally: Mutex::default(),
            });
            let (submitter, waiter) = (Arc::clone(&shared), Arc::clone(&shared));
            let (demand, draw) = (demand.to_vec(), Pcg32::new(seed, 100 + n as u64));
            threads.push(std::thread::spawn(move || submitter.submit(&demand, draw)));
            threads.push(std::thread::spawn(move || waiter.wait()));
            all.insert(placer.to_owned(), shared);
        }
        Ok(Self {
            all,
            threads,
            draw: Pcg32::new(seed, 99),
        })
    }

    /// Asks for so many times the usual, at one placer or at all.
    pub fn factor(&self, placer: Option<&str>, factor: f64) {
        let these = self
            .all
            .iter()
            .filter(|(name, _)| placer.is_none_or(|placer| placer == *name));
        these.for_each(|(_, owner)| owner.factor.store((factor * 1e3) as u64, Ordering::Relaxed));
    }

    /// Ends part of the services and asks for all their tasks again.
    pub fn resubmit(&mut self, share: f64) {
        for owner in self.all.values() {
            let services: Vec<(JobTemplate, Vec<String>)> = {
                let mut live = lock(&owner.live);
                let mut drawn = || f64::from(self.draw.next_u32()) / f64::from(u32::MAX) < share;
                let names: Vec<String> = live.keys().filter(|_| drawn()).cloned().collect();
                names.iter().filter_map(|name| live.remove(name)).collect()
            };
            for (template, jobs) in services {
                for job in &jobs {
                    // Most are over by now, and that is fine.
                    let _ = owner
                        .session
                        .control(Jobs::These(vec![job.clone()]), Control::Terminate);
                }
                owner.run(&template, jobs.len() as u64, None);
            }
        }
    }

    /// Ends all submissions and waits for what was submitted.
    pub fn finish(self, site: &Site) -> Tally {
        self.all
            .values()
            .for_each(|owner| owner.ends.store(true, Ordering::Relaxed));
        self.threads
            .into_iter()
            .for_each(|thread| drop(thread.join()));
        let mut sum = Tally::default();
        for (placer, owner) in &self.all {
            let tally = lock(&owner.tally);
            sum.submitted += tally.submitted;
            if tally.unfinished > 0 {
                sum.unfinished += tally.unfinished;
                sum.left.extend(left(site, placer));
            }
            tally
                .ended
                .iter()
                .for_each(|(k, n)| *sum.ended.entry(k.clone()).or_default() += n);
            tally
                .denied
                .iter()
                .for_each(|(k, n)| *sum.denied.entry(k.clone()).or_default() += n);
        }
        sum
    }
}

/// Jobs that are not over, in words, as their placer tells them.
fn left(site: &Site, placer: &str) -> Vec<String> {
    let contact = site.contact(placer).unwrap_or_default();
    let Ok(mut operator) = Operator::connect(contact) else {
        return Vec::new();
    };
    let page = operator.jobs(None, 1_000).unwrap_or_default();
    let live: Vec<String> = page
        .jobs
        .into_iter()
        .filter(|j| !j.state.is_final())
        .map(|j| j.job)
        .take(5)
        .collect();
    let detail = |job: &String| operator.job(job).ok().map(|job| format!("{job:?}"));
    live.iter().filter_map(detail).collect()
}

impl Shared {
    fn submit(&self, demand: &[Demand], mut draw: Pcg32) {
        let mut owed: Vec<f64> = demand.iter().map(|_| 0.0).collect();
        let mut beat = Instant::now();
        while !self.ends.load(Ordering::Relaxed) {
            let factor = self.factor.load(Ordering::Relaxed) as f64 / 1e3;
            for (demand, owed) in demand.iter().zip(&mut owed) {
                *owed += demand.rate * factor * BEAT.as_secs_f64();
                if *owed < 1.0 {
                    continue;
                }
                let count = owed.floor();
                *owed -= count;
                let service = format!(
                    "{}-{}",
                    demand.class,
                    draw.next_u32() % demand.services.max(1)
                );
                let template = demand.template(&service, draw.next_u32());
                self.run(&template, count as u64, Some(service));
            }
            beat += BEAT;
            std::thread::sleep(beat.saturating_duration_since(Instant::now()));
        }
        self.submitted.store(true, Ordering::Relaxed);
    }

    fn run(&self, template: &JobTemplate, count: u64, service: Option<String>) {
        let range = Range {
            first: 1,
            last: count.max(1),
            step: 1,
        };
        let result = self.session.run_bulk_jobs(template, range);
        let mut tally = lock(&self.tally);
        match result {
            Ok(jobs) => {
                tally.submitted += jobs.len() as u64;
                if let Some(service) = service {
                    let mut live = lock(&self.live);
                    let (_, all) = live
                        .entry(service)
                        .or_insert_with(|| (template.clone(), Vec::new()));
                    all.extend(jobs);
                    // Only the youngest may still be live.
                    let old = all.len().saturating_sub(64);
                    all.drain(..old);
                }
            }
            Err(error) => *tally.denied.entry(format!("{:?}", error.code)).or_default() += 1,
        }
    }

    fn wait(&self) {
        let mut last = None;
        loop {
            match self.session.wait(None, Some(Duration::from_secs(1))) {
                Ok(info) => {
                    let outcome = info.usage("reedring.outcome").unwrap_or("none").to_owned();
                    *lock(&self.tally).ended.entry(outcome).or_default() += 1;
                    continue;
                }
                // The session has no job: none yet, or none any more.
                Err(error) if error.code == ErrorCode::InvalidJob => {
                    if self.submitted.load(Ordering::Relaxed) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
                Err(error) if error.code == ErrorCode::ExitTimeout => {}
                Err(error) => tracing::warn!(%error, "an owner's wait failed"),
            }
            if self.submitted.load(Ordering::Relaxed) {
                let since = *last.get_or_insert_with(Instant::now);
                if since.elapsed() > LAST_WAIT {
                    lock(&self.tally).unfinished += 1;
                    return;
                }
            }
        }
    }
}

impl Demand {
    fn template(&self, service: &str, drawn: u32) -> JobTemplate {
        let mut template = JobTemplate::new();
        let tenant = match self.tenants.len() {
            0 => String::new(),
            count => format!(" tenant={}", self.tenants[drawn as usize % count]),
        };
        let quoted = |word: &str, text: &str| match text {
            "" => String::new(),
            text => format!(" {word}='{text}'"),
        };
        let more = quoted("constraint", &self.constraint) + &quoted("labels", &self.labels);
        let native = format!(
            "class={}{tenant} service={service} cores={} memory={} life={}{more}",
            self.class, self.cores, self.memory, self.life
        );
        let set = [
            ("drmaa_remote_command", "work"),
            ("drmaa_native_specification", native.as_str()),
        ];
        // Both names are the specification's own.
        set.into_iter()
            .for_each(|(name, value)| template.set(name, value).unwrap_or_default());
        template
    }
}
