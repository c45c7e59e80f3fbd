//! The thread that writes a placer's state, so that the core never waits for the disk.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use reedring_core::{Input, Restored};
use reedring_settings::{Settings, State};
use reedring_state::{
    Batch, BeliefHalfLives, BeliefSnapshot, Disk, LedgerWriter, LockError, OpenedLedger, StoreError,
};
use tokio::sync::mpsc;

use crate::clients::Came;

/// Batches that are written in one transaction at most.
const GROUP: usize = 1_024;

/// Why a state folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// It is another placer's, or can't be made.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// Its ledger can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// What the thread is asked to do, in order.
enum Write {
    Batch(Batch, bool),
    Beliefs(Box<BeliefSnapshot>),
}

/// A folder that was opened and is not written yet.
pub(crate) struct Folder {
    keeper: Option<LedgerWriter<Disk>>,
    pub restored: Restored,
    retry: Duration,
}

impl Folder {
    /// Opens the folder of the settings.
    ///
    /// A folder that can't be written is no reason not to start: what is kept there stays, and the core is
    /// told. What is there and can't be read is one, as a placer that starts without it may break promises.
    pub fn open(settings: &Settings, state: &State, now_unix: u64) -> Result<Self, StateError> {
        let retry = Duration::from_micros(state.retry_us);
        let lost = |why: String| {
            let restored = Restored {
                lost: Some(why),
                ..Restored::default()
            };
            Ok(Self {
                keeper: None,
                restored,
                retry,
            })
        };
        let disk = match Disk::lock(&state.folder) {
            Ok(disk) => disk,
            Err(error @ LockError::Taken { .. }) => return Err(error.into()),
            Err(error) => return lost(error.to_string()),
        };
        let OpenedLedger {
            writer: keeper,
            snapshot: image,
            beliefs: learned,
            skipped_belief_files: passed_by,
        } = match LedgerWriter::open(disk, &settings.name) {
            Ok(opened) => opened,
            Err(error @ StoreError::Io { .. }) => return lost(error.to_string()),
            Err(error) => return Err(error.into()),
        };
        for error in passed_by {
            tracing::warn!(
                placer = settings.name,
                "state: what was learned is passed by: {error}"
            );
        }
        let half = BeliefHalfLives::from_settings(settings);
        let learned = learned
            .map(|learned| learned.aged(now_unix, &half))
            .unwrap_or_default();
        let restored = Restored {
            image,
            learned,
            lost: None,
        };
        Ok(Self {
            keeper: Some(keeper),
            restored,
            retry,
        })
    }

    pub fn take_restored(&mut self) -> Restored {
        std::mem::take(&mut self.restored)
    }

    /// Starts to write.
    pub fn write(self, came: mpsc::Sender<Came>) -> std::io::Result<Writer> {
        let (writes, asked) = channel();
        let abandon = Arc::new(AtomicBool::new(false));
        let Some(keeper) = self.keeper else {
            return Ok(Writer {
                writes: None,
                thread: None,
                abandon,
            });
        };
        let (retry, given_up) = (self.retry, Arc::clone(&abandon));
        let thread = std::thread::Builder::new().name("state".to_owned());
        let thread = thread.spawn(move || run(keeper, &asked, retry, &came, &given_up))?;
        Ok(Writer {
            writes: Some(writes),
            thread: Some(thread),
            abandon,
        })
    }
}

/// The thread's handle. Dropping it waits until all that was asked is written.
pub(crate) struct Writer {
    writes: Option<Sender<Write>>,
    thread: Option<JoinHandle<()>>,
    abandon: Arc<AtomicBool>,
}

impl Writer {
    pub fn keep(&self, batch: Batch, whole: bool) {
        self.ask(Write::Batch(batch, whole));
    }

    pub fn learn(&self, learned: Box<BeliefSnapshot>) {
        self.ask(Write::Beliefs(learned));
    }

    fn ask(&self, write: Write) {
        if let Some(writes) = &self.writes {
            // The thread ends only with this handle.
            let _ = writes.send(write);
        }
    }

