//! Numbers of jobs, sessions and nodes, as types that can't be taken for each other.

/// A job, in the order of submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobNumber(pub u64);

/// A session, in the order of opening.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionNumber(pub u32);

impl SessionNumber {
    /// No session has a greater one.
    pub const MAX: Self = Self(u32::MAX);
}

/// A node, in the order in which nodes are first listed or restored in this incarnation of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeNumber(pub u32);

impl NodeNumber {
    /// The place of the node among all nodes, as constraints number them.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Which of a session's jobs: the call that submitted it, and its index there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallIndex {
    pub call: u64,
    pub index: u64,
}

impl CallIndex {
    /// All jobs of a call.
    pub const fn all_of(call: u64) -> std::ops::RangeInclusive<Self> {
        Self { call, index: 0 }..=Self {
            call,
            index: u64::MAX,
        }
    }
}
