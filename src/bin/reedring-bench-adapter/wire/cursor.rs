//! Reads the fields of a record in their order.

use reedring::{AttemptId, MachineId, RequestId};

use super::error::FieldError;

/// The number of load report values for which a record has room; unused ones are present, too.
const REPORT_VALUES: usize = 4;

/// A position in the bytes of a record. The readers do not check for the end: a record has a fixed
/// length that is enough for the fields of every kind.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Cursor<'a> {
    /// A cursor at the start of `bytes`.
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

    /// A machine id: its IPv4 address in the upper 32 of 48 bits, its port in the lower 16.
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

    /// A load report: the number of its values in one byte, then [`REPORT_VALUES`] values.
    ///
    /// # Errors
    /// If it has more values than there is room for.
    pub fn report(&mut self) -> Result<Vec<f64>, FieldError> {
        let count = usize::from(self.u8());
        let values: Vec<f64> = (0..REPORT_VALUES).map(|_| self.f32()).collect();
        values
            .get(..count)
            .map(<[f64]>::to_vec)
            .ok_or(FieldError::TooManyValues { count })
    }

    /// A part of the tail, which a record gives as an offset in bytes and a number of items of
    /// `item_bytes` each.
    ///
    /// # Errors
    /// If the part extends beyond the tail; the error names `field`.
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
