//! Why the adapter ends before its input does.

use std::error::Error;
use std::{fmt, io};

use reedring::settings;

use crate::wire::WireError;

/// A failure that ends the adapter.
#[derive(Debug)]
pub enum AdapterError {
    /// Reading the input failed.
    Read {
        /// The part of a batch that was read.
        part: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The input ends within a batch.
    Truncated {
        /// The part of the batch that is incomplete.
        part: &'static str,
        /// Bytes of it that came.
        read: usize,
        /// Bytes that it has.
        expected: usize,
    },
    /// Writing a reply failed.
    Write(io::Error),
    /// A batch can't be decoded.
    Wire(WireError),
    /// A record makes no sense after those before it.
    Record {
        /// Its position in the batch, from 0.
        index: usize,
        /// What is wrong with it.
        problem: RecordProblem,
    },
}

/// Why a record can't be played.
#[derive(Debug)]
pub enum RecordProblem {
    /// An instance is started before a record named which.
    NoInstanceNamed,
    /// It is for an instance that does not run; `None` where no record named one.
    NotStarted(Option<u16>),
    /// The settings can't be read.
    Settings(settings::Error),
    /// It names a machine list that was never sent.
    UnknownList(u16),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { part, source } => write!(f, "{part}: {source}"),
            Self::Truncated {
                part,
                read,
                expected,
            } => write!(f, "{part}: truncated after {read} of {expected} bytes"),
            Self::Write(source) => write!(f, "reply: {source}"),
            Self::Wire(source) => write!(f, "{source}"),
            Self::Record { index, problem } => write!(f, "record {index}: {problem}"),
        }
    }
}

impl fmt::Display for RecordProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoInstanceNamed => write!(f, "placer: Init before At"),
            Self::NotStarted(Some(instance)) => {
                write!(f, "placer: instance {instance} was never started")
            }
            Self::NotStarted(None) => write!(f, "placer: instance none was never started"),
            Self::Settings(source) => write!(f, "settings: {source}"),
            Self::UnknownList(number) => write!(f, "ref: list {number} was never sent"),
        }
    }
}

impl Error for AdapterError {}
impl Error for RecordProblem {}

impl From<WireError> for AdapterError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}
