//! Whether a run fits on this machine, judged before anything is started.

use std::fmt;

/// What a run needs at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Bytes of memory, of all processes together.
    pub memory: u64,
    /// Descriptors of the process that has the most.
    pub descriptors: u64,
    /// Processes.
    pub processes: u64,
    /// Links between placers and nodes that end at one node.
    pub links_per_node: u64,
    /// Nodes, each with an address of its own.
    pub addresses: u64,
}

/// What this machine and the trial allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: u64,
    /// Descriptors of a process.
    pub descriptors: u64,
    /// Processes.
    pub processes: u64,
    /// Links that a node takes.
    pub links_per_node: u64,
    /// Loopback addresses that the trial has for nodes.
    pub addresses: u64,
}

/// What there is too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Memory in bytes.
    Memory,
    /// Descriptors of one process.
    Descriptors,
    /// Processes.
    Processes,
    /// Links of one node.
    LinksPerNode,
    /// Loopback addresses.
    Addresses,
}

impl fmt::Display for Resource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Memory => "bytes of memory",
            Self::Descriptors => "descriptors in one process",
            Self::Processes => "processes",
            Self::LinksPerNode => "links at one node",
            Self::Addresses => "loopback addresses",
        })
    }
}

/// Why a run does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the run does not fit: it needs {needed} {resource}, at most {limit} can be had")]
pub struct DoesNotFit {
    /// What there is too little of.
    pub resource: Resource,
    /// How much is needed.
    pub needed: u64,
    /// How much there is.
    pub limit: u64,
}

/// Whether a run fits. Each resource is allowed up to and with its limit; the first that is exceeded is told, in the
/// order of this table.
///
/// | resource | fits |
/// | --- | --- |
/// | memory | needed <= limit |
/// | descriptors of the process that has the most | needed <= limit |
/// | processes | needed <= limit |
/// | links that end at one node | needed <= limit |
/// | loopback addresses | needed <= limit |
///
/// # Errors
/// The first resource of which there is too little.
pub fn fits(needs: &Needs, limits: &Limits) -> Result<(), DoesNotFit> {
    let compared = [
        (Resource::Memory, needs.memory, limits.memory),
        (Resource::Descriptors, needs.descriptors, limits.descriptors),
        (Resource::Processes, needs.processes, limits.processes),
        (
            Resource::LinksPerNode,
            needs.links_per_node,
            limits.links_per_node,
        ),
        (Resource::Addresses, needs.addresses, limits.addresses),
    ];
    match compared
        .into_iter()
        .find(|(_, needed, limit)| needed > limit)
    {
        None => Ok(()),
        Some((resource, needed, limit)) => Err(DoesNotFit {
            resource,
            needed,
            limit,
        }),
    }
}

#[cfg(test)]
mod tests;
