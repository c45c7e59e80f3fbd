//! Numbers of the wire that are not codes of one value: message kinds, flags of the header, protocol versions.
//!
//! Numbers are never reused, so that an end of another version can't take a message for another one.

/// Kinds of messages: up to 64 from placers, from 65 on from nodes.
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

/// Flags of the header. Ends that don't know one ignore it.
pub(super) mod flag {
    /// The acceptor report in the body is a learner's.
    pub(crate) const LEARNER: u8 = 1;
    /// The acceptor report in the body is that of a node that reads deltas.
    pub(crate) const READS_DELTAS: u8 = 2;
}

/// Protocol versions by what they added.
pub(super) mod since {
    /// Tasks and connections.
    pub(crate) const START: u8 = 1;
    /// Agreement on configurations.
    pub(crate) const AGREEMENT: u8 = 2;
    /// Deltas between configurations.
    pub(crate) const DELTAS: u8 = 3;
}
