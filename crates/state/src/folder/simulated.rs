//! A state folder in memory, for tests of power cuts and disk faults. Unsynced writes survive a power cut in part and in
//! any order, and a failed sync drops them.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

use super::Folder;

/// Bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A change of a file's content.
#[derive(Clone, Debug)]
enum Write {
    /// Overwrites the file from offset `at` on, and extends it if needed.
    Bytes { at: usize, bytes: Vec<u8> },
    /// Truncates the file to this length, or extends it with zeros.
    Length(usize),
}

impl Write {
    /// Offset after the last byte that this write needs.
    fn end(&self) -> usize {
        match self {
            Self::Bytes { at, bytes } => at + bytes.len(),
            Self::Length(length) => *length,
        }
    }

    fn apply(&self, file: &mut Vec<u8>) {
        match self {
            Self::Length(length) => file.resize(*length, 0),
            Self::Bytes { at, bytes } => {
                let end = self.end();
                if file.len() < end {
                    file.resize(end, 0);
                }
                file[*at..end].copy_from_slice(bytes);
            }
        }
    }

    /// Splits the write into the parts that a disk writes atomically. Sectors start at multiples of their size in the
    /// file.
    fn sectors(&self) -> Vec<Self> {
        let Self::Bytes { at, bytes } = self else {
            return vec![self.clone()];
        };
        let mut sectors = Vec::new();
        let mut from = 0;
        while from < bytes.len() {
            let to = bytes
                .len()
                .min(from + SECTOR_BYTES - (at + from) % SECTOR_BYTES);
            sectors.push(Self::Bytes {
                at: at + from,
                bytes: bytes[from..to].to_vec(),
            });
            from = to;
        }
        sectors
    }
}

#[derive(Clone, Debug, Default)]
struct File {
    /// Content that survives a power cut.
    durable: Vec<u8>,
    /// Content that programs read.
    visible: Vec<u8>,
    /// Writes since the last sync.
    unsynced: Vec<Write>,
}

impl File {
    /// The file after a power cut. Each sector of the unsynced writes survives if its number from `draw` is even.
    fn after_power_cut(&self, draw: &mut impl FnMut() -> u32) -> Self {
        let mut bytes = self.durable.clone();
        for sector in self.unsynced.iter().flat_map(Write::sectors) {
            if draw().is_multiple_of(2) {
                sector.apply(&mut bytes);
            }
        }
        Self {
            durable: bytes.clone(),
            visible: bytes,
            unsynced: Vec::new(),
        }
    }
}

/// A change of a file name in the folder.
#[derive(Clone, Debug)]
enum NameChange {
    /// Binds the name to a file, by its index in [`DiskState::files`].
    Set {
        name: String,
        file: usize,
    },
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            Self::Set { name, file } => drop(names.insert(name.clone(), *file)),
            Self::Remove(name) => drop(names.remove(name)),
        }
    }
}

#[derive(Debug, Default)]
struct DiskState {
    files: Vec<File>,
    /// Index of the file in `files`, by name.
    names: BTreeMap<String, usize>,
    /// The names that survive a power cut.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of the directory.
    unsynced_names: Vec<NameChange>,
    /// Number of operations so far.
    operations: u64,
    /// Number of operations after which every further one fails.
    cut_after: Option<u64>,
    full: bool,
    read_only: bool,
    fail_next_sync: bool,
}

/// A state folder in memory, with simulated faults. Clones share the files.
#[derive(Clone, Debug, Default)]
pub struct SimFolder {
    state: Arc<Mutex<DiskState>>,
}

/// A database file of a [`SimFolder`].
#[derive(Debug)]
pub struct SimFile {
    state: Arc<Mutex<DiskState>>,
    /// Index in [`DiskState::files`].
    file: usize,
}

fn lock(state: &Mutex<DiskState>) -> MutexGuard<'_, DiskState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiskState {
    /// Counts an operation of the disk; it fails if the power is cut.
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.cut_after {
            Some(last) if self.operations > last => Err(io::Error::other("the power is out")),
            _ => Ok(()),
        }
    }

    fn write(&mut self, file: usize, write: Write) -> io::Result<()> {
        self.count_operation()?;
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        let file = &mut self.files[file];
        let grows = write.end() > file.visible.len();
        if self.full && grows {
            return Err(io::ErrorKind::StorageFull.into());
        }
        write.apply(&mut file.visible);
        file.unsynced.push(write);
        Ok(())
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        self.count_operation()?;
        let file = &mut self.files[file];
        if std::mem::take(&mut self.fail_next_sync) {
            // The writes stay visible, but are dropped: the next sync reports success without writing them.
            file.unsynced.clear();
            return Err(io::Error::other("the disk failed"));
        }
        for write in std::mem::take(&mut file.unsynced) {
            write.apply(&mut file.durable);
        }
        Ok(())
    }

    /// Index of the file of this name.
    fn file(&self, name: &str) -> io::Result<usize> {
        let file = self.names.get(name).copied();
        file.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Index of the file of this name, which is created if it is missing.
    fn file_or_new(&mut self, name: &str) -> io::Result<usize> {
        if let Some(file) = self.names.get(name) {
            return Ok(*file);
        }
        self.count_operation()?;
        if self.read_only || self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.push(File::default());
        let file = self.files.len() - 1;
        self.change_name(NameChange::Set {
            name: name.to_owned(),
            file,
        });
        Ok(file)
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.unsynced_names.push(change);
    }
}

