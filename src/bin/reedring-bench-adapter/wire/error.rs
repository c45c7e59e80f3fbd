//! What is wrong with a batch: the record and the field.

use std::error::Error;
use std::fmt;
use std::str::Utf8Error;

/// A batch that can't be read.
#[derive(Debug, PartialEq)]
pub enum WireError {
    /// The header counts more records than the frame holds.
    RecordCount {
        /// The count of the header.
        count: usize,
    },
    /// A record can't be read.
    Record {
        /// Its position in the batch, from 0.
        index: usize,
        /// What is wrong with it.
        field: FieldError,
    },
}

/// A field of a record that can't be read.
#[derive(Debug, PartialEq)]
pub enum FieldError {
    /// A number that stands for nothing.
    Unknown {
        /// The field.
        field: &'static str,
        /// Its number.
        value: u32,
        /// What it should stand for.
        expected: &'static str,
    },
    /// A part of the tail that lies outside it.
    OutsideTail {
        /// The field.
        field: &'static str,
        /// Where the part begins, in bytes.
        offset: usize,
        /// Its length, in items of the field.
        count: usize,
    },
    /// A text that is not UTF-8.
    NotUtf8 {
        /// The field.
        field: &'static str,
        /// Where it stops being UTF-8.
        source: Utf8Error,
    },
    /// A load report with more values than a record has room for.
    TooManyValues {
        /// How many it says that it has.
        count: usize,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RecordCount { count } => {
                write!(f, "record count: {count} records do not fit the frame")
            }
            Self::Record { index, field } => write!(f, "record {index}: {field}"),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown {
                field,
                value,
                expected,
            } => write!(f, "{field}: {value} is no {expected}"),
            Self::OutsideTail {
                field,
                offset,
                count,
            } => write!(
                f,
                "{field}: offset {offset} and length {count} leave the tail"
            ),
            Self::NotUtf8 { field, source } => write!(f, "{field}: {source}"),
            Self::TooManyValues { count } => write!(f, "gauge: {count} values, at most 4 fit"),
        }
    }
}

impl Error for WireError {}
impl Error for FieldError {}
