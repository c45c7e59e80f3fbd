//! Reads the fields of a record one after the other.

use reedring::{AttemptId, MachineId, RequestId};

use super::error::FieldError;

/// Values of a load report that a record has room for.
const REPORT_VALUES: usize = 4;

/// A position in the bytes of one record. Records have a fixed length that holds all fields of each
/// kind.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Cursor<'a> {
    /// A cursor at the begin of a record.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, position: 0 }
    }

    fn take<const N: usize>(&mut self) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.bytes[self.position..self.position + N]);
        self.position += N;
        out
    }

    pub fn u8(&mut self) -> u8 {
        u8::from_be_bytes(self.take())
    }

    pub fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.take())
    }

    pub fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.take())
    }

    pub fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.take())
    }

    pub fn f32(&mut self) -> f64 {
        f64::from(f32::from_be_bytes(self.take()))
    }

    /// A machine, by its IPv4 address and port.
    pub fn machine(&mut self) -> MachineId {
        let address = u64::from(self.u32());
        MachineId(address << 16 | u64::from(self.u16()))
    }

    pub fn request(&mut self) -> RequestId {
        RequestId(self.u64())
    }

    pub fn attempt(&mut self) -> AttemptId {
        let request = self.request();
        AttemptId {
            request,
            number: self.u16(),
        }
    }

    /// A load report: its length, then all values there is room for.
    pub fn report(&mut self) -> Result<Vec<f64>, FieldError> {
        let count = usize::from(self.u8());
        let values: Vec<f64> = (0..REPORT_VALUES).map(|_| self.f32()).collect();
        values
            .get(..count)
            .map(<[f64]>::to_vec)
            .ok_or(FieldError::TooManyValues { count })
    }

    /// A part of the tail: an offset in bytes and a count of items of `item_bytes` each.
    pub fn tail_part<'t>(
        &mut self,
        tail: &'t [u8],
        item_bytes: usize,
        field: &'static str,
    ) -> Result<&'t [u8], FieldError> {
        let (offset, count) = (self.u32() as usize, self.u32() as usize);
        count
            .checked_mul(item_bytes)
            .and_then(|size| offset.checked_add(size))
            .and_then(|end| tail.get(offset..end))
            .ok_or(FieldError::OutsideTail {
                field,
                offset,
                count,
            })
    }
}
