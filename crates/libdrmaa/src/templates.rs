//! Job templates.

use std::ffi::{c_char, c_int};
use std::sync::{Mutex, PoisonError};

use reedring_client::drmaa::template::{SCALARS, VECTORS};
use reedring_client::drmaa::{Error, ErrorCode, JobTemplate, Result};

use crate::buffers::{boundary, list, need, put, set};
use crate::iterators::Strings;
use crate::session;

/// A job template as C holds it; threads may share one.
pub struct Template(Mutex<JobTemplate>);

/// # Safety
/// `template` is null or came from [`drmaa_allocate_job_template`] and was not deleted.
pub(crate) unsafe fn with<T>(
    template: *const Template,
    act: impl FnOnce(&mut JobTemplate) -> Result<T>,
) -> Result<T> {
    // SAFETY: the caller's promise.
    let template = unsafe { template.as_ref() };
    let template = template
        .ok_or_else(|| Error::new(ErrorCode::InvalidArgument, "the job template is null"))?;
    act(&mut template.0.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Makes a template with no attribute set.
///
/// # Safety
/// `out` may be written; `diagnosis` is null or has room for `len` bytes, as in all functions.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_allocate_job_template(
    out: *mut *mut Template,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            session::active()?;
            if out.is_null() {
                return Err(Error::new(
                    ErrorCode::InvalidArgument,
                    "the place for the template is null",
                ));
            }
            set(
                out,
                Box::into_raw(Box::new(Template(Mutex::default()))),
                "the template",
            )
        })
    }
}

/// Gives a template back.
///
/// # Safety
/// `template` came from [`drmaa_allocate_job_template`] and is not used after.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_delete_job_template(
    template: *mut Template,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises; the template came from `Box::into_raw` and is given back once.
    unsafe {
        boundary(diagnosis, len, || {
            if template.is_null() {
                return Err(Error::new(
                    ErrorCode::InvalidArgument,
                    "the job template is null",
                ));
            }
            drop(Box::from_raw(template));
            Ok(())
        })
    }
}

/// Sets an attribute with one value.
///
/// # Safety
/// The template was not deleted; name and value are null or end in NUL.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_attribute(
    template: *mut Template,
    name: *const c_char,
    value: *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let (name, value) = (need(name, "the name")?, need(value, "the value")?);
            with(template, |template| template.set(name, value))
        })
    }
}

/// Reads an attribute with one value; one that is not set reads as empty.
///
/// # Safety
/// As [`drmaa_set_attribute`]; `value` has room for `value_len` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute(
    template: *mut Template,
    name: *const c_char,
    value: *mut c_char,
    value_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let name = need(name, "the name")?;
            let text = with(template, |template| {
                Ok(template.get(name)?.unwrap_or_default().to_owned())
            })?;
            put(value, value_len, &text);
            Ok(())
        })
    }
}

/// Sets an attribute with a list of values.
///
/// # Safety
/// As [`drmaa_set_attribute`]; `values` is null or an array of C strings that ends in null.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_set_vector_attribute(
    template: *mut Template,
    name: *const c_char,
    values: *const *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let (name, values) = (need(name, "the name")?, list(values, "the values")?);
            with(template, |template| template.set_vector(name, values))
        })
    }
}

/// Reads an attribute with a list of values; one that is not set reads as empty.
///
/// # Safety
/// As [`drmaa_set_attribute`]; `values` may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute(
    template: *mut Template,
    name: *const c_char,
    values: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let name = need(name, "the name")?;
            let all = with(template, |template| {
                Ok(template.get_vector(name)?.unwrap_or_default().to_vec())
            })?;
            set(values, Strings::hand_out(all), "the place for the values")
        })
    }
}

fn names(all: &[&str]) -> Vec<String> {
    all.iter().map(|name| (*name).to_owned()).collect()
}

/// The names of all attributes with one value.
///
/// # Safety
/// `out` may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_attribute_names(
    out: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            session::active()?;
            set(
                out,
                Strings::hand_out(names(&SCALARS)),
                "the place for the names",
            )
        })
    }
}

/// The names of all attributes with a list of values.
///
/// # Safety
/// `out` may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_vector_attribute_names(
    out: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            session::active()?;
            set(
                out,
                Strings::hand_out(names(&VECTORS)),
                "the place for the names",
            )
        })
    }
}
