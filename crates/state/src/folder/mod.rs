//! The file operations on a state folder. [`Disk`] implements them on a disk, [`SimFolder`] in memory, where a test can
//! cut the power between any two of them.

mod disk;
mod simulated;

use std::io;

use redb::StorageBackend;

pub use self::disk::{Disk, LockError};
pub use self::simulated::{SimFile, SimFolder};

/// A folder in which one placer keeps its state.
pub trait Folder: Send + Sync + std::fmt::Debug + 'static {
    /// File of a database.
    type Data: StorageBackend;

    /// Opens the file of a database, or creates an empty one.
    ///
    /// # Errors
    /// Errors of the file system.
    fn open_database(&self, name: &str) -> io::Result<Self::Data>;

    /// Reads a whole file; `None` where there is no file of that name.
    ///
    /// # Errors
    /// Errors of the file system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// Length of a file in bytes; `None` where there is no file of that name.
    ///
    /// # Errors
    /// Errors of the file system.
    fn len(&self, name: &str) -> io::Result<Option<u64>>;

    /// Replaces the content of a file, which is created if it is missing. The file is overwritten in place, so that
    /// content of the same length can be written on a full disk.
    ///
    /// # Errors
    /// Errors of the file system.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content of a file to disk: it survives a power cut after this returns.
    ///
    /// # Errors
    /// Errors of the file system. After an error nothing that was written since the last successful sync can be trusted,
    /// and another sync does not repair it.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Renames a file, and replaces any file of the new name.
    ///
    /// # Errors
    /// Errors of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file, if it exists.
    ///
    /// # Errors
    /// Errors of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the directory: created, renamed and removed file names survive a power cut after this returns.
    ///
    /// # Errors
    /// Errors of the file system.
    fn sync_directory(&self) -> io::Result<()>;

    /// Path of the folder, for messages.
    fn location(&self) -> String;
}
