//! Children of a run end with it, however it ends.

use std::io::{self, BufRead};

use rustix::process::{Signal, set_parent_process_death_signal};

/// Has the system kill this process when its parent ends.
///
/// # Errors
/// Where the system does not take the request.
pub fn die_with_parent() -> io::Result<()> {
    Ok(set_parent_process_death_signal(Some(Signal::KILL))?)
}

/// Calls `act` with each line of the standard input, and ends this process when that closes.
pub fn obey_input(mut act: impl FnMut(&str)) -> ! {
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        act(line.trim());
    }
    std::process::exit(0)
}
