//! Strings in and out of C, and the boundary itself.

use std::ffi::{CStr, c_char, c_int};
use std::panic::{AssertUnwindSafe, catch_unwind};

use reedring_client::drmaa::{Error, ErrorCode, Result};

use crate::SUCCESS;

/// Copies a text into a caller's buffer, cut to its length and always ended by NUL.
///
/// # Safety
/// `out` is null or has room for `len` bytes.
pub(crate) unsafe fn put(out: *mut c_char, len: usize, text: &str) {
    if out.is_null() || len == 0 {
        return;
    }
    let end = text.floor_char_boundary(text.len().min(len - 1));
    // SAFETY: the caller has room for `len` bytes, and `end + 1` is at most that; the text is Rust's own
    // and can't overlap it.
    unsafe {
        std::ptr::copy_nonoverlapping(text.as_ptr().cast(), out, end);
        *out.add(end) = 0;
    }
}

/// A C string as a text; `None` for null.
///
/// # Safety
/// `text` is null or ends in NUL, and is not changed while the result is used.
pub(crate) unsafe fn get<'a>(text: *const c_char) -> Result<Option<&'a str>> {
    if text.is_null() {
        return Ok(None);
    }
    // SAFETY: not null, and the caller promises that it ends in NUL.
    let bytes = unsafe { CStr::from_ptr(text) };
    let text = bytes
        .to_str()
        .map_err(|_| Error::new(ErrorCode::InvalidArgument, "a text is no UTF-8"))?;
    Ok(Some(text))
}

/// As [`get`], for a text that must be there.
///
/// # Safety
/// As [`get`].
pub(crate) unsafe fn need<'a>(text: *const c_char, what: &str) -> Result<&'a str> {
    // SAFETY: the caller's promise is the same.
    let text = unsafe { get(text)? };
    text.ok_or_else(|| Error::new(ErrorCode::InvalidArgument, format!("{what} is null")))
}

/// The strings of an array that ends in null.
///
/// # Safety
/// `list` is null or an array of C strings that ends in null.
pub(crate) unsafe fn list(list: *const *const c_char, what: &str) -> Result<Vec<String>> {
    if list.is_null() {
        return Err(Error::new(
            ErrorCode::InvalidArgument,
            format!("{what} is null"),
        ));
    }
    let mut found = Vec::new();
    loop {
        // SAFETY: every element up to the closing null may be read.
        let text = unsafe { get(*list.add(found.len()))? };
        match text {
            Some(text) => found.push(text.to_owned()),
            None => return Ok(found),
        }
    }
}

/// Writes through a caller's pointer.
///
/// # Safety
/// `out` is null or may be written.
pub(crate) unsafe fn set<T>(out: *mut T, value: T, what: &str) -> Result<()> {
    if out.is_null() {
        return Err(Error::new(
            ErrorCode::InvalidArgument,
            format!("{what} is null"),
        ));
    }
    // SAFETY: not null, and the caller promises that it may be written.
    unsafe { out.write(value) };
    Ok(())
}

/// Runs a call: its error becomes a code and a diagnosis, and a panic stays on this side.
///
/// # Safety
/// `diagnosis` is null or has room for `len` bytes.
pub(crate) unsafe fn boundary(
    diagnosis: *mut c_char,
    len: usize,
    call: impl FnOnce() -> Result<()>,
) -> c_int {
    let result = catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| {
        Err(Error::new(
            ErrorCode::InternalError,
            "the library broke; please report what was called",
        ))
    });
    let Err(error) = result else {
        return SUCCESS;
    };
    // SAFETY: the caller's promise on `diagnosis`.
    unsafe { put(diagnosis, len, &error.to_string()) };
    error.code.number()
}
