//! How a program is started.

use std::path::Path;
use std::process::{Command, Stdio};

use crate::error::ProcessError;
use crate::program::Program;

/// A program that is to be started, with its limits.
#[derive(Debug)]
pub struct Launch<'a> {
    program: &'a Path,
    name: &'a str,
    arguments: &'a [&'a str],
    max_file_kib: Option<u64>,
    max_descriptors: Option<usize>,
    has_input: bool,
}

impl<'a> Launch<'a> {
    /// The program at this path with these arguments; `name` is what errors call it.
    pub fn new(program: &'a Path, name: &'a str, arguments: &'a [&'a str]) -> Self {
        Self {
            program,
            name,
            arguments,
            max_file_kib: None,
            max_descriptors: None,
            has_input: false,
        }
    }

    /// No file of it may grow over so many KiB: a write that would is an error, as on a full disk.
    pub fn max_file_kib(mut self, kib: Option<u64>) -> Self {
        self.max_file_kib = kib;
        self
    }

    /// It may have so many file descriptors at most.
    pub fn max_descriptors(mut self, count: usize) -> Self {
        self.max_descriptors = Some(count);
        self
    }

    /// It has a standard input, which [`Program::write_line`] writes to and which closes when its handle is dropped or
    /// this process ends.
    pub fn with_input(mut self) -> Self {
        self.has_input = true;
        self
    }

    /// Starts it.
    ///
    /// # Errors
    /// Where the process can't be made.
    pub fn start(self) -> Result<Program, ProcessError> {
        let mut command = self.command();
        command.args(self.arguments);
        command.stdin(if self.has_input {
            Stdio::piped()
        } else {
            Stdio::null()
        });
        Program::spawn(self.name, command)
    }

    /// The program itself, or a shell that sets the limits and becomes it.
    fn command(&self) -> Command {
        let limits = self.limits();
        if limits.is_empty() {
            return Command::new(self.program);
        }
        let mut shell = Command::new("sh");
        shell
            .arg("-c")
            .arg(format!("{limits}exec \"$0\" \"$@\""))
            .arg(self.program);
        shell
    }

    fn limits(&self) -> String {
        // The limit is inherited, and the signal that comes with it ignored, so that the write fails.
        let files = self
            .max_file_kib
            .map(|kib| format!("trap '' XFSZ; ulimit -f {kib}; "));
        let descriptors = self
            .max_descriptors
            .map(|count| format!("ulimit -n {count}; "));
        [files, descriptors].into_iter().flatten().collect()
    }
}
