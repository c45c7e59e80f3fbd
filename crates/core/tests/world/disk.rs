//! The simulated disk that holds the placer's state folder.

use rand_core::Rng;
use reedring_core::{Input, Restored};
use reedring_state::{BeliefHalfLives, LedgerWriter, OpenedLedger, SimFolder};

use super::{MS, ScheduledEvent, StateDisk, World};

impl World {
    /// Gives the placer an empty state folder and restarts it.
    pub(super) fn attach_state_disk(&mut self) {
        self.state_disk = Some(StateDisk {
            folder: SimFolder::default(),
            writer: None,
            pending: Vec::new(),
            write_scheduled: false,
            frozen: false,
            power_cut_step: None,
            power_lost: false,
        });
        self.restart_placer();
    }

    /// The disk that holds the state folder.
    pub fn disk(&self) -> SimFolder {
        self.state_disk.as_ref().unwrap().folder.clone()
    }

    /// Opens the state folder as a starting placer does. `None` if there is none.
    pub(super) fn open_state(&mut self) -> Option<Restored> {
        let disk = self.state_disk.as_mut()?;
        let restored = match LedgerWriter::open(disk.folder.clone(), "p") {
            Ok(OpenedLedger {
                writer,
                snapshot,
                beliefs,
                ..
            }) => {
                assert_eq!(snapshot.violations(), []);
                disk.writer = Some(writer);
                let half_lives = BeliefHalfLives::from_settings(&self.settings);
                let beliefs = beliefs
                    .map(|beliefs| beliefs.aged(self.now, &half_lives))
                    .unwrap_or_default();
                Restored {
                    ledger: snapshot,
                    beliefs,
                    unavailable: None,
                }
            }
            Err(error) => Restored {
                unavailable: Some(error.to_string()),
                ..Restored::default()
            },
        };
        Some(restored)
    }

    /// Cuts the power of the placer's machine and restarts the placer. Whether each unsynced write survives is random.
    pub fn cut_power(&mut self) {
        if let Some(disk) = self.state_disk.as_mut() {
            disk.folder.cut_power_after(0);
            disk.writer = None;
            let rng = &mut self.rng;
            disk.folder = disk.folder.after_power_cut(|| rng.next_u32());
            (disk.power_cut_step, disk.power_lost) = (None, false);
        }
        self.restart_placer();
    }

    /// Stops all writes from completing, or completes the pending ones.
    pub fn freeze_disk(&mut self, frozen: bool) {
        self.state_disk.as_mut().unwrap().frozen = frozen;
        if !frozen {
            self.complete_writes();
        }
    }

    /// Makes the power fail at this step of the disk. The test has to check for it and to call `cut_power`.
    pub fn cut_power_at_step(&mut self, step: u64) {
        let disk = self.state_disk.as_mut().unwrap();
        disk.folder.cut_power_after(step);
        disk.power_cut_step = Some(step);
    }

    pub fn is_power_lost(&self) -> bool {
        self.state_disk.as_ref().is_some_and(|disk| disk.power_lost)
    }

    /// Writes the pending batches and reports the result to the core.
    pub(super) fn complete_writes(&mut self) {
        let Some(disk) = self.state_disk.as_mut().filter(|disk| !disk.frozen) else {
            return;
        };
        let (pending, writer) = (
            std::mem::take(&mut disk.pending),
            disk.writer.as_mut().unwrap(),
        );
        disk.write_scheduled = false;
        let mut result = Ok(writer.durable_through());
        let mut additions = Vec::new();
        for (batch, is_replacement) in pending {
            if is_replacement {
                additions.clear();
                result = writer.write_replacement(batch);
            } else {
                additions.push(batch);
            }
        }
        if !additions.is_empty() {
            result = writer.write(additions);
        }
        // After a power failure, results of the disk reach nobody.
        disk.power_lost |= disk
            .power_cut_step
            .is_some_and(|step| disk.folder.operation_count() > step);
        match result {
            _ if disk.power_lost => {}
            Ok(through) => self.input(Input::Durable(through.0)),
            Err(failure) => {
                self.input(Input::StateUnavailable {
                    reason: failure.reason,
                    marked_incomplete: failure.marked_incomplete,
                });
                self.schedule(50 * MS, ScheduledEvent::RetryDisk(self.incarnation));
            }
        }
    }

    /// Retries the disk after a failed write.
    pub(super) fn retry_disk(&mut self) {
        let writer = self
            .state_disk
            .as_mut()
            .and_then(|disk| disk.writer.as_mut())
            .unwrap();
        match writer.prepare_replacement() {
            Ok(()) => self.input(Input::StateAvailable),
            Err(_) => self.schedule(50 * MS, ScheduledEvent::RetryDisk(self.incarnation)),
        }
    }
}
