//! The bytes of one write buffer, and which messages they belong to.

use std::collections::VecDeque;

#[derive(Debug, Default)]
pub(super) struct PendingBytes {
    bytes: Vec<u8>,
    /// Bytes of `bytes` that were written.
    start: usize,
    /// Bytes that were written, ever.
    total_written: u64,
    /// Where the messages end that were not written whole, counted from the first byte ever.
    message_ends: VecDeque<u64>,
    /// Messages that were written whole, and where the last of them ended.
    messages_written: u64,
    written_up_to: u64,
    /// Nothing more is added.
    pub is_finished: bool,
    /// What waits is written no more.
    pub is_discarded: bool,
    /// The connection ends, unless its other end sends something first.
    pub is_closing_if_idle: bool,
}

impl PendingBytes {
    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    pub fn unwritten(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn add(&mut self, message: &[u8]) {
        self.bytes.extend_from_slice(message);
        let end = self.total_written + self.len() as u64;
        self.message_ends.push_back(end);
    }

    /// The next `count` bytes were written.
    pub fn written(&mut self, count: usize) {
        self.start += count;
        self.total_written += count as u64;
        while let Some(end) = self.message_ends.front().copied() {
            if end > self.total_written {
                break;
            }
            self.message_ends.pop_front();
            (self.messages_written, self.written_up_to) = (self.messages_written + 1, end);
        }
        if self.start == self.bytes.len() {
            // An idle connection keeps no buffer.
            (self.bytes, self.message_ends) = (Vec::new(), VecDeque::new());
            self.start = 0;
        } else if self.start > self.bytes.len() / 2 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    pub fn discard(&mut self) {
        (self.bytes, self.start, self.is_discarded) = (Vec::new(), 0, true);
    }

    /// Messages of which at least one byte was written.
    pub fn messages_begun(&self) -> u64 {
        self.messages_written + u64::from(self.total_written > self.written_up_to)
    }
}
