//! Reads all rows of a ledger into a snapshot.

use redb::{
    Key, ReadTransaction, ReadableTable, StorageError, TableDefinition, TableError, TableHandle,
    TransactionError,
};
use serde::de::DeserializeOwned;

use super::tables::{
    ACTIVE_CONFIGS, DRAINING_NODES, INCARNATIONS, JOBS, MAX_WARM_UP_OFFERS, RESPONSES, SESSIONS,
    TEMPLATES, WARM_UP_OFFERS,
};
use crate::rows::{IncarnationRecord, LedgerSnapshot};

/// Error of reading the rows of a ledger.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    #[error(transparent)]
    Transaction(#[from] TransactionError),
    #[error(transparent)]
    Table(#[from] TableError),
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error("table {table}, row {key}: the value can't be decoded: {source}")]
    Row {
        table: String,
        key: String,
        source: postcard::Error,
    },
}

/// Calls `visit` with the key and the decoded value of every row of a table whose values are encoded by postcard.
fn for_each_row<K: Key + 'static, V: DeserializeOwned>(
    transaction: &ReadTransaction,
    table: TableDefinition<K, &[u8]>,
    mut visit: impl FnMut(K::SelfType<'_>, V),
) -> Result<(), ReadError> {
    for row in transaction.open_table(table)?.iter()? {
        let (key, value) = row?;
        let key = key.value();
        let decoded = postcard::from_bytes(value.value()).map_err(|source| ReadError::Row {
            table: table.name().to_owned(),
            key: format!("{key:?}"),
            source,
        })?;
        visit(key, decoded);
    }
    Ok(())
}

/// Reads all rows of a ledger.
pub(super) fn read_snapshot(transaction: &ReadTransaction) -> Result<LedgerSnapshot, ReadError> {
    let mut snapshot = LedgerSnapshot::default();
    read_incarnations(transaction, &mut snapshot)?;
    for_each_row(transaction, SESSIONS, |number, session| {
        snapshot.sessions.insert(number, session);
    })?;
    for_each_row(transaction, RESPONSES, |(session, call), response| {
        let responses = snapshot.responses.entry(session).or_default();
        responses.insert(call, response);
    })?;
    for_each_row(transaction, TEMPLATES, |(session, call), template| {
        let templates = snapshot.templates.entry(session).or_default();
        templates.insert(call, template);
    })?;
    for_each_row(transaction, JOBS, |number, job| {
        snapshot.jobs.insert(number, job);
    })?;
    read_draining_nodes(transaction, &mut snapshot)?;
    read_warm_up_offers(transaction, &mut snapshot)?;
    read_active_configs(transaction, &mut snapshot)?;
    Ok(snapshot)
}

fn read_incarnations(
    transaction: &ReadTransaction,
    snapshot: &mut LedgerSnapshot,
) -> Result<(), ReadError> {
    for row in transaction.open_table(INCARNATIONS)?.iter()? {
        let (incarnation, last_write_at) = row?;
        snapshot.incarnations.push(IncarnationRecord {
            incarnation: incarnation.value(),
            last_write_at: last_write_at.value(),
        });
    }
    Ok(())
}

fn read_draining_nodes(
    transaction: &ReadTransaction,
    snapshot: &mut LedgerSnapshot,
) -> Result<(), ReadError> {
    for row in transaction.open_table(DRAINING_NODES)?.iter()? {
        snapshot.draining_nodes.insert(row?.0.value().to_owned());
    }
    Ok(())
}

fn read_warm_up_offers(
    transaction: &ReadTransaction,
    snapshot: &mut LedgerSnapshot,
) -> Result<(), ReadError> {
    for row in transaction.open_table(WARM_UP_OFFERS)?.iter()? {
        let (key, count) = row?;
        let (node, at) = key.value();
        let count = count.value().min(MAX_WARM_UP_OFFERS) as usize;
        let times = snapshot.warm_up_offers.entry(node.to_owned()).or_default();
        times.extend(std::iter::repeat_n(at, count));
    }
    Ok(())
}

fn read_active_configs(
    transaction: &ReadTransaction,
    snapshot: &mut LedgerSnapshot,
) -> Result<(), ReadError> {
    match transaction.open_table(ACTIVE_CONFIGS) {
        Ok(_) => for_each_row(transaction, ACTIVE_CONFIGS, |at, config| {
            snapshot.active_configs.insert(at, config);
        }),
        Err(TableError::TableDoesNotExist(_)) => Ok(()),
        Err(error) => Err(error.into()),
    }
}
