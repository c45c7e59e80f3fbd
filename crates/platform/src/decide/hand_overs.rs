//! Which of the tasks that clients handed over as running is least likely to exist.

/// Tasks that were handed over on one connection and that no host has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnconfirmedGroup {
    /// How many tasks there are, with those that were discarded already.
    pub tasks: usize,
    /// For how long no host has sent anything about a task of this connection, in microseconds; from the first hand-over
    /// on if none ever did.
    pub silent_us: u64,
}

/// Chooses the group whose tasks are least likely to exist: the one with the most task time without a word from a host.
/// `None` if there is no group.
///
/// Tasks that exist come to their ends, which their hosts report. The more tasks a client has handed over, and the longer
/// ago, the more reports there should have been. So an owner that hands over hundreds of tasks after a restart is vouched
/// for by the first that ends, one that hands over a few has long to wait, and a flood of tasks that no host knows is
/// discarded first.
pub fn choose_least_likely<T>(groups: impl Iterator<Item = (T, UnconfirmedGroup)>) -> Option<T> {
    let task_time = |group: &UnconfirmedGroup| group.tasks as u128 * u128::from(group.silent_us);
    groups
        .max_by_key(|(_, group)| (task_time(group), group.tasks))
        .map(|(id, _)| id)
}
