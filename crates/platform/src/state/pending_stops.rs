//! Messages that ask hosts to stop tasks, which hosts have not confirmed yet.

use reedring::{MachineId, Micros};

use super::bounded_map::BoundedMap;
use crate::ids::LinkId;

/// Maximum number of stops without a confirmation: less than 1 MB.
const MAX_STOPS: usize = 8_192;
/// The first message is repeated after this time, and each later one after twice the time of the one before.
const FIRST_REPEAT_US: Micros = 1_000_000;
/// Maximum time between two messages: that within which the end of a task must be passed on.
const MAX_REPEAT_US: Micros = 8_000_000;
/// How often a stop is sent: for about a minute.
const MAX_SENDS: u32 = 10;

/// A stop that its host has not confirmed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingStop {
    pub machine: MachineId,
    /// The cause in the message.
    pub cause: u8,
    /// The link on which it was sent last; `None` if there was none, or that has ended.
    pub link: Option<LinkId>,
    /// How often it was sent.
    sends: u32,
    /// When it is sent again.
    next_at: Micros,
}

impl PendingStop {
    /// A stop that is sent now, on `link` if there is one.
    pub fn new(now: Micros, machine: MachineId, cause: u8, link: Option<LinkId>) -> Self {
        Self {
            machine,
            cause,
            link,
            sends: 1,
            next_at: now + FIRST_REPEAT_US,
        }
    }

    /// Whether the host does not confirm it however often it is sent.
    pub fn is_given_up(&self) -> bool {
        self.sends >= MAX_SENDS
    }

    /// How often it was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that it is sent again.
    pub fn sent_again(&mut self, now: Micros, link: Option<LinkId>) {
        let delay = (FIRST_REPEAT_US << self.sends).min(MAX_REPEAT_US);
        self.sends += 1;
        self.link = link;
        self.next_at = now + delay;
    }
}

/// A stop: its host, and the request's id on the wire.
type StopKey = (MachineId, u64);

/// All stops that hosts have not confirmed. At the limit the oldest one is forgotten.
#[derive(Debug)]
pub(crate) struct PendingStops(BoundedMap<StopKey, PendingStop>);

impl Default for PendingStops {
    fn default() -> Self {
        Self(BoundedMap::new(MAX_STOPS))
    }
}

impl PendingStops {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn add(&mut self, id: u64, stop: PendingStop) {
        self.0.add((stop.machine, id), stop);
    }

    pub fn get_mut(&mut self, machine: MachineId, id: u64) -> Option<&mut PendingStop> {
        self.0.get_mut((machine, id))
    }

    /// Removes a stop that this host confirmed, or that no longer applies.
    pub fn remove(&mut self, machine: MachineId, id: u64) {
        self.0.remove((machine, id));
    }

    /// Removes the stops that were sent on a link of which the host has read everything.
    pub fn confirm_all_on(&mut self, link: LinkId) {
        self.0.remove_where(|stop| stop.link == Some(link));
    }

    /// Removes the stops of a host that is lost.
    pub fn remove_all_at(&mut self, machine: MachineId) {
        self.0.remove_where(|stop| stop.machine == machine);
    }

    /// Records that a link has ended whose host may not have read everything. Its stops are due at once if it was
    /// established.
    pub fn link_lost(&mut self, now: Micros, link: LinkId, was_up: bool) {
        for stop in self.0.values_mut().filter(|stop| stop.link == Some(link)) {
            stop.link = None;
            if was_up {
                stop.next_at = now;
            }
        }
    }

    /// The hosts and ids of the stops that are to be sent again.
    pub fn due(&self, now: Micros) -> Vec<(MachineId, u64)> {
        let due = self.0.iter().filter(|(_, stop)| stop.next_at <= now);
        due.map(|(key, _)| key).collect()
    }
}
