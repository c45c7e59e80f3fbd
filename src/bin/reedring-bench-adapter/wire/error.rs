//! Errors of decoding a batch, with the record and the field.

use std::error::Error;
use std::fmt;
use std::str::Utf8Error;

use super::EVENT_BYTES;

/// Why a batch can't be decoded.
#[derive(Debug, PartialEq)]
pub enum WireError {
    /// The batch is shorter than the number of records in its header requires.
    RecordCount {
        /// The number of records in the header.
        count: usize,
        /// The number of bytes after the header.
        body_bytes: usize,
    },
    /// A record can't be decoded.
    Record {
        /// Its position in the batch, from 0.
        index: usize,
        /// Which of its fields is invalid, and why.
        field: FieldError,
    },
}

/// Why a field of a record can't be decoded.
#[derive(Debug, PartialEq)]
pub enum FieldError {
    /// A code without a meaning.
    Unknown {
        /// The field.
        field: &'static str,
        /// The code.
        value: u32,
        /// What the code should identify.
        expected: &'static str,
    },
    /// A reference to bytes beyond the end of the tail.
    OutsideTail {
        /// The field.
        field: &'static str,
        /// The start of the referenced part, in bytes from the start of the tail.
        offset: usize,
        /// The length of the part, in items of the field.
        count: usize,
    },
    /// A text that is not UTF-8.
    NotUtf8 {
        /// The field.
        field: &'static str,
        /// The error, which has the position of the first invalid byte.
        source: Utf8Error,
    },
    /// A load report with more values than fit in a record.
    TooManyValues {
        /// The number of values that the report states.
        count: usize,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RecordCount { count, body_bytes } => write!(
                f,
                "record count: {count} records of {EVENT_BYTES} bytes do not fit in the {body_bytes} bytes of the frame"
            ),
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
            } => write!(f, "{field}: {value} is not a known {expected}"),
            Self::OutsideTail {
                field,
                offset,
                count,
            } => write!(
                f,
                "{field}: {count} items at offset {offset} extend beyond the tail"
            ),
            Self::NotUtf8 { field, source } => write!(f, "{field}: {source}"),
            Self::TooManyValues { count } => {
                write!(f, "gauge: {count} values in the load report, at most 4 fit")
            }
        }
    }
}

impl Error for WireError {}
impl Error for FieldError {}
