//! Trials of the fleet's plan: changes that come in force or are withdrawn under faults, stragglers that are brought up
//! or shut out, and cold nodes that nobody pushes over meanwhile.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring_audit::Report;

use crate::fleet::{Fleet, NodeFile, Site, TrialError};
use crate::load::{Load, Outcomes};

/// How long a change may take to come in force once faults are over.
pub const SETTLES: Duration = Duration::from_secs(25);
/// How long owners are waited for: longer than any class's patience.
const OWNERS: Duration = Duration::from_secs(40);

/// What a fleet of a trial shares: a plan of this number, for so many placers. Number 0 is no plan.
pub fn settings(number: u64, placers: u32) -> String {
    settings_with(number, placers, "", "")
}

/// The same, with more lines of `[plan]` and of `[site]`.
pub fn settings_with(number: u64, placers: u32, plan: &str, site: &str) -> String {
    let plan = if number > 0 {
        format!("[plan]\nnumber = {number}\nlease = \"4s\"\n{plan}")
    } else {
        String::new()
    };
    format!(
        r#"{plan}
[site]
placers = {placers}
accepts_cores = 2.0
accepts_memory = 1.5
mean_cores = 0.1
mean_memory = 0.1
may_probe = true
drain_grace = "500ms"
warm_after = "18s"
cold_window = "2s"
cold_offers = 40.0
{site}

[limits]
settle = "500ms"

[links]
connect = "250ms"
reattach = "300ms"
stop_wait = "300ms"
lost_after = "3s"

[[kind]]
name = "stand-in"
cores = 32.0
memory = 96.0

[[class]]
name = "play"
repeat = "safe"
aim = "700ms"
give_up = "8s"
again_after = "300ms"

[[class]]
name = "capture"
repeat = "keyed"
group = "hall"
window = "3s"
aim = "600ms"
give_up = "8s"

[[class]]
name = "edition"
repeat = "unsafe"
aim = "1s"
give_up = "8s"
"#
    )
}

/// A node that is cold for as long as the trial lasts, and falls over under too many offers.
pub fn cold() -> NodeFile {
    NodeFile {
        lines: "warm_ms = 18000\ncold_pace = 0.18\ncold_offers = 40\ncold_window_ms = 2000\n"
            .to_owned(),
        ..NodeFile::default()
    }
}

/// A node that keeps its memory of plans, and votes again soon after it lost it.
pub fn keeping() -> NodeFile {
    NodeFile {
        lines: "vote_after_ms = 2000\n".to_owned(),
        keeps: true,
        file_kib: None,
    }
}

/// What the starting trial came to.
#[derive(Debug)]
pub struct Stragglers {
    /// Nodes that fell over.
    pub fallen: usize,
    /// What owners were told.
    pub outcomes: Outcomes,
    /// What the audit found.
    pub report: Report,
}

/// Four placers and three cold nodes, and 150 short jobs at each placer at once; one placer is left on an older file,
/// which names a single placer. With `plans` the files tell which plan they are.
///
/// # Errors
/// Where it can't be played.
pub fn straggler(program: &Path, plans: bool) -> Result<Stragglers, TrialError> {
    let (old, new) = if plans { (1, 2) } else { (0, 0) };
    let site = Site {
        program: program.to_owned(),
        seed: 1,
        settings: settings(new, 4),
    };
    let mut fleet = Fleet::new(site)?;
    for n in 1..=3 {
        fleet.add_node(&format!("node-{n}"), cold())?;
    }
    for n in 1..=3 {
        fleet.add_placer(&format!("placer-{n}"), None)?;
    }
    fleet.add_placer("placer-4", Some(&settings(old, 1)))?;
    let (mut loads, mut outcomes) = (Vec::new(), Outcomes::default());
    for name in fleet.placers() {
        loads.push(Load::start(
            &fleet.contact(&name),
            &["play"],
            150,
            50,
            None,
        )?);
    }
    for load in loads {
        outcomes.add(load.end(OWNERS)?);
    }
    let fallen = (1..=3)
        .filter(|n| !fleet.node_listens(&format!("node-{n}")))
        .count();
    Ok(Stragglers {
        fallen,
        outcomes,
        report: fleet.audit()?,
    })
}

/// What one round came to.
#[derive(Debug)]
pub struct Round {
    /// Its seed.
    pub seed: u64,
    /// What was done to the fleet.
    pub faults: Vec<String>,
    /// From the end of the faults until every placer acted by the new plan, or was shut out.
    pub settled: Duration,
    /// What owners were told.
    pub outcomes: Outcomes,
    /// What the audit found.
    pub report: Report,
}

impl Round {
    /// No rule was broken, and every owner has its answer.
    pub fn is_clean(&self) -> bool {
        self.report.breaches.is_empty() && self.outcomes.untold.is_empty()
    }
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {}", self.seed, self.faults.join("; "))?;
        self.report
            .plans
            .iter()
            .try_for_each(|line| writeln!(f, "  {line}"))?;
        for breach in &self.report.breaches {
            writeln!(f, "  broken rule {}: {}", breach.rule as u8, breach.text)?;
        }
        let Outcomes {
            taken,
            turned_away,
            ended,
            untold,
        } = &self.outcomes;
        let settled = self.settled.as_secs_f64();
        write!(
            f,
            "  settled {settled:.2} s after the last fault; {taken} jobs, {turned_away} calls turned away, {ended:?}, \
             {} untold",
            untold.len()
        )
    }
}

/// Waits until a placer that runs acts by a plan of this number alone.
///
/// # Errors
/// Where it does not in time.
pub fn acts_by(
    fleet: &Fleet,
    placer: &str,
    from: usize,
    number: u64,
    within: Duration,
) -> Result<(), TrialError> {
    let wanted = format!("active configuration: {number}/");
    fleet
        .wait_placer(placer, from, within, |line| line.contains(&wanted))
        .map(drop)
}

