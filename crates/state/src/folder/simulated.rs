//! A folder in memory that loses power, for tests: the operations of a disk, and the worst that a disk may do with them.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

use super::Folder;

/// Bytes that a disk writes as one.
const SECTOR: usize = 512;

/// A change of a file's bytes.
#[derive(Clone, Debug)]
enum Write {
    Bytes { at: usize, bytes: Vec<u8> },
    Length(usize),
}

impl Write {
    /// The length that a file must have for this write.
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

    /// The parts that a disk writes each as one, or not at all. Sectors lie at multiples of their size in the file.
    fn sectors(&self) -> Vec<Self> {
        let Self::Bytes { at, bytes } = self else {
            return vec![self.clone()];
        };
        let mut sectors = Vec::new();
        let mut from = 0;
        while from < bytes.len() {
            let to = bytes.len().min(from + SECTOR - (at + from) % SECTOR);
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
    /// What survives a power cut.
    durable: Vec<u8>,
    /// What programs read.
    visible: Vec<u8>,
    /// Written since the last sync.
    unsynced: Vec<Write>,
}

impl File {
    /// The file after a power cut, of whose unsynced writes each sector survived or not, as `draw` says.
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

/// A change of the names in the folder.
#[derive(Clone, Debug)]
enum NameChange {
    Set { name: String, file: usize },
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
struct State {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of them.
    unsynced_names: Vec<NameChange>,
    steps: u64,
    cut_at: Option<u64>,
    full: bool,
    read_only: bool,
    fail_sync: bool,
}

/// A folder in memory, with faults. Clones share the files.
#[derive(Clone, Debug, Default)]
pub struct SimFolder {
    state: Arc<Mutex<State>>,
}

/// A file of a [`SimFolder`].
#[derive(Debug)]
pub struct SimFile {
    state: Arc<Mutex<State>>,
    file: usize,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Counts one operation of the disk; from the cut on each fails.
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.cut_at {
            Some(at) if self.steps > at => Err(io::Error::other("the power is out")),
            _ => Ok(()),
        }
    }

    fn write(&mut self, file: usize, write: Write) -> io::Result<()> {
        self.step()?;
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
        self.step()?;
        let file = &mut self.files[file];
        if std::mem::take(&mut self.fail_sync) {
            // The writes are dropped, are still visible, and the next sync does not know of them.
            file.unsynced.clear();
            return Err(io::Error::other("the disk failed"));
        }
        for write in std::mem::take(&mut file.unsynced) {
            write.apply(&mut file.durable);
        }
        Ok(())
    }

    fn file(&self, name: &str) -> io::Result<usize> {
        let file = self.names.get(name).copied();
        file.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn file_or_new(&mut self, name: &str) -> io::Result<usize> {
        if let Some(file) = self.names.get(name) {
            return Ok(*file);
        }
        self.step()?;
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
    /// Operations of the disk so far: writes, syncs and changes of names.
    pub fn steps(&self) -> u64 {
        lock(&self.state).steps
    }

    /// Cuts the power after so many operations, counted from the folder's start.
    pub fn cut_at(&self, step: u64) {
        lock(&self.state).cut_at = Some(step);
    }

    /// Whether the disk has no space for anything new.
    pub fn full(&self, full: bool) {
        lock(&self.state).full = full;
    }

    /// Whether every write fails.
    pub fn read_only(&self, read_only: bool) {
        lock(&self.state).read_only = read_only;
    }

    /// The next sync fails; those after it report success, but what was written before is lost.
    pub fn fail_sync(&self) {
        lock(&self.state).fail_sync = true;
    }

    /// The folder after a power cut. What was synced is there. Of what was not, each sector survived or not, in no
    /// order, as `draw` says; of the changes of names a drawn number did, the earliest first.
    pub fn power_on(&self, mut draw: impl FnMut() -> u32) -> Self {
        let state = lock(&self.state);
        let files = state.files.iter();
        let files = files.map(|file| file.after_power_cut(&mut draw)).collect();
        let mut names = state.durable_names.clone();
        let survived = draw() as usize % (state.unsynced_names.len() + 1);
        for change in &state.unsynced_names[..survived] {
            change.apply(&mut names);
        }
        let state = State {
            files,
            names: names.clone(),
            durable_names: names,
            read_only: state.read_only,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes a file's bytes without any program noticing.
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
        state.step()?;
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
        state.step()?;
        if state.names.contains_key(name) {
            state.change_name(NameChange::Remove(name.to_owned()));
        }
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.step()?;
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
