//! Numbers in frame headers: message kinds, flags and protocol versions.
//!
//! A number is never reused, because a peer of another version would decode the message as the one that had the number
//! before.

/// Message kinds. Placers send kinds up to 64, nodes send kinds from 65 on.
pub(super) mod kind {
    pub(crate) const HELLO: u8 = 1;
    pub(crate) const OFFER: u8 = 2;
    pub(crate) const STOP: u8 = 3;
    pub(crate) const PROBE: u8 = 4;
    pub(crate) const SUSPEND: u8 = 5;
    pub(crate) const RESUME: u8 = 6;
    pub(crate) const ACK: u8 = 7;
    pub(crate) const CONFIG_REQUEST: u8 = 8;
    pub(crate) const WELCOME: u8 = 65;
    pub(crate) const IN_FLIGHT: u8 = 66;
    pub(crate) const ACCEPTED: u8 = 67;
    pub(crate) const REJECTED: u8 = 68;
    pub(crate) const TASK_SIGNAL: u8 = 69;
    pub(crate) const ENDED: u8 = 70;
    pub(crate) const REPORT: u8 = 71;
    pub(crate) const ACCEPTOR_REPORT: u8 = 72;
    pub(crate) const CONFIG_TEXT: u8 = 73;
    pub(crate) const CONFIG_DELTA: u8 = 74;
}

/// Bits of the header's flags byte. A peer ignores flags that it does not know.
pub(super) mod flag {
    /// The acceptor report in the body comes from a learner.
    pub(crate) const LEARNER: u8 = 1;
    /// The acceptor report in the body comes from a node that can decode deltas.
    pub(crate) const READS_DELTAS: u8 = 2;
}

/// Protocol versions, named after what each of them added.
pub(super) mod since {
    /// The first version: connections, offers and tasks.
    pub(crate) const START: u8 = 1;
    /// Agreement on configurations between placers and nodes.
    pub(crate) const AGREEMENT: u8 = 2;
    /// Deltas between configurations, sent in place of full texts.
    pub(crate) const DELTAS: u8 = 3;
}
