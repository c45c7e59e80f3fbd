//! Errors that end the adapter before the end of its input.

use std::error::Error;
use std::{fmt, io};

use reedring::settings;

use crate::wire::WireError;

/// A failure that ends the adapter.
#[derive(Debug)]
pub enum AdapterError {
    /// Reading the input failed.
    Read {
        /// The part of the batch that was being read.
        part: &'static str,
        /// The error of the read.
        source: io::Error,
    },
    /// The input ends within a batch.
    Truncated {
        /// The part of the batch that is incomplete.
        part: &'static str,
        /// The number of its bytes that were read.
        read: usize,
        /// The number of bytes that it should have.
        expected: usize,
    },
    /// Writing a reply failed.
    Write(io::Error),
    /// A batch can't be decoded.
    Wire(WireError),
    /// A record is valid by itself but can't be processed after those before it.
    Record {
        /// Its position in the batch, from 0.
        index: usize,
        /// Why it can't be processed.
        problem: RecordProblem,
    },
}

/// Why a record can't be processed.
#[derive(Debug)]
pub enum RecordProblem {
    /// An `Init` record comes before any `At` record, so that the instance to start is unknown.
    NoInstanceNamed,
    /// The record is for an instance that does not run; `None` if no `At` record came before it.
    NotStarted(Option<u16>),
    /// The settings of an `Init` record are invalid.
    Settings(settings::Error),
    /// The record refers to a machine list with a number that was never sent.
    UnknownList(u16),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { part, source } => write!(f, "{part}: read failed: {source}"),
            Self::Truncated {
                part,
                read,
                expected,
            } => write!(
                f,
                "{part}: the input is truncated after {read} of {expected} bytes"
            ),
            Self::Write(source) => write!(f, "reply: write failed: {source}"),
            Self::Wire(source) => write!(f, "{source}"),
            Self::Record { index, problem } => write!(f, "record {index}: {problem}"),
        }
    }
}

impl fmt::Display for RecordProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoInstanceNamed => {
                write!(f, "placer: an Init record without an At record before it")
            }
            Self::NotStarted(Some(instance)) => {
                write!(f, "placer: instance {instance} is not running")
            }
            Self::NotStarted(None) => write!(f, "placer: no At record names the instance"),
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
