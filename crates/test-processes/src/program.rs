//! A running program.

use std::io::Write;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::time::Duration;

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

use crate::error::ProcessError;
use crate::output::{NotSeen, Output};

/// A running program. It is killed when this is dropped.
pub struct Program {
    name: String,
    child: Child,
    /// Its standard input, where it was started with one.
    input: Option<ChildStdin>,
    output: Output,
}

impl std::fmt::Debug for Program {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Program({}, {})", self.name, self.child.id())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A stopped process is ended by SIGKILL all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Starts a command, whose output is read from now on.
    pub(crate) fn spawn(name: &str, mut command: Command) -> Result<Self, ProcessError> {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Output::default();
        child
            .stdout
            .take()
            .into_iter()
            .for_each(|stream| output.read(stream));
        child
            .stderr
            .take()
            .into_iter()
            .for_each(|stream| output.read(stream));
        let input = child.stdin.take();
        Ok(Self {
            name: name.to_owned(),
            child,
            input,
            output,
        })
    }

    /// Writes a line to its standard input.
    ///
    /// # Errors
    /// Where it was started without one, or has ended.
    pub fn write_line(&mut self, line: &str) -> Result<(), ProcessError> {
        let input = self.input.as_mut().ok_or(std::io::ErrorKind::NotConnected);
        let input = input.map_err(|kind| ProcessError::Io(kind.into()))?;
        writeln!(input, "{line}")?;
        Ok(input.flush()?)
    }

    /// Its name in errors.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All that it has printed so far, on either stream.
    pub fn output_lines(&self) -> Vec<String> {
        self.output.lines()
    }

    /// How many lines it has printed so far: a later [`Program::wait_line`] may count from here.
    pub fn line_count(&self) -> usize {
        self.output.line_count()
    }

    /// Waits for the first line from number `from` on that is wanted.
    ///
    /// # Errors
    /// Where the process ends before, or prints no such line in time; the error has its last lines.
    pub fn wait_line(
        &self,
        from: usize,
        awaited: &str,
        timeout: Duration,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Result<String, ProcessError> {
        let seen = self.output.wait_line(from, timeout, is_wanted);
        seen.map_err(|NotSeen { last_lines }| self.not_seen(awaited, last_lines))
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(|error| ProcessError::Io(error.into()))
    }

    /// Sends it SIGTERM, and waits for its exit.
    ///
    /// # Errors
    /// Where it has not ended in time.
    pub fn terminate(mut self, timeout: Duration) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::TERM)?;
        self.wait_closed(timeout)?;
        Ok(self.child.wait()?)
    }

    /// Waits until it has ended by itself; all that it has printed.
    ///
    /// # Errors
    /// Where it has not ended in time.
    pub fn wait_exit(self, timeout: Duration) -> Result<Vec<String>, ProcessError> {
        self.wait_closed(timeout)?;
        Ok(self.output_lines())
    }

    /// Both of its streams close when it ends.
    fn wait_closed(&self, timeout: Duration) -> Result<(), ProcessError> {
        match self.output.wait_closed(timeout) {
            true => Ok(()),
            false => Err(self.not_seen("its end", String::new())),
        }
    }

    fn not_seen(&self, awaited: &str, last_lines: String) -> ProcessError {
        ProcessError::NotSeen {
            process: self.name.clone(),
            awaited: awaited.to_owned(),
            last_lines,
        }
    }
}
