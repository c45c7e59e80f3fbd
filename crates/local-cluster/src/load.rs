//! Measurements of the whole path: submissions, placements, times, memory.
//!
//! All of it runs on loopback against stand-in nodes in the same process, so its figures are of this
//! machine and of stand-ins. Times from submission to placement are the placer's own, told in the usage.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use reedring_audit::Recorder;
use reedring_client::drmaa::rpc::{Jobs, Range, Stats};
use reedring_client::drmaa::{Control, JobTemplate};
use reedring_client::{Operator, Session};

use crate::badday::BadDayError;
use crate::site::{Plan, Site};

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Size {
    /// Jobs in the bulk run.
    pub jobs: u64,
    /// Numbers of nodes.
    pub nodes: Vec<usize>,
    /// Seconds at each load.
    pub seconds: f64,
    /// Live jobs for the measurement of memory.
    pub live: u64,
    /// The `reedring` program, for a placer in a process of its own.
    pub program: PathBuf,
}

/// Jobs that ask for so little that room never decides.
const SMALL: &str = "class=play cores=0.001 memory=0.001 life=20ms";
/// Services among which jobs are spread.
const SERVICES: u64 = 16;
/// Between two submissions of an open loop.
const BEAT: Duration = Duration::from_millis(10);

fn template(native: &str) -> JobTemplate {
    let mut template = JobTemplate::new();
    let set = [
        ("drmaa_remote_command", "work"),
        ("drmaa_native_specification", native),
    ];
    set.into_iter()
        .for_each(|(name, value)| template.set(name, value).unwrap_or_default());
    template
}

fn plan(nodes: usize) -> Plan {
    let mut plan = Plan::local(nodes);
    plan.threads = 2;
    for node in &mut plan.nodes {
        (node.look_ms, node.start_ms, node.starts, node.line) = (0.0, 0.0, 1_000, 1_000_000);
    }
    plan
}

struct Run {
    seconds: f64,
    jobs: u64,
    outcomes: [u64; 3],
    /// Microseconds from submission to placement.
    placed: Histogram<u64>,
    /// Of the placer, over the run.
    module_us: u64,
    steps: u64,
}

fn stats(contact: &str) -> Result<Stats, BadDayError> {
    let mut operator = Operator::connect(contact).map_err(crate::SiteError::from)?;
    Ok(operator.stats().map_err(crate::SiteError::from)?)
}

/// Submits at a rate, or all at once, and waits for every job.
fn run(contact: &str, jobs: u64, rate: Option<f64>) -> Result<Run, BadDayError> {
    let client = |error| BadDayError::Site(crate::SiteError::Client(error));
    let session = Arc::new(Session::open(contact).map_err(client)?);
    let before = stats(contact)?;
    let began = Instant::now();
    let waiter = {
        let session = Arc::clone(&session);
        std::thread::spawn(
            move || -> Result<([u64; 3], Histogram<u64>), reedring_client::drmaa::Error> {
                let (mut outcomes, mut times) =
                    ([0; 3], Histogram::new(3).unwrap_or_else(|_| unreachable!()));
                let mut left = jobs;
                while left > 0 {
                    let info = match session.wait(None, Some(Duration::from_secs(60))) {
                        Ok(info) => info,
                        // Nothing was submitted yet, or all that was is told.
                        Err(error)
                            if error.code == reedring_client::drmaa::ErrorCode::InvalidJob =>
                        {
                            std::thread::yield_now();
                            continue;
                        }
                        Err(error) => return Err(error),
                    };
                    left -= 1;
                    let time =
                        |name: &str| info.usage(name).and_then(|text| text.parse::<f64>().ok());
                    match info.usage("reedring.outcome") {
                        Some("placed") => outcomes[0] += 1,
                        Some("refused") => outcomes[1] += 1,
                        _ => outcomes[2] += 1,
                    }
                    if let Some((from, to)) =
                        time("submission_time").zip(time("reedring.placed_time"))
                    {
                        times
                            .record(((to - from) * 1e6).max(1.0) as u64)
                            .unwrap_or_default();
                    }
                }
                Ok((outcomes, times))
            },
        )
    };
    let templates: Vec<JobTemplate> = (0..SERVICES)
        .map(|n| template(&format!("{SMALL} service=s{n}")))
        .collect();
    let (mut sent, mut beat) = (0, 0);
    while sent < jobs {
        let due = match rate {
            Some(rate) => (rate * (began.elapsed() + BEAT).as_secs_f64()) as u64,
            None => sent + jobs.div_ceil(SERVICES),
        };
        let count = due.min(jobs).saturating_sub(sent);
        if count > 0 {
            let range = Range {
                first: 1,
                last: count,
                step: 1,
            };
            session
                .run_bulk_jobs(&templates[beat % templates.len()], range)
                .map_err(client)?;
            sent += count;
            beat += 1;
        }
        if rate.is_some() {
            std::thread::sleep(BEAT);
        }
    }
    let ended = waiter
        .join()
        .map_err(|_| io::Error::other("the waiting thread ended"))?;
    let (outcomes, placed) = ended.map_err(client)?;
    let after = stats(contact)?;
    Ok(Run {
        seconds: began.elapsed().as_secs_f64(),
        jobs,
        outcomes,
        placed,
        module_us: after.module_us - before.module_us,
        steps: after.module_steps - before.module_steps,
    })
}