/// One change of the plan, under faults that are drawn from the seed.
///
/// # Errors
/// Where it can't be played, or the change does not come in force in time.
#[expect(
    clippy::too_many_lines,
    reason = "one arm for each fault; to be split when the package is reworked"
)]
pub fn round(program: &Path, seed: u64) -> Result<Round, TrialError> {
    let mut draw = Pcg32::new(seed, 11);
    let mut below = move |most: u32| draw.next_u32() % most;
    // Each tenth is a large one.
    let (placers, nodes) = if seed.is_multiple_of(10) {
        (8 + below(5), 15 + below(6))
    } else {
        (3 + below(2), 5 + below(3))
    };
    let site = Site {
        program: program.to_owned(),
        seed,
        settings: settings(1, placers),
    };
    let mut fleet = Fleet::new(site)?;
    for n in 1..=nodes {
        let mut file = keeping();
        if below(3) == 0 {
            file.lines.push_str(&cold().lines);
        }
        fleet.add_node(&format!("node-{n}"), file)?;
    }
    for n in 1..=placers {
        fleet.add_placer(&format!("placer-{n}"), None)?;
    }
    let names = fleet.placers();
    for name in &names {
        acts_by(&fleet, name, 0, 1, SETTLES)?;
    }
    let mut loads = Vec::new();
    for name in &names {
        let classes = ["play", "capture", "edition"];
        loads.push(Load::start(
            &fleet.contact(name),
            &classes,
            2,
            150,
            Some(Duration::from_millis(60)),
        )?);
    }
    // The change: the file of one placer, or of two that do not agree.
    let two = below(3) == 0;
    let mut faults = Vec::new();
    let mut marks: Vec<usize> = Vec::new();
    for name in &names {
        marks.push(fleet.placer(name)?.line_count());
    }
    let mut change = |fleet: &mut Fleet, n: usize, grace: &str| -> Result<(), TrialError> {
        let site = format!("max_attempts = 3\nprice_fleet = {grace}");
        fleet.settings_of(&names[n], &settings_with(2, placers + 1, "", &site));
        fleet.kill_placer(&names[n]);
        marks[n] = 0;
        fleet.start_placer(&names[n])
    };
    change(&mut fleet, 0, "0.1")?;
    faults.push(format!(
        "{placers} placers, {nodes} nodes; placer-1 brings plan 2"
    ));
    if two {
        change(&mut fleet, 1, "0.2")?;
        faults.push("placer-2 brings another".to_owned());
    }
    for _ in 0..2 + below(2) {
        let (n, p) = (1 + below(nodes), below(placers) as usize);
        let (node, name) = (format!("node-{n}"), names[p].clone());
        let held = Duration::from_millis(u64::from(200 + below(1_200)));
        match below(8) {
            0 => {
                faults.push(format!("{name} stands still for {held:?}"));
                fleet.stand_still(&name, held)?;
            }
            1 => {
                faults.push(format!("{name} is killed"));
                fleet.kill_placer(&name);
                marks[p] = 0;
                fleet.start_placer(&name)?;
            }
            2 => {
                faults.push(format!("{node} dies and comes back"));
                fleet.kill_node(&node);
                fleet.start_node(&node)?;
            }
            3 => {
                faults.push(format!("{node} is replaced by an empty one"));
                fleet.kill_node(&node);
                fleet.empty_node(&node)?;
                fleet.start_node(&node)?;
            }
            4 => {
                // One way: what it sends arrives late and at once, or what it is told does.
                let back = below(2) == 0;
                faults.push(format!(
                    "{name} {} for {held:?}",
                    if back {
                        "hears nothing"
                    } else {
                        "is not heard"
                    }
                ));
                let hold = |mode: &mut crate::Mode, held: bool| {
                    *(if back {
                        &mut mode.holds_back
                    } else {
                        &mut mode.holds_there
                    }) = held;
                };
                fleet
                    .relays
                    .set(|placer, _| placer == name, |mode| hold(mode, true));
                std::thread::sleep(held);
                fleet
                    .relays
                    .set(|placer, _| placer == name, |mode| hold(mode, false));
            }
            5 => {
                let half = below(2) == 0;
                faults.push(format!("links of {node} are cut, half: {half}"));
                let change =
                    |mode: &mut crate::Mode| if half { mode.half += 1 } else { mode.cut += 1 };
                fleet.relays.set(|_, to| to == node, change);
            }
            6 => {
                // It goes on with what it has, and can't keep more until it starts again.
                faults.push(format!("the folder of {node} is gone"));
                fleet.empty_node(&node)?;
            }
            _ => {
                faults.push(format!("{name} is cut off for {held:?}"));
                fleet.relays.set(
                    |placer, _| placer == name,
                    |mode| (mode.cut, mode.refuses) = (mode.cut + 1, true),
                );
                std::thread::sleep(held);
                fleet
                    .relays
                    .set(|placer, _| placer == name, |mode| mode.refuses = false);
            }
        }
        fleet.tell(faults.last().map_or("", String::as_str));
    }
    let healed = Instant::now();
    for (name, mark) in names.iter().zip(&marks) {
        acts_by(&fleet, name, *mark, 2, SETTLES)?;
    }
    let settled = healed.elapsed();
    let mut outcomes = Outcomes::default();
    for load in loads {
        outcomes.add(load.end(OWNERS)?);
    }
    Ok(Round {
        seed,
        faults,
        settled,
        outcomes,
        report: fleet.audit()?,
    })
}
