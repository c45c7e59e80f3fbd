//! Job names, as clients and nodes use them.

use std::fmt;
use std::sync::Arc;

use crate::ids::CallIndex;

/// The name of a job: its session, the call that submitted it, and its index in that call.
///
/// The name is the same in every incarnation of the placer, so that a job can be identified by the tasks that a node
/// holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct JobName {
    pub session: Arc<str>,
    pub call: u64,
    pub index: u64,
}

impl JobName {
    /// Parses a name exactly as `Display` writes it; `None` for any other text, such as one with leading zeros.
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

    /// The call and index of the job within its session.
    pub const fn call_index(&self) -> CallIndex {
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
