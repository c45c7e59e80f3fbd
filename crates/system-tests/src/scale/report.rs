//! What a run found, as a table and as a run of a run file.

use std::fmt::Write as _;
use std::path::Path;

use reedring_capacity::measurement::{Measurement, Quantity, Role, Run, RunFile, Size};

use super::ScaleError;
use super::options::ScaleOptions;
use super::phase::{KindUsage, PhaseName, PhaseResult, Usage};
use super::player::Agreement;

/// Seconds of an hour.
const HOUR: f64 = 3_600.0;
/// Bytes of a MiB.
const MIB: f64 = 1_048_576.0;

/// What a run found.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// What was asked for.
    pub size: Size,
    /// The command that repeats it.
    pub command: String,
    /// Its seed.
    pub seed: u64,
    /// What was measured, phase by phase.
    pub phases: Vec<PhaseResult>,
    /// What else was found, in words.
    pub notes: Vec<String>,
    /// How far both ends of all links between hollow processes agreed.
    pub agreement: Agreement,
}

impl Report {
    /// A report without phases yet.
    pub fn new(options: &ScaleOptions) -> Self {
        Self {
            size: Size {
                nodes: options.nodes as u32,
                placers: options.placers as u32,
                changes_per_hour: 0.0,
                running_tasks: options.running_tasks() as u32,
                teams: options.teams as u32,
                control_machines: options.control as u32,
            },
            command: options.command(),
            seed: options.seed,
            phases: Vec::new(),
            notes: Vec::new(),
            agreement: Agreement::default(),
        }
    }

    /// The table, one line a phase.
    pub fn table(&self) -> String {
        let Size {
            nodes,
            placers,
            running_tasks,
            teams,
            ..
        } = self.size;
        let mut text = format!(
            "{nodes} nodes, {placers} placers, {running_tasks} tasks, {teams} teams, {}\n{HEAD}\n",
            mechanism(self.size.control_machines)
        );
        self.phases
            .iter()
            .for_each(|phase| text.push_str(&line(phase)));
        text.push_str(
            "one real placer that only follows, and one real node; control: links and plans\n",
        );
        for (phase, usage) in self
            .phases
            .iter()
            .filter_map(|phase| Some((phase, phase.control?)))
        {
            let Usage {
                processor,
                resident,
                control_messages,
                control_bytes,
                ..
            } = usage;
            let (name, mib) = (phase.phase.name(), resident / MIB);
            let _ = writeln!(
                text,
                "  a control machine in {name}: cpu {processor:.3} s, {mib:.1} MiB, {control_messages:.0} messages of \
                 control, {control_bytes:.0} bytes"
            );
        }
        text.push_str("messages and bytes of that placer by kind, each phase by itself\n");
        self.phases
            .iter()
            .for_each(|phase| text.push_str(&kinds(phase, &phase.kinds)));
        text.push_str("messages and bytes of a node by kind\n");
        self.phases
            .iter()
            .for_each(|phase| text.push_str(&kinds(phase, &phase.node_kinds)));
        for phase in &self.phases {
            for note in &phase.notes {
                let _ = writeln!(text, "  {}: {note}", phase.phase.name());
            }
        }
        let Agreement { agreed, lost } = self.agreement;
        let _ = writeln!(
            text,
            "  both ends of hollow links counted {agreed} messages alike, {lost} were lost on cut links"
        );
        self.notes
            .iter()
            .for_each(|note| text.push_str(&format!("  {note}\n")));
        text
    }

    /// The run as run files have it.
    pub fn run(&self) -> Run {
        let mut measurements: Vec<Measurement> = Vec::new();
        let played = self.phases.iter().enumerate();
        for measured in played.flat_map(|(number, phase)| self.measurements(number, phase)) {
            let same = |other: &Measurement| {
                (other.role, other.phase, other.quantity)
                    == (measured.role, measured.phase, measured.quantity)
                    && other.size == measured.size
            };
            if !measurements.iter().any(same) {
                measurements.push(measured);
            }
        }
        Run {
            command: self.command.clone(),
            seed: self.seed,
            mechanism: mechanism(self.size.control_machines),
            revision: revision(),
            measurements,
        }
    }

    /// The tasks that stand in a phase: none before the phase that starts them.
    fn running_tasks(&self, phase: usize) -> u32 {
        let started = self.phases[..phase]
            .iter()
            .any(|before| before.phase == PhaseName::Standing);
        if started { self.size.running_tasks } else { 0 }
    }

