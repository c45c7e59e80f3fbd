//! The codes of records and actions: the first byte of each.

/// Codes of the records of a batch.
pub mod record {
    pub const INIT: u8 = 16;
    pub const UPDATE: u8 = 17;
    pub const ARRIVED: u8 = 18;
    pub const PLACED: u8 = 19;
    pub const ENDED: u8 = 20;
    pub const WITHDRAWN: u8 = 21;
    pub const WOKEN: u8 = 22;
    pub const PROBED: u8 = 23;
    pub const PEER: u8 = 24;
    pub const EXIT: u8 = 25;
    pub const ADOPTED: u8 = 26;
    pub const TASK_SIGNAL: u8 = 27;
    pub const LIST: u8 = 28;
    pub const AT: u8 = 29;
}

/// Codes of the actions of a reply.
pub mod action {
    pub const FAULT: u8 = 80;
    pub const MOVE: u8 = 81;
    pub const LOG: u8 = 82;
    pub const STOP: u8 = 83;
    pub const FAIL: u8 = 84;
    pub const CLOSE_IDLE: u8 = 85;
    pub const PROBE: u8 = 86;
    pub const TELL: u8 = 87;
    pub const FETCH: u8 = 88;
    pub const INSTANCE: u8 = 89;
    pub const TIMER: u8 = 90;
    pub const REFUSE: u8 = 91;
    pub const WATCH: u8 = 92;
    pub const OFFER: u8 = 93;
}
