//! Tasks that clients handed over as running and of which their hosts have sent nothing yet.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use reedring::{Micros, RequestId};

use crate::decide::{self, UnconfirmedGroup};
use crate::ids::ConnId;

const SECOND_US: Micros = 1_000_000;

/// The unconfirmed tasks that were handed over on one connection, which is open or was confirmed.
#[derive(Debug)]
struct Group {
    tasks: BTreeSet<RequestId>,
    /// How many tasks were handed over and neither ended nor were confirmed: `tasks` and those that were displaced.
    /// Displacing some makes the others no likelier to exist.
    unconfirmed: usize,
    is_open: bool,
    /// Whether a host has sent something about a task of the connection.
    is_confirmed: bool,
    handed_over_at: Micros,
    /// When the first of the tasks was handed over, or a host last sent something about a task of the connection.
    reported_at: Micros,
}

impl Group {
    fn new(now: Micros) -> Self {
        Self {
            tasks: BTreeSet::new(),
            unconfirmed: 0,
            is_open: true,
            is_confirmed: false,
            handed_over_at: now,
            reported_at: now,
        }
    }

    fn unconfirmed_group(&self, now: Micros) -> UnconfirmedGroup {
        UnconfirmedGroup {
            is_confirmed: self.is_confirmed,
            tasks: self.unconfirmed,
            silent_us: now.saturating_sub(self.reported_at),
        }
    }
}

/// A task of a connection that has ended without a confirmation.
#[derive(Clone, Copy, Debug)]
struct DepartedTask {
    conn: ConnId,
    /// For how many whole seconds the connection was open after its first hand-over. The number of connections is limited,
    /// so a client that hands over many false tasks can't keep each one open for long.
    open_s: u64,
}

/// The tasks of all connections that have ended without a confirmation.
#[derive(Debug, Default)]
struct DepartedTasks {
    tasks: BTreeMap<RequestId, DepartedTask>,
    /// The order in which they are displaced: those of short connections first, and of equal ones the newest.
    order: BTreeSet<(u64, Reverse<RequestId>)>,
    /// How many were displaced since there was none.
    displaced: usize,
    /// When there was none last.
    since: Micros,
}

impl DepartedTasks {
    fn add(&mut self, now: Micros, id: RequestId, task: DepartedTask) {
        if self.tasks.is_empty() {
            (self.displaced, self.since) = (0, now);
        }
        self.tasks.insert(id, task);
        self.order.insert((task.open_s, Reverse(id)));
    }

    fn remove(&mut self, id: RequestId) -> Option<DepartedTask> {
        let task = self.tasks.remove(&id)?;
        self.order.remove(&(task.open_s, Reverse(id)));
        Some(task)
    }

    fn displace_first(&mut self) -> Option<RequestId> {
        let (_, Reverse(id)) = self.order.pop_first()?;
        self.tasks.remove(&id);
        self.displaced += 1;
        Some(id)
    }

    /// Removes all tasks of a connection.
    fn remove_of(&mut self, conn: ConnId) -> BTreeSet<RequestId> {
        let of_conn = self.tasks.iter().filter(|(_, task)| task.conn == conn);
        let ids: BTreeSet<RequestId> = of_conn.map(|(id, _)| *id).collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    fn unconfirmed_group(&self, now: Micros) -> UnconfirmedGroup {
        UnconfirmedGroup {
            is_confirmed: false,
            tasks: self.tasks.len() + self.displaced,
            silent_us: now.saturating_sub(self.since),
        }
    }
}

/// Where unconfirmed tasks came from.
#[derive(Clone, Copy, Debug)]
enum Source {
    Connection(ConnId),
    Departed,
}

/// All unconfirmed tasks, by their source.
#[derive(Debug, Default)]
pub(super) struct UnconfirmedTasks {
    groups: BTreeMap<ConnId, Group>,
    departed: DepartedTasks,
    count: usize,
}

impl UnconfirmedTasks {
    /// How many tasks are unconfirmed.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Adds a task that was handed over now on an open connection.
    pub fn add(&mut self, now: Micros, conn: ConnId, task: RequestId) {
        let group = self.groups.entry(conn).or_insert_with(|| Group::new(now));
        let added = usize::from(group.tasks.insert(task));
        group.unconfirmed += added;
        self.count += added;
    }

