//! The ledger's tables in an embedded store (redb): a copy-on-write tree with checksums, one sync a commit.

use std::collections::BTreeMap;
use std::error::Error;

use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, Table,
    TableDefinition, TableHandle, WriteTransaction,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::rows::{ActiveConfigRow, Answer, Ask, Batch, Change, Image, Job, Link, Session};

/// The version of the tables that this program writes.
pub const FORMAT: u32 = 2;
/// Microseconds for which offers to cold nodes are kept: longer than any node is cold.
const COLD_US: u64 = 3_600_000_000;
/// Lives that are remembered: a client that comes back after more restarts is told that nothing is known.
const LIVES: usize = 1_024;
/// Bytes of the tables kept in memory by the store: the core holds every row itself.
const CACHE: usize = 16 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LIFE: TableDefinition<u64, u64> = TableDefinition::new("lives");
const SESSION: TableDefinition<u32, &[u8]> = TableDefinition::new("sessions");
const CALL: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("calls");
const ASK: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("asks");
const JOB: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
const DRAINED: TableDefinition<&str, ()> = TableDefinition::new("drained");
/// How many offers went to a cold node in one batch. Format 1 had the times without the counts.
const COLD: TableDefinition<(&str, u64), u32> = TableDefinition::new("cold counts");
const COLD_1: TableDefinition<(&str, u64), ()> = TableDefinition::new("cold");
/// By what was decided from a time on. Ledgers that were made before there were plans lack it.
const ACTS: TableDefinition<u64, &[u8]> = TableDefinition::new("plans");
/// Rows of it that are kept: more changes of the plan than any placer's jobs outlive.
const MOST_ACTS: usize = 1_024;
/// What a time without a count counts for, and the most that is read of one: more than any node's budget.
const MANY: u32 = 4_096;

/// Why the ledger can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A newer program wrote it.
    #[error(
        "{file} has format {found}, this program knows up to {FORMAT}; start the newer program again, or \
         export the ledger with it"
    )]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
    },
    /// It is another placer's.
    #[error(
        "{file} is the ledger of placer `{found}`, not of `{wanted}`; name the right folder or placer"
    )]
    Foreign {
        /// The file.
        file: String,
        /// Whose it is.
        found: String,
        /// Who opened it.
        wanted: String,
    },
    /// Its bytes are damaged.
    #[error(
        "{file} is damaged: {what}; restore a backup, or move the folder away to start without it"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where and how.
        what: String,
    },
    /// The disk does not do what it is asked.
    #[error("{file}: {what}")]
    Io {
        /// The file.
        file: String,
        /// Why.
        what: String,
    },
}

/// An open ledger.
#[derive(Debug)]
pub(crate) struct Store {
    database: Database,
    file: String,
    life: u64,
    /// Whose it is.
    pub placer: String,
}

fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    // A row is plain data, and memory is the only thing that can run out.
    postcard::to_stdvec(row).unwrap_or_default()
}

impl Store {
    /// Opens a ledger, or makes an empty one in an empty file. All pages are checked against their sums.
    /// `placer` is whose it must be; any placer's is opened where none is named.
    pub fn open<B: StorageBackend>(
        data: B,
        file: &str,
        placer: Option<&str>,
    ) -> Result<(Self, Image), StoreError> {
        let io = |what: String| StoreError::Io {
            file: file.to_owned(),
            what,
        };
        let damaged = |what: String| StoreError::Damaged {
            file: file.to_owned(),
            what,
        };
        let mut builder = Builder::new();
        builder
            .set_cache_size(CACHE)
            .set_check_integrity_on_open(true);
        let database = builder
            .create_with_backend(data)
            .map_err(|error| match error {
                redb::DatabaseError::Storage(redb::StorageError::Io(error)) => match error.kind() {
                    // A file that ends too early, or is none of the store's.
                    std::io::ErrorKind::UnexpectedEof | std::io::ErrorKind::InvalidData => {
                        damaged(error.to_string())
                    }
                    _ => io(error.to_string()),
                },
                error => damaged(error.to_string()),
            })?;
        let mut store = Self {
            database,
            file: file.to_owned(),
            life: 0,
            placer: String::new(),
        };
        store.placer = store.identify(placer)?;
        let image = store.load().map_err(|error| damaged(error.to_string()))?;
        store.life = image.last_life();
        Ok((store, image))
    }

