//! What processes used between two looks.

use std::time::Instant;

use reedring_node_protocol::MessageKind;
use reedring_test_processes::Program;

use super::ScaleError;
use super::cluster::Cluster;
use super::counts::{LinkCounts, PlacerCounts, Share};
use super::phase::{KindUsage, Usage};
use super::process_stat::ProcessSample;

/// One look at the measured processes.
pub struct Snapshot {
    /// When.
    pub at: Instant,
    /// What hollow nodes counted by placer.
    pub counts: PlacerCounts,
    control_counts: PlacerCounts,
    placers: Vec<ProcessSample>,
    nodes: Vec<ProcessSample>,
    control: Vec<ProcessSample>,
}

impl Snapshot {
    /// Looks at these real placers and all real nodes.
    ///
    /// # Errors
    /// Where a process has ended.
    pub fn take(cluster: &mut Cluster, followers: &[usize]) -> Result<Self, ScaleError> {
        let (counts, control_counts) = (cluster.counts()?, cluster.control_counts()?);
        let mut placers = Vec::new();
        for process in followers.iter().filter_map(|n| cluster.placer_process(*n)) {
            placers.push(ProcessSample::of(process.id())?);
        }
        let (nodes, control) = (samples(&cluster.real_nodes)?, samples(&cluster.control)?);
        Ok(Self {
            at: Instant::now(),
            counts,
            control_counts,
            placers,
            nodes,
            control,
        })
    }

    /// Resident bytes of a measured placer, on average.
    pub fn placer_resident(&self) -> f64 {
        mean(self.placers.iter().map(|sample| sample.resident as f64))
    }

    /// Resident bytes of a measured node, on average.
    pub fn node_resident(&self) -> f64 {
        mean(self.nodes.iter().map(|sample| sample.resident as f64))
    }
}

fn samples(processes: &[Program]) -> Result<Vec<ProcessSample>, ScaleError> {
    processes
        .iter()
        .map(|process| Ok(ProcessSample::of(process.id())?))
        .collect()
}

/// The mean; 0 of nothing.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0_u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    if count == 0 {
        0.0
    } else {
        sum / f64::from(count)
    }
}

/// What one process of a role used, given the samples of all measured ones and the messages of one.
fn usage(
    before: &[ProcessSample],
    after: &[ProcessSample],
    counts: &LinkCounts,
    share_of: f64,
) -> Usage {
    let spent = || {
        before
            .iter()
            .zip(after)
            .map(|(before, after)| (after.processor - before.processor).as_secs_f64())
    };
    let (control, work) = (counts.total(Share::Control), counts.total(Share::Work));
    Usage {
        processor: mean(spent()),
        processor_most: spent().fold(0.0, f64::max),
        resident: mean(after.iter().map(|sample| sample.resident as f64)),
        descriptors: mean(after.iter().map(|sample| sample.descriptors as f64)),
        control_messages: control.messages as f64 / share_of,
        control_bytes: control.bytes as f64 / share_of,
        work_messages: work.messages as f64 / share_of,
        work_bytes: work.bytes as f64 / share_of,
    }
}

/// What was used between two looks.
pub struct Used {
    /// By a measured placer.
    pub placer: Usage,
    /// By a real node; its messages are those of a hollow node.
    pub node: Usage,
    /// By a control machine, where there are some.
    pub control: Option<Usage>,
    /// Messages of a measured placer by kind.
    pub kinds: Vec<KindUsage>,
    /// Messages of a hollow node by kind.
    pub node_kinds: Vec<KindUsage>,
}

/// What was used between two looks. Messages are those that hollow nodes and control machines counted.
pub fn used(cluster: &Cluster, followers: &[usize], before: &Snapshot, after: &Snapshot) -> Used {
    let counts = after.counts.since(&before.counts);
    let control_counts = after.control_counts.since(&before.control_counts);
    let names = followers.iter().map(|n| &cluster.placers[*n].spec.name);
    let own = names.map(|name| counts.of(name).plus(&control_counts.of(name)));
    let own = own.fold(LinkCounts::default(), |sum, counts| sum.plus(&counts));
    let (followers, nodes) = (
        followers.len().max(1) as f64,
        cluster.hollow_nodes().max(1) as f64,
    );
    Used {
        placer: usage(&before.placers, &after.placers, &own, followers),
        node: usage(&before.nodes, &after.nodes, &counts.sum(), nodes),
        control: (!after.control.is_empty()).then(|| {
            let machines = after.control.len() as f64;
            usage(
                &before.control,
                &after.control,
                &control_counts.sum(),
                machines,
            )
        }),
        kinds: kinds(&own, followers),
        node_kinds: kinds(&counts.sum(), nodes),
    }
}

/// The kinds of which there were any, and how much of each there was for one of so many.
fn kinds(counts: &LinkCounts, share_of: f64) -> Vec<KindUsage> {
    let usage = |kind: MessageKind| {
        let (written, read) = (counts.written[kind as usize], counts.read[kind as usize]);
        let messages = (written.messages + read.messages) as f64 / share_of;
        KindUsage {
            kind,
            messages,
            bytes: (written.bytes + read.bytes) as f64 / share_of,
        }
    };
    MessageKind::ALL
        .into_iter()
        .map(usage)
        .filter(|usage| usage.messages > 0.0)
        .collect()
}
