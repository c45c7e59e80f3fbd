//! Why a placer is suspended.

/// Why a placer must not dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspendReason {
    /// Fewer voters than a majority answered within the lease.
    NoQuorum,
    /// No configuration is committed, and none is chosen.
    NoConfiguration,
    /// The placer does not have the text of the committed configuration, or of the first chosen one, and fetches it.
    FetchingDocument,
    /// The placer's settings file is pinned, and neither to the committed configuration nor to its successor.
    Pinned,
    /// The placer can't apply the committed configuration.
    Unusable,
}

impl SuspendReason {
    /// The text of this reason in log lines and in the messages of rejected DRMAA calls.
    pub const fn description(self) -> &'static str {
        match self {
            Self::NoQuorum => "no majority of the voters was heard within the lease",
            Self::NoConfiguration => "no plan is in force yet",
            Self::FetchingDocument => "the text of the plan in force is being fetched",
            Self::Pinned => "its file is pinned to another plan than the one in force",
            Self::Unusable => "it can't act by the plan in force",
        }
    }

    /// Whether the placer is fenced: while a majority answers, the suspension lasts until an operator intervenes. While
    /// no majority answers, the reason is [`SuspendReason::NoQuorum`] instead.
    pub const fn is_fenced(self) -> bool {
        matches!(self, Self::Pinned | Self::Unusable)
    }
}