    /// Checks whose ledger it is and of which format; an empty one becomes this placer's.
    fn identify(&self, placer: Option<&str>) -> Result<String, StoreError> {
        let (format, owner) = self.told().map_err(|error| self.damaged(error))?;
        let placer = placer.unwrap_or(&owner);
        match format {
            None => {
                let init = || -> Result<(), redb::Error> {
                    let write = self.database.begin_write()?;
                    {
                        let mut meta = write.open_table(META)?;
                        meta.insert("format", FORMAT.to_le_bytes().as_slice())?;
                        meta.insert("placer", placer.as_bytes())?;
                    }
                    open_all(&write)?;
                    write.commit()?;
                    Ok(())
                };
                init().map_err(|error| self.io(error))?;
            }
            Some(found) if found > FORMAT => {
                return Err(StoreError::Newer {
                    file: self.file.clone(),
                    found,
                });
            }
            Some(_) if owner != placer => {
                let (found, wanted) = (owner.clone(), placer.to_owned());
                return Err(StoreError::Foreign {
                    file: self.file.clone(),
                    found,
                    wanted,
                });
            }
            Some(FORMAT) => {}
            Some(_) => self.migrate().map_err(|error| self.io(error))?,
        }
        Ok(placer.to_owned())
    }

    /// Brings an older format to this one, in one transaction: a crash leaves the older one whole.
    fn migrate(&self) -> Result<(), redb::Error> {
        let write = self.database.begin_write()?;
        {
            // From 1: how many offers a time stands for is not known, and no budget may be freed by that.
            let old = write.open_table(COLD_1)?;
            let mut cold = write.open_table(COLD)?;
            for row in old.iter()? {
                cold.insert(row?.0.value(), MANY)?;
            }
        }
        write.delete_table(COLD_1)?;
        write
            .open_table(META)?
            .insert("format", FORMAT.to_le_bytes().as_slice())?;
        write.commit()?;
        Ok(())
    }

