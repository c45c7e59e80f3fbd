//! What operators ask and do, beside the DRMAA calls.

use std::time::Duration;

use reedring_drmaa::rpc::{Answer, Call, JobDetail, JobsPage, NodeLine, Stats};
use reedring_drmaa::{Error, ErrorCode, Result};

use crate::connection::Connection;
use crate::contact::Contact;

/// How long an answer may take.
const ANSWER: Duration = Duration::from_secs(30);

/// A connection for operators. Its calls change nothing twice, so a failed one can simply be made again.
pub struct Operator {
    contact: Contact,
    connection: Connection,
}

macro_rules! answers {
    ($self:ident, $call:expr, $want:pat => $value:expr) => {
        match $self.call($call)? {
            $want => Ok($value),
            other => Err(Error::new(
                ErrorCode::InternalError,
                format!("unexpected answer: {other:?}"),
            )),
        }
    };
}

impl Operator {
    /// Connects to a placer.
    ///
    /// # Errors
    /// `InvalidContactString`, `DrmCommunicationFailure`.
    pub fn connect(contact: &str) -> Result<Self> {
        let contact = Contact::parse(contact)?;
        let connection = Connection::open(&contact).map_err(|error| failure(&contact, &error))?;
        Ok(Self {
            contact,
            connection,
        })
    }

    fn call(&mut self, call: Call) -> Result<Answer> {
        self.connection
            .call(call, Some(ANSWER))
            .map_err(|error| failure(&self.contact, &error))?
    }

    /// A page of all jobs, in the order of their submission.
    ///
    /// # Errors
    /// `DrmCommunicationFailure`, as all calls here.
    pub fn jobs(&mut self, after: Option<u64>, limit: usize) -> Result<JobsPage> {
        answers!(self, Call::ListJobs { after, limit }, Answer::Jobs(page) => page)
    }

    /// One job with its history.
    ///
    /// # Errors
    /// `InvalidJob`.
    pub fn job(&mut self, job: &str) -> Result<JobDetail> {
        answers!(self, Call::ShowJob { job: job.to_owned() }, Answer::Job(job) => *job)
    }

    /// The nodes.
    ///
    /// # Errors
    /// `DrmCommunicationFailure`.
    pub fn nodes(&mut self) -> Result<Vec<NodeLine>> {
        answers!(self, Call::ListNodes {}, Answer::Nodes(nodes) => nodes)
    }

    /// Keeps new work from a node, or ends that.
    ///
    /// # Errors
    /// `InvalidArgument` for a node that the list does not have.
    pub fn drain(&mut self, node: &str, drain: bool) -> Result<()> {
        answers!(self, Call::Drain { node: node.to_owned(), drain }, Answer::Done => ())
    }

    /// What a constraint leaves of the placer's nodes, and why.
    ///
    /// # Errors
    /// `InvalidAttributeValue` with the mistake.
    pub fn explain(&mut self, text: &str) -> Result<String> {
        answers!(self, Call::Explain { text: text.to_owned() }, Answer::Text(text) => text)
    }

    /// Counts and times of the placer.
    ///
    /// # Errors
    /// `DrmCommunicationFailure`.
    pub fn stats(&mut self) -> Result<Stats> {
        answers!(self, Call::Stats {}, Answer::Stats(stats) => *stats)
    }
}

fn failure(contact: &Contact, error: &std::io::Error) -> Error {
    Error::new(
        ErrorCode::DrmCommunicationFailure,
        format!("{contact}: {error}"),
    )
}
