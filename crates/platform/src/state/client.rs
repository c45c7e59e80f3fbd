//! Clients: their connections, and the ends of tasks that they are to hear of.

use std::collections::{BTreeSet, VecDeque};

use reedring::{Micros, RequestId};

use crate::io::ConnId;

/// A client's connection.
#[derive(Debug, Default)]
pub(crate) struct Conn {
    /// Ids of open set-ups.
    pub open: BTreeSet<u64>,
    /// When it last said something of use, or came.
    pub heard_at: Micros,
    /// Answers passed on it, and standing tasks handed over on it.
    pub answered: bool,
    /// It carried a set-up that could be used.
    pub good: bool,
    /// Messages that could not be used, since the last one that could.
    pub unusable: u32,
    /// It says nothing more: it is closed once nothing is open on it.
    pub ended: bool,
    pub closing: bool,
    /// It is closed if it said nothing meanwhile.
    pub leaving: bool,
    /// Some of what it said was not read yet.
    pub more: bool,
    /// Arrivals that were not submitted to the module yet.
    pub fresh: VecDeque<RequestId>,
    /// It came when all places were taken by such as wait for answers: what it asks for fails at once.
    pub in_overflow: bool,
}

impl Conn {
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && !self.closing && !self.leaving
    }
}

/// The end of a task that its client is to hear of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct End {
    pub at: Micros,
    pub home: ConnId,
    pub id: u64,
    pub cause: u8,
}