impl SimFolder {
    /// Number of disk operations so far: writes, syncs and changes of names.
    pub fn operation_count(&self) -> u64 {
        lock(&self.state).operations
    }

    /// Cuts the power after this number of operations, counted from the creation of the folder: every later one fails.
    pub fn cut_power_after(&self, operations: u64) {
        lock(&self.state).cut_after = Some(operations);
    }

    /// Sets whether the disk is full: creating or extending a file then fails.
    pub fn set_full(&self, full: bool) {
        lock(&self.state).full = full;
    }

    /// Sets whether the disk is read-only: creating a file and every write to a file then fail.
    pub fn set_read_only(&self, read_only: bool) {
        lock(&self.state).read_only = read_only;
    }

    /// Makes the next sync of a file fail. Later syncs succeed, but what was written to the file before the failed one is
    /// lost.
    pub fn fail_next_sync(&self) {
        lock(&self.state).fail_next_sync = true;
    }

    /// The folder as it is found after a power cut. Synced data survives. `draw` returns random numbers, which decide for
    /// each unsynced sector whether it survives, and how many of the unsynced changes of names do, the earliest first.
    pub fn after_power_cut(&self, mut draw: impl FnMut() -> u32) -> Self {
        let state = lock(&self.state);
        let files = state.files.iter();
        let files = files.map(|file| file.after_power_cut(&mut draw)).collect();
        let mut names = state.durable_names.clone();
        let survived = draw() as usize % (state.unsynced_names.len() + 1);
        for change in &state.unsynced_names[..survived] {
            change.apply(&mut names);
        }
        let state = DiskState {
            files,
            names: names.clone(),
            durable_names: names,
            read_only: state.read_only,
            ..DiskState::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes the content of a file, visible and durable, without counting as an operation.
    pub fn corrupt(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = lock(&self.state);
        if let Ok(file) = state.file(name) {
            let file = &mut state.files[file];
            change(&mut file.visible);
            file.durable = file.visible.clone();
        }
    }
}

impl Folder for SimFolder {
    type Data = SimFile;

    fn open_database(&self, name: &str) -> io::Result<SimFile> {
        let file = lock(&self.state).file_or_new(name)?;
        Ok(SimFile {
            state: Arc::clone(&self.state),
            file,
        })
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = lock(&self.state);
        let file = state.file(name).ok();
        Ok(file.map(|file| state.files[file].visible.clone()))
    }

    fn len(&self, name: &str) -> io::Result<Option<u64>> {
        Ok(self.read(name)?.map(|bytes| bytes.len() as u64))
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        let file = state.file_or_new(name)?;
        let write = Write::Bytes {
            at: 0,
            bytes: bytes.to_vec(),
        };
        state.write(file, write)?;
        if state.files[file].visible.len() != bytes.len() {
            state.write(file, Write::Length(bytes.len()))?;
        }
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        let file = state.file(name)?;
        state.sync(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.count_operation()?;
        let file = state.file(from)?;
        state.change_name(NameChange::Set {
            name: to.to_owned(),
            file,
        });
        state.change_name(NameChange::Remove(from.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.count_operation()?;
        if state.names.contains_key(name) {
            state.change_name(NameChange::Remove(name.to_owned()));
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.count_operation()?;
        state.unsynced_names.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }

    fn location(&self) -> String {
        "simulated".to_owned()
    }
}

impl StorageBackend for SimFile {
    fn len(&self) -> io::Result<u64> {
        Ok(lock(&self.state).files[self.file].visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = lock(&self.state);
        let visible = &state.files[self.file].visible;
        let from = offset as usize;
        let bytes = visible
            .get(from..from + out.len())
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        lock(&self.state).write(self.file, Write::Length(len as usize))
    }

    fn sync_data(&self) -> io::Result<()> {
        lock(&self.state).sync(self.file)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let write = Write::Bytes {
            at: offset as usize,
            bytes: data.to_vec(),
        };
        lock(&self.state).write(self.file, write)
    }
}
