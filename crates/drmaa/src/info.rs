//! How a job ended, as `drmaa_wait` tells it.

use serde::{Deserialize, Serialize};

/// The end of a job (`drmaa_wifexited`, `drmaa_wifsignaled`, `drmaa_wifaborted`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran and exited by itself.
    Exited {
        /// Its exit status.
        status: u8,
    },
    /// It ran and was ended by a signal.
    Signaled {
        /// The signal's name, such as `SIGKILL`.
        signal: String,
        /// It left a core dump.
        core_dump: bool,
    },
    /// It ended without running, or nothing is known of its run.
    Aborted,
}

/// What `drmaa_wait` returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobInfo {
    /// The job.
    pub job: String,
    /// How it ended.
    pub end: End,
    /// Usage as `name=value`, in a stable order. `reedring.outcome` is `placed`, `refused` or `failed`;
    /// `reedring.reason` says why a job was refused or failed, `reedring.stay_away_ms` for how long its
    /// owner is asked to wait before it asks again.
    pub usage: Vec<(String, String)>,
}

impl JobInfo {
    /// One value of the usage.
    pub fn usage(&self, name: &str) -> Option<&str> {
        self.usage
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }
}

// The layout of the C binding's `stat`, which only the `drmaa_w*` functions read.
const EXITED: i32 = 1 << 8;
const SIGNALED: i32 = 1 << 9;
const CORE_DUMP: i32 = 1 << 10;
const ABORTED: i32 = 1 << 11;

/// Signals by number as on Linux, for the few that end jobs.
pub const SIGNALS: [(i32, &str); 12] = [
    (1, "SIGHUP"),
    (2, "SIGINT"),
    (3, "SIGQUIT"),
    (4, "SIGILL"),
    (6, "SIGABRT"),
    (7, "SIGBUS"),
    (8, "SIGFPE"),
    (9, "SIGKILL"),
    (11, "SIGSEGV"),
    (13, "SIGPIPE"),
    (15, "SIGTERM"),
    (24, "SIGXCPU"),
];

/// The signal's name; a number without a name counts as `SIGKILL`, which ends a job as surely.
pub fn signal_name(number: i32) -> &'static str {
    SIGNALS
        .iter()
        .find(|(n, _)| *n == number)
        .map_or("SIGKILL", |(_, name)| name)
}

impl End {
    /// The `stat` of the C binding.
    pub fn to_stat(&self) -> i32 {
        match self {
            Self::Exited { status } => EXITED | i32::from(*status),
            Self::Signaled { signal, core_dump } => {
                let number = SIGNALS
                    .iter()
                    .find(|(_, name)| name == signal)
                    .map_or(9, |(n, _)| *n);
                SIGNALED | number | if *core_dump { CORE_DUMP } else { 0 }
            }
            Self::Aborted => ABORTED,
        }
    }

    /// The end that a `stat` of [`End::to_stat`] stands for.
    pub fn from_stat(stat: i32) -> Self {
        if stat & EXITED != 0 {
            Self::Exited {
                status: (stat & 0xff) as u8,
            }
        } else if stat & SIGNALED != 0 {
            let signal = signal_name(stat & 0xff).to_owned();
            Self::Signaled {
                signal,
                core_dump: stat & CORE_DUMP != 0,
            }
        } else {
            Self::Aborted
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_end_survives_the_stat_of_the_c_binding() {
        let signals = SIGNALS.iter().flat_map(|(_, name)| {
            let signal = |core_dump| End::Signaled {
                signal: (*name).to_owned(),
                core_dump,
            };
            [signal(false), signal(true)]
        });
        let exits = (0..=255).map(|status| End::Exited { status });
        for end in exits.chain(signals).chain([End::Aborted]) {
            assert_eq!(End::from_stat(end.to_stat()), end);
        }
    }
}