    /// Ends as if the placer had been killed: what waits is not written.
    pub fn abandon(&self) {
        self.abandon.store(true, Ordering::Relaxed);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.writes = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<F: reedring_state::Folder>(
    mut keeper: LedgerWriter<F>,
    asked: &Receiver<Write>,
    retry: Duration,
    came: &mpsc::Sender<Came>,
    abandon: &AtomicBool,
) {
    // A core that ends closes the channel: nobody waits for an answer any more.
    let tell = |input: Input| drop(came.blocking_send(Came::Input(input)));
    // Set while the folder can't be written.
    let mut next_try: Option<Instant> = None;
    loop {
        let first = match next_try {
            None => asked.recv().map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) => asked.recv_timeout(at.saturating_duration_since(Instant::now())),
        };
        if abandon.load(Ordering::Relaxed) {
            return;
        }
        let first = match first {
            Ok(first) => first,
            Err(RecvTimeoutError::Disconnected) => return keeper.close(),
            Err(RecvTimeoutError::Timeout) => {
                next_try = match keeper.prepare_replacement() {
                    Ok(()) => {
                        tell(Input::StateBack);
                        None
                    }
                    Err(_) => Some(Instant::now() + retry),
                };
                continue;
            }
        };
        let mut group = Vec::new();
        let mut said = None;
        for write in std::iter::once(first).chain(asked.try_iter().take(GROUP)) {
            match write {
                Write::Batch(batch, false) => group.push(batch),
                Write::Batch(batch, true) => {
                    group.clear();
                    said = Some(keeper.write_replacement(batch));
                }
                Write::Beliefs(learned) => {
                    // While nothing can be kept that is told already.
                    if let (Err(error), None) = (keeper.save_beliefs(&learned), next_try) {
                        tracing::warn!(%error, "state: what was learned can't be kept");
                    }
                }
            }
        }
        if !group.is_empty() {
            said = Some(keeper.write(group));
        }
        match said {
            Some(Ok(through)) => tell(Input::Durable(through.0)),
            Some(Err(why)) => {
                next_try.get_or_insert_with(|| Instant::now() + retry);
                tell(Input::StateLost {
                    why: why.reason,
                    marked: why.marked_incomplete,
                });
            }
            None => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use reedring_state::{Change, OpenedLedger, SimFolder};

    use super::*;

    /// What is learned all the while does not put off the next try of a folder that can't be written.
    #[test]
    fn a_folder_is_tried_again_however_much_is_asked_meanwhile() {
        let folder = SimFolder::default();
        let OpenedLedger { writer: keeper, .. } = LedgerWriter::open(folder.clone(), "p").unwrap();
        let (writes, asked) = channel();
        let (came, mut coming) = mpsc::channel(64);
        let abandon = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let abandon = &abandon;
            scope.spawn(move || run(keeper, &asked, Duration::from_millis(50), &came, abandon));
            folder.fail_sync();
            let batch = Batch {
                sequence: reedring_state::BatchSequence(1),
                at: 1,
                changes: vec![Change::IncarnationStarted(1)],
            };
            writes.send(Write::Batch(batch, false)).unwrap();
            let lost = coming.blocking_recv().unwrap();
            assert!(matches!(
                lost,
                Came::Input(Input::StateLost { marked: true, .. })
            ));
            let nothing = BeliefSnapshot {
                saved_at: 1,
                nodes: Vec::new(),
                answer_times: Vec::new(),
                arrivals: Vec::new(),
                use_ratio: None,
            };
            let began = Instant::now();
            let back = loop {
                if let Ok(news) = coming.try_recv() {
                    break news;
                }
                assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "it was never tried again"
                );
                writes
                    .send(Write::Beliefs(Box::new(nothing.clone())))
                    .unwrap();
                // Well under the time between two tries.
                std::thread::sleep(Duration::from_millis(5));
            };
            assert!(matches!(back, Came::Input(Input::StateBack)));
            drop(writes);
        });
    }
}
