//! The few things that are done to files, so that tests can lose power between any two of them.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use redb::StorageBackend;
use redb::backends::FileBackend;

/// A folder that one placer keeps its state in.
pub trait Folder: Send + Sync + std::fmt::Debug + 'static {
    /// The bytes of a database.
    type Data: StorageBackend;

    /// Opens a database's file, or makes an empty one.
    ///
    /// # Errors
    /// What the file system says.
    fn database(&self, name: &str) -> io::Result<Self::Data>;

    /// A file's bytes; `None` where there is none of that name.
    ///
    /// # Errors
    /// What the file system says.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// A file's length; `None` where there is none of that name.
    ///
    /// # Errors
    /// What the file system says.
    fn len(&self, name: &str) -> io::Result<Option<u64>>;

    /// Writes a file from its start, in place: a file that is as long already needs no new room.
    ///
    /// # Errors
    /// What the file system says.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Waits until a file's bytes will outlive a power cut.
    ///
    /// # Errors
    /// What the file system says. After an error nothing that was written since the last sync can be
    /// trusted, nor made good by another sync.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of the file that had it.
    ///
    /// # Errors
    /// What the file system says.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file, if there is one.
    ///
    /// # Errors
    /// What the file system says.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until names will outlive a power cut.
    ///
    /// # Errors
    /// What the file system says.
    fn sync_names(&self) -> io::Result<()>;

    /// What the folder is called, for messages.
    fn shown(&self) -> String;
}

/// Why a folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum LockError {
    /// Another placer runs on it.
    #[error("{folder}: another placer keeps its state there; give each placer a folder of its own")]
    Taken {
        /// The folder.
        folder: String,
    },
    /// It can't be made or locked.
    #[error("{folder}: can't be used as a state folder: {error}")]
    Io {
        /// The folder.
        folder: String,
        /// Why.
        error: io::Error,
    },
}

/// A folder on a disk. It is locked for as long as this value lives.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    _lock: Option<File>,
}

impl Disk {
    /// Makes the folder, where there is none, and locks it.
    ///
    /// # Errors
    /// See [`LockError`].
    pub fn lock(folder: &Path) -> Result<Self, LockError> {
        let shown = folder.display().to_string();
        let io = |error| LockError::Io {
            folder: shown.clone(),
            error,
        };
        std::fs::create_dir_all(folder).map_err(io)?;
        let path = folder.join("lock");
        let lock = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path);
        let lock = match lock {
            Ok(lock) => lock,
            // A folder that can only be read is locked through the file that its last placer left.
            Err(_) if folder.join("lock").exists() => {
                File::open(folder.join("lock")).map_err(io)?
            }
            Err(error) => return Err(io(error)),
        };
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                folder: folder.to_owned(),
                _lock: Some(lock),
            }),
            Err(TryLockError::WouldBlock) => Err(LockError::Taken { folder: shown }),
            Err(TryLockError::Error(error)) => Err(io(error)),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}

impl Folder for Disk {
    type Data = FileBackend;

    fn database(&self, name: &str) -> io::Result<FileBackend> {
        let path = self.path(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
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
        let path = self.path(name);
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        file.seek(SeekFrom::Start(0))?;
        file.write_all(bytes)?;
        if file.metadata()?.len() != bytes.len() as u64 {
            file.set_len(bytes.len() as u64)?;
        }
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        OpenOptions::new()
            .write(true)
            .open(self.path(name))?
            .sync_all()
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

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn shown(&self) -> String {
        self.folder.display().to_string()
    }
}
