//! Plays the phases of a run one after another.

use std::time::{Duration, Instant};

use reedring_client::Session;
use reedring_node_protocol::{Counts, MessageKind};
use reedring_test_processes::ProcessError;

use super::ScaleError;
use super::cluster::{Cluster, PATIENCE};
use super::counts::PlacerCounts;
use super::measure::{Snapshot, Used, used};
use super::options::ScaleOptions;
use super::phase::{PhaseName, PhaseResult};

/// The placer that brings changes; it is restarted for that, and not measured.
pub const MAKER: usize = 0;
/// Between two looks that find nothing new, for the cluster to count as quiet.
const QUIET: Duration = Duration::from_millis(150);
/// A cluster that is not quiet for so long never will be.
const NEVER_QUIET: Duration = Duration::from_secs(10);

/// What a phase came to beside what was used in it.
#[derive(Debug, Default)]
pub struct Found {
    /// Events that it had.
    pub events: u64,
    /// Seconds until changes were in force.
    pub in_force: Vec<f64>,
    /// In words.
    pub notes: Vec<String>,
}

/// A cluster that plays phases.
pub struct Player<'a> {
    /// The cluster.
    pub cluster: &'a mut Cluster,
    /// What was asked for.
    pub options: &'a ScaleOptions,
    /// The measured placers.
    pub followers: Vec<usize>,
    /// A placer that is asked how it sees the nodes, so that the measured ones need not answer.
    pub observer: usize,
    /// Sessions whose tasks stand.
    pub sessions: Vec<Session>,
}

impl<'a> Player<'a> {
    /// Plays on a cluster whose placers run.
    pub fn new(cluster: &'a mut Cluster, options: &'a ScaleOptions) -> Self {
        let followers: Vec<usize> = cluster
            .real_placers()
            .into_iter()
            .filter(|n| *n != MAKER)
            .collect();
        // The last one is hollow wherever there are hollow ones.
        let observer = cluster.placers.len() - 1;
        Self {
            cluster,
            options,
            followers,
            observer,
            sessions: Vec::new(),
        }
    }

    /// Plays one phase, and measures what was used in it until the cluster is quiet again.
    ///
    /// # Errors
    /// Where it can't be played.
    pub fn play(&mut self, phase: PhaseName) -> Result<PhaseResult, ScaleError> {
        if phase == PhaseName::Idle {
            self.wait_asked()?;
        }
        self.wait_quiet()?;
        let before = Snapshot::take(self.cluster, &self.followers)?;
        let mut found = match phase {
            PhaseName::Idle => self.idle()?,
            PhaseName::Standing => self.standing()?,
            PhaseName::PlacerRestarted => self.placer_restarted()?,
            PhaseName::PlanChange => self.plan_change()?,
            PhaseName::ListChange => self.list_change()?,
            PhaseName::Starts => self.starts()?,
            PhaseName::Churn => self.churn()?,
            PhaseName::ZoneLost => self.zone_lost()?,
            PhaseName::RegionStill => self.region_still()?,
            PhaseName::RegionRefused => self.region_refused()?,
            PhaseName::PlacerKilled => self.placer_killed()?,
            PhaseName::FastChanges => self.fast_changes()?,
        };
        self.wait_quiet()?;
        let after = Snapshot::take(self.cluster, &self.followers)?;
        if phase == PhaseName::Standing {
            found
                .notes
                .push(self.bytes_per_task(&before, &after, found.events));
        }
        let Used {
            placer,
            node,
            control,
            kinds,
            node_kinds,
        } = used(self.cluster, &self.followers, &before, &after);
        let (
            elapsed,
            Found {
                events,
                in_force,
                notes,
            },
        ) = (after.at - before.at, found);
        Ok(PhaseResult {
            phase,
            elapsed,
            events,
            placer,
            node,
            control,
            kinds,
            node_kinds,
            in_force,
            notes,
        })
    }

    fn bytes_per_task(&self, before: &Snapshot, after: &Snapshot, tasks: u64) -> String {
        let placers = self.cluster.placers.len() as f64;
        let (at_placer, at_node) = (
            tasks as f64 / placers,
            tasks as f64 / self.cluster.nodes.len() as f64,
        );
        let placer = (after.placer_resident() - before.placer_resident()) / at_placer.max(1.0);
        let node = (after.node_resident() - before.node_resident()) / at_node.max(1.0);
        format!("resident bytes for each own task: {placer:.0} at a placer, {node:.0} at a node")
    }

