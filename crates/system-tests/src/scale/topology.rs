//! Where the nodes of a run stand: regions, zones, racks, and the loopback address of each node.

use std::net::SocketAddr;

/// Regions of the cluster.
pub const REGIONS: usize = 8;
/// Zones of the cluster, spread over the regions in turn. A zone is a `hall` of the node list.
pub const ZONES: usize = 31;
/// Nodes in one rack.
const NODES_PER_RACK: usize = 20;
/// How the names of hollow nodes begin.
pub const HOLLOW_PREFIX: &str = "hollow-";
/// How the names of control machines begin.
const CONTROL_PREFIX: &str = "control-";
/// Hosts that one loopback network of 256 is used for.
const HOSTS: usize = 250;
/// The first number after `127.` of node addresses; lower ones are left to the other trials.
const FIRST_NETWORK: u8 = 200;
/// The loopback network of the placers.
const PLACER_NETWORK: u8 = 254;
/// The loopback network of claims on ports.
const CLAIM_NETWORK: u8 = 253;

/// A node of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSpec {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: usize,
    /// Its zone.
    pub zone: usize,
    /// Its rack, within the zone.
    pub rack: usize,
    /// It has a process of its own, and is measured.
    pub real: bool,
    /// It is set aside for control: it votes, and takes no tasks.
    pub control: bool,
    /// It votes on plans and keeps them.
    pub votes: bool,
}

/// The address of the n-th node. `port` is the run's own, so that runs at the same time do not meet.
pub fn node_address(n: usize, port: u16) -> SocketAddr {
    let network = FIRST_NETWORK + (n / (HOSTS * HOSTS)) as u8;
    SocketAddr::from((
        [
            127,
            network,
            (n / HOSTS % HOSTS) as u8,
            1 + (n % HOSTS) as u8,
        ],
        port,
    ))
}

/// The address at which the n-th placer takes calls.
pub fn placer_address(n: usize, port: u16) -> SocketAddr {
    SocketAddr::from((
        [
            127,
            PLACER_NETWORK,
            (n / HOSTS) as u8,
            1 + (n % HOSTS) as u8,
        ],
        port,
    ))
}

/// The address that is listened at by the run that uses a port.
pub fn claim_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, CLAIM_NETWORK, 0, 1], port))
}

/// All nodes of a run, spread evenly over the zones: the real ones first, and after all that run tasks the control
/// machines. Where there are some of these, only they vote.
pub fn nodes(count: usize, real: usize, control: usize, port: u16) -> Vec<NodeSpec> {
    let node = |n: usize| {
        let (zone, real, is_control) = (n % ZONES, n < real, n >= count);
        let prefix = match (is_control, real) {
            (true, _) => CONTROL_PREFIX,
            (false, true) => "real-",
            (false, false) => HOLLOW_PREFIX,
        };
        NodeSpec {
            name: format!("{prefix}node-{n:05}"),
            address: node_address(n, port),
            region: zone % REGIONS,
            zone,
            rack: n / ZONES / NODES_PER_RACK,
            real,
            control: is_control,
            votes: is_control || control == 0,
        }
    };
    (0..count + control).map(node).collect()
}

#[cfg(test)]
mod tests;
