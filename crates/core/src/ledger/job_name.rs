//! The name of a job.

use std::fmt;
use std::sync::Arc;

use crate::ids::CallIndex;

/// The name of a job: its session, the call that submitted it, its index there. The same in every incarnation of the
/// placer, so that a job is known again by what a node holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobName {
    pub session: Arc<str>,
    pub call: u64,
    pub index: u64,
}

impl JobName {
    /// Reads a name as `Display` writes it, and nothing else.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (session, call, index) = (parts.next()?, parts.next()?, parts.next()?);
        let number = |text: &str| text.parse().ok().filter(|n: &u64| n.to_string() == text);
        let name = Self {
            session: session.into(),
            call: number(call)?,
            index: number(index)?,
        };
        parts.next().is_none().then_some(name)
    }

    /// Which of its session's jobs it names.
    pub const fn place(&self) -> CallIndex {
        CallIndex {
            call: self.call,
            index: self.index,
        }
    }
}

impl fmt::Display for JobName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.session, self.call, self.index)
    }
}
