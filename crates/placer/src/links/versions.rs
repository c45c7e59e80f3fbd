//! Which version of the node protocol a node is greeted in.

#[cfg(test)]
mod tests;

/// Hellos of version 2 that a node closes the connection on before it is greeted in version 1: one of them may meet a
/// node that is shutting down.
const MAX_REJECTED_HELLOS: u32 = 2;

/// What is known of the versions that one node speaks.
///
/// A node that speaks version 1 alone closes the connection on a hello of version 2 without an answer. So do nodes that
/// shut down, hence a hello of version 1 that is answered without acceptor state is followed by a version probe, once for
/// each incarnation of the node.
#[derive(Debug, Default)]
pub(super) struct VersionNegotiation {
    /// Hellos of version 2, in a row, that the node closed the connection on.
    rejected_hellos: u32,
    /// The incarnation of the node in which a probe showed that it speaks version 1 alone.
    version_1_incarnation: Option<u64>,
}

impl VersionNegotiation {
    /// The next hello is one of version 1.
    pub fn uses_version_1(&self) -> bool {
        self.rejected_hellos >= MAX_REJECTED_HELLOS
    }

    /// The node closed the connection on a hello of version 2.
    pub fn hello_rejected(&mut self) {
        self.rejected_hellos += 1;
    }

    /// An established link has ended: the node may run another program by the next time.
    pub fn link_ended(&mut self) {
        self.rejected_hellos = 0;
    }

    /// A node that was greeted in version 1 and showed no acceptor state has yet to be probed in this incarnation.
    pub fn needs_probe(&self, incarnation: u64) -> bool {
        self.version_1_incarnation != Some(incarnation)
    }

    /// A probe showed that this incarnation of the node speaks version 1 alone.
    pub fn probed_version_1(&mut self, incarnation: u64) {
        self.version_1_incarnation = Some(incarnation);
        self.rejected_hellos = MAX_REJECTED_HELLOS;
    }

    /// A probe showed that the node speaks version 2.
    pub fn probed_version_2(&mut self) {
        self.version_1_incarnation = None;
        self.rejected_hellos = 0;
    }
}
