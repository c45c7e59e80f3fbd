//! The number by which a page cites a run.

use super::{Run, RunFile};
use std::fmt;

/// The place of a run in its run file, counted from 1 and written `R1`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(usize);

impl fmt::Display for RunNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "R{}", self.0)
    }
}

impl RunFile {
    /// The runs with their numbers, in the order of the file.
    pub fn numbered(&self) -> impl Iterator<Item = (RunNumber, &Run)> {
        self.0
            .iter()
            .enumerate()
            .map(|(index, run)| (RunNumber(index + 1), run))
    }
}
