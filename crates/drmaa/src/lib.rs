//! DRMAA 1.0 as its public specification has it (GFD.130, the IDL, and GFD.133, the C binding): types,
//! attribute rules, states, error codes, and the JSON-RPC 2.0 messages in which the calls cross between
//! a client library and a placer.
//!
//! What this crate is not: it opens no socket, reads no clock and knows no placer. A client library
//! fills a [`JobTemplate`], turns it into a [`JobSpec`] with the time it was given, and sends a
//! [`rpc::Call`]; a placer reads the same types back.
#![forbid(unsafe_code)]

pub mod error;
pub mod framing;
pub mod info;
pub mod native;
pub mod rpc;
pub mod state;
pub mod template;
pub mod timestamp;

pub use error::{Error, ErrorCode, Result};
pub use info::{End, JobInfo};
pub use state::{Control, JobState};
pub use template::{JobSpec, JobTemplate};

/// The version of the DRMAA interface: major and minor (`drmaa_version`).
pub const VERSION: (u32, u32) = (1, 0);
/// Stands for all jobs of a session in `drmaa_control` and `drmaa_synchronize`.
pub const SESSION_ALL: &str = "DRMAA_JOB_IDS_SESSION_ALL";
/// Stands for any job of a session in `drmaa_wait`.
pub const SESSION_ANY: &str = "DRMAA_JOB_IDS_SESSION_ANY";
/// Waits without a bound (`DRMAA_TIMEOUT_WAIT_FOREVER`), in seconds.
pub const WAIT_FOREVER: i64 = -1;
/// Answers at once (`DRMAA_TIMEOUT_NO_WAIT`), in seconds.
pub const NO_WAIT: i64 = 0;
/// Most jobs in one bulk submission. A placer may allow fewer.
pub const MAX_BULK: u64 = 1_000_000;