    fn told(&self) -> Result<(Option<u32>, String), redb::Error> {
        let read = self.database.begin_read()?;
        let meta = match read.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok((None, String::new())),
            Err(error) => return Err(error.into()),
        };
        let format = meta
            .get("format")?
            .and_then(|value| value.value().try_into().ok());
        let owner = meta
            .get("placer")?
            .map(|value| String::from_utf8_lossy(value.value()).into_owned());
        Ok((format.map(u32::from_le_bytes), owner.unwrap_or_default()))
    }

    fn io(&self, error: impl std::fmt::Display) -> StoreError {
        StoreError::Io {
            file: self.file.clone(),
            what: error.to_string(),
        }
    }

    fn damaged(&self, error: impl std::fmt::Display) -> StoreError {
        StoreError::Damaged {
            file: self.file.clone(),
            what: error.to_string(),
        }
    }

    /// Reads every row of a table.
    fn each<K: redb::Key + 'static, T: DeserializeOwned>(
        read: &ReadTransaction,
        table: TableDefinition<K, &[u8]>,
        mut put: impl FnMut(K::SelfType<'_>, T),
    ) -> Result<(), Box<dyn Error>> {
        for row in read.open_table(table)?.iter()? {
            let (key, value) = row?;
            let key = key.value();
            let row = postcard::from_bytes(value.value());
            let row =
                row.map_err(|error| format!("table {}, row {key:?}: {error}", table.name()))?;
            put(key, row);
        }
        Ok(())
    }

    fn load(&self) -> Result<Image, Box<dyn Error>> {
        let read = self.database.begin_read()?;
        let mut image = Image::default();
        for row in read.open_table(LIFE)?.iter()? {
            let (life, until) = row?;
            image.lives.push(Link {
                life: life.value(),
                until: until.value(),
            });
        }
        Self::each(&read, SESSION, |number, row: Session| {
            drop(image.sessions.insert(number, row))
        })?;
        Self::each(&read, CALL, |(session, call), row: Answer| {
            image.calls.entry(session).or_default().insert(call, row);
        })?;
        Self::each(&read, ASK, |(session, call), row: Ask| {
            image.asks.entry(session).or_default().insert(call, row);
        })?;
        Self::each(&read, JOB, |number, row: Job| {
            drop(image.jobs.insert(number, row))
        })?;
        for row in read.open_table(DRAINED)?.iter()? {
            image.drained.insert(row?.0.value().to_owned());
        }
        for row in read.open_table(COLD)?.iter()? {
            let (key, count) = row?;
            let (node, at) = key.value();
            let times = std::iter::repeat_n(at, count.value().min(MANY) as usize);
            image.cold.entry(node.to_owned()).or_default().extend(times);
        }
        match read.open_table(ACTS) {
            Ok(_) => Self::each(&read, ACTS, |at, row: ActiveConfigRow| {
                drop(image.acts.insert(at, row))
            })?,
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(image)
    }

    /// Makes batches durable, all or none. `changes` holds the last change of each row.
    pub fn commit(&mut self, at: u64, changes: &Pending) -> Result<(), StoreError> {
        let life = changes.lives.last().copied().unwrap_or(self.life);
        let commit = || -> Result<(), redb::Error> {
            let write = self.database.begin_write()?;
            write_all(&write, at, life, changes)?;
            write.commit()?;
            Ok(())
        };
        commit().map_err(|error| self.io(error))?;
        self.life = life;
        Ok(())
    }

    /// Closes the file; what a crash would have to repair is not left.
    pub fn close(self) -> Result<(), StoreError> {
        let file = self.file;
        self.database.close().map_err(|error| StoreError::Io {
            file,
            what: error.to_string(),
        })
    }
}

fn open_all(write: &WriteTransaction) -> Result<(), redb::Error> {
    write.open_table(LIFE)?;
    write.open_table(SESSION)?;
    write.open_table(CALL)?;
    write.open_table(ASK)?;
    write.open_table(JOB)?;
    write.open_table(DRAINED)?;
    write.open_table(COLD)?;
    Ok(())
}

/// Writes a row, or removes it.
fn put<K, T: Serialize>(
    table: &mut Table<'_, K, &'static [u8]>,
    key: &K,
    row: Option<&T>,
) -> Result<(), redb::Error>
where
    K: redb::Key + for<'a> redb::Value<SelfType<'a> = K> + 'static,
{
    match row {
        Some(row) => drop(table.insert(key, encode(row).as_slice())?),
        None => drop(table.remove(key)?),
    }
    Ok(())
}

