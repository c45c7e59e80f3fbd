//! Bad days: a script of troubles, played against placers and nodes while clients submit.
//!
//! A script is TOML: how large the site is, what is asked of it, and a list of events. Each event is one
//! of the verbs below; which nodes it hits, where the script does not name them, is drawn from the seed.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_audit::{Event as Record, Recorder, Report};
use reedring_client::{Operator, Session};
use reedring_drmaa::native::duration_us;
use reedring_node_simulator::{Config, Fault};
use serde::Deserialize;

use crate::owners::{Demand, Owners, Tally};
use crate::site::{Plan, Sabotage, Site, SiteError};

/// The bad day that is played where no script is given.
pub const DEFAULT: &str = include_str!("badday.toml");

/// What is wrong with a script, or went wrong as it was played.
#[derive(Debug, thiserror::Error)]
pub enum BadDayError {
    /// The text is wrong.
    #[error("{0}")]
    Script(String),
    /// The site failed.
    #[error("{0}")]
    Site(#[from] SiteError),
    /// The trace can't be read back.
    #[error("{0}")]
    Trace(#[from] reedring_audit::TraceError),
    /// A file could not be written or read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// A script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// How long clients submit; what they asked for is awaited afterwards.
    lasts: String,
    /// Placers.
    placers: usize,
    /// Settings of the placers, without their [placer] tables, as TOML in a text.
    settings: String,
    /// Seed, unless one is given on the command line.
    #[serde(default)]
    seed: u64,
    /// The stand-ins, as in a fleet's file.
    node: Vec<Config>,
    /// What is asked.
    demand: Vec<Demand>,
    /// What happens.
    #[serde(default)]
    event: Vec<Event>,
}

/// One event as the script has it: the verb, and what it needs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Event {
    at: String,
    r#do: Verb,
    /// These nodes.
    #[serde(default)]
    nodes: Vec<String>,
    /// All nodes of this hall.
    hall: Option<String>,
    /// So many nodes, drawn.
    count: Option<usize>,
    /// This placer; one is drawn where none is named.
    placer: Option<String>,
    /// How long it lasts.
    r#for: Option<String>,
    /// How many times as much.
    factor: Option<f64>,
    /// Part of the services.
    share: Option<f64>,
    class: Option<String>,
    tenant: Option<String>,
    /// The list alone says so; the node itself does not know that it drains.
    #[serde(default)]
    quiet: bool,
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Verb {
    /// Nodes die and come back cold. With `hall`, a hall goes dark.
    Crash,
    /// Nodes drain by the list, die, and come back, one after the other.
    Deploy,
    /// Nodes drain by the list, for a while.
    Drain,
    /// An operator drains nodes at every placer, for a while.
    DrainByHand,
    /// Nodes leave the list with their tasks, for a while.
    Gone,
    /// Nodes take asks and answer none.
    Hang,
    /// Nodes stand still.
    Pause,
    /// Nodes never answer one class.
    Deaf,
    /// Nodes refuse one tenant and name no reason.
    Throttle,
    /// Starts take longer.
    Slow,
    /// All links of nodes are cut.
    Cut,
    /// Nodes close their sending side of all links.
    HalfClose,
    /// More is asked.
    Burst,
    /// Owners end part of their services and ask for all of their tasks again.
    Resubmit,
    /// One placer gets more of what is asked.
    HotClient,
    /// A placer is killed and started again.
    PlacerKill,
    /// All placers are killed and started again, one after the other.
    PlacerRoll,
    /// A placer stands still.
    PlacerStall,
    /// Noise on every port.
    Noise,
    /// Connections that say nothing.
    Idle,
    /// A client that asks and never reads.
    Unread,
}

/// One step that the player makes.
enum Step {
    Kill(String),
    Start(String),
    List {
        node: String,
        health: Option<&'static str>,
        quiet: bool,
    },
    Hand(String, bool),
    Fault(String, Verb, Option<Trouble>),
    Pause(String, bool),
    Cut(String, bool),
    Factor(Option<String>, f64),
    Resubmit(f64),
    KillPlacer(String),
    StartPlacer(String),
    Stall(String, Duration),
    Noise,
    Idle(usize, Duration),
    Unread(Duration),
}

/// What a switched-on trouble is about.
struct Trouble {
    class: String,
    tenant: String,
    factor: f64,
}

/// How a bad day went.
#[derive(Debug)]
pub struct Day {
    /// The audit of its trace.
    pub report: Report,
    /// What owners were told.
    pub tally: Tally,
    /// How long it took.
    pub took: Duration,
    /// Records in the trace.
    pub frames: usize,
}

fn span(text: &str, key: &str) -> Result<Duration, BadDayError> {
    let us = duration_us(text);
    us.map(Duration::from_micros).ok_or_else(|| {
        BadDayError::Script(format!(
            "{key}: `{text}` is not a time such as \"250ms\" or \"20s\""
        ))
    })
}

impl Script {
    /// Reads a script; `file` is the name under which errors speak of it.
    ///
    /// # Errors
    /// What is wrong with it, with its line.
    pub fn parse(text: &str, file: &str) -> Result<Self, BadDayError> {
        let script: Self = toml::from_str(text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let line = text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1;
            BadDayError::Script(format!("{file}:{line}: {}", error.message()))
        })?;
        script
            .steps(&mut Pcg32::new(0, 0))
            .map_err(|error| BadDayError::Script(format!("{file}: {error}")))?;
        // The same checks as for a fleet's own file.
        let names: Vec<&str> = script.node.iter().map(|node| node.name.as_str()).collect();
        if let Some(n) = (1..names.len()).find(|n| names[..*n].contains(&names[*n])) {
            return Err(BadDayError::Script(format!(
                "{file}: node `{}` stands twice",
                names[n]
            )));
        }
        Ok(script)
    }

    fn picked(&self, event: &Event, draw: &mut Pcg32) -> Result<Vec<String>, BadDayError> {
        let all: Vec<String> = self.node.iter().map(|node| node.name.clone()).collect();
        if let Some(odd) = event.nodes.iter().find(|name| !all.contains(name)) {
            return Err(BadDayError::Script(format!(
                "event at {}: there is no node `{odd}`",
                event.at
            )));
        }
        if !event.nodes.is_empty() {
            return Ok(event.nodes.clone());
        }
        if let Some(hall) = &event.hall {
            let there = self.node.iter().filter(|node| node.hall == *hall);
            let there: Vec<String> = there.map(|node| node.name.clone()).collect();
            if there.is_empty() {
                return Err(BadDayError::Script(format!(
                    "event at {}: no node is in hall `{hall}`",
                    event.at
                )));
            }
            return Ok(there);
        }
        let mut left = all;
        let count = event.count.unwrap_or(1).min(left.len());
        Ok((0..count)
            .map(|_| left.remove(draw.next_u32() as usize % left.len()))
            .collect())
    }

    /// The events as single steps, by the time at which they are made.
    fn steps(&self, draw: &mut Pcg32) -> Result<Vec<(Duration, Step)>, BadDayError> {
        let mut steps: Vec<(Duration, Step)> = Vec::new();
        for event in &self.event {
            let at = span(&event.at, "at")?;
            let lasts = event
                .r#for
                .as_deref()
                .map_or(Ok(Duration::from_secs(1)), |text| span(text, "for"))?;
            let end = at + lasts;
            let factor = event.factor.unwrap_or(2.0);
            let listed = |node: &str, health| Step::List {
                node: node.to_owned(),
                health,
                quiet: event.quiet,
            };
            let nodes = self.picked(event, draw)?;
            let placer = match &event.placer {
                Some(name) => name.clone(),
                None => format!(
                    "placer-{}",
                    1 + draw.next_u32() as usize % self.placers.max(1)
                ),
            };
            match event.r#do {
                Verb::Crash => nodes.into_iter().for_each(|node| {
                    // They do not come back in the same instant.
                    let back = end + Duration::from_millis(u64::from(draw.next_u32() % 200));
                    steps.push((at, Step::Kill(node.clone())));
                    steps.push((back, Step::Start(node)));
                }),
                Verb::Deploy => {
                    let each = lasts / nodes.len().max(1) as u32;
                    for (n, node) in nodes.into_iter().enumerate() {
                        let from = at + each * n as u32;
                        steps.push((from, listed(&node, Some("draining"))));
                        steps.push((from + each / 2, Step::Kill(node.clone())));
                        steps.push((from + each * 3 / 4, Step::Start(node.clone())));
                        steps.push((from + each, listed(&node, Some("ready"))));
                    }
                }
                Verb::Drain | Verb::Gone => nodes.into_iter().for_each(|node| {
                    let word = (event.r#do == Verb::Drain).then_some("draining");
                    steps.push((at, listed(&node, word)));
                    steps.push((end, listed(&node, Some("ready"))));
                }),
                Verb::DrainByHand => nodes.into_iter().for_each(|node| {
                    steps.push((at, Step::Hand(node.clone(), true)));
                    steps.push((end, Step::Hand(node, false)));
                }),
                Verb::Hang | Verb::Deaf | Verb::Throttle | Verb::Slow => {
                    nodes.into_iter().for_each(|node| {
                        let class = event.class.clone().unwrap_or_default();
                        let tenant = event.tenant.clone().unwrap_or_default();
                        let trouble = Some(Trouble {
                            class,
                            tenant,
                            factor,
                        });
                        steps.push((at, Step::Fault(node.clone(), event.r#do, trouble)));
                        steps.push((end, Step::Fault(node, event.r#do, None)));
                    })
                }
                Verb::Pause => nodes.into_iter().for_each(|node| {
                    steps.push((at, Step::Pause(node.clone(), true)));
                    steps.push((end, Step::Pause(node, false)));
                }),
                Verb::Cut | Verb::HalfClose => {
                    let half = event.r#do == Verb::HalfClose;
                    steps.extend(nodes.into_iter().map(|node| (at, Step::Cut(node, half))));
                }
                Verb::Burst => {
                    steps.push((at, Step::Factor(None, factor)));
                    steps.push((end, Step::Factor(None, 1.0)));
                }
                Verb::HotClient => {
                    steps.push((at, Step::Factor(Some(placer.clone()), factor)));
                    steps.push((end, Step::Factor(Some(placer), 1.0)));
                }
                Verb::Resubmit => steps.push((at, Step::Resubmit(event.share.unwrap_or(0.5)))),
                Verb::PlacerKill => {
                    steps.push((at, Step::KillPlacer(placer.clone())));
                    steps.push((end, Step::StartPlacer(placer)));
                }
                Verb::PlacerRoll => {
                    let each = lasts / self.placers.max(1) as u32;
                    for n in 1..=self.placers {
                        let (name, from) = (format!("placer-{n}"), at + each * (n - 1) as u32);
                        steps.push((from, Step::KillPlacer(name.clone())));
                        steps.push((from + each / 2, Step::StartPlacer(name)));
                    }
                }
                Verb::PlacerStall => steps.push((at, Step::Stall(placer, lasts))),
                Verb::Noise => steps.push((at, Step::Noise)),
                Verb::Idle => steps.push((at, Step::Idle(event.count.unwrap_or(100), lasts))),
                Verb::Unread => steps.push((at, Step::Unread(lasts))),
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        Ok(steps)
    }

    /// Plays the script and audits its trace, which is kept at `trace` where a path is given.
    ///
    /// # Errors
    /// Where the site could not be run; a broken rule is no error but in the day's report.
    pub fn play(&self, seed: Option<u64>, trace: Option<&Path>) -> Result<Day, BadDayError> {
        self.play_sabotaged(seed, trace, Sabotage::default())
    }

    /// As [`Script::play`], with guards taken away.
    ///
    /// # Errors
    /// As [`Script::play`].
    pub fn play_sabotaged(
        &self,
        seed: Option<u64>,
        trace: Option<&Path>,
        sabotage: Sabotage,
    ) -> Result<Day, BadDayError> {
        let began = Instant::now();
        let seed = seed.unwrap_or(self.seed);
        let recorder = match trace {
            Some(path) => Recorder::create(path)?,
            None => Recorder::in_memory(),
        };
        let recorder = Arc::new(recorder);
        let mut site = Site::start(Plan {
            nodes: self.node.clone(),
            placers: self.placers,
            settings: self.settings.clone(),
            seed,
            recorder: Some(Arc::clone(&recorder)),
            threads: 1,
            listen: None,
            state_dir: None,
            sabotage,
        })?;
        let mut owners = Owners::open(&site, &self.demand, seed)?;
        let lasts = span(&self.lasts, "lasts")?;
        let mut player = Player {
            troubles: BTreeMap::new(),
            draw: Pcg32::new(seed, 3),
            stays: Vec::new(),
        };
        let start = Instant::now();
        for (at, step) in self.steps(&mut Pcg32::new(seed, 2))? {
            sleep(at.saturating_sub(start.elapsed()));
            player.make(&mut site, &mut owners, step)?;
        }
        sleep(lasts.saturating_sub(start.elapsed()));
        let tally = owners.finish(&site);
        drop(site);
        let kept = recorder.finish()?;
        let bytes = match trace {
            Some(path) => std::fs::read(path)?,
            None => kept,
        };
        let frames = reedring_audit::read(&bytes)?;
        let report = reedring_audit::audit(&frames);
        Ok(Day {
            report,
            tally,
            took: began.elapsed(),
            frames: frames.len(),
        })
    }
}

struct Player {
    /// The troubles that are on, by node.
    troubles: BTreeMap<String, Fault>,
    draw: Pcg32,
    /// Connections that are held open, and until when.
    stays: Vec<(Instant, Vec<TcpStream>)>,
}

impl Player {
    #[expect(
        clippy::too_many_lines,
        reason = "one arm for each step of a script; to be split when the package is reworked"
    )]
    fn make(
        &mut self,
        site: &mut Site,
        owners: &mut Owners,
        step: Step,
    ) -> Result<(), BadDayError> {
        let note = |site: &Site, words: String| {
            if let Some(recorder) = site.recorder() {
                recorder.record(Record::Script, "", "", 0, words.as_bytes());
            }
            tracing::info!("{words}");
        };
        self.stays.retain(|(until, _)| Instant::now() < *until);
        match step {
            Step::Kill(node) => {
                note(site, format!("{node} dies"));
                site.kill_node(&node)?;
            }
            Step::Start(node) => {
                note(site, format!("{node} starts"));
                self.troubles.remove(&node);
                site.start_node(&node)?;
            }
            Step::List {
                node,
                health,
                quiet,
            } => {
                note(
                    site,
                    format!("{node} is listed {}", health.unwrap_or("no more")),
                );
                if let Some(handle) = site.node(&node).filter(|_| !quiet) {
                    handle.drain(health != Some("ready"));
                }
                site.list_node(&node, health)?;
            }
            Step::Hand(node, drain) => {
                note(site, format!("{node} is drained by hand: {drain}"));
                let contacts: Vec<String> = site
                    .placers()
                    .filter_map(|placer| site.contact(placer).ok().map(str::to_owned))
                    .collect();
                for contact in contacts {
                    // A placer that is down just now is not told; its successor knows of no hand.
                    let told = Operator::connect(&contact)
                        .and_then(|mut operator| operator.drain(&node, drain));
                    if let Err(error) = told {
                        tracing::warn!(%error, "the drain was not told");
                    }
                }
            }
            Step::Fault(node, verb, trouble) => {
                note(
                    site,
                    format!(
                        "{node}: {verb:?} {}",
                        if trouble.is_some() { "on" } else { "off" }
                    ),
                );
                let fault = self.troubles.entry(node.clone()).or_default();
                match (verb, trouble) {
                    (Verb::Hang, on) => fault.hangs = on.is_some(),
                    (Verb::Deaf, Some(on)) => drop(fault.deaf_to.insert(on.class)),
                    (Verb::Deaf, None) => fault.deaf_to.clear(),
                    (Verb::Throttle, Some(on)) => drop(fault.throttles.insert(on.tenant)),
                    (Verb::Throttle, None) => fault.throttles.clear(),
                    (_, on) => fault.slow = on.map_or(0.0, |on| on.factor),
                }
                if let Some(handle) = site.node(&node) {
                    handle.fault(fault.clone());
                }
            }
            Step::Pause(node, pauses) => {
                note(site, format!("{node} stands still: {pauses}"));
                if let Some(handle) = site.node(&node) {
                    handle.pause(pauses);
                }
            }
            Step::Cut(node, half) => {
                note(site, format!("links of {node} are cut, half: {half}"));
                if let Some(handle) = site.node(&node) {
                    handle.cut(half);
                }
            }
            Step::Factor(placer, factor) => {
                note(
                    site,
                    format!(
                        "{} is asked {factor} times as much",
                        placer.as_deref().unwrap_or("every placer")
                    ),
                );
                owners.factor(placer.as_deref(), factor);
            }
            Step::Resubmit(share) => {
                note(
                    site,
                    format!("owners ask again for {share} of their services"),
                );
                owners.resubmit(share);
            }
            Step::KillPlacer(name) => {
                note(site, format!("{name} is killed"));
                site.kill_placer(&name);
            }
            Step::StartPlacer(name) => {
                note(site, format!("{name} starts"));
                site.start_placer(&name)?;
            }
            Step::Stall(name, time) => {
                note(site, format!("{name} stands still for {time:?}"));
                site.stall_placer(&name, time);
            }
            Step::Noise => {
                note(site, "noise on every port".to_owned());
                for address in ports(site) {
                    let noise: Vec<u8> =
                        (0..64 * 1024).map(|_| self.draw.next_u32() as u8).collect();
                    // A port that closes on it has understood.
                    let _ = TcpStream::connect(&address)
                        .and_then(|mut stream| stream.write_all(&noise));
                }
            }
            Step::Idle(count, time) => {
                note(site, format!("{count} idle connections to each placer"));
                let contacts = placer_ports(site);
                let open = |address: &String| TcpStream::connect(address).ok();
                let idle = contacts
                    .iter()
                    .flat_map(|address| (0..count).filter_map(move |_| open(address)));
                self.stays.push((Instant::now() + time, idle.collect()));
            }
            Step::Unread(time) => {
                note(site, "a client that never reads".to_owned());
                let ask = reedring_drmaa::framing::wrap(
                    br#"{"jsonrpc":"2.0","id":1,"method":"reedring_jobs","params":{"limit":1000}}"#,
                );
                for address in placer_ports(site) {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        continue;
                    };
                    let _ = stream.set_write_timeout(Some(Duration::from_millis(20)));
                    for _ in 0..1_000 {
                        if stream.write_all(&ask).is_err() {
                            break;
                        }
                    }
                    self.stays.push((Instant::now() + time, vec![stream]));
                }
            }
        }
        Ok(())
    }
}

fn placer_ports(site: &Site) -> Vec<String> {
    let contacts = site
        .placers()
        .filter_map(|placer| site.contact(placer).ok());
    contacts
        .filter_map(|contact| contact.strip_prefix("tcp:").map(str::to_owned))
        .collect()
}

fn ports(site: &Site) -> Vec<String> {
    let nodes = site
        .nodes()
        .filter_map(|node| site.node(node).map(|handle| handle.address().to_string()));
    placer_ports(site).into_iter().chain(nodes).collect()
}

/// A session at each placer.
pub(crate) fn session(site: &Site, placer: &str) -> Result<Session, SiteError> {
    Ok(Session::open(site.contact(placer)?)?)
}
