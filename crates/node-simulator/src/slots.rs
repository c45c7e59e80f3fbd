//! A node's memory of plans on a disk: two slots, written in turn, so that a write that is cut leaves the one before.
//!
//! A slot is `sequence u64 | bytes | crc32c u32`, big-endian. The whole slot with the greater sequence counts.

use std::io;

use reedring_plan::AcceptorState;
use reedring_state::Folder;

use crate::model::Keep;

const SLOTS: [&str; 2] = ["plan.a", "plan.b"];

/// The slots of one node's folder.
#[derive(Debug)]
pub struct Slots<F> {
    folder: F,
    /// The sequence of the slot that counts, and which one it is.
    last: (u64, usize),
}

/// What a folder held.
#[derive(Debug)]
pub struct Opened<F> {
    /// Keeps what comes.
    pub slots: Slots<F>,
    /// The last whole state; nothing where there is none.
    pub memory: AcceptorState,
    /// What was wrong with slots that were passed by. With both of them there is nothing left of the memory.
    pub passed_by: Vec<String>,
}

fn parse(bytes: &[u8]) -> Result<(u64, AcceptorState), String> {
    let short = || "it is cut short".to_owned();
    let (rest, sum) = bytes.split_last_chunk::<4>().ok_or_else(short)?;
    if crc32c::crc32c(rest).to_be_bytes() != *sum {
        return Err("its checksum does not fit".to_owned());
    }
    let (sequence, body) = rest.split_first_chunk::<8>().ok_or_else(short)?;
    let memory = AcceptorState::decode(body).map_err(|error| error.to_string())?;
    Ok((u64::from_be_bytes(*sequence), memory))
}

impl<F: Folder> Slots<F> {
    /// Opens a folder.
    ///
    /// # Errors
    /// Where it can't be read.
    pub fn open(folder: F) -> io::Result<Opened<F>> {
        let (mut best, mut passed_by) = (None::<(u64, usize, AcceptorState)>, Vec::new());
        for (n, name) in SLOTS.into_iter().enumerate() {
            let Some(bytes) = folder.read(name)? else {
                continue;
            };
            match parse(&bytes) {
                Ok((sequence, memory))
                    if best.as_ref().is_none_or(|(other, ..)| sequence > *other) =>
                {
                    best = Some((sequence, n, memory));
                }
                Ok(_) => {}
                Err(why) => passed_by.push(format!("{}/{name}: {why}", folder.location())),
            }
        }
        let (sequence, slot, memory) = best.unwrap_or((0, 1, AcceptorState::default()));
        Ok(Opened {
            slots: Self {
                folder,
                last: (sequence, slot),
            },
            memory,
            passed_by,
        })
    }
}

impl<F: Folder> Keep for Slots<F> {
    fn keep(&mut self, bytes: &[u8]) -> io::Result<()> {
        let (sequence, slot) = (self.last.0 + 1, 1 - self.last.1);
        let mut whole = sequence.to_be_bytes().to_vec();
        whole.extend_from_slice(bytes);
        let sum = crc32c::crc32c(&whole);
        whole.extend_from_slice(&sum.to_be_bytes());
        let new = self.folder.len(SLOTS[slot])?.is_none();
        self.folder.write(SLOTS[slot], &whole)?;
        self.folder.sync(SLOTS[slot])?;
        if new {
            self.folder.sync_directory()?;
        }
        self.last = (sequence, slot);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedring_plan::{ConfigDocument, ConfigRequest};
    use reedring_state::SimFolder;

    fn memories() -> Vec<AcceptorState> {
        let force = |number: u64, text: &str| {
            let kept = ConfigDocument::new(number, text).unwrap();
            ConfigRequest::Commit {
                version: kept.version(),
                text: text.to_owned(),
                list: 0,
            }
        };
        let mut all = vec![AcceptorState::default()];
        for (number, text) in [
            (1, "one"),
            (2, "two, which is longer"),
            (3, "3"),
            (4, "four"),
        ] {
            all.push(
                all.last()
                    .unwrap()
                    .apply(&force(number, text), true)
                    .unwrap(),
            );
        }
        all
    }

    /// Power goes out at each step of the disk, torn sectors and lost names included: what is read is the last state
    /// that was said to be kept, or the one that was being written.
    #[test]
    fn at_every_step_of_the_disk_the_floor_that_was_told_is_read_back() {
        let all = memories();
        for step in 0..80 {
            for luck in 0..8_u32 {
                let folder = SimFolder::default();
                folder.cut_power_after(step);
                let mut slots = Slots::open(folder.clone()).unwrap().slots;
                let mut told = 0;
                for (n, memory) in all.iter().enumerate().skip(1) {
                    if folder.operation_count() <= step
                        && slots.keep(&memory.encode()).is_ok()
                        && folder.operation_count() <= step
                    {
                        told = n;
                    }
                }
                let mut draw = luck;
                let folder = folder.after_power_cut(|| {
                    draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                    draw >> 8
                });
                let opened = Slots::open(folder).unwrap();
                let floor = opened.memory.floor();
                assert!(
                    floor >= all[told].floor(),
                    "step {step}, luck {luck}: {floor}, {:?}",
                    opened.passed_by
                );
                assert!(all.contains(&opened.memory), "step {step}, luck {luck}");
            }
        }
    }

    #[test]
    fn a_slot_cut_at_any_byte_leaves_the_state_before_and_is_told() {
        let (all, folder) = (memories(), SimFolder::default());
        let mut slots = Slots::open(folder.clone()).unwrap().slots;
        all.iter()
            .skip(1)
            .for_each(|memory| slots.keep(&memory.encode()).unwrap());
        let name = SLOTS[slots.last.1];
        let whole = folder.read(name).unwrap().unwrap();
        for cut in 0..whole.len() {
            folder.write(name, &whole[..cut]).unwrap();
            let opened = Slots::open(folder.clone()).unwrap();
            assert_eq!(opened.memory, all[3], "cut at {cut}");
            assert_eq!(opened.passed_by.len(), 1);
        }
    }

    #[test]
    fn a_full_disk_is_an_error_and_what_was_kept_stays() {
        let (all, folder) = (memories(), SimFolder::default());
        let mut slots = Slots::open(folder.clone()).unwrap().slots;
        slots.keep(&all[1].encode()).unwrap();
        folder.set_full(true);
        assert!(slots.keep(&all[2].encode()).is_err());
        assert_eq!(Slots::open(folder.clone()).unwrap().memory, all[1]);
        folder.set_full(false);
        slots.keep(&all[3].encode()).unwrap();
        assert_eq!(Slots::open(folder).unwrap().memory, all[3]);
    }
}
