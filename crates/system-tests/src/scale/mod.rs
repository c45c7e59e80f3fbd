//! Scale runs: a cluster of many nodes and several placers on one machine, with what it costs counted.
//!
//! Three placers and three nodes are the real programs, each a process of its own, which is measured from `/proc`.
//! All others are *hollow*: the real protocol over loopback sockets with the real cores behind it, many to a process.
//! Nothing is estimated: hollow nodes count each message and its bytes by kind and placer, and hollow placers count the
//! same, so that both ends of a link can be compared: they differ by what was on links that were cut.
//!
//! One real placer brings changes - today that takes a file with the next plan and a restart - and is not measured;
//! the other real ones only follow, as nearly all placers do in each change. Phases ([`phase::PhaseName`]) are played
//! one after another, each until no message is under way, so that the cost of control is apart from that of work.
//!
//! Every process of a run ends with it: by its handle, by the closing of its standard input, and by the system's signal
//! for a parent that died. A run that does not fit in memory, descriptors, processes, links or addresses is refused
//! before anything starts ([`needs::fits`]).

mod changes;
mod cluster;
pub mod counts;
mod faults;
mod files;
pub mod hollow;
mod interrupt;
pub mod layout;
pub mod lifeline;
mod measure;
pub mod needs;
mod options;
pub mod phase;
mod player;
mod process_stat;
mod report;
pub mod slopes;
mod topology;
mod work;

use std::io::{self, Write};
use std::path::Path;

use reedring_capacity::measurement::{RunFileError, ValidationError};
use reedring_test_processes::ProcessError;

use crate::TrialError;
use cluster::Cluster;
use measure::Snapshot;
use needs::DoesNotFit;
pub use options::ScaleOptions;
use phase::PhaseName;
pub use player::Agreement;
use player::Player;
pub use report::Report;

/// Placers at least: one that brings changes and one that is measured.
const FEWEST_PLACERS: usize = 2;
/// Nodes at least: one in each zone, so that every phase has nodes to act on.
const FEWEST_NODES: usize = 12;

/// Why a run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// It would not fit on this machine.
    #[error("scale: {0}")]
    DoesNotFit(#[from] DoesNotFit),
    /// An option has a value that no run can be played with.
    #[error("scale: --{option}: {value} is not possible, {bound}")]
    Option {
        /// The option.
        option: &'static str,
        /// What it was told.
        value: String,
        /// What it may be.
        bound: &'static str,
    },
    /// A file or a socket.
    #[error("scale: {0}")]
    Io(#[from] io::Error),
    /// A process.
    #[error("scale: {0}")]
    Process(#[from] ProcessError),
    /// A client's call.
    #[error("scale: {0}")]
    Client(#[from] reedring_client::drmaa::Error),
    /// A load of clients.
    #[error("scale: {0}")]
    Trial(#[from] TrialError),
    /// A hollow process answered something else.
    #[error("scale: a hollow process answered: {0}")]
    Refused(String),
    /// An end of a link counted messages that the other did not.
    #[error("scale: one end of a link has read what the other never wrote: {0}")]
    CountsDiffer(String),
    /// The run file can't be read.
    #[error("scale: run file: {0}")]
    RunFile(#[from] RunFileError),
    /// What was measured is no run.
    #[error("scale: run file: {0}")]
    Invalid(#[from] ValidationError),
}

fn check(options: &ScaleOptions) -> Result<(), ScaleError> {
    let wrong = |option, value: String, bound| {
        Err(ScaleError::Option {
            option,
            value,
            bound,
        })
    };
    if options.placers < FEWEST_PLACERS {
        return wrong("placers", options.placers.to_string(), "it is at least 2");
    }
    if options.nodes < FEWEST_NODES {
        return wrong("nodes", options.nodes.to_string(), "it is at least 12");
    }
    let positive = [
        ("lease", options.lease),
        ("window", options.window),
        ("changes-per-hour", options.changes_per_hour),
        ("starts-per-second", options.starts()),
    ];
    for (option, value) in positive {
        if !(value.is_finite() && value > 0.0) {
            return wrong(option, value.to_string(), "it is a number over 0");
        }
    }
    if !(options.fast_seconds.is_finite() && options.fast_seconds >= 0.0) {
        return wrong(
            "fast-seconds",
            options.fast_seconds.to_string(),
            "it is a number from 0 on",
        );
    }
    Ok(())
}

/// Plays a run, telling what it does line by line; `program` is this very program, for the processes.
///
/// # Errors
/// Where it does not fit, or can't be played.
pub fn play(
    program: &Path,
    options: &ScaleOptions,
    out: &mut dyn Write,
) -> Result<Report, ScaleError> {
    check(options)?;
    let limits = layout::limits();
    let layout = options.layout(limits.descriptors);
    needs::fits(&layout.needs(), &limits)?;
    let mut report = Report::new(options);
    let mut cluster = Cluster::start(program, options, &layout)?;
    let empty = Snapshot::take(&mut cluster, &[])?;
    cluster.start_placers(layout.placers_per_process)?;
    for (name, id) in cluster.process_ids() {
        writeln!(out, "process {id} {name}")?;
    }
    cluster.wait_in_force()?;
    for placer in 0..cluster.placers.len() {
        cluster.wait_nodes(placer, "a link to every node", |lines| {
            lines.len() == options.nodes + options.control && lines.iter().all(|line| line.linked)
        })?;
    }
    writeln!(out, "all placers have a link to every node")?;
    let mut player = Player::new(&mut cluster, options);
    report.notes.push(bytes_per_link(&mut player, &empty)?);
    let mut cut = false;
    for phase in PhaseName::ALL
        .into_iter()
        .filter(|phase| options.plays(*phase))
    {
        if phase.cuts_links() && !cut {
            report.agreement = player.compare_counts()?;
            cut = true;
        }
        let result = player.play(phase)?;
        writeln!(
            out,
            "{} took {:.2} s",
            phase.name(),
            result.elapsed.as_secs_f64()
        )?;
        report.phases.push(result);
    }
    if !cut {
        report.agreement = player.compare_counts()?;
    }
    Ok(report)
}

fn bytes_per_link(player: &mut Player<'_>, empty: &Snapshot) -> Result<String, ScaleError> {
    let linked = Snapshot::take(player.cluster, &player.followers.clone())?;
    let at_node =
        (linked.node_resident() - empty.node_resident()) / player.cluster.placers.len() as f64;
    let at_placer = linked.placer_resident() / player.cluster.nodes.len() as f64;
    Ok(format!(
        "resident bytes once linked: {at_node:.0} more at a node for each placer; all of a placer divided by its nodes \
         is {at_placer:.0}"
    ))
}
