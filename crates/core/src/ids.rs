//! Identifiers of jobs, sessions and nodes within a placer, as distinct types.

/// The number of a job, in the order of submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobNumber(pub u64);

/// The number of a session, in the order in which sessions were opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionNumber(pub u32);

impl SessionNumber {
    /// The greatest possible session number, for the end of a range.
    pub const MAX: Self = Self(u32::MAX);
}

/// The number of a node, in the order in which nodes are first listed or restored in this incarnation of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeNumber(pub u32);

impl NodeNumber {
    /// The index of the node among all nodes, as constraints use it.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies a job within its session: the call that submitted the job, and the job's index in that call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallIndex {
    pub call: u64,
    pub index: u64,
}

impl CallIndex {
    /// The range of all jobs of a call.
    pub const fn all_of(call: u64) -> std::ops::RangeInclusive<Self> {
        Self { call, index: 0 }..=Self {
            call,
            index: u64::MAX,
        }
    }
}
