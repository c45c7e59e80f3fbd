//! The simulated disk under the state folder.

use rand_core::Rng;
use reedring_core::{Input, Restored};
use reedring_state::{BeliefHalfLives, LedgerWriter, OpenedLedger, SimFolder};

use super::{Due, Kept, MS, World};

impl World {
    pub(super) fn keep(&mut self) {
        self.kept = Some(Kept {
            folder: SimFolder::default(),
            keeper: None,
            queue: Vec::new(),
            busy: false,
            frozen: false,
            ends_at: None,
            dark: false,
        });
        self.restart_placer();
    }

    /// The disk under the state folder.
    pub fn disk(&self) -> SimFolder {
        self.kept.as_ref().unwrap().folder.clone()
    }

    /// Opens the state folder as a placer does that starts now.
    pub(super) fn open_state(&mut self) -> Option<Restored> {
        let kept = self.kept.as_mut()?;
        let restored = match LedgerWriter::open(kept.folder.clone(), "p") {
            Ok(OpenedLedger {
                writer: keeper,
                snapshot: image,
                beliefs: learned,
                ..
            }) => {
                assert_eq!(image.violations(), []);
                kept.keeper = Some(keeper);
                let half = BeliefHalfLives::from_settings(&self.settings);
                let learned = learned
                    .map(|learned| learned.aged(self.now, &half))
                    .unwrap_or_default();
                Restored {
                    ledger: image,
                    beliefs: learned,
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

    /// The placer's machine loses power and comes back; what its disk had not synced came through or not.
    pub fn cut_power(&mut self) {
        if let Some(kept) = self.kept.as_mut() {
            kept.folder.cut_at(0);
            kept.keeper = None;
            let draw = &mut self.draw;
            kept.folder = kept.folder.power_on(|| draw.next_u32());
            (kept.ends_at, kept.dark) = (None, false);
        }
        self.restart_placer();
    }

    /// The disk takes what it is given and answers nothing, or answers all of it.
    pub fn freeze_disk(&mut self, frozen: bool) {
        self.kept.as_mut().unwrap().frozen = frozen;
        if !frozen {
            self.written();
        }
    }

    /// The power goes out at this step of the disk; it is for the test to see it and to call `cut_power`.
    pub fn power_ends_at(&mut self, step: u64) {
        let kept = self.kept.as_mut().unwrap();
        kept.folder.cut_at(step);
        kept.ends_at = Some(step);
    }

    pub fn is_dark(&self) -> bool {
        self.kept.as_ref().is_some_and(|kept| kept.dark)
    }

    pub(super) fn written(&mut self) {
        let Some(kept) = self.kept.as_mut().filter(|kept| !kept.frozen) else {
            return;
        };
        let (queue, keeper) = (
            std::mem::take(&mut kept.queue),
            kept.keeper.as_mut().unwrap(),
        );
        kept.busy = false;
        let mut said = Ok(keeper.durable_through());
        let mut plain = Vec::new();
        for (batch, whole) in queue {
            if whole {
                plain.clear();
                said = keeper.write_replacement(batch);
            } else {
                plain.push(batch);
            }
        }
        if !plain.is_empty() {
            said = keeper.write(plain);
        }
        // With the power out nobody hears what the disk says.
        kept.dark |= kept.ends_at.is_some_and(|step| kept.folder.steps() > step);
        match said {
            _ if kept.dark => {}
            Ok(through) => self.input(Input::Durable(through.0)),
            Err(lost) => {
                self.input(Input::StateUnavailable {
                    reason: lost.reason,
                    marked_incomplete: lost.marked_incomplete,
                });
                self.later(50 * MS, Due::Retry(self.life));
            }
        }
    }

    /// The disk is tried again.
    pub(super) fn retry_disk(&mut self) {
        let keeper = self
            .kept
            .as_mut()
            .and_then(|kept| kept.keeper.as_mut())
            .unwrap();
        match keeper.prepare_replacement() {
            Ok(()) => self.input(Input::StateAvailable),
            Err(_) => self.later(50 * MS, Due::Retry(self.life)),
        }
    }
}