    /// Waits until no messages come; a cluster on which work goes on never is that quiet, and is not waited for long.
    ///
    /// # Errors
    /// Where a process does not tell its counts.
    pub fn wait_quiet(&mut self) -> Result<(), ScaleError> {
        let until = Instant::now() + NEVER_QUIET;
        let look = |cluster: &mut Cluster| -> Result<_, ScaleError> {
            Ok((cluster.counts()?, cluster.control_counts()?))
        };
        let mut known = look(self.cluster)?;
        while Instant::now() < until {
            std::thread::sleep(QUIET);
            let counts = look(self.cluster)?;
            if counts == known {
                return Ok(());
            }
            known = counts;
        }
        Ok(())
    }

    /// Waits until the first measured placer has asked every node that votes once more what it keeps. Nothing else comes of
    /// an idle cluster, so a measurement from one such moment to another holds a whole number of these rounds.
    ///
    /// # Errors
    /// Where it does not ask in time.
    pub fn wait_asked(&mut self) -> Result<(), ScaleError> {
        let name = self.cluster.placers[self.followers[0]].spec.name.clone();
        // Where there are control machines, only they are asked.
        let (control, hollow) = (self.cluster.control.len(), self.cluster.hollow_nodes());
        let asked = |cluster: &mut Cluster| -> Result<u64, ScaleError> {
            let counts = if control > 0 {
                cluster.control_counts()?
            } else {
                cluster.counts()?
            };
            Ok(counts.of(&name).read[MessageKind::ConfigQuery as usize].messages)
        };
        let nodes = if control > 0 { control } else { hollow } as u64;
        let until = Instant::now() + PATIENCE;
        let known = asked(self.cluster)?;
        while asked(self.cluster)? < known + nodes {
            if Instant::now() > until {
                return Err(ProcessError::NotSeen {
                    process: name,
                    awaited: "every node was asked".to_owned(),
                    last_lines: String::new(),
                }
                .into());
            }
            std::thread::sleep(QUIET);
        }
        Ok(())
    }

    /// Compares what hollow placers and hollow nodes counted on their links, once nothing is under way.
    ///
    /// # Errors
    /// Where an end has read what the other never wrote.
    pub fn compare_counts(&mut self) -> Result<Agreement, ScaleError> {
        let until = Instant::now() + NEVER_QUIET;
        loop {
            self.wait_quiet()?;
            let (placers, nodes) = (self.cluster.placer_counts()?, self.cluster.counts()?);
            match compare(&placers, &nodes) {
                Ok(agreement) if agreement.lost == 0 || Instant::now() > until => {
                    return Ok(agreement);
                }
                Err(wrong) if Instant::now() > until => {
                    return Err(ScaleError::CountsDiffer(wrong));
                }
                _ => {}
            }
        }
    }

    /// Brings the next plan by a restart of the maker; seconds until it is in force at every placer that runs.
    ///
    /// # Errors
    /// Where it does not come in force.
    pub fn change(&mut self) -> Result<f64, ScaleError> {
        let asked = Instant::now();
        self.cluster.plan += 1;
        self.cluster.kill_placer(MAKER);
        self.cluster.start_placer(MAKER)?;
        self.cluster.wait_in_force()?;
        Ok(asked.elapsed().as_secs_f64())
    }
}

/// How far the counts of both ends of links agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Agreement {
    /// Messages that both ends counted.
    pub agreed: u64,
    /// Messages that one end wrote and the other did not read: their link was cut.
    pub lost: u64,
}

impl Agreement {
    fn add(&mut self, written: &Counts, read: &Counts) -> Result<(), MessageKind> {
        for kind in MessageKind::ALL {
            let (written, read) = (written[kind as usize], read[kind as usize]);
            if read.messages > written.messages || read.bytes > written.bytes {
                return Err(kind);
            }
            if read.messages == written.messages && read.bytes != written.bytes {
                return Err(kind);
            }
            self.agreed += read.messages;
            self.lost += written.messages - read.messages;
        }
        Ok(())
    }
}

/// Compares both ends, kind by kind and direction by direction.
fn compare(placers: &PlacerCounts, nodes: &PlacerCounts) -> Result<Agreement, String> {
    let mut agreement = Agreement::default();
    for (name, own) in &placers.0 {
        let theirs = nodes.of(name);
        let wrong = |kind: MessageKind| format!("{} of {name}", kind.name());
        agreement.add(&own.written, &theirs.read).map_err(wrong)?;
        agreement.add(&theirs.written, &own.read).map_err(wrong)?;
    }
    Ok(agreement)
}

#[cfg(test)]
mod tests;
