//! Chooses the version of the node protocol for the next hello to a node.

#[cfg(test)]
mod tests;

/// Number of version 2 hellos in a row on which a node must close the connection before the next hello uses version 1.
/// One such close is not enough: the node may have been shutting down.
const MAX_REJECTED_HELLOS: u32 = 2;

/// What is known about the protocol versions that one node supports.
///
/// A node that supports only version 1 closes the connection on a version 2 hello without an answer, but so does a node
/// that is shutting down. Therefore, when a node answers a version 1 hello without acceptor state, a version probe
/// follows, once for each incarnation of the node.
#[derive(Debug, Default)]
pub(super) struct VersionNegotiation {
    /// Number of version 2 hellos in a row on which the node closed the connection.
    rejected_hellos: u32,
    /// Incarnation of the node for which a probe showed that it supports only version 1; `None` if no probe has.
    version_1_incarnation: Option<u64>,
}

impl VersionNegotiation {
    /// Whether the next hello is sent in version 1.
    pub fn uses_version_1(&self) -> bool {
        self.rejected_hellos >= MAX_REJECTED_HELLOS
    }

    /// Records that the node closed the connection on a version 2 hello.
    pub fn hello_rejected(&mut self) {
        self.rejected_hellos += 1;
    }

    /// Records that an established link has ended. The next hello uses version 2 again, as the node may run another
    /// program by then.
    pub fn link_ended(&mut self) {
        self.rejected_hellos = 0;
    }

    /// Whether a node that answered a version 1 hello without acceptor state must still be probed in this incarnation.
    pub fn needs_probe(&self, incarnation: u64) -> bool {
        self.version_1_incarnation != Some(incarnation)
    }

    /// Records that a probe showed that this incarnation of the node supports only version 1.
    pub fn probed_version_1(&mut self, incarnation: u64) {
        self.version_1_incarnation = Some(incarnation);
        self.rejected_hellos = MAX_REJECTED_HELLOS;
    }

    /// Records that a probe showed that the node supports version 2.
    pub fn probed_version_2(&mut self) {
        self.version_1_incarnation = None;
        self.rejected_hellos = 0;
    }
}
