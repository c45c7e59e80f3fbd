//! Keeps the rows durable, and says so where it can't.

use std::io;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::folder::Folder;
use crate::learned::{BeliefError, BeliefSnapshot};
use crate::rows::{Batch, Image};
use crate::store::{FORMAT, Pending, Store, StoreError};

const LEDGER: &str = "ledger";
const LEDGER_NEW: &str = "ledger.new";
const LEARNED: &str = "learned";
const LEARNED_NEW: &str = "learned.new";
const LEARNED_OLD: &str = "learned.old";
/// Says whether the ledger has all that was promised. It is as long either way, so that a full disk has room
/// for the change.
const MARK: &str = "mark";
const WHOLE: &[u8; 16] = b"reedring: whole\n";
const HOLES: &[u8; 16] = b"reedring: holes\n";

/// The ledger can't be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerWriteError {
    /// Why, for the staff.
    pub why: String,
    /// The folder says so too: a later life will know that promises are missing.
    pub marked: bool,
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct OpenedLedger<F: Folder> {
    /// Keeps it from now on.
    pub keeper: LedgerWriter<F>,
    /// What was promised.
    pub image: Image,
    /// What was learned, if a file has it.
    pub learned: Option<BeliefSnapshot>,
    /// What was wrong with files that were passed by.
    pub passed_by: Vec<BeliefError>,
}

/// All that a folder holds, for those who only look at it or move it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// The format of the rows.
    pub format: u32,
    /// Whose state it is.
    pub placer: String,
    /// What was promised.
    pub ledger: Image,
    /// What was learned, if a whole file has it.
    pub learned: Option<BeliefSnapshot>,
}

impl Export {
    /// Reads a folder, whosever it is. Only what a crash left to be repaired is written.
    ///
    /// # Errors
    /// See [`StoreError`]; a folder without a ledger is one too.
    pub fn read<F: Folder>(folder: F) -> Result<(Self, Vec<BeliefError>), StoreError> {
        let io = |error: io::Error| StoreError::Io {
            file: folder.shown(),
            what: error.to_string(),
        };
        if folder.len(LEDGER).map_err(io)?.is_none() {
            let what = "there is no ledger in it".to_owned();
            return Err(StoreError::Io {
                file: folder.shown(),
                what,
            });
        }
        let (store, mut ledger) = open_ledger(&folder, None)?;
        let placer = store.placer.clone();
        store.close()?;
        ledger.holes = folder.read(MARK).map_err(io)?.as_deref() != Some(WHOLE.as_slice());
        let (learned, passed_by) = read_learned(&folder, &placer);
        Ok((
            Self {
                format: FORMAT,
                placer,
                ledger,
                learned,
            },
            passed_by,
        ))
    }

    /// Writes a folder that has no ledger yet.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn write<F: Folder>(&self, folder: F) -> Result<(), StoreError> {
        let shown = folder.shown();
        let io = |what: String| StoreError::Io {
            file: shown.clone(),
            what,
        };
        if self.format != FORMAT {
            return Err(io(format!(
                "the export has format {}, this program reads {FORMAT}",
                self.format
            )));
        }
        if folder
            .len(LEDGER)
            .map_err(|error| io(error.to_string()))?
            .is_some()
        {
            return Err(io(
                "there is a ledger in it already; name an empty folder".to_owned()
            ));
        }
        if let Some(wrong) = self.ledger.check().first() {
            return Err(io(format!("the export can't be a placer's: {wrong}")));
        }
        let mut keeper = LedgerWriter::open(folder, &self.placer)?.keeper;
        keeper
            .write(self.ledger.batches())
            .map_err(|lost| io(lost.why))?;
        if self.ledger.holes {
            keeper.mark(HOLES).map_err(|error| io(error.to_string()))?;
        }
        if let Some(learned) = &self.learned {
            keeper
                .learn(learned)
                .map_err(|error| io(error.to_string()))?;
        }
        keeper.close();
        Ok(())
    }
}

