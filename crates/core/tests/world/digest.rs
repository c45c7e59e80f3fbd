//! A digest of what a simulated run sent and decided, to compare two versions of the code.
//!
//! It covers only bytes that do not depend on names in the code: encoded messages, JSON, numbers and times.

/// A running 64-bit FNV-1a hash over labelled records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    hash: u64,
    records: u64,
}

impl Default for Digest {
    fn default() -> Self {
        Self {
            hash: 0xcbf2_9ce4_8422_2325,
            records: 0,
        }
    }
}

impl Digest {
    /// Adds a record: a label that is fixed in the test, the simulated time and the bytes.
    pub fn add(&mut self, label: &str, now: u64, bytes: &[u8]) {
        self.records += 1;
        self.fold(&(label.len() as u64).to_be_bytes());
        self.fold(label.as_bytes());
        self.fold(&now.to_be_bytes());
        self.fold(&(bytes.len() as u64).to_be_bytes());
        self.fold(bytes);
    }

    fn fold(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// The hash of all records.
    pub fn value(&self) -> u64 {
        self.hash
    }

    /// The number of records.
    pub fn records(&self) -> u64 {
        self.records
    }
}
