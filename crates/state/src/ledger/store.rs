//! The ledger's database (redb): a copy-on-write tree with checksums, which syncs once per commit.

use std::io;

use redb::{Builder, Database, DatabaseError, ReadableDatabase, StorageBackend, StorageError};

use super::error::StoreError;
use super::migration::migrate;
use super::pending::PendingChanges;
use super::reader::{ReadError, read_snapshot};
use super::tables::{
    DRAINING_NODES, FORMAT, INCARNATIONS, JOBS, META, META_FORMAT, META_PLACER, RESPONSES,
    SESSIONS, TEMPLATES, WARM_UP_OFFERS,
};
use crate::rows::LedgerSnapshot;

/// Size of the database's page cache in bytes. It can be small, as the core keeps every row in memory itself.
const CACHE_BYTES: usize = 16 << 20;

/// An open ledger database.
#[derive(Debug)]
pub(super) struct Store {
    database: Database,
    /// Path of the file, for errors.
    file: String,
    /// The incarnation to which writes are attributed: the last one that is recorded; 0 where there is none.
    incarnation: u64,
    /// Name of the placer to which the ledger belongs.
    placer: String,
}

/// A database that was opened, and the rows that it contained.
#[derive(Debug)]
pub(super) struct OpenedStore {
    pub store: Store,
    pub snapshot: LedgerSnapshot,
}

/// The format and the owner that a database records in its `meta` table.
struct Identity {
    /// `None` in an empty database.
    format: Option<u32>,
    /// Name of the placer; empty in an empty database.
    placer: String,
}

impl Store {
    /// Opens a database, or initializes one in an empty file. All pages are checked against their checksums.
    /// A database of another placer than `placer` is an error; with `None` any placer's database is opened.
    pub fn open<B: StorageBackend>(
        data: B,
        file: &str,
        placer: Option<&str>,
    ) -> Result<OpenedStore, StoreError> {
        let mut store = Self {
            database: open_database(data, file)?,
            file: file.to_owned(),
            incarnation: 0,
            placer: String::new(),
        };
        store.placer = store.prepare(placer)?;
        let snapshot = store
            .read()
            .map_err(|error| StoreError::damaged(file, error))?;
        store.incarnation = snapshot.last_incarnation();
        Ok(OpenedStore { store, snapshot })
    }

    /// Name of the placer to which the ledger belongs.
    pub fn placer(&self) -> &str {
        &self.placer
    }

    /// Checks placer and format, migrates an older format, and initializes an empty database for the placer. Returns the
    /// name of the ledger's placer.
    fn prepare(&self, placer: Option<&str>) -> Result<String, StoreError> {
        let identity = self
            .identity()
            .map_err(|error| StoreError::damaged(&self.file, error))?;
        let placer = placer.unwrap_or(&identity.placer);
        match identity.format {
            None => self
                .initialize(placer)
                .map_err(|error| StoreError::io(&self.file, error))?,
            Some(found) if found > FORMAT => {
                let file = self.file.clone();
                return Err(StoreError::NewerFormat { file, found });
            }
            Some(_) if identity.placer != placer => {
                return Err(StoreError::OtherPlacer {
                    file: self.file.clone(),
                    found: identity.placer.clone(),
                    expected: placer.to_owned(),
                });
            }
            Some(FORMAT) => {}
            Some(_) => {
                migrate(&self.database).map_err(|error| StoreError::io(&self.file, error))?;
            }
        }
        Ok(placer.to_owned())
    }

    fn identity(&self) -> Result<Identity, redb::Error> {
        let transaction = self.database.begin_read()?;
        let meta = match transaction.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => {
                return Ok(Identity {
                    format: None,
                    placer: String::new(),
                });
            }
            Err(error) => return Err(error.into()),
        };
        let format = meta
            .get(META_FORMAT)?
            .and_then(|value| value.value().try_into().ok());
        let placer = meta
            .get(META_PLACER)?
            .map(|value| String::from_utf8_lossy(value.value()).into_owned());
        Ok(Identity {
            format: format.map(u32::from_le_bytes),
            placer: placer.unwrap_or_default(),
        })
    }

    fn initialize(&self, placer: &str) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut meta = transaction.open_table(META)?;
            meta.insert(META_FORMAT, FORMAT.to_le_bytes().as_slice())?;
            meta.insert(META_PLACER, placer.as_bytes())?;
        }
        transaction.open_table(INCARNATIONS)?;
        transaction.open_table(SESSIONS)?;
        transaction.open_table(RESPONSES)?;
        transaction.open_table(TEMPLATES)?;
        transaction.open_table(JOBS)?;
        transaction.open_table(DRAINING_NODES)?;
        transaction.open_table(WARM_UP_OFFERS)?;
        transaction.commit()?;
        Ok(())
    }

    fn read(&self) -> Result<LedgerSnapshot, ReadError> {
        read_snapshot(&self.database.begin_read()?)
    }

    /// Commits all of the changes or none, and syncs them to disk. `at` is the time of the last batch among them.
    pub fn commit(&mut self, at: u64, changes: &PendingChanges) -> Result<(), StoreError> {
        let incarnation = changes.last_incarnation().unwrap_or(self.incarnation);
        self.commit_as(incarnation, at, changes)
            .map_err(|error| StoreError::io(&self.file, error))?;
        self.incarnation = incarnation;
        Ok(())
    }

    fn commit_as(
        &self,
        incarnation: u64,
        at: u64,
        changes: &PendingChanges,
    ) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        changes.write_to(&transaction, at, incarnation)?;
        transaction.commit()?;
        Ok(())
    }

    /// Closes the file cleanly, so that opening it again needs no repair.
    pub fn close(self) -> Result<(), StoreError> {
        let file = self.file;
        self.database
            .close()
            .map_err(|error| StoreError::io(&file, error))
    }
}

fn open_database<B: StorageBackend>(data: B, file: &str) -> Result<Database, StoreError> {
    let mut builder = Builder::new();
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    builder
        .create_with_backend(data)
        .map_err(|error| open_error(error, file))
}

/// Classifies an error of opening: a file that is truncated or is not a database is damaged, any other error of the
/// file system may be temporary.
fn open_error(error: DatabaseError, file: &str) -> StoreError {
    let DatabaseError::Storage(StorageError::Io(error)) = error else {
        return StoreError::damaged(file, error);
    };
    match error.kind() {
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData => {
            StoreError::damaged(file, error)
        }
        _ => StoreError::io(file, error),
    }
}