/// Measures everything and tells it; whether every run's rules held.
///
/// # Errors
/// Where the site could not be run.
pub fn bench(size: &Size, out: &mut impl Write) -> Result<bool, BadDayError> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    writeln!(
        out,
        "{cores} cores; stand-in nodes on loopback, in one process with the placer\n"
    )?;
    let clean = audited(size, out)?;
    for nodes in &size.nodes {
        loads(*nodes, size.seconds, out)?;
    }
    memory(size, out)?;
    Ok(clean)
}

/// The bulk run whose trace is judged.
fn audited(size: &Size, out: &mut impl Write) -> Result<bool, BadDayError> {
    let recorder = Arc::new(Recorder::in_memory());
    let mut plan = plan(8);
    plan.recorder = Some(Arc::clone(&recorder));
    let site = Site::start(plan)?;
    let run = run(site.contact("placer-1")?, size.jobs, None)?;
    drop(site);
    let report = reedring_audit::audit(&reedring_audit::read(&recorder.finish()?)?);
    let [placed, refused, failed] = run.outcomes;
    writeln!(
        out,
        "bulk of {} jobs, 8 nodes, traced: {placed} placed, {refused} refused, {failed} failed in {:.2} s; {} broken rules",
        run.jobs,
        run.seconds,
        report.breaches.len()
    )?;
    report
        .breaches
        .iter()
        .try_for_each(|breach| writeln!(out, "  {}", breach.text))?;
    Ok(report.breaches.is_empty() && placed + refused + failed == run.jobs)
}

/// What the path takes with these settings added, and how long placing takes at a given rate.
pub(crate) fn cost(word: &str, more: &str, out: &mut impl Write) -> Result<(), BadDayError> {
    let mut plan = plan(8);
    plan.settings += more;
    let site = Site::start(plan)?;
    let contact = site.contact("placer-1")?;
    run(contact, 2_000, None)?;
    let steady = run(contact, 4_000, Some(1_000.0))?;
    let submitted = submissions(contact)?;
    let ms = |times: &Histogram<u64>, q: f64| times.value_at_quantile(q) as f64 / 1e3;
    writeln!(
        out,
        "{word:>20}: {:>6.0} submissions a second, each of one job, by {SUBMITTERS} clients: p50 {:.2} ms, p99 {:.2} ms; \
         placing at 1,000 jobs a second: p50 {:.2} ms, p99 {:.2} ms",
        submitted.len() as f64 / SUBMITTING.as_secs_f64(),
        ms(&submitted, 0.5),
        ms(&submitted, 0.99),
        ms(&steady.placed, 0.5),
        ms(&steady.placed, 0.99)
    )?;
    Ok(())
}

/// Clients that submit one job after the other, each as soon as the one before is acknowledged, and for how long.
const SUBMITTERS: usize = 16;
const SUBMITTING: Duration = Duration::from_secs(3);

/// Times from a submission to its acknowledgement. The jobs are held, so that nothing else is measured.
fn submissions(contact: &str) -> Result<Histogram<u64>, BadDayError> {
    let client = |error| BadDayError::Site(crate::SiteError::Client(error));
    let submit = |contact: String| {
        std::thread::spawn(
            move || -> Result<Histogram<u64>, reedring_client::drmaa::Error> {
                let mut times = Histogram::new(3).unwrap_or_else(|_| unreachable!());
                let session = Session::open(&contact)?;
                let mut held = template(SMALL);
                held.set("drmaa_js_state", "drmaa_hold")?;
                let began = Instant::now();
                while began.elapsed() < SUBMITTING {
                    let sent = Instant::now();
                    session.run_job(&held)?;
                    times
                        .record(sent.elapsed().as_micros() as u64)
                        .unwrap_or_default();
                }
                Ok(times)
            },
        )
    };
    let threads: Vec<_> = (0..SUBMITTERS)
        .map(|_| submit(contact.to_owned()))
        .collect();
    let mut all = Histogram::new(3).unwrap_or_else(|_| unreachable!());
    for thread in threads {
        let times = thread
            .join()
            .map_err(|_| io::Error::other("a submitting thread ended"))?
            .map_err(client)?;
        all += &times;
    }
    Ok(all)
}

