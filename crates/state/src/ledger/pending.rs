//! The changes of some batches, merged, and how they are written in one transaction.

use std::collections::BTreeMap;

use redb::{Key, ReadableTable, Table, Value, WriteTransaction};
use serde::Serialize;

use super::tables::{
    ACTIVE_CONFIGS, DRAINING_NODES, INCARNATIONS, JOBS, MAX_ACTIVE_CONFIGS, MAX_INCARNATIONS,
    RESPONSES, SESSIONS, TEMPLATES, WARM_UP_OFFER_RETENTION_US, WARM_UP_OFFERS,
};
use crate::rows::{
    ActiveConfigRow, Batch, Change, Job, JobNumber, JobTemplate, Session, SessionNumber,
    StoredResponse,
};

/// A call, by its session and its number there.
type CallKey = (SessionNumber, u64);

/// The last change of each row that waits to be written. `None` deletes a row.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    incarnations: Vec<u64>,
    sessions: BTreeMap<SessionNumber, Option<Session>>,
    responses: BTreeMap<CallKey, StoredResponse>,
    /// By session: the responses to calls below this one are deleted.
    responses_deleted_below: BTreeMap<SessionNumber, u64>,
    templates: BTreeMap<CallKey, Option<JobTemplate>>,
    jobs: BTreeMap<JobNumber, Option<Box<Job>>>,
    /// By node: whether it drains.
    draining: BTreeMap<String, bool>,
    /// By node and time of the batch: how many offers.
    warm_up_offers: BTreeMap<(String, u64), u32>,
    active_configs: BTreeMap<u64, ActiveConfigRow>,
}

impl PendingChanges {
    /// The changes of one batch.
    pub fn of(batch: Batch) -> Self {
        let mut pending = Self::default();
        pending.add(batch);
        pending
    }

    pub fn add(&mut self, batch: Batch) {
        for change in batch.changes {
            self.add_change(batch.at, change);
        }
    }

    fn add_change(&mut self, at: u64, change: Change) {
        match change {
            Change::IncarnationStarted(incarnation) => self.incarnations.push(incarnation),
            Change::Session(number, session) => {
                if session.is_none() {
                    self.delete_all_responses(number);
                }
                self.sessions.insert(number, session);
            }
            Change::Call(session, call, response) => {
                self.responses.insert((session, call), response);
            }
            Change::CallsDeletedBelow(session, below) => {
                self.delete_responses_below(session, below);
            }
            Change::Template(session, call, template) => {
                self.templates.insert((session, call), template);
            }
            Change::Job(number, job) => drop(self.jobs.insert(number, job)),
            Change::Drain { node, draining } => drop(self.draining.insert(node, draining)),
            Change::ActiveConfig(config) => drop(self.active_configs.insert(at, config)),
            Change::WarmUpOffer(node) => {
                *self.warm_up_offers.entry((node, at)).or_default() += 1;
            }
        }
    }

    /// No response outlives its session.
    fn delete_all_responses(&mut self, session: SessionNumber) {
        self.responses_deleted_below.insert(session, u64::MAX);
        self.responses.retain(|(of, _), _| *of != session);
    }

    fn delete_responses_below(&mut self, session: SessionNumber, below: u64) {
        self.responses
            .retain(|(of, call), _| *of != session || *call >= below);
        let deleted = self.responses_deleted_below.entry(session).or_default();
        *deleted = below.max(*deleted);
    }

    /// The last incarnation among the changes, if one started.
    pub fn last_incarnation(&self) -> Option<u64> {
        self.incarnations.last().copied()
    }

