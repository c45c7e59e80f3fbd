//! Sessions, submission, control, waiting, status.

use std::ffi::{CString, c_char, c_int, c_long, c_uint};
use std::sync::OnceLock;
use std::time::Duration;

use reedring_client::drmaa::rpc::{Jobs, Range};
use reedring_client::drmaa::{
    Control, End, Error, ErrorCode, JobInfo, NO_WAIT, Result, SESSION_ALL, SESSION_ANY, VERSION,
    WAIT_FOREVER,
};

use crate::buffers::{boundary, get, list, need, put, set};
use crate::iterators::Strings;
use crate::session;
use crate::templates::{Template, with};

fn invalid(text: impl Into<String>) -> Error {
    Error::new(ErrorCode::InvalidArgument, text)
}

// `c_long` has 32 bits on some targets.
#[allow(
    clippy::useless_conversion,
    reason = "the width of a C long differs between platforms"
)]
fn timeout(seconds: c_long) -> Result<Option<Duration>> {
    match i64::from(seconds) {
        WAIT_FOREVER => Ok(None),
        NO_WAIT => Ok(Some(Duration::ZERO)),
        seconds => match u64::try_from(seconds) {
            Ok(seconds) => Ok(Some(Duration::from_secs(seconds))),
            Err(_) => Err(invalid(format!(
                "a timeout of {seconds} s; it is -1, 0 or more"
            ))),
        },
    }
}

/// Opens the session of this process. Without a contact, `REEDRING_CONTACT` names the placer.
///
/// # Safety
/// `contact` is null or ends in NUL; `diagnosis` is null or has room for `len` bytes, as in all functions.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_init(
    contact: *const c_char,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe { boundary(diagnosis, len, || session::open(get(contact)?)) }
}

/// Closes the session of this process; its jobs go on.
///
/// # Safety
/// See [`drmaa_init`].
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_exit(diagnosis: *mut c_char, len: usize) -> c_int {
    // SAFETY: the caller's promises.
    unsafe { boundary(diagnosis, len, session::close) }
}

/// Submits one job.
///
/// # Safety
/// `job` has room for `job_len` bytes; the template was not deleted.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_job(
    job: *mut c_char,
    job_len: usize,
    template: *const Template,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            let template = with(template, |template| Ok(template.clone()))?;
            put(job, job_len, &session.run_job(&template)?);
            Ok(())
        })
    }
}

/// Submits a job for each index.
///
/// # Safety
/// `jobs` may be written; the template was not deleted.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_run_bulk_jobs(
    jobs: *mut *mut Strings,
    template: *const Template,
    start: c_int,
    end: c_int,
    step: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            if jobs.is_null() {
                return Err(invalid("the place for the job ids is null"));
            }
            let number =
                |n: c_int| u64::try_from(n).map_err(|_| invalid(format!("index {n} is below 0")));
            let range = Range {
                first: number(start)?,
                last: number(end)?,
                step: number(step)?,
            };
            let template = with(template, |template| Ok(template.clone()))?;
            let all = session.run_bulk_jobs(&template, range)?;
            set(jobs, Strings::hand_out(all), "the place for the job ids")
        })
    }
}

/// Holds, releases, suspends, resumes or ends a job, or all of the session.
///
/// # Safety
/// `job` is null or ends in NUL.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_control(
    job: *const c_char,
    action: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            let action = Control::from_number(action)
                .ok_or_else(|| invalid(format!("{action} is no action")))?;
            let jobs = match need(job, "the job id")? {
                SESSION_ALL => Jobs::All,
                job => Jobs::These(vec![job.to_owned()]),
            };
            session.control(jobs, action)
        })
    }
}

/// Waits until jobs are over.
///
/// # Safety
/// `jobs` is null or an array of C strings that ends in null.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_synchronize(
    jobs: *const *const c_char,
    seconds: c_long,
    dispose: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            let names = list(jobs, "the list of job ids")?;
            let jobs = if names.iter().any(|name| name == SESSION_ALL) {
                Jobs::All
            } else {
                Jobs::These(names)
            };
            session.synchronize(jobs, timeout(seconds)?, dispose != 0)
        })
    }
}

/// Waits until a job is over and tells how it ended.
///
/// # Safety
/// `job` is null or ends in NUL; `out` has room for `out_len` bytes; `stat` and `usage` are null or may be
/// written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wait(
    job: *const c_char,
    out: *mut c_char,
    out_len: usize,
    stat: *mut c_int,
    seconds: c_long,
    usage: *mut *mut Strings,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            let job = Some(need(job, "the job id")?).filter(|job| *job != SESSION_ANY);
            let info: JobInfo = session.wait(job, timeout(seconds)?)?;
            put(out, out_len, &info.job);
            if !stat.is_null() {
                set(stat, info.end.to_stat(), "stat")?;
            }
            if !usage.is_null() {
                let pairs = info
                    .usage
                    .iter()
                    .map(|(name, value)| format!("{name}={value}"))
                    .collect();
                set(usage, Strings::hand_out(pairs), "the usage")?;
            }
            Ok(())
        })
    }
}

