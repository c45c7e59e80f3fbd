//! Measurements of the state folder: what a restart costs with it and without, and what it costs to keep.
//!
//! All figures are of stand-ins on loopback, in one process with the placer.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use reedring_audit::{Event, Recorder};
use reedring_client::drmaa::rpc::Range;
use reedring_client::drmaa::{ErrorCode, JobTemplate};
use reedring_client::{Operator, Session};
use reedring_node_protocol::{Message, decode};
use reedring_node_simulator::Fault;
use reedring_state::BeliefSnapshot;

use crate::badday::BadDayError;
use crate::load;
use crate::site::{Plan, Site, SiteError};

const STATE: &str = "\n[state]\nfolder = \"state\"\nlearn_every = \"500ms\"\n";
const PLACER: &str = "placer-1";
/// Between two submissions.
const BEAT: Duration = Duration::from_millis(10);
/// Submissions before the kill, the placer's absence, and submissions after its return.
const BEFORE: Duration = Duration::from_secs(6);
const AWAY: Duration = Duration::from_millis(200);
const AFTER: Duration = Duration::from_secs(6);
/// The part of a second over which service is counted, and the bins in a row that must have it back.
const BIN_US: u64 = 100_000;
const BINS: usize = 3;
const WEEK_US: u64 = 7 * 86_400 * 1_000_000;

/// What the successor finds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Found {
    All,
    LedgerAlone,
    WeekOld,
    Nothing,
}

impl Found {
    const ALL: [Self; 4] = [Self::All, Self::LedgerAlone, Self::WeekOld, Self::Nothing];

    const fn word(self) -> &'static str {
        match self {
            Self::All => "ledger and learned",
            Self::LedgerAlone => "ledger alone",
            Self::WeekOld => "learned a week ago",
            Self::Nothing => "no state",
        }
    }
}

#[derive(Debug, Default)]
struct Restart {
    offers: usize,
    refused: usize,
    unanswered: usize,
    back_ms: Option<u64>,
    in_time: f64,
}

fn client(error: reedring_client::drmaa::Error) -> BadDayError {
    BadDayError::Site(SiteError::Client(error))
}

fn template(native: &str) -> Result<JobTemplate, BadDayError> {
    let mut template = JobTemplate::new();
    template
        .set("drmaa_remote_command", "work")
        .map_err(client)?;
    template
        .set("drmaa_native_specification", native)
        .map_err(client)?;
    Ok(template)
}

fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// The middle of a bad day: two nodes are dead, three never answer one class, three another.
fn troubled(seed: u64, state: bool, recorder: &Arc<Recorder>) -> Result<Site, BadDayError> {
    let mut plan = Plan::local(12);
    (plan.seed, plan.recorder) = (seed, Some(Arc::clone(recorder)));
    if state {
        plan.settings += STATE;
    }
    let mut site = Site::start(plan)?;
    for (n, class) in [
        (1, "play"),
        (2, "play"),
        (3, "play"),
        (4, "capture"),
        (5, "capture"),
        (6, "capture"),
    ] {
        let fault = Fault {
            deaf_to: [class.to_owned()].into(),
            ..Fault::default()
        };
        if let Some(node) = site.node(&format!("node-{n}")) {
            node.fault(fault);
        }
    }
    for node in ["node-7", "node-8"] {
        site.kill_node(node)?;
    }
    Ok(site)
}

fn submits(
    session: Arc<Session>,
    lasts: Duration,
) -> std::thread::JoinHandle<Result<(), BadDayError>> {
    std::thread::spawn(move || {
        let (began, mut beat) = (Instant::now(), 0);
        let templates = [
            template("class=play cores=0.05 memory=0.05 life=1s")?,
            template("class=capture cores=0.05 memory=0.05 life=1s")?,
        ];
        while began.elapsed() < lasts {
            let range = Range {
                first: 1,
                last: 3,
                step: 1,
            };
            session
                .run_bulk_jobs(&templates[beat % 2], range)
                .map_err(client)?;
            beat += 1;
            std::thread::sleep((BEAT * beat as u32).saturating_sub(began.elapsed()));
        }
        Ok(())
    })
}

/// When each job was submitted, and when it was placed, in microseconds since 1970.
type Times = Vec<(u64, Option<u64>)>;