    fn measurements(&self, number: usize, result: &PhaseResult) -> Vec<Measurement> {
        let Some(phase) = result.phase.in_run_files() else {
            return Vec::new();
        };
        let (seconds, events) = (result.elapsed.as_secs_f64(), result.events as f64);
        let changes_per_hour = if result.phase == PhaseName::FastChanges {
            events / seconds * HOUR
        } else {
            0.0
        };
        let size = Size {
            changes_per_hour,
            running_tasks: self.running_tasks(number),
            ..self.size
        };
        let mut all = Vec::new();
        let control = result
            .control
            .iter()
            .map(|usage| (Role::ControlMachine, usage));
        for (role, usage) in [(Role::Placer, &result.placer), (Role::Node, &result.node)]
            .into_iter()
            .chain(control)
        {
            let bytes = usage.control_bytes + usage.work_bytes;
            let messages = usage.control_messages + usage.work_messages;
            let mut values = vec![
                (Quantity::ResidentBytes, usage.resident),
                (Quantity::Descriptors, usage.descriptors),
            ];
            if result.phase.has_rate() {
                values.push((Quantity::ProcessorShare, usage.processor / seconds));
                values.push((Quantity::BytesPerSecond, bytes / seconds));
                values.push((Quantity::MessagesPerSecond, messages / seconds));
            }
            if result.events > 0 {
                values.push((Quantity::ProcessorSecondsPerEvent, usage.processor / events));
                values.push((Quantity::BytesPerEvent, bytes / events));
                values.push((Quantity::MessagesPerEvent, messages / events));
            }
            let in_force = result.in_force.iter().copied().reduce(f64::max);
            values.extend(
                in_force
                    .filter(|_| role == Role::Placer)
                    .map(|s| (Quantity::SecondsUntilEffective, s)),
            );
            all.extend(values.into_iter().map(|(quantity, value)| Measurement {
                size,
                role,
                phase,
                quantity,
                value,
            }));
        }
        all
    }

    /// Adds the run to a run file, which is made where there is none.
    ///
    /// # Errors
    /// Where the file can't be read or written.
    pub fn add_to(&self, path: &Path) -> Result<(), ScaleError> {
        let mut file = match std::fs::read_to_string(path) {
            Ok(text) => RunFile::from_json(&text)?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => RunFile::default(),
            Err(error) => return Err(error.into()),
        };
        file.0.push(self.run());
        Ok(std::fs::write(path, file.to_json()?)?)
    }
}

const HEAD: &str = "phase              seconds events  placer:  cpu s  share%   MiB    fds  \
                    control msg      bytes  work msg     bytes   node: cpu s   MiB  control B   in force s";

fn line(result: &PhaseResult) -> String {
    let PhaseResult {
        phase,
        elapsed,
        events,
        placer,
        node,
        in_force,
        ..
    } = result;
    let seconds = elapsed.as_secs_f64();
    let Usage {
        processor,
        resident,
        descriptors,
        control_messages,
        control_bytes,
        ..
    } = placer;
    let mut text = format!("{:<18} {seconds:>7.2} {events:>6}", phase.name());
    let _ = write!(
        text,
        " {processor:>15.3} {:>7.2}",
        processor / seconds * 100.0
    );
    let _ = write!(text, " {:>5.1} {descriptors:>6.0}", resident / MIB);
    let _ = write!(text, " {control_messages:>12.0} {control_bytes:>10.0}");
    let _ = write!(
        text,
        " {:>9.0} {:>9.0}",
        placer.work_messages, placer.work_bytes
    );
    let _ = write!(
        text,
        " {:>13.3} {:>5.1} {:>10.0}",
        node.processor,
        node.resident / MIB,
        node.control_bytes
    );
    if !in_force.is_empty() {
        let most = in_force.iter().copied().fold(0.0, f64::max);
        let mut sorted = in_force.clone();
        sorted.sort_by(f64::total_cmp);
        let _ = write!(text, "   {:.3}, most {most:.3}", sorted[sorted.len() / 2]);
    }
    text.push('\n');
    text
}

/// How the cluster agrees on a change.
fn mechanism(control_machines: u32) -> String {
    match control_machines {
        // Run files keep this text, so that later runs share a series with the recorded ones.
        0 => "every node votes (crates/plan/src/fleet.rs)".to_owned(),
        some => format!("{some} control machines vote (crates/plan/src/membership.rs)"),
    }
}

/// One line with the messages of each kind.
fn kinds(result: &PhaseResult, kinds: &[KindUsage]) -> String {
    let mut text = format!("  {:<16}", result.phase.name());
    for KindUsage {
        kind,
        messages,
        bytes,
    } in kinds
    {
        let _ = write!(text, " {} {messages:.1}/{bytes:.0}", kind.name());
    }
    text.push('\n');
    text
}

/// The revision of the source, where it can be told; else the version of the package.
fn revision() -> String {
    let asked = std::process::Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output();
    let told = asked.ok().filter(|output| output.status.success());
    let told = told.and_then(|output| String::from_utf8(output.stdout).ok());
    told.map_or_else(
        || env!("CARGO_PKG_VERSION").to_owned(),
        |text| text.trim().to_owned(),
    )
}
