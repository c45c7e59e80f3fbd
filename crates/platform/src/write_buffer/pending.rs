//! The bytes of one write buffer, and the boundaries of their messages.

use std::collections::VecDeque;

#[derive(Debug, Default)]
pub(super) struct PendingBytes {
    bytes: Vec<u8>,
    /// Number of bytes at the start of `bytes` that were written.
    start: usize,
    /// Number of bytes written since the connection was made.
    total_written: u64,
    /// End offsets of the messages that are not completely written, counted from the connection's first byte.
    message_ends: VecDeque<u64>,
    /// Number of completely written messages.
    messages_written: u64,
    /// End offset of the last completely written message, counted from the connection's first byte.
    written_up_to: u64,
    /// The writer was dropped: no more messages are added.
    pub is_finished: bool,
    /// The pending bytes were discarded, and nothing more is written.
    pub is_discarded: bool,
    /// The sending side of the connection was shut down; what its peer sends is still read.
    pub is_half_closed: bool,
    /// The connection is to be closed, unless its peer sends something first.
    pub is_closing_if_idle: bool,
}

impl PendingBytes {
    /// Number of unwritten bytes.
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

    /// Records that the next `count` bytes were written.
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
            // Frees the buffers, so that an idle connection holds none.
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

    /// Number of messages of which at least one byte was written.
    pub fn messages_begun(&self) -> u64 {
        self.messages_written + u64::from(self.total_written > self.written_up_to)
    }
}
