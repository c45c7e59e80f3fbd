//! Why a placer is suspended.

/// Why a placer may dispatch nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspendReason {
    /// Too few voters answered within the lease.
    NoQuorum,
    /// No configuration is committed, and none is chosen.
    NoConfiguration,
    /// The text of the committed configuration is being fetched.
    FetchingDocument,
    /// Its settings file is pinned to another configuration than the committed one.
    Pinned,
    /// It can't act by the committed configuration.
    Unusable,
}

impl SuspendReason {
    /// The reason in words. It is part of log lines and of the messages of rejected DRMAA calls.
    pub const fn description(self) -> &'static str {
        match self {
            Self::NoQuorum => "no majority of the voters was heard within the lease",
            Self::NoConfiguration => "no plan is in force yet",
            Self::FetchingDocument => "the text of the plan in force is being fetched",
            Self::Pinned => "its file is pinned to another plan than the one in force",
            Self::Unusable => "it can't act by the plan in force",
        }
    }

    /// Whether the placer is fenced: while a majority answers, the suspension does not end before an operator acts. Without
    /// a majority the reason is [`SuspendReason::NoQuorum`] meanwhile.
    pub const fn is_fenced(self) -> bool {
        matches!(self, Self::Pinned | Self::Unusable)
    }
}
