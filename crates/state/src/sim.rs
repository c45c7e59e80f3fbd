//! A folder in memory that loses power, for tests: the same calls as of a disk, and the worst that a disk may
//! do with them.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

use crate::folder::Folder;

/// Bytes that a disk writes as one.
const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Write {
    Bytes(usize, Vec<u8>),
    Len(usize),
}

impl Write {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Len(len) => bytes.resize(*len, 0),
            Self::Bytes(at, new) => {
                if bytes.len() < at + new.len() {
                    bytes.resize(at + new.len(), 0);
                }
                bytes[*at..at + new.len()].copy_from_slice(new);
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    /// As programs see it.
    seen: Vec<u8>,
    /// Written and not synced.
    open: Vec<Write>,
}

#[derive(Clone, Debug)]
enum Naming {
    Name(String, usize),
    Remove(String),
}

#[derive(Debug, Default)]
struct State {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    namings: Vec<Naming>,
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
    /// One more thing that the disk does; from some number on the power is out.
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
        let grows = match &write {
            Write::Bytes(at, bytes) => at + bytes.len() > file.seen.len(),
            Write::Len(len) => *len > file.seen.len(),
        };
        if self.full && grows {
            return Err(io::ErrorKind::StorageFull.into());
        }
        write.apply(&mut file.seen);
        file.open.push(write);
        Ok(())
    }

    fn sync(&mut self, file: usize) -> io::Result<()> {
        self.step()?;
        let file = &mut self.files[file];
        if std::mem::take(&mut self.fail_sync) {
            // What was to be written is dropped, is still seen, and the next sync knows nothing of it.
            file.open.clear();
            return Err(io::Error::other("the disk failed"));
        }
        for write in std::mem::take(&mut file.open) {
            write.apply(&mut file.durable);
        }
        Ok(())
    }

    fn named(&self, name: &str) -> io::Result<usize> {
        self.names
            .get(name)
            .copied()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn named_or_new(&mut self, name: &str) -> io::Result<usize> {
        if let Some(file) = self.names.get(name) {
            return Ok(*file);
        }
        self.step()?;
        if self.read_only || self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.push(File::default());
        let file = self.files.len() - 1;
        self.names.insert(name.to_owned(), file);
        self.namings.push(Naming::Name(name.to_owned(), file));
        Ok(file)
    }
}

impl SimFolder {
    /// Steps of the disk so far: writes, syncs and changes of names.
    pub fn steps(&self) -> u64 {
        lock(&self.state).steps
    }

    /// The power goes out after so many steps from the folder's start.
    pub fn cut_at(&self, step: u64) {
        lock(&self.state).cut_at = Some(step);
    }

    /// The disk has no room for anything new, or has it again.
    pub fn full(&self, full: bool) {
        lock(&self.state).full = full;
    }

    /// Nothing can be written, or it can again.
    pub fn read_only(&self, read_only: bool) {
        lock(&self.state).read_only = read_only;
    }

    /// The next sync fails; those after it report success, but what was written before is lost.
    pub fn fail_sync(&self) {
        lock(&self.state).fail_sync = true;
    }

    /// The power comes back: what was synced is there. Of what was not, each sector came through or not, in no
    /// order, as `draw` says; names up to some one came through.
    pub fn power_on(&self, mut draw: impl FnMut() -> u32) -> Self {
        let state = lock(&self.state);
        let torn = |file: &File, draw: &mut dyn FnMut() -> u32| {
            let mut bytes = file.durable.clone();
            for write in &file.open {
                match write {
                    Write::Len(_) => {
                        if draw().is_multiple_of(2) {
                            write.apply(&mut bytes);
                        }
                    }
                    Write::Bytes(at, new) => {
                        // Sectors lie at multiples of their size in the file.
                        let mut from = 0;
                        while from < new.len() {
                            let to = new.len().min(from + SECTOR - (at + from) % SECTOR);
                            if draw().is_multiple_of(2) {
                                Write::Bytes(at + from, new[from..to].to_vec()).apply(&mut bytes);
                            }
                            from = to;
                        }
                    }
                }
            }
            File {
                durable: bytes.clone(),
                seen: bytes,
                open: Vec::new(),
            }
        };
        let files = state
            .files
            .iter()
            .map(|file| torn(file, &mut draw))
            .collect();
        let mut names = state.durable_names.clone();
        let through = draw() as usize % (state.namings.len() + 1);
        for naming in &state.namings[..through] {
            match naming {
                Naming::Name(name, file) => drop(names.insert(name.clone(), *file)),
                Naming::Remove(name) => drop(names.remove(name)),
            }
        }
        let read_only = state.read_only;
        let state = State {
            files,
            names: names.clone(),
            durable_names: names,
            read_only,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes a file's bytes behind everybody's back.
    pub fn spoil(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = lock(&self.state);
        if let Ok(file) = state.named(name) {
            let file = &mut state.files[file];
            change(&mut file.seen);
            file.durable = file.seen.clone();
        }
    }
}

impl Folder for SimFolder {
    type Data = SimFile;

    fn database(&self, name: &str) -> io::Result<SimFile> {
        let file = lock(&self.state).named_or_new(name)?;
        Ok(SimFile {
            state: Arc::clone(&self.state),
            file,
        })
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = lock(&self.state);
        Ok(state
            .named(name)
            .ok()
            .map(|file| state.files[file].seen.clone()))
    }

    fn len(&self, name: &str) -> io::Result<Option<u64>> {
        Ok(self.read(name)?.map(|bytes| bytes.len() as u64))
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = lock(&self.state);
        let file = state.named_or_new(name)?;
        state.write(file, Write::Bytes(0, bytes.to_vec()))?;
        if state.files[file].seen.len() != bytes.len() {
            state.write(file, Write::Len(bytes.len()))?;
        }
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        let file = state.named(name)?;
        state.sync(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.step()?;
        let file = state.named(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), file);
        // Both names change as one.
        state.namings.push(Naming::Name(to.to_owned(), file));
        state.namings.push(Naming::Remove(from.to_owned()));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.step()?;
        if state.names.remove(name).is_some() {
            state.namings.push(Naming::Remove(name.to_owned()));
        }
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = lock(&self.state);
        state.step()?;
        state.namings.clear();
        state.durable_names = state.names.clone();
        Ok(())
    }

    fn shown(&self) -> String {
        "simulated".to_owned()
    }
}

impl StorageBackend for SimFile {
    fn len(&self) -> io::Result<u64> {
        Ok(lock(&self.state).files[self.file].seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = lock(&self.state);
        let seen = &state.files[self.file].seen;
        let from = offset as usize;
        let bytes = seen
            .get(from..from + out.len())
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        lock(&self.state).write(self.file, Write::Len(len as usize))
    }

    fn sync_data(&self) -> io::Result<()> {
        lock(&self.state).sync(self.file)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        lock(&self.state).write(self.file, Write::Bytes(offset as usize, data.to_vec()))
    }
}
