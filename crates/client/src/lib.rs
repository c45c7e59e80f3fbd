//! DRMAA client library: sessions with a placer, blocking and safe to share between threads.
//!
//! ```no_run
//! use reedring_client::{Session, drmaa::JobTemplate};
//!
//! let session = Session::open("tcp:127.0.0.1:4710")?;
//! let mut template = JobTemplate::new();
//! template.set("drmaa_remote_command", "sleep")?;
//! template.set_vector("drmaa_v_argv", vec!["1".into()])?;
//! let job = session.run_job(&template)?;
//! let info = session.wait(Some(&job), None)?;
//! println!("{job}: {:?}", info.end);
//! # Ok::<(), reedring_client::drmaa::Error>(())
//! ```
//!
//! A call whose connection broke is made again on a new one under the same number, and the placer
//! answers it from its ledger: nothing is submitted or ended twice. A session outlives its process: the
//! contact of [`Session::contact`], given to [`Session::open`], takes it up again.
#![forbid(unsafe_code)]

mod connection;
mod contact;
mod operator;
mod session;

pub use contact::Contact;
pub use operator::Operator;
pub use reedring_drmaa as drmaa;
pub use session::Session;
