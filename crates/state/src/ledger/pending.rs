//! Merges the changes of several batches, and writes them in one transaction.

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

/// Session and call number.
type CallKey = (SessionNumber, u64);

/// The last uncommitted change of each row. `None` deletes a row.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    /// Incarnations that started, in order.
    incarnations: Vec<u64>,
    sessions: BTreeMap<SessionNumber, Option<Session>>,
    responses: BTreeMap<CallKey, StoredResponse>,
    /// By session: the call number below which all responses are deleted.
    responses_deleted_below: BTreeMap<SessionNumber, u64>,
    templates: BTreeMap<CallKey, Option<JobTemplate>>,
    jobs: BTreeMap<JobNumber, Option<Box<Job>>>,
    /// By name of the node: whether it drains.
    draining: BTreeMap<String, bool>,
    /// By name of the node and time of the batch: number of offers.
    warm_up_offers: BTreeMap<(String, u64), u32>,
    /// By time of the batch.
    active_configs: BTreeMap<u64, ActiveConfigRow>,
}

impl PendingChanges {
    /// Collects the changes of one batch.
    pub fn of(batch: Batch) -> Self {
        let mut pending = Self::default();
        pending.add(batch);
        pending
    }

    /// Merges the changes of a later batch.
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

    /// Deletes all responses of a session, as none may remain once the session is deleted.
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

    /// The last incarnation that started among the changes; `None` where none did.
    pub fn last_incarnation(&self) -> Option<u64> {
        self.incarnations.last().copied()
    }

    /// Writes the changes. `at` is the time of the last batch in microseconds since 1970, `incarnation` the incarnation
    /// of the placer that writes.
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
        // Ledgers created before configuration versions existed lack the table. Opening the table creates it, so it is
        // opened only when there is a row to write.
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
    // Rows are plain data, which postcard can always encode; only memory can run out.
    postcard::to_stdvec(row).unwrap_or_default()
}

/// Writes a row; `None` deletes it.
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

/// Deletes all rows except the `count` with the greatest keys.
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
