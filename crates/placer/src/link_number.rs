//! Numbers of links, by which a node tells a newer link from an older one.

/// Links that one task may establish before its numbers would meet those of the next task.
const LINKS_PER_TASK: u64 = 1 << 32;

/// The number of one link to a node, as the placer's hello states it. It only increases for a node, also over the
/// tasks that keep a link to it: the node takes the larger number for the newer link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkNumber(u64);

impl LinkNumber {
    /// The number as the wire and the trace have it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The number from which the next task for the same node counts.
    pub const fn next_task(self) -> Self {
        Self(self.0 + LINKS_PER_TASK)
    }

    /// The number of the next link of the same task.
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
