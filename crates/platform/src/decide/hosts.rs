//! Failure detection: whether the tasks that a host ran are lost.

/// After this many refused connections in a row a host's process is considered gone, with all tasks that it ran.
const REFUSALS_UNTIL_LOST: u32 = 2;
/// After this many failed connections in a row and this long without input, a machine is considered gone. The limits
/// keep within the time in which clients must be notified, and exceed the length of most network interruptions and
/// pauses.
const CONNECT_FAILURES_UNTIL_LOST: u32 = 3;
const SILENCE_UNTIL_LOST_US: u64 = 6_000_000;

/// The observed state of a host that runs tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostObservation {
    /// Whether the host is in the endpoint list and not marked there as having left.
    pub is_listed: bool,
    /// Whether the host drains: it accepts no new connections, and its tasks may still run.
    pub is_draining: bool,
    /// Whether a link to the host was reset and nothing was received from the host since.
    pub was_reset: bool,
    /// How many links to the host are established.
    pub links_up: usize,
    /// Refused connections in a row.
    pub consecutive_refusals: u32,
    /// Connections in a row that failed for another reason than a refusal.
    pub consecutive_connect_failures: u32,
    /// For how long nothing was received from the host, in microseconds.
    pub silent_us: u64,
}

/// Why the tasks of a host are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLoss {
    /// The host left the endpoint list.
    LeftList,
    /// The host's process is gone: it refuses connections repeatedly.
    RefusesConnections,
    /// Nothing is received from the host's machine, and no connection to it can be made.
    Silent,
}

impl std::fmt::Display for HostLoss {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::LeftList => "it left the endpoint list",
            Self::RefusesConnections => "it refuses connections",
            Self::Silent => "nothing is received from it",
        })
    }
}

/// Detects whether the tasks that a host ran are lost. They end with the host's process, which is considered gone if
/// the host left the endpoint list or refuses connections repeatedly. Established links may stay open and silent after
/// that, but a link that was reset is evidence. A draining host refuses connections while its tasks run, so for it
/// refusals alone are no evidence. If the machine itself is gone, nothing is received from it and no connection to it
/// can be made.
pub fn detect_host_loss(host: HostObservation) -> Option<HostLoss> {
    let refuses = host.consecutive_refusals >= REFUSALS_UNTIL_LOST
        && (host.was_reset || host.links_up == 0 && !host.is_draining);
    let failures = host
        .consecutive_connect_failures
        .max(host.consecutive_refusals);
    let is_silent =
        failures >= CONNECT_FAILURES_UNTIL_LOST && host.silent_us >= SILENCE_UNTIL_LOST_US;
    match host.is_listed {
        false => Some(HostLoss::LeftList),
        true if refuses => Some(HostLoss::RefusesConnections),
        true => is_silent.then_some(HostLoss::Silent),
    }
}