    /// Writes the changes. `at` is the time of the last batch, `incarnation` the run of the placer that writes.
    pub fn write_to(
        &self,
        transaction: &WriteTransaction,
        at: u64,
        incarnation: u64,
    ) -> Result<(), redb::Error> {
        self.write_incarnations(transaction, at, incarnation)?;
        let mut sessions = transaction.open_table(SESSIONS)?;
        for (number, session) in &self.sessions {
            write_row(&mut sessions, number, session.as_ref())?;
        }
        self.write_responses(transaction)?;
        let mut templates = transaction.open_table(TEMPLATES)?;
        for (call, template) in &self.templates {
            write_row(&mut templates, call, template.as_ref())?;
        }
        let mut jobs = transaction.open_table(JOBS)?;
        for (number, job) in &self.jobs {
            write_row(&mut jobs, number, job.as_deref())?;
        }
        self.write_draining_nodes(transaction)?;
        self.write_warm_up_offers(transaction, at)?;
        self.write_active_configs(transaction)
    }

    fn write_incarnations(
        &self,
        transaction: &WriteTransaction,
        at: u64,
        incarnation: u64,
    ) -> Result<(), redb::Error> {
        let mut incarnations = transaction.open_table(INCARNATIONS)?;
        incarnations.insert(incarnation, at)?;
        for started in &self.incarnations {
            incarnations.insert(started, at)?;
        }
        if !self.incarnations.is_empty() {
            delete_oldest_beyond(&mut incarnations, MAX_INCARNATIONS)?;
        }
        Ok(())
    }

    fn write_responses(&self, transaction: &WriteTransaction) -> Result<(), redb::Error> {
        let mut responses = transaction.open_table(RESPONSES)?;
        for (call, response) in &self.responses {
            write_row(&mut responses, call, Some(response))?;
        }
        for (session, below) in &self.responses_deleted_below {
            responses.retain_in((*session, 0)..(*session, *below), |_, _| false)?;
        }
        Ok(())
    }

    fn write_draining_nodes(&self, transaction: &WriteTransaction) -> Result<(), redb::Error> {
        let mut draining_nodes = transaction.open_table(DRAINING_NODES)?;
        for (node, draining) in &self.draining {
            if *draining {
                draining_nodes.insert(node.as_str(), ())?;
            } else {
                draining_nodes.remove(node.as_str())?;
            }
        }
        Ok(())
    }

    fn write_warm_up_offers(
        &self,
        transaction: &WriteTransaction,
        at: u64,
    ) -> Result<(), redb::Error> {
        let oldest_kept = at.saturating_sub(WARM_UP_OFFER_RETENTION_US);
        let mut offers = transaction.open_table(WARM_UP_OFFERS)?;
        for ((node, time), count) in &self.warm_up_offers {
            let node = node.as_str();
            offers.retain_in((node, 0)..(node, oldest_kept), |_, _| false)?;
            offers.insert((node, *time), *count)?;
        }
        Ok(())
    }

    fn write_active_configs(&self, transaction: &WriteTransaction) -> Result<(), redb::Error> {
        // A ledger that was made before there were configuration versions gets the table with its first row.
        if self.active_configs.is_empty() {
            return Ok(());
        }
        let mut configs = transaction.open_table(ACTIVE_CONFIGS)?;
        for (at, config) in &self.active_configs {
            write_row(&mut configs, at, Some(config))?;
        }
        delete_oldest_beyond(&mut configs, MAX_ACTIVE_CONFIGS)
    }
}

fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    // A row is plain data, and memory is the only thing that can run out.
    postcard::to_stdvec(row).unwrap_or_default()
}

/// Writes a row, or deletes it.
fn write_row<K, T: Serialize>(
    table: &mut Table<'_, K, &'static [u8]>,
    key: &K,
    row: Option<&T>,
) -> Result<(), redb::Error>
where
    K: Key + for<'a> Value<SelfType<'a> = K> + 'static,
{
    match row {
        Some(row) => drop(table.insert(key, encode(row).as_slice())?),
        None => drop(table.remove(key)?),
    }
    Ok(())
}

/// Deletes all rows but the `count` with the greatest keys.
fn delete_oldest_beyond<V: Value + 'static>(
    table: &mut Table<'_, u64, V>,
    count: usize,
) -> Result<(), redb::Error> {
    let older = table.iter()?.rev().skip(count).flatten();
    let older: Vec<u64> = older.map(|row| row.0.value()).collect();
    for key in older {
        table.remove(key)?;
    }
    Ok(())
}
