//! Processor time, memory and descriptors of a process, from `/proc`.

use std::time::Duration;
use std::{fs, io};

/// What a process had used when it was looked at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessSample {
    /// Processor time of all its threads, in steps of the system's clock tick.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("/proc says no {what}"))
}

/// Processor time from the text of `/proc/PID/stat`.
fn processor(stat: &str, ticks_per_second: u64) -> Option<Duration> {
    // The name of the program stands in brackets and may have blanks and brackets itself.
    let after_name = stat.rsplit_once(')')?.1;
    let mut fields = after_name.split_whitespace().skip(11);
    let mut ticks = || fields.next()?.parse::<u64>().ok();
    let total = ticks()? + ticks()?;
    Some(Duration::from_secs_f64(
        total as f64 / ticks_per_second as f64,
    ))
}

/// Resident bytes from the text of `/proc/PID/status`.
fn resident(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1_024)
}

impl ProcessSample {
    /// Looks at a process.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let ticks = rustix::param::clock_ticks_per_second();
        Ok(Self {
            processor: processor(&stat, ticks).ok_or_else(|| wrong("processor time"))?,
            resident: resident(&status).ok_or_else(|| wrong("resident memory"))?,
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u64,
        })
    }
}

#[cfg(test)]
mod tests;
