//! A process of the program, its lines, and the signals that it is sent.

use std::io::{BufRead, BufReader, Read, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

/// Why a process is not as it should be.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It could not be made, signalled or waited for.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It did not say something in time.
    #[error("{0} never told: {1}; it said last:\n{2}")]
    Silent(String, String, String),
}

/// Lines of a process so far, and whether there will be more.
#[derive(Default)]
struct Lines {
    all: Vec<String>,
    open: usize,
}

type Shared = Arc<(Mutex<Lines>, Condvar)>;

fn lock(shared: &Shared) -> MutexGuard<'_, Lines> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running program. It is killed when this is dropped.
pub struct Program {
    name: String,
    child: Child,
    /// Its standard input, where it was started with one.
    input: Option<ChildStdin>,
    lines: Shared,
}

impl std::fmt::Debug for Program {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Program({}, {})", self.name, self.child.id())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A stopped process takes SIGKILL all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn gather(shared: &Shared, from: impl Read + Send + 'static) {
    lock(shared).open += 1;
    let shared = Arc::clone(shared);
    std::thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            lock(&shared).all.push(line);
            shared.1.notify_all();
        }
        lock(&shared).open -= 1;
        shared.1.notify_all();
    });
}

impl Program {
    /// Starts the program with these arguments. Where `file_kib` is told, no file of it may grow over that: a write
    /// that would is an error, as on a full disk.
    ///
    /// # Errors
    /// Where the process can't be made.
    pub fn start(
        program: &Path,
        name: &str,
        arguments: &[&str],
        file_kib: Option<u64>,
    ) -> Result<Self, ProcessError> {
        // The limit is inherited, and the signal that comes with it ignored, so that the write fails.
        let limit = file_kib.map(|kib| format!("trap '' XFSZ; ulimit -f {kib}"));
        Self::limited(program, name, arguments, limit)
    }

    /// Starts the program with these arguments, with so many file descriptors at most.
    ///
    /// # Errors
    /// Where the process can't be made.
    pub fn start_with_descriptors(
        program: &Path,
        name: &str,
        arguments: &[&str],
        most: usize,
    ) -> Result<Self, ProcessError> {
        Self::limited(program, name, arguments, Some(format!("ulimit -n {most}")))
    }

    /// `limit`: what a shell does before it becomes the program.
    fn limited(
        program: &Path,
        name: &str,
        arguments: &[&str],
        limit: Option<String>,
    ) -> Result<Self, ProcessError> {
        let mut command = match limit {
            None => Command::new(program),
            Some(limit) => {
                let mut command = Command::new("sh");
                command
                    .arg("-c")
                    .arg(format!("{limit}; exec \"$0\" \"$@\""))
                    .arg(program);
                command
            }
        };
        command.args(arguments).stdin(Stdio::null());
        Self::spawn(name, command)
    }

    /// Starts the program with these arguments and a standard input, which [`Program::tell`] writes to and which closes
    /// when this is dropped or this process ends.
    ///
    /// # Errors
    /// Where the process can't be made.
    pub fn start_with_input(
        program: &Path,
        name: &str,
        arguments: &[&str],
    ) -> Result<Self, ProcessError> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped());
        Self::spawn(name, command)
    }

    fn spawn(name: &str, mut command: Command) -> Result<Self, ProcessError> {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = Shared::default();
        child
            .stdout
            .take()
            .into_iter()
            .for_each(|out| gather(&lines, out));
        child
            .stderr
            .take()
            .into_iter()
            .for_each(|err| gather(&lines, err));
        let input = child.stdin.take();
        Ok(Self {
            name: name.to_owned(),
            child,
            input,
            lines,
        })
    }

    /// Writes a line to its standard input.
    ///
    /// # Errors
    /// Where it was started without one, or has ended.
    pub fn tell(&mut self, line: &str) -> Result<(), ProcessError> {
        let input = self.input.as_mut().ok_or(std::io::ErrorKind::NotConnected);
        let input = input.map_err(|kind| ProcessError::Io(kind.into()))?;
        writeln!(input, "{line}")?;
        Ok(input.flush()?)
    }

    /// Its name in this trial.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The number of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All that it said so far.
    pub fn said(&self) -> Vec<String> {
        lock(&self.lines).all.clone()
    }

    /// How many lines it said so far: what comes after is news.
    pub fn mark(&self) -> usize {
        lock(&self.lines).all.len()
    }

    /// Waits for the first line from number `from` on that is wanted.
    ///
    /// # Errors
    /// Where the process ends before, or says no such line in time; the error has its last lines.
    pub fn wait_line(
        &self,
        from: usize,
        what: &str,
        within: Duration,
        wanted: impl Fn(&str) -> bool,
    ) -> Result<String, ProcessError> {
        let until = Instant::now() + within;
        let mut lines = lock(&self.lines);
        let mut seen = from;
        loop {
            if let Some(line) = lines.all.iter().skip(seen).find(|line| wanted(line)) {
                return Ok(line.clone());
            }
            seen = lines.all.len().max(from);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || lines.open == 0 {
                // What only repeats would hide what led to it.
                let telling = lines.all.iter().filter(|line| !line.contains("holding"));
                let telling: Vec<String> = telling.cloned().collect();
                let last = &telling[telling.len().saturating_sub(16)..];
                return Err(ProcessError::Silent(
                    self.name.clone(),
                    what.to_owned(),
                    last.join("\n"),
                ));
            }
            lines = self
                .lines
                .1
                .wait_timeout(lines, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).map_err(|error| ProcessError::Io(error.into()))
    }

    /// Asks it to end, and waits for that.
    ///
    /// # Errors
    /// Where it has not ended in time.
    pub fn end(mut self, within: Duration) -> Result<ExitStatus, ProcessError> {
        self.signal(Signal::TERM)?;
        self.closes(within)?;
        Ok(self.child.wait()?)
    }

    /// Waits until it has ended by itself, and tells all that it said.
    ///
    /// # Errors
    /// Where it has not ended in time.
    pub fn finish(self, within: Duration) -> Result<Vec<String>, ProcessError> {
        self.closes(within)?;
        Ok(self.said())
    }

    fn closes(&self, within: Duration) -> Result<(), ProcessError> {
        let until = Instant::now() + within;
        // Both of its pipes close when it ends.
        let mut lines = lock(&self.lines);
        while lines.open > 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ProcessError::Silent(
                    self.name.clone(),
                    "its end".to_owned(),
                    String::new(),
                ));
            }
            lines = self
                .lines
                .1
                .wait_timeout(lines, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        Ok(())
    }
}
