//! Which of the tasks that clients handed over as running is least likely to exist.

/// Tasks that came from one source and that no host has confirmed. A source is an open connection, or all connections
/// together that have ended without a confirmation: a client can use any number of those.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedGroup {
    /// Whether a host has sent something about a task of this source.
    pub is_confirmed: bool,
    /// How many tasks there are, with those that were displaced already.
    pub tasks: usize,
    /// For how long no host has sent anything about a task of this source, in microseconds; from the first hand-over
    /// on if none ever did.
    pub silent_us: u64,
}

/// Chooses the group whose tasks are least likely to exist: one of which no host has ever sent anything, and of these the
/// largest. `None` if there is no group.
///
/// The number of sources that exist at a time is limited, so while there are too many tasks some group is larger than what
/// an owner of a few tasks has handed over, however many clients hand over false ones and for however long. An owner of
/// many is confirmed by the first of its tasks that ends. Time without a report does not count: tasks may be quiet for days.
pub fn choose_least_likely<T>(groups: impl Iterator<Item = (T, UnconfirmedGroup)>) -> Option<T> {
    groups
        .max_by_key(|(_, group)| (!group.is_confirmed, group.tasks, group.silent_us))
        .map(|(id, _)| id)
}