/// The state of a job.
///
/// # Safety
/// `job` is null or ends in NUL; `state` may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_job_ps(
    job: *const c_char,
    state: *mut c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let session = session::active()?;
            let found = session.job_ps(need(job, "the job id")?)?;
            set(state, found.number(), "the place for the state")
        })
    }
}

macro_rules! about_stat {
    ($(#[$doc:meta])* $name:ident, $end:ident => $value:expr) => {
        $(#[$doc])*
        ///
        /// # Safety
        /// `out` may be written.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(out: *mut c_int, stat: c_int, diagnosis: *mut c_char, len: usize) -> c_int {
            // SAFETY: the caller's promises.
            unsafe {
                boundary(diagnosis, len, || {
                    let $end = End::from_stat(stat);
                    set(out, c_int::from($value), "the place for the answer")
                })
            }
        }
    };
}

about_stat!(
    /// Whether a job exited by itself.
    drmaa_wifexited, end => matches!(end, End::Exited { .. })
);
about_stat!(
    /// The exit status of a job that exited.
    drmaa_wexitstatus, end => match end { End::Exited { status } => status, _ => 0 }
);
about_stat!(
    /// Whether a signal ended a job.
    drmaa_wifsignaled, end => matches!(end, End::Signaled { .. })
);
about_stat!(
    /// Whether a job left a core dump.
    drmaa_wcoredump, end => matches!(end, End::Signaled { core_dump: true, .. })
);
about_stat!(
    /// Whether a job ended before it ran, or nothing is known of its run.
    drmaa_wifaborted, end => matches!(end, End::Aborted)
);

/// The name of the signal that ended a job.
///
/// # Safety
/// `signal` has room for `signal_len` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_wtermsig(
    signal: *mut c_char,
    signal_len: usize,
    stat: c_int,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || match End::from_stat(stat) {
            End::Signaled { signal: name, .. } => {
                put(signal, signal_len, &name);
                Ok(())
            }
            _ => Err(invalid("no signal ended the job")),
        })
    }
}

/// The text of an error code. It is the library's and stays.
#[unsafe(no_mangle)]
pub extern "C" fn drmaa_strerror(code: c_int) -> *const c_char {
    static TEXTS: OnceLock<Vec<CString>> = OnceLock::new();
    let texts = TEXTS.get_or_init(|| {
        let texts = ErrorCode::ALL.iter().map(|code| code.text());
        ["success"]
            .into_iter()
            .chain(texts)
            .map(|text| CString::new(text).unwrap_or_default())
            .collect()
    });
    let text = usize::try_from(code).ok().and_then(|code| texts.get(code));
    text.map_or(std::ptr::null(), |text| text.as_ptr())
}

/// Before `drmaa_init`: the default contact. After: the contact that takes the session up again.
///
/// # Safety
/// `out` has room for `out_len` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_contact(
    out: *mut c_char,
    out_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let contact = session::active().map(|session| session.contact()).ok();
            put(
                out,
                out_len,
                &contact
                    .or_else(session::default_contact)
                    .unwrap_or_default(),
            );
            Ok(())
        })
    }
}

/// The version of the interface.
///
/// # Safety
/// Both numbers may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_version(
    major: *mut c_uint,
    minor: *mut c_uint,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            set(major, VERSION.0, "the place for the major number")?;
            set(minor, VERSION.1, "the place for the minor number")
        })
    }
}

/// The scheduler behind the interface; before `drmaa_init`, all that this library can speak to.
///
/// # Safety
/// `out` has room for `out_len` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_DRM_system(
    out: *mut c_char,
    out_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            let system = match session::active() {
                Ok(session) => session.drm_system()?,
                Err(_) => "reedring".to_owned(),
            };
            put(out, out_len, &system);
            Ok(())
        })
    }
}

/// This library.
///
/// # Safety
/// `out` has room for `out_len` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn drmaa_get_DRMAA_implementation(
    out: *mut c_char,
    out_len: usize,
    diagnosis: *mut c_char,
    len: usize,
) -> c_int {
    // SAFETY: the caller's promises.
    unsafe {
        boundary(diagnosis, len, || {
            put(
                out,
                out_len,
                concat!("reedring libdrmaa ", env!("CARGO_PKG_VERSION")),
            );
            Ok(())
        })
    }
}
