//! Link numbers, by which a node distinguishes a newer link of a placer from an older one.

/// Distance between the first link numbers of two successive tasks for a node: more links than one task ever
/// attempts, so that their numbers don't overlap.
const LINKS_PER_TASK: u64 = 1 << 32;

/// The number of one link to a node, which the placer's hello carries. For each node the numbers only increase, also
/// from one link task to the next, because the node takes the greater number to be the newer link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(u64);

impl LinkNumber {
    /// Returns the number as it is written to the wire and to the trace.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number from which the next task for the same node counts up.
    pub const fn next_task(self) -> Self {
        Self(self.0 + LINKS_PER_TASK)
    }

    /// Returns the number of the next link of the same task.
    pub const fn next_link(self) -> Self {
        Self(self.0 + 1)
    }
}

#[cfg(test)]
impl From<u64> for LinkNumber {
    fn from(number: u64) -> Self {
        Self(number)
    }
}
