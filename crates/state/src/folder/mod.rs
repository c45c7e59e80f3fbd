//! The file operations that the state needs: [`Disk`] does them on a disk, [`SimFolder`] in memory, where a test can
//! cut the power between any two of them.

mod disk;
mod simulated;

use std::io;

use redb::StorageBackend;

pub use self::disk::{Disk, LockError};
pub use self::simulated::{SimFile, SimFolder};

/// A folder in which one placer keeps its state.
pub trait Folder: Send + Sync + std::fmt::Debug + 'static {
    /// The bytes of a database.
    type Data: StorageBackend;

    /// Opens the file of a database, or makes an empty one.
    ///
    /// # Errors
    /// Those of the file system.
    fn open_database(&self, name: &str) -> io::Result<Self::Data>;

    /// A file's bytes; `None` where there is no file of that name.
    ///
    /// # Errors
    /// Those of the file system.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;

    /// A file's length; `None` where there is no file of that name.
    ///
    /// # Errors
    /// Those of the file system.
    fn len(&self, name: &str) -> io::Result<Option<u64>>;

    /// Writes a file from its start, in place: a file that is as long already needs no new space.
    ///
    /// # Errors
    /// Those of the file system.
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Waits until a file's bytes survive a power cut.
    ///
    /// # Errors
    /// Those of the file system. After an error nothing that was written since the last sync can be trusted, and
    /// another sync does not repair it.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Renames a file, and replaces the file that had the new name.
    ///
    /// # Errors
    /// Those of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file, if there is one.
    ///
    /// # Errors
    /// Those of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Waits until the names of the folder's files survive a power cut.
    ///
    /// # Errors
    /// Those of the file system.
    fn sync_directory(&self) -> io::Result<()>;

    /// Where the folder is, for messages: its path.
    fn location(&self) -> String;
}