/// The files of one placer's state.
#[derive(Debug)]
pub struct LedgerWriter<F: Folder> {
    folder: Arc<F>,
    placer: String,
    store: Option<Store>,
    /// A new ledger that still lacks its rows.
    fresh: Option<Store>,
    pending: Pending,
    at: u64,
    asked: u64,
    durable: u64,
    marked: bool,
    why: String,
    /// The file of what was learned is a newer program's, and stays.
    learned_stays: bool,
}

impl<F: Folder> LedgerWriter<F> {
    /// Opens a folder's files, or makes them. Nothing is written over that can't be read.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(folder: F, placer: &str) -> Result<OpenedLedger<F>, StoreError> {
        let folder = Arc::new(folder);
        let io = |error: io::Error| StoreError::Io {
            file: folder.shown(),
            what: error.to_string(),
        };
        // A ledger has its name, and its mark, only once it is whole.
        if folder.len(LEDGER).map_err(io)?.is_none() {
            folder.write(MARK, WHOLE).map_err(io)?;
            folder.sync(MARK).map_err(io)?;
            create(&*folder, placer)?.close()?;
            folder.rename(LEDGER_NEW, LEDGER).map_err(io)?;
            folder.sync_names().map_err(io)?;
        }
        let marked = folder.read(MARK).map_err(io)?.as_deref() != Some(WHOLE.as_slice());
        let (store, mut image) = open_ledger(&*folder, Some(placer))?;
        image.holes = marked;
        let (learned, passed_by) = read_learned(&*folder, placer);
        let (store, fresh, pending, why) = (Some(store), None, Pending::default(), String::new());
        let (at, asked, durable) = (0, 0, 0);
        let learned_stays = passed_by.iter().any(BeliefError::is_newer);
        let placer = placer.to_owned();
        let keeper = Self {
            folder,
            placer,
            store,
            fresh,
            pending,
            at,
            asked,
            durable,
            marked,
            why,
            learned_stays,
        };
        Ok(OpenedLedger {
            keeper,
            image,
            learned,
            passed_by,
        })
    }

    /// Makes batches durable, in one transaction; answers the last of them.
    ///
    /// # Errors
    /// [`LedgerWriteError`]: from here on nothing is durable until [`LedgerWriter::begin_anew`].
    pub fn write(
        &mut self,
        batches: impl IntoIterator<Item = Batch>,
    ) -> Result<u64, LedgerWriteError> {
        for batch in batches {
            (self.at, self.asked) = (self.at.max(batch.at), batch.seq);
            if self.store.is_some() {
                self.pending.add(batch);
            }
        }
        let Some(store) = &mut self.store else {
            return Err(self.lost());
        };
        match store.commit(self.at, &self.pending) {
            Ok(()) => {
                self.pending = Pending::default();
                self.durable = self.asked;
                if self.marked && self.mark(WHOLE).is_ok() {
                    self.marked = false;
                }
                Ok(self.durable)
            }
            Err(error) => {
                // What was written since the last sync can't be trusted, and the store refuses to go on.
                (self.store, self.why, self.pending) =
                    (None, error.to_string(), Pending::default());
                self.marked = self.mark(HOLES).is_ok();
                Err(self.lost())
            }
        }
    }

    /// After a loss: tries whether a new ledger can be written. If so the next batch must have every row.
    ///
    /// # Errors
    /// [`LedgerWriteError`], still.
    pub fn begin_anew(&mut self) -> Result<(), LedgerWriteError> {
        if !self.marked {
            self.marked = self.mark(HOLES).is_ok();
        }
        match create(&*self.folder, &self.placer) {
            Ok(store) => {
                self.fresh = Some(store);
                Ok(())
            }
            Err(error) => {
                self.why = error.to_string();
                Err(self.lost())
            }
        }
    }

    /// Writes a whole ledger in place of the one that was lost.
    ///
    /// # Errors
    /// [`LedgerWriteError`], still.
    pub fn write_whole(&mut self, batch: Batch) -> Result<u64, LedgerWriteError> {
        let Some(mut store) = self.fresh.take() else {
            return Err(self.lost());
        };
        let (seq, at) = (batch.seq, batch.at);
        let mut pending = Pending::default();
        pending.add(batch);
        let replace = || -> Result<Store, StoreError> {
            store.commit(at, &pending)?;
            store.close()?;
            let io = |error: io::Error| StoreError::Io {
                file: self.folder.shown(),
                what: error.to_string(),
            };
            self.folder.rename(LEDGER_NEW, LEDGER).map_err(io)?;
            self.folder.sync_names().map_err(io)?;
            Ok(open_ledger(&*self.folder, Some(&self.placer))?.0)
        };
        match replace() {
            Ok(store) => {
                (self.store, self.asked, self.durable, self.at) = (Some(store), seq, seq, at);
                if self.mark(WHOLE).is_ok() {
                    self.marked = false;
                }
                Ok(seq)
            }
            Err(error) => {
                self.why = error.to_string();
                Err(self.lost())
            }
        }
    }

    /// The last batch that is durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    fn lost(&self) -> LedgerWriteError {
        LedgerWriteError {
            why: self.why.clone(),
            marked: self.marked,
        }
    }

    fn mark(&self, mark: &[u8]) -> io::Result<()> {
        self.folder.write(MARK, mark)?;
        self.folder.sync(MARK)
    }

    /// Replaces the file of what was learned; the one before is kept. A newer program's file stays.
    ///
    /// # Errors
    /// What the file system says; the files are whole all the same.
    pub fn learn(&self, learned: &BeliefSnapshot) -> io::Result<()> {
        if self.learned_stays {
            return Ok(());
        }
        self.folder
            .write(LEARNED_NEW, &learned.encode(&self.placer))?;
        self.folder.sync(LEARNED_NEW)?;
        if self.folder.len(LEARNED)?.is_some() {
            self.folder.rename(LEARNED, LEARNED_OLD)?;
        }
        self.folder.rename(LEARNED_NEW, LEARNED)?;
        self.folder.sync_names()
    }

    /// Closes the files.
    pub fn close(mut self) {
        // What can't be closed is repaired by the next one to open it.
        self.store.take().map(Store::close);
    }
}