    /// Whether a task that was handed over on this connection is unconfirmed.
    pub fn contains(&self, conn: ConnId, task: RequestId) -> bool {
        let group = self.groups.get(&conn);
        let is_in_group = group.is_some_and(|group| group.tasks.contains(&task));
        is_in_group || self.departed.tasks.contains_key(&task)
    }

    /// Records that a connection has ended.
    pub fn connection_ended(&mut self, now: Micros, conn: ConnId) {
        let Some(group) = self.groups.get_mut(&conn) else {
            return;
        };
        group.is_open = false;
        if group.is_confirmed {
            return self.remove_if_unused(conn);
        }
        let open_s = now.saturating_sub(group.handed_over_at) / SECOND_US;
        let tasks = std::mem::take(&mut group.tasks);
        self.groups.remove(&conn);
        for id in tasks {
            self.departed.add(now, id, DepartedTask { conn, open_s });
        }
    }

    /// Removes a task that ended, or that its host confirmed.
    pub fn remove(&mut self, conn: ConnId, task: RequestId) {
        if self.departed.remove(task).is_some() {
            self.count -= 1;
            return;
        }
        let Some(group) = self.groups.get_mut(&conn) else {
            return;
        };
        let removed = usize::from(group.tasks.remove(&task));
        group.unconfirmed -= removed;
        self.count -= removed;
        self.remove_if_unused(conn);
    }

    /// Records that a host sent something about a task that was handed over on this connection: the others are likely
    /// to exist as well.
    pub fn confirm(&mut self, now: Micros, conn: ConnId, task: RequestId) {
        self.confirm_connection(now, conn);
        self.remove(conn, task);
    }

    /// Records that a host sent something about a task that was handed over on this connection and was displaced.
    pub fn confirm_connection(&mut self, now: Micros, conn: ConnId) {
        if !self.groups.contains_key(&conn) {
            let tasks = self.departed.remove_of(conn);
            if tasks.is_empty() {
                return;
            }
            let group = Group {
                unconfirmed: tasks.len(),
                tasks,
                is_open: false,
                ..Group::new(now)
            };
            self.groups.insert(conn, group);
        }
        if let Some(group) = self.groups.get_mut(&conn) {
            (group.is_confirmed, group.reported_at) = (true, now);
        }
    }

    /// Removes and returns the task that is least likely to exist, which is to be displaced; `None` if there is no
    /// unconfirmed task.
    pub fn take_least_likely(&mut self, now: Micros) -> Option<RequestId> {
        let groups = self.groups.iter();
        let groups = groups.filter(|(_, group)| !group.tasks.is_empty());
        let groups =
            groups.map(|(conn, group)| (Source::Connection(*conn), group.unconfirmed_group(now)));
        let departed = (Source::Departed, self.departed.unconfirmed_group(now));
        let departed = Some(departed).filter(|_| !self.departed.tasks.is_empty());
        let task = match decide::choose_least_likely(groups.chain(departed))? {
            Source::Departed => self.departed.displace_first(),
            Source::Connection(conn) => {
                let task = self.groups.get_mut(&conn)?.tasks.pop_first();
                self.remove_if_unused(conn);
                task
            }
        };
        self.count -= usize::from(task.is_some());
        task
    }

    /// Removes the group of a connection that has ended once it has no tasks. That of an open connection is kept, as it
    /// counts the tasks that were displaced.
    fn remove_if_unused(&mut self, conn: ConnId) {
        let group = self.groups.get(&conn);
        if group.is_some_and(|group| group.tasks.is_empty() && !group.is_open) {
            self.groups.remove(&conn);
        }
    }
}
