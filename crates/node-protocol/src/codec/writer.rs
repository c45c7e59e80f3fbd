//! Writes the fields of a message body.

use super::Wire;
use crate::{MAX_PAYLOAD, MAX_REPORT};

/// Appends fields to a frame. Texts, payloads and load reports that exceed their limit are truncated to it.
pub(super) struct BodyWriter<'a> {
    bytes: &'a mut Vec<u8>,
}

impl<'a> BodyWriter<'a> {
    pub(super) fn new(bytes: &'a mut Vec<u8>) -> Self {
        Self { bytes }
    }

    pub(super) fn u8(&mut self, value: u8) {
        self.bytes.push(value);
    }

    pub(super) fn u16(&mut self, value: u16) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    pub(super) fn u32(&mut self, value: u32) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    pub(super) fn u64(&mut self, value: u64) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    pub(super) fn f64(&mut self, value: f64) {
        self.bytes.extend_from_slice(&value.to_be_bytes());
    }

    pub(super) fn bool(&mut self, value: bool) {
        self.u8(u8::from(value));
    }

    /// Appends bytes without a length; the reader expects a fixed number of them.
    pub(super) fn raw(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Appends the length of a text and the text. A text longer than `limit` bytes is truncated at a character
    /// boundary.
    pub(super) fn text(&mut self, text: &str, limit: usize) {
        let end = text.floor_char_boundary(limit.min(text.len()));
        self.u16(end as u16);
        self.raw(&text.as_bytes()[..end]);
    }

    pub(super) fn payload(&mut self, payload: &[u8]) {
        let end = payload.len().min(MAX_PAYLOAD);
        self.u16(end as u16);
        self.raw(&payload[..end]);
    }

    pub(super) fn load_report(&mut self, report: &[f64]) {
        let count = report.len().min(MAX_REPORT);
        self.u8(count as u8);
        for value in &report[..count] {
            self.f64(*value);
        }
    }

    /// Appends a boolean that states whether there is a value, and then the value if there is one.
    pub(super) fn optional<T: Wire>(&mut self, value: Option<&T>) {
        self.bool(value.is_some());
        if let Some(value) = value {
            value.encode(self);
        }
    }
}