fn shown<F: Folder>(folder: &F, name: &str) -> String {
    format!("{}/{name}", folder.shown())
}

/// Opens a ledger that has its name, and so was whole once: the store would take an empty file for a new one.
fn open_ledger<F: Folder>(folder: &F, placer: Option<&str>) -> Result<(Store, Image), StoreError> {
    let file = shown(folder, LEDGER);
    let io = |error: io::Error| StoreError::Io {
        file: file.clone(),
        what: error.to_string(),
    };
    if folder.len(LEDGER).map_err(io)? == Some(0) {
        return Err(StoreError::Damaged {
            file,
            what: "it is empty".to_owned(),
        });
    }
    Store::open(folder.database(LEDGER).map_err(io)?, &file, placer)
}

fn create<F: Folder>(folder: &F, placer: &str) -> Result<Store, StoreError> {
    let io = |error: io::Error| StoreError::Io {
        file: shown(folder, LEDGER_NEW),
        what: error.to_string(),
    };
    folder.remove(LEDGER_NEW).map_err(io)?;
    let data = folder.database(LEDGER_NEW).map_err(io)?;
    Ok(Store::open(data, &shown(folder, LEDGER_NEW), Some(placer))?.0)
}

/// The newest of the files that is whole.
fn read_learned<F: Folder>(folder: &F, placer: &str) -> (Option<BeliefSnapshot>, Vec<BeliefError>) {
    let mut passed_by = Vec::new();
    for name in [LEARNED, LEARNED_OLD] {
        let bytes = match folder.read(name) {
            Ok(Some(bytes)) => bytes,
            Ok(None) => continue,
            Err(error) => {
                passed_by.push(BeliefError::new(&shown(folder, name), 0, error.to_string()));
                continue;
            }
        };
        match BeliefSnapshot::decode(&bytes, &shown(folder, name), placer) {
            Ok(learned) => return (Some(learned), passed_by),
            Err(error) => passed_by.push(error),
        }
    }
    (None, passed_by)
}
