//! How nodes and placers are spread over processes, and what that needs of the machine.

use std::fs;

use rustix::process::{Resource as SystemResource, getrlimit};

use super::needs::{Limits, Needs};
use super::topology::REGIONS;

/// Nodes and placers that have a process of their own, where there are as many.
const REAL: usize = 3;
/// Descriptors of a process that are left for its files, listeners of clients, pipes and runtime.
const SPARE_DESCRIPTORS: u64 = 200;
/// Part of the descriptors of a process that is planned with: links that end and begin anew overlap.
const DESCRIPTOR_SHARE: f64 = 0.75;
/// Hollow placers in one process at most.
const PLACERS_PER_PROCESS: usize = 16;
/// Bytes that are planned with for a link, at both ends together.
const BYTES_PER_LINK: u64 = 160 * 1_024;
/// Bytes that are planned with for a node beside its links.
const BYTES_PER_NODE: u64 = 32 * 1_024;
/// Bytes that are planned with for a task, at its placer, its node and its client.
const BYTES_PER_TASK: u64 = 8 * 1_024;
/// Bytes that are planned with for a process.
const BYTES_PER_PROCESS: u64 = 24 << 20;
/// Bytes that a run may use.
const MOST_MEMORY: u64 = 12 << 30;
/// Processes that a run may start.
const MOST_PROCESSES: u64 = 300;
/// Links that a node takes: a stand-in closes more.
const MOST_LINKS_PER_NODE: u64 = 1_024;
/// Loopback addresses for nodes.
const MOST_ADDRESSES: u64 = 50 * 250 * 250;

/// The processes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Nodes.
    pub nodes: usize,
    /// Placers.
    pub placers: usize,
    /// Nodes with a process of their own.
    pub real_nodes: usize,
    /// Placers with a process of their own.
    pub real_placers: usize,
    /// Processes of hollow nodes in each region.
    pub processes_per_region: usize,
    /// Hollow placers in a process.
    pub placers_per_process: usize,
    /// Machines set aside for control, each with a process of its own.
    pub control: usize,
    /// Tasks.
    tasks: usize,
}

impl Layout {
    /// Spreads nodes and placers so that no process has more than its share of `descriptors`, where that can be.
    pub fn new(
        nodes: usize,
        placers: usize,
        control: usize,
        tasks: usize,
        descriptors: u64,
    ) -> Self {
        let usable = ((descriptors as f64 * DESCRIPTOR_SHARE) as u64)
            .saturating_sub(SPARE_DESCRIPTORS)
            .max(1);
        let nodes_in_process = (usable / (placers as u64 + 1)).max(1) as usize;
        let (real_nodes, real_placers) = (REAL.min(nodes), REAL.min(placers));
        let in_region = (nodes - real_nodes).div_ceil(REGIONS) + 1;
        Self {
            nodes,
            placers,
            real_nodes,
            real_placers,
            processes_per_region: in_region.div_ceil(nodes_in_process).max(1),
            placers_per_process: ((usable / ((nodes + control) as u64).max(1)) as usize)
                .clamp(1, PLACERS_PER_PROCESS),
            control,
            tasks,
        }
    }

    /// Hollow placers.
    pub fn hollow_placers(&self) -> usize {
        self.placers - self.real_placers
    }

    /// What the run needs at most.
    pub fn needs(&self) -> Needs {
        let (nodes, placers) = ((self.nodes + self.control) as u64, self.placers as u64);
        let in_region = (self.nodes - self.real_nodes).div_ceil(REGIONS) + 1;
        let nodes_in_process = in_region.div_ceil(self.processes_per_region) as u64;
        let node_process = nodes_in_process * (placers + 1);
        let placer_process =
            nodes * self.placers_per_process.min(self.hollow_placers().max(1)) as u64;
        let hollow_placers = self.hollow_placers().div_ceil(self.placers_per_process);
        let hollow = REGIONS * self.processes_per_region + hollow_placers;
        let processes = (self.real_nodes + self.control + self.real_placers + hollow + 1) as u64;
        Needs {
            memory: nodes * placers * BYTES_PER_LINK
                + nodes * BYTES_PER_NODE
                + self.tasks as u64 * BYTES_PER_TASK
                + processes * BYTES_PER_PROCESS,
            descriptors: node_process.max(placer_process) + SPARE_DESCRIPTORS,
            processes,
            links_per_node: placers,
            addresses: nodes,
        }
    }
}

/// Descriptors that a process of this machine may have.
pub fn descriptor_limit() -> u64 {
    getrlimit(SystemResource::Nofile)
        .current
        .unwrap_or(u64::MAX)
}

/// What this machine allows now, within the bounds of the trial.
pub fn limits() -> Limits {
    let available = fs::read_to_string("/proc/meminfo")
        .ok()
        .and_then(|text| available(&text));
    Limits {
        memory: available.unwrap_or(MOST_MEMORY).min(MOST_MEMORY),
        descriptors: descriptor_limit(),
        processes: MOST_PROCESSES,
        links_per_node: MOST_LINKS_PER_NODE,
        addresses: MOST_ADDRESSES,
    }
}

/// Available bytes from the text of `/proc/meminfo`.
fn available(meminfo: &str) -> Option<u64> {
    let line = meminfo
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1_024)
}

#[cfg(test)]
mod tests;
