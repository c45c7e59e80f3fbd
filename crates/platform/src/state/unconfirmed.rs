//! Tasks that clients handed over as running and of which their hosts have sent nothing yet.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{Micros, RequestId};

use crate::decide::{self, UnconfirmedGroup};
use crate::ids::ConnId;

/// The unconfirmed tasks that were handed over on one connection, which may have ended.
#[derive(Debug)]
struct Group {
    tasks: BTreeSet<RequestId>,
    /// How many tasks were handed over and neither ended nor were confirmed: `tasks` and those that were discarded.
    /// Discarding some makes the others no likelier to exist.
    unconfirmed: usize,
    /// When the first of the tasks was handed over, or a host last sent something about a task of this connection.
    confirmed_at: Micros,
}

/// All unconfirmed tasks, by the connection on which they were handed over.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedTasks {
    groups: BTreeMap<ConnId, Group>,
    count: usize,
}

impl UnconfirmedTasks {
    /// How many tasks are unconfirmed.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Adds a task that was handed over now.
    pub fn add(&mut self, now: Micros, conn: ConnId, task: RequestId) {
        let group = self.groups.entry(conn).or_insert_with(|| Group {
            tasks: BTreeSet::new(),
            unconfirmed: 0,
            confirmed_at: now,
        });
        let added = usize::from(group.tasks.insert(task));
        group.unconfirmed += added;
        self.count += added;
    }

    /// Removes a task that ended, or that its host confirmed.
    pub fn remove(&mut self, conn: ConnId, task: RequestId) {
        let Some(group) = self.groups.get_mut(&conn) else {
            return;
        };
        let removed = usize::from(group.tasks.remove(&task));
        group.unconfirmed -= removed;
        self.count -= removed;
        if group.tasks.is_empty() {
            self.groups.remove(&conn);
        }
    }

    /// Records that a host sent something about a task that was handed over on this connection: the others are likely
    /// to exist as well.
    pub fn confirm(&mut self, now: Micros, conn: ConnId, task: RequestId) {
        if let Some(group) = self.groups.get_mut(&conn) {
            group.confirmed_at = now;
        }
        self.remove(conn, task);
    }

    /// Removes and returns the task that is least likely to exist, which is to be discarded; `None` if there is no
    /// unconfirmed task.
    pub fn take_least_likely(&mut self, now: Micros) -> Option<RequestId> {
        let groups = self.groups.iter_mut().map(|(conn, group)| {
            let unconfirmed = UnconfirmedGroup {
                tasks: group.unconfirmed,
                silent_us: now.saturating_sub(group.confirmed_at),
            };
            ((*conn, group), unconfirmed)
        });
        let (conn, group) = decide::choose_least_likely(groups)?;
        let task = group.tasks.pop_first()?;
        self.count -= 1;
        if group.tasks.is_empty() {
            self.groups.remove(&conn);
        }
        Some(task)
    }
}
