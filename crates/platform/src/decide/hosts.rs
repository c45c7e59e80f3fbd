//! Failure detection: are the tasks that a host ran lost?

/// Refused connections in a row after which a host's process counts as gone, with all that it ran.
const MAX_REFUSED: u32 = 2;
/// Failed connections in a row, and microseconds of silence, after which a machine counts as gone: within the time in
/// which clients are to be notified, and longer than most network cuts and pauses last.
const MAX_CONNECT_FAILURES: u32 = 3;
const MAX_SILENCE_US: u64 = 6_000_000;

/// What is observed of a host that runs tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostObservation {
    /// The endpoint list has it.
    pub is_listed: bool,
    /// It drains: it accepts no new connections, and its tasks may still run.
    pub is_draining: bool,
    /// A link to it was reset, and nothing was received of it since.
    pub was_reset: bool,
    /// Links that are established.
    pub links_up: usize,
    /// Refused connections in a row.
    pub refused: u32,
    /// Failed connections in a row.
    pub connect_failures: u32,
    /// For how long nothing was received of it.
    pub silent_us: u64,
}

/// Why the tasks of a host are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLoss {
    /// The host left the endpoint list.
    LeftList,
    /// Its process is gone: it refuses connections again and again.
    RefusesConnections,
    /// Nothing is received of its machine.
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

/// Are the tasks that a host ran lost? They end with its process, which is gone if the host left the list or refuses
/// connections again and again. Links that were established may stay open and silent then, but one that is reset is a
/// sign. A draining host refuses connections while its tasks run, so for it that alone is no sign. Of a machine that
/// vanished nothing is received, and no connection to it can be made.
pub fn detect_host_loss(host: HostObservation) -> Option<HostLoss> {
    let refuses =
        host.refused >= MAX_REFUSED && (host.was_reset || host.links_up == 0 && !host.is_draining);
    let failures = host.connect_failures.max(host.refused);
    let is_silent = failures >= MAX_CONNECT_FAILURES && host.silent_us >= MAX_SILENCE_US;
    match host.is_listed {
        false => Some(HostLoss::LeftList),
        true if refuses => Some(HostLoss::RefusesConnections),
        true => is_silent.then_some(HostLoss::Silent),
    }
}