fn write_all(
    write: &WriteTransaction,
    at: u64,
    life: u64,
    changes: &Pending,
) -> Result<(), redb::Error> {
    let mut lives = write.open_table(LIFE)?;
    lives.insert(life, at)?;
    for life in &changes.lives {
        lives.insert(life, at)?;
    }
    if !changes.lives.is_empty() {
        let oldest: Vec<u64> = lives
            .iter()?
            .rev()
            .skip(LIVES)
            .flatten()
            .map(|row| row.0.value())
            .collect();
        oldest
            .into_iter()
            .try_for_each(|life| lives.remove(life).map(drop))?;
    }
    let mut sessions = write.open_table(SESSION)?;
    changes
        .sessions
        .iter()
        .try_for_each(|(number, row)| put(&mut sessions, number, row.as_ref()))?;
    let mut calls = write.open_table(CALL)?;
    for (key, row) in &changes.calls {
        calls.insert(key, encode(row).as_slice())?;
    }
    for (session, below) in &changes.settled {
        calls.retain_in((*session, 0)..(*session, *below), |_, _| false)?;
    }
    let mut asks = write.open_table(ASK)?;
    changes
        .asks
        .iter()
        .try_for_each(|(key, row)| put(&mut asks, key, row.as_ref()))?;
    let mut jobs = write.open_table(JOB)?;
    changes
        .jobs
        .iter()
        .try_for_each(|(number, row)| put(&mut jobs, number, row.as_deref()))?;
    let mut drained = write.open_table(DRAINED)?;
    for (node, drains) in &changes.drained {
        match drains {
            true => drop(drained.insert(node.as_str(), ())?),
            false => drop(drained.remove(node.as_str())?),
        }
    }
    let mut cold = write.open_table(COLD)?;
    for ((node, time), count) in &changes.cold {
        cold.retain_in(
            (node.as_str(), 0)..(node.as_str(), at.saturating_sub(COLD_US)),
            |_, _| false,
        )?;
        cold.insert((node.as_str(), *time), *count)?;
    }
    if !changes.acts.is_empty() {
        let mut acts = write.open_table(ACTS)?;
        changes
            .acts
            .iter()
            .try_for_each(|(time, row)| put(&mut acts, time, Some(row)))?;
        let oldest: Vec<u64> = acts
            .iter()?
            .rev()
            .skip(MOST_ACTS)
            .flatten()
            .map(|row| row.0.value())
            .collect();
        oldest
            .into_iter()
            .try_for_each(|at| acts.remove(at).map(drop))?;
    }
    Ok(())
}

/// The last change of each row that waits to be written.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    lives: Vec<u64>,
    sessions: BTreeMap<u32, Option<Session>>,
    calls: BTreeMap<(u32, u64), Answer>,
    settled: BTreeMap<u32, u64>,
    asks: BTreeMap<(u32, u64), Option<Ask>>,
    jobs: BTreeMap<u64, Option<Box<Job>>>,
    drained: BTreeMap<String, bool>,
    cold: BTreeMap<(String, u64), u32>,
    acts: BTreeMap<u64, ActiveConfigRow>,
}

impl Pending {
    pub fn add(&mut self, batch: Batch) {
        for change in batch.changes {
            match change {
                Change::Life(life) => self.lives.push(life),
                Change::Session(number, row) => {
                    if row.is_none() {
                        // Nothing of a session outlives it.
                        self.settled.insert(number, u64::MAX);
                        self.calls.retain(|(of, _), _| *of != number);
                    }
                    self.sessions.insert(number, row);
                }
                Change::Call(session, call, row) => drop(self.calls.insert((session, call), row)),
                Change::Settled(session, below) => {
                    self.calls
                        .retain(|(of, call), _| *of != session || *call >= below);
                    let most = self.settled.entry(session).or_default();
                    *most = below.max(*most);
                }
                Change::Ask(session, call, row) => drop(self.asks.insert((session, call), row)),
                Change::Job(number, row) => drop(self.jobs.insert(number, row)),
                Change::Drained(node, drains) => drop(self.drained.insert(node, drains)),
                Change::ActiveConfig(acts) => drop(self.acts.insert(batch.at, acts)),
                Change::Cold(node) => *self.cold.entry((node, batch.at)).or_default() += 1,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::folder::Folder;
    use crate::sim::SimFolder;

    #[test]
    fn a_newer_ledger_is_refused_and_stays_as_it_is() {
        let folder = SimFolder::default();
        let (store, _) = Store::open(folder.database("l").unwrap(), "l", Some("p")).unwrap();
        let write = store.database.begin_write().unwrap();
        let newer = (FORMAT + 1).to_le_bytes();
        write
            .open_table(META)
            .unwrap()
            .insert("format", newer.as_slice())
            .unwrap();
        write.commit().unwrap();
        store.close().unwrap();
        for _ in 0..2 {
            let error = Store::open(folder.database("l").unwrap(), "l", Some("p")).unwrap_err();
            assert!(
                matches!(error, StoreError::Newer { found, .. } if found == FORMAT + 1),
                "{error}"
            );
        }
    }
}
