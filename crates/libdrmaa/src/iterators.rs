//! Lists of strings, read one by one: attribute names, attribute values, job ids.

use std::ffi::{c_char, c_int};

use reedring_client::drmaa::{Error, ErrorCode};

use crate::buffers::{boundary, put, set};

/// A list with the place up to which it was read. The three C types are this one.
pub struct Strings {
    all: Vec<String>,
    next: usize,
}

impl Strings {
    /// A list for a caller, who gives it back to its release function.
    pub(crate) fn hand_out(all: Vec<String>) -> *mut Self {
        Box::into_raw(Box::new(Self { all, next: 0 }))
    }
}

/// # Safety
/// `list` is null or came from [`Strings::hand_out`] and was not released; no other thread uses it.
unsafe fn next(list: *mut Strings, out: *mut c_char, len: usize) -> c_int {
    // SAFETY: the caller's promise on `list`.
    let Some(list) = (unsafe { list.as_mut() }) else {
        return ErrorCode::InvalidArgument.number();
    };
    let Some(text) = list.all.get(list.next) else {
        return ErrorCode::NoMoreElements.number();
    };
    list.next += 1;
    // SAFETY: `out` has room for `len` bytes, as all functions of the binding ask.
    unsafe { put(out, len, text) };
    crate::SUCCESS
}

/// # Safety
/// As [`next`], and `size` is null or may be written.
unsafe fn count(list: *mut Strings, size: *mut usize) -> c_int {
    // SAFETY: the caller's promise on `list`.
    let count = unsafe { list.as_ref() }.map(|list| list.all.len());
    // SAFETY: no diagnosis is asked for, and the caller's promise on `size`.
    unsafe {
        boundary(std::ptr::null_mut(), 0, || {
            let count =
                count.ok_or_else(|| Error::new(ErrorCode::InvalidArgument, "the list is null"))?;
            set(size, count, "the size")
        })
    }
}

/// # Safety
/// `list` is null or came from [`Strings::hand_out`] and was not released; nobody uses it after.
unsafe fn release(list: *mut Strings) {
    if !list.is_null() {
        // SAFETY: it came from `Box::into_raw` and is given back once.
        drop(unsafe { Box::from_raw(list) });
    }
}

macro_rules! iterator {
    ($next:ident, $count:ident, $release:ident) => {
        /// The next string of a list, or `DRMAA_ERRNO_NO_MORE_ELEMENTS`.
        ///
        /// # Safety
        /// The list came from this library and was not released; `out` has room for `len` bytes.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $next(list: *mut Strings, out: *mut c_char, len: usize) -> c_int {
            // SAFETY: the caller's promises are the same.
            unsafe { next(list, out, len) }
        }

        /// How many strings a list has, read or not.
        ///
        /// # Safety
        /// The list came from this library and was not released; `size` may be written.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $count(list: *mut Strings, size: *mut usize) -> c_int {
            // SAFETY: the caller's promises are the same.
            unsafe { count(list, size) }
        }

        /// Gives a list back.
        ///
        /// # Safety
        /// The list came from this library and is not used after.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $release(list: *mut Strings) {
            // SAFETY: the caller's promises are the same.
            unsafe { release(list) }
        }
    };
}

iterator!(
    drmaa_get_next_attr_name,
    drmaa_get_num_attr_names,
    drmaa_release_attr_names
);
iterator!(
    drmaa_get_next_attr_value,
    drmaa_get_num_attr_values,
    drmaa_release_attr_values
);
iterator!(
    drmaa_get_next_job_id,
    drmaa_get_num_job_ids,
    drmaa_release_job_ids
);
