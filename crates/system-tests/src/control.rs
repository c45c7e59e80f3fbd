//! Trials of control machines: they alone vote on plans and renew the lease, and a minority of them is killed again and
//! again while the plan changes. All other nodes are learners.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::fleet::{Fleet, NodeFile, Site, TrialError};
use crate::load::{Load, Outcomes};
use crate::versions::{Round, SETTLES, acts_by, cold, keeping, settings, settings_with};

/// How long owners are waited for: longer than any class's patience.
const OWNERS: Duration = Duration::from_secs(40);
/// Changes of the plan in a round; control machines are killed in each.
const CHANGES: u64 = 4;

/// A node that keeps no plan and casts no vote.
pub fn learner() -> NodeFile {
    NodeFile {
        lines: "votes = false\n".to_owned(),
        ..NodeFile::default()
    }
}

/// A learner that is cold for as long as a trial lasts.
pub fn cold_learner() -> NodeFile {
    NodeFile {
        lines: format!("votes = false\n{}", cold().lines),
        ..NodeFile::default()
    }
}

/// The name of a control machine, from 1.
pub fn voter_name(n: u32) -> String {
    format!("control-{n}")
}

/// The name of a learner, from 1.
pub fn learner_name(n: u32) -> String {
    format!("node-{n}")
}

/// A fleet of these control machines and learners whose placers all act by plan 1.
///
/// # Errors
/// Where it can't be started.
pub fn fleet(
    program: &Path,
    seed: u64,
    placers: u32,
    voters: Vec<NodeFile>,
    learners: Vec<NodeFile>,
) -> Result<Fleet, TrialError> {
    let site = Site {
        program: program.to_owned(),
        seed,
        settings: settings(1, placers),
    };
    let mut fleet = Fleet::new(site)?;
    for (n, file) in (1..).zip(voters) {
        fleet.add_node(&voter_name(n), file)?;
        fleet.mark_control(&voter_name(n));
    }
    for (n, file) in (1..).zip(learners) {
        fleet.add_node(&learner_name(n), file)?;
    }
    for n in 1..=placers {
        fleet.add_placer(&format!("placer-{n}"), None)?;
    }
    for name in fleet.placers() {
        acts_by(&fleet, &name, 0, 1, SETTLES)?;
    }
    Ok(fleet)
}

/// What one round came to.
#[derive(Debug)]
pub struct ControlRound {
    /// Control machines that were killed.
    pub kills: u32,
    /// All else.
    pub round: Round,
}

impl fmt::Display for ControlRound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; {} control machines killed", self.round, self.kills)
    }
}

/// Kills a minority of the control machines at once and starts them again, one of them perhaps without its memory.
fn kill_minority(
    fleet: &mut Fleet,
    voters: u32,
    below: &mut impl FnMut(u32) -> u32,
) -> Result<(u32, String), TrialError> {
    let most = (voters - 1) / 2;
    let (first, count) = (below(voters), 1 + below(most));
    let down = Duration::from_millis(u64::from(below(1_500)));
    let empties = below(4) == 0;
    let names: Vec<String> = (0..count)
        .map(|n| voter_name(1 + (first + n) % voters))
        .collect();
    names.iter().for_each(|name| fleet.kill_node(name));
    std::thread::sleep(down);
    if empties {
        fleet.empty_node(&names[0])?;
    }
    names.iter().try_for_each(|name| fleet.start_node(name))?;
    let lost = if empties {
        ", the first one replaced by an empty one"
    } else {
        ""
    };
    Ok((
        count,
        format!("{} down for {down:?}{lost}", names.join(" and ")),
    ))
}

/// Changes of the plan, a minority of the control machines killed in each, by what is drawn from the seed.
///
/// # Errors
/// Where it can't be played, or a change does not come in force in time.
pub fn round(program: &Path, seed: u64) -> Result<ControlRound, TrialError> {
    let mut draw = Pcg32::new(seed, 12);
    let mut below = move |most: u32| draw.next_u32() % most;
    let (voters, learners, placers) = (3 + 2 * below(2), 4 + below(3), 3);
    let kind = |cold: bool| if cold { cold_learner() } else { learner() };
    let learner_files = (0..learners).map(|_| kind(below(3) == 0)).collect();
    let mut fleet = fleet(
        program,
        seed,
        placers,
        vec![keeping(); voters as usize],
        learner_files,
    )?;
    let names = fleet.placers();
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
    let mut faults = vec![format!(
        "{placers} placers, {voters} voters, {learners} learners"
    )];
    let (mut kills, mut settled) = (0, Duration::ZERO);
    for change in 0..CHANGES {
        let number = change + 2;
        let mut marks = Vec::new();
        for name in &names {
            marks.push(fleet.placer(name)?.line_count());
        }
        let by = below(placers) as usize;
        fleet.settings_of(
            &names[by],
            &settings_with(number, placers, "", &format!("max_attempts = {number}")),
        );
        fleet.kill_placer(&names[by]);
        marks[by] = 0;
        fleet.start_placer(&names[by])?;
        for _ in 0..1 + below(2) {
            let (count, fault) = kill_minority(&mut fleet, voters, &mut below)?;
            kills += count;
            fleet.tell(&fault);
            faults.push(format!("plan {number} by {}: {fault}", names[by]));
        }
        let healed = Instant::now();
        for (name, mark) in names.iter().zip(&marks) {
            acts_by(&fleet, name, *mark, number, SETTLES)?;
        }
        settled = settled.max(healed.elapsed());
    }
    let mut outcomes = Outcomes::default();
    for load in loads {
        outcomes.add(load.end(OWNERS)?);
    }
    let round = Round {
        seed,
        faults,
        settled,
        outcomes,
        report: fleet.audit()?,
    };
    Ok(ControlRound { kills, round })
}