fn waits(
    session: Arc<Session>,
    over: Arc<AtomicBool>,
) -> std::thread::JoinHandle<Result<Times, BadDayError>> {
    std::thread::spawn(move || {
        let mut times = Vec::new();
        loop {
            match session.wait(None, Some(Duration::from_secs(20))) {
                Ok(info) => {
                    let time = |name: &str| {
                        info.usage(name)
                            .and_then(|text| text.parse::<f64>().ok())
                            .map(|at| (at * 1e6) as u64)
                    };
                    if let Some(submitted) = time("submission_time") {
                        let placed = info.usage("reedring.outcome") == Some("placed");
                        times.push((submitted, time("reedring.placed_time").filter(|_| placed)));
                    }
                }
                // No job is left, or a successor does not know of any yet.
                Err(error) if error.code == ErrorCode::InvalidJob => {
                    if over.load(Ordering::Relaxed) {
                        return Ok(times);
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
                Err(error) => return Err(client(error)),
            }
        }
    })
}

/// The part of the jobs of a span that was placed within the aim of their class, by bins.
fn service(times: &Times, from: u64, to: u64) -> BTreeMap<u64, f64> {
    let mut bins: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for (submitted, placed) in times.iter().filter(|(at, _)| (from..to).contains(at)) {
        let bin = bins.entry((submitted - from) / BIN_US).or_default();
        bin.0 += 1;
        bin.1 += usize::from(placed.is_some_and(|at| at <= submitted + 600_000));
    }
    bins.into_iter()
        .map(|(bin, (all, good))| (bin, good as f64 / all as f64))
        .collect()
}

fn rewrite(folder: &Path, found: Found) -> Result<(), BadDayError> {
    let path = folder.join("learned");
    match found {
        Found::All | Found::Nothing => {}
        Found::LedgerAlone => {
            for name in ["learned", "learned.old"] {
                let _ = std::fs::remove_file(folder.join(name));
            }
        }
        Found::WeekOld => {
            let wrong = |error: reedring_state::BeliefError| BadDayError::Script(error.to_string());
            let mut learned =
                BeliefSnapshot::decode(&std::fs::read(&path)?, "learned", PLACER).map_err(wrong)?;
            learned.saved_at -= WEEK_US;
            std::fs::write(&path, learned.encode(PLACER))?;
        }
    }
    Ok(())
}

fn restart(found: Found, seed: u64) -> Result<Restart, BadDayError> {
    let recorder = Arc::new(Recorder::in_memory());
    let mut site = troubled(seed, found != Found::Nothing, &recorder)?;
    let session = Arc::new(Session::open(site.contact(PLACER)?).map_err(client)?);
    let began = unix_us();
    let submitting = submits(Arc::clone(&session), BEFORE + AWAY + AFTER);
    let over = Arc::new(AtomicBool::new(false));
    let waiting = waits(Arc::clone(&session), Arc::clone(&over));
    std::thread::sleep(BEFORE);
    let killed = unix_us();
    site.kill_placer(PLACER);
    if found != Found::Nothing {
        rewrite(&site.state_folder(PLACER, "state"), found)?;
    }
    std::thread::sleep(AWAY);
    let back = unix_us();
    site.start_placer(PLACER)?;
    let ended = |_| BadDayError::Script("a client panicked".to_owned());
    submitting.join().map_err(ended)??;
    over.store(true, Ordering::Relaxed);
    let times = waiting.join().map_err(ended)??;
    drop(site);
    let before: Vec<f64> = service(&times, began + 3_000_000, killed - 700_000)
        .into_values()
        .collect();
    let usual = before.iter().sum::<f64>() / before.len().max(1) as f64;
    let after = service(&times, back, back + AFTER.as_micros() as u64 - 1_000_000);
    let bins: Vec<(u64, f64)> = after.into_iter().collect();
    let good = |run: &[(u64, f64)]| run.iter().all(|(_, part)| *part >= 0.95 * usual);
    let back_at = bins
        .windows(BINS)
        .find(|run| good(run))
        .map(|run| run[0].0 * BIN_US / 1_000);
    let in_time = bins.iter().map(|(_, part)| part).sum::<f64>() / bins.len().max(1) as f64;
    let mut told = Restart {
        back_ms: back_at,
        in_time,
        ..Restart::default()
    };
    // The second life's offers, and what came of them, for as long as it was measured.
    let frames = reedring_audit::read(&recorder.finish()?)?;
    let second = frames
        .iter()
        .rposition(|frame| frame.event == Event::PlacerStarted)
        .unwrap_or(0);
    let until = frames[second].time_us + AFTER.as_micros() as u64;
    let mut answers = 0;
    for frame in frames[second..]
        .iter()
        .filter(|frame| frame.time_us < until)
    {
        match (frame.event, decode(&frame.bytes)) {
            (Event::ToNode, Ok(Message::Offer { .. })) => told.offers += 1,
            (Event::FromNode, Ok(Message::Rejected { .. })) => {
                (told.refused, answers) = (told.refused + 1, answers + 1)
            }
            (Event::FromNode, Ok(Message::Accepted { .. })) => answers += 1,
            _ => {}
        }
    }
    told.unanswered = told.offers.saturating_sub(answers);
    Ok(told)
}

/// Measures restarts side by side, and what durability costs.
///
/// # Errors
/// Where the site could not be run.
pub fn bench(seeds: u64, live: u64, out: &mut impl Write) -> Result<(), BadDayError> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    writeln!(
        out,
        "{cores} cores; stand-in nodes on loopback, in one process with the placer"
    )?;
    writeln!(
        out,
        "\na restart among two dead nodes of twelve and six that are deaf to a class, 300 jobs a second, the first \
         6 s; median of {seeds}"
    )?;
    writeln!(
        out,
        "{:>20} {:>8} {:>8} {:>11} {:>9} {:>12}",
        "found", "offers", "refused", "unanswered", "in time", "95% back, ms"
    )?;
    for found in Found::ALL {
        let runs: Vec<Restart> = (1..=seeds)
            .map(|seed| restart(found, seed))
            .collect::<Result<_, _>>()?;
        let median = |of: fn(&Restart) -> f64| {
            let mut all: Vec<f64> = runs.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all[all.len() / 2]
        };
        writeln!(
            out,
            "{:>20} {:>8.0} {:>8.0} {:>11.0} {:>8.1}% {:>12.0}",
            found.word(),
            median(|run| run.offers as f64),
            median(|run| run.refused as f64),
            median(|run| run.unanswered as f64),
            median(|run| run.in_time * 100.0),
            median(|run| run.back_ms.map_or(f64::INFINITY, |ms| ms as f64)),
        )?;
    }
    writeln!(out, "\nwhat it costs, 8 nodes")?;
    for (word, state) in [("not kept", ""), ("kept", STATE)] {
        load::cost(word, state, out)?;
    }
    start_up(live, out)
}

/// How long a placer takes to be back with many live jobs, and how much they take on the disk.
fn start_up(live: u64, out: &mut impl Write) -> Result<(), BadDayError> {
    let mut plan = Plan::local(4);
    plan.settings += STATE;
    plan.threads = 2;
    let mut site = Site::start(plan)?;
    let session = Session::open(site.contact(PLACER)?).map_err(client)?;
    let mut held = template("class=play service=one")?;
    held.set("drmaa_js_state", "drmaa_hold").map_err(client)?;
    for _ in 0..live.div_ceil(1_000) {
        session
            .run_bulk_jobs(
                &held,
                Range {
                    first: 1,
                    last: 1_000,
                    step: 1,
                },
            )
            .map_err(client)?;
    }
    site.kill_placer(PLACER);
    let bytes = std::fs::metadata(site.state_folder(PLACER, "state").join("ledger"))?.len();
    let began = Instant::now();
    site.start_placer(PLACER)?;
    let open = began.elapsed();
    let stats = Operator::connect(site.contact(PLACER)?)
        .and_then(|mut operator| operator.stats())
        .map_err(client)?;
    writeln!(
        out,
        "\n{} live jobs: {:.0} bytes a job on the disk; killed, the placer answers again after {:.0} ms, of which \
         {:.0} ms are to open and check the ledger",
        stats.live,
        bytes as f64 / live.max(1) as f64,
        began.elapsed().as_secs_f64() * 1e3,
        open.as_secs_f64() * 1e3
    )?;
    Ok(())
}
