//! Hosts: are the tasks that one held over?

/// Refused connections in a row after which a host's process counts as gone, with all that it held.
const REFUSED: u32 = 2;

/// Connections in a row that did not come up, and microseconds without a word, after which a machine counts as
/// gone: within the time that clients are to be told in, and longer than most cuts and pauses last.
const UNREACHABLE: u32 = 3;
const QUIET_US: u64 = 6_000_000;

/// What is seen of a host that holds tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The list has it.
    pub listed: bool,
    /// It wraps up: it takes no new connections, and its tasks may still stand.
    pub leaving: bool,
    /// A connection to it was reset, and nothing was heard of it since.
    pub broke: bool,
    /// Connections that stand.
    pub links_up: usize,
    /// Refused connections in a row.
    pub refused: u32,
    /// Connections in a row that did not come up.
    pub unreachable: u32,
    /// For how long nothing was heard of it.
    pub quiet_us: u64,
}

/// Why the tasks that a host held are over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The host left the list.
    Left,
    /// Its process is gone: it refuses connections again and again.
    Refuses,
    /// Nothing is heard of its machine.
    Silent,
}

impl Lost {
    /// The reason, for the log.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Left => "it left the list",
            Self::Refuses => "it refuses connections",
            Self::Silent => "nothing is heard of it",
        }
    }
}

/// Are the tasks that a host held over? Its process cut them if it is gone: it left the list, or it refuses
/// connections again and again. Some that stood may stay open and silent then, but one that is reset shows it. One
/// that leaves refuses connections while its tasks stand, so with it that alone is no sign. Of a machine that
/// vanished nothing is heard, and no new connection comes up.
pub fn lost_all(seen: Seen) -> Option<Lost> {
    let refuses = seen.refused >= REFUSED && (seen.broke || seen.links_up == 0 && !seen.leaving);
    let silent = seen.unreachable.max(seen.refused) >= UNREACHABLE && seen.quiet_us >= QUIET_US;
    match seen.listed {
        false => Some(Lost::Left),
        true if refuses => Some(Lost::Refuses),
        true => silent.then_some(Lost::Silent),
    }
}
