//! The ledger's database (redb): a copy-on-write tree with checksums, one sync a commit.

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

/// Bytes of the tables that the database keeps in memory: the core holds every row itself.
const CACHE_BYTES: usize = 16 << 20;

/// An open database.
#[derive(Debug)]
pub(super) struct Store {
    database: Database,
    /// The file's path, for errors.
    file: String,
    /// The incarnation that writes.
    incarnation: u64,
    /// The placer to which it belongs.
    placer: String,
}

/// A database that was opened, and its rows.
#[derive(Debug)]
pub(super) struct OpenedStore {
    pub store: Store,
    pub snapshot: LedgerSnapshot,
}

/// What a database says of itself.
struct Identity {
    /// `None` in an empty database.
    format: Option<u32>,
    placer: String,
}

impl Store {
    /// Opens a database, or makes an empty one in an empty file. All pages are checked against their checksums.
    /// A database of another placer than `placer` is an error; without a name that of any placer is opened.
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

    /// The placer to which the database belongs.
    pub fn placer(&self) -> &str {
        &self.placer
    }

    /// Checks placer and format, and migrates an older format; an empty database becomes this placer's. Returns the
    /// placer's name.
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
                return Err(StoreError::Newer { file, found });
            }
            Some(_) if identity.placer != placer => {
                return Err(StoreError::Foreign {
                    file: self.file.clone(),
                    found: identity.placer.clone(),
                    wanted: placer.to_owned(),
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

    /// Makes changes durable, all or none. `at` is the time of the last batch among them.
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

    /// Closes the file, so that the next one to open it has nothing to repair.
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

/// A file that ends too early, or is no database, is damaged; any other failure of the file system may pass.
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