/// Times from submission to placement at a fifth, half and all of what the path takes.
fn loads(nodes: usize, seconds: f64, out: &mut impl Write) -> Result<(), BadDayError> {
    let site = Site::start(plan(nodes))?;
    let contact = site.contact("placer-1")?;
    // How much it takes: closed loop, all at once, twice; the first warms up.
    run(contact, 2_000, None)?;
    let probe = run(contact, 10_000, None)?;
    let most = probe.jobs as f64 / probe.seconds;
    writeln!(
        out,
        "\n{nodes} nodes, all at once: {most:.0} jobs a second from submission to their ends told"
    )?;
    writeln!(
        out,
        "{:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>12}",
        "load", "rate /s", "p50 ms", "p99 ms", "p99.9 ms", "module %", "module us/job"
    )?;
    for (word, part) in [("a fifth", 0.2), ("half", 0.5), ("full", 1.0)] {
        let rate = most * part;
        let run = run(contact, (rate * seconds).max(100.0) as u64, Some(rate))?;
        let ms = |q: f64| run.placed.value_at_quantile(q) as f64 / 1e3;
        writeln!(
            out,
            "{word:>8} {:>9.0} {:>9.2} {:>9.2} {:>9.2} {:>9.0} {:>12.1}",
            run.jobs as f64 / run.seconds,
            ms(0.5),
            ms(0.99),
            ms(0.999),
            run.module_us as f64 / run.seconds / 1e4,
            run.module_us as f64 / run.jobs as f64
        )?;
        writeln!(
            out,
            "{:>8} {} steps of the module, {:.1} jobs a step",
            "",
            run.steps,
            run.jobs as f64 / run.steps.max(1) as f64
        )?;
    }
    Ok(())
}

struct Ended(Child);

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn resident(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / 1024.0)
}

/// A placer in a process of its own, before and while it holds many live jobs.
fn memory(size: &Size, out: &mut impl Write) -> Result<(), BadDayError> {
    if size.live == 0 {
        return Ok(());
    }
    let mut plan = plan(8);
    plan.placers = 0;
    let shared = plan.settings.clone();
    let site = Site::start(plan)?;
    let config = site.dir().join("bench.toml");
    let table = "[placer]\nname = \"bench\"\nlisten = \"127.0.0.1:0\"\nnodes = \"nodes.toml\"\n\n";
    std::fs::write(&config, format!("{table}{shared}"))?;
    let mut child = Command::new(&size.program);
    child
        .arg("serve")
        .arg("--config")
        .arg(&config)
        .stdout(Stdio::piped());
    let mut child = Ended(child.spawn()?);
    let stdout = child
        .0
        .stdout
        .take()
        .ok_or_else(|| io::Error::other("no output"))?;
    let mut line = String::new();
    io::BufRead::read_line(&mut io::BufReader::new(stdout), &mut line)?;
    let contact = line
        .trim()
        .strip_prefix("contact: ")
        .ok_or_else(|| io::Error::other("no contact"))?;
    let client = |error| BadDayError::Site(crate::SiteError::Client(error));
    let session = Session::open(contact).map_err(client)?;
    // Its links stand once a first job has run.
    let first = session.run_job(&template(SMALL)).map_err(client)?;
    session
        .wait(Some(&first), Some(Duration::from_secs(20)))
        .map_err(client)?;
    let before = resident(child.0.id());
    let long = template("class=play cores=0.0001 memory=0.0001 life=1h");
    let began = Instant::now();
    let step = 1_000;
    for _ in 0..size.live.div_ceil(step) {
        session
            .run_bulk_jobs(
                &long,
                Range {
                    first: 1,
                    last: step,
                    step: 1,
                },
            )
            .map_err(client)?;
        // No faster than they are placed: a job that waits costs more than one that runs.
        while stats(contact)?.placed + step < stats(contact)?.submitted {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    let after = resident(child.0.id());
    let stats = stats(contact)?;
    if let Some((before, after)) = before.zip(after) {
        writeln!(
            out,
            "\nmemory of a placer: {before:.0} MiB before, {after:.0} MiB with {} live jobs of {} taken, {:.2} KiB a job ({:.0} s)",
            stats.live,
            stats.submitted,
            (after - before) * 1024.0 / stats.live.max(1) as f64,
            began.elapsed().as_secs_f64()
        )?;
    }
    session
        .control(Jobs::All, Control::Terminate)
        .map_err(client)?;
    Ok(())
}
