//! A state folder on a disk.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use redb::backends::FileBackend;

use super::Folder;

/// Name of the empty file on which the lock of the folder is taken.
const LOCK_FILE: &str = "lock";

/// Error of locking a state folder.
#[derive(Debug, thiserror::Error)]
pub enum LockError {
    /// Another process holds the lock.
    #[error("{folder}: another placer keeps its state there; give each placer a folder of its own")]
    InUse {
        /// Path of the folder.
        folder: String,
    },
    /// The folder can't be created or locked.
    #[error("{folder}: can't be used as a state folder: {error}")]
    Io {
        /// Path of the folder.
        folder: String,
        /// The error of the file system.
        error: io::Error,
    },
}

/// A state folder on a disk. It is locked until this value is dropped.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    /// The open lock file; closing it releases the lock.
    _lock: File,
}

impl Disk {
    /// Creates the folder if it is missing, and locks it.
    ///
    /// # Errors
    /// See [`LockError`].
    pub fn lock(folder: &Path) -> Result<Self, LockError> {
        let location = folder.display().to_string();
        let io = |error| LockError::Io {
            folder: location.clone(),
            error,
        };
        std::fs::create_dir_all(folder).map_err(io)?;
        let lock = open_lock_file(&folder.join(LOCK_FILE)).map_err(io)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                folder: folder.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(LockError::InUse { folder: location }),
            Err(TryLockError::Error(error)) => Err(io(error)),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    let opened = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(path);
    match opened {
        // In a read-only folder the lock is taken on the file that an earlier run created.
        Err(_) if path.exists() => File::open(path),
        opened => opened,
    }
}

impl Folder for Disk {
    type Data = FileBackend;

    fn open_database(&self, name: &str) -> io::Result<FileBackend> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(self.path(name))?;
        FileBackend::new(file).map_err(io::Error::other)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut bytes = Vec::new();
        match File::open(self.path(name)) {
            Ok(mut file) => file.read_to_end(&mut bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        Ok(Some(bytes))
    }

    fn len(&self, name: &str) -> io::Result<Option<u64>> {
        match std::fs::metadata(self.path(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(self.path(name))?;
        file.seek(SeekFrom::Start(0))?;
        file.write_all(bytes)?;
        if file.metadata()?.len() != bytes.len() as u64 {
            file.set_len(bytes.len() as u64)?;
        }
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(self.path(name))?;
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path(from), self.path(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.path(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn location(&self) -> String {
        self.folder.display().to_string()
    }
}
