//! The DRMAA calls as JSON-RPC 2.0 messages, one type a call, and the few calls of operators.
//!
//! Calls that change something name the session and a number of the client's making, so that a call
//! repeated after a lost connection is answered from what the first did. `docs/drmaa.md` lists the
//! messages call by call.

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorCode};
use crate::info::JobInfo;
use crate::state::{Control, JobState};
use crate::template::JobSpec;

/// Bytes of a message at most, from client to placer: a bulk submission is one template.
pub const MAX_REQUEST: usize = 4 << 20;
/// Bytes of a message at most, from placer to client: a million job ids fit.
pub const MAX_RESPONSE: usize = 64 << 20;
/// Characters of a session's name at most.
pub const MAX_SESSION: usize = 64;

/// Names one call of a session, so that it is carried out once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKey {
    /// The session, as the client library named it: letters, digits, `-` and `_`.
    pub session: String,
    /// A number that this call alone has in its session.
    pub call: u64,
    /// All calls with numbers below this one were answered, and their answers can be forgotten.
    #[serde(default)]
    pub settled: u64,
    /// The life of the placer to which the call was first sent, as [`Answer::Session`] told it. A placer of
    /// another life knows by it that one before it may have carried the call out.
    pub sent_to: u64,
}

/// Jobs of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Jobs {
    /// All of the session.
    All,
    /// These.
    These(Vec<String>),
}

/// The indices of a bulk submission: `first`, `first + step`, and so on up to `last`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The first index, from 1.
    pub first: u64,
    /// No index is over this.
    pub last: u64,
    /// From one index to the next, from 1.
    pub step: u64,
}

impl Range {
    /// The indices; `None` where the range is empty, starts at 0, does not move or is over `most`.
    pub fn indices(self, most: u64) -> Option<impl Iterator<Item = u64> + Clone> {
        let legal = self.first >= 1 && self.step >= 1 && self.last >= self.first;
        let count = if legal {
            (self.last - self.first) / self.step + 1
        } else {
            0
        };
        (1..=most)
            .contains(&count)
            .then(move || (0..count).map(move |n| self.first + n * self.step))
    }
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "method", content = "params")]
pub enum Call {
    /// Opens a session, or takes it up again; answers [`Answer::Session`].
    #[serde(rename = "drmaa_init")]
    Init {
        /// The session.
        session: String,
    },
    /// Closes a session; its jobs go on and it can be taken up again.
    #[serde(rename = "drmaa_exit")]
    Exit {
        /// Which call.
        key: CallKey,
    },
    /// Submits one job; answers [`Submitted`].
    #[serde(rename = "drmaa_run_job")]
    RunJob {
        /// Which call.
        key: CallKey,
        /// The job.
        job: Box<JobSpec>,
    },
    /// Submits a job for each index; answers [`Submitted`].
    #[serde(rename = "drmaa_run_bulk_jobs")]
    RunBulkJobs {
        /// Which call.
        key: CallKey,
        /// The jobs.
        job: Box<JobSpec>,
        /// Their indices.
        range: Range,
    },
    /// Holds, releases, suspends, resumes or ends jobs.
    #[serde(rename = "drmaa_control")]
    Control {
        /// Which call.
        key: CallKey,
        /// Which jobs.
        jobs: Jobs,
        /// What to do.
        action: Control,
    },
    /// Waits until jobs are over.
    #[serde(rename = "drmaa_synchronize")]
    Synchronize {
        /// Which call.
        key: CallKey,
        /// Which jobs.
        jobs: Jobs,
        /// Seconds to wait; -1 without a bound.
        timeout_s: i64,
        /// Forget the jobs, as if each had been waited for.
        dispose: bool,
    },
    /// Waits until a job is over, tells how, and forgets it; answers [`JobInfo`].
    #[serde(rename = "drmaa_wait")]
    Wait {
        /// Which call.
        key: CallKey,
        /// The job; `None` for any of the session.
        job: Option<String>,
        /// Seconds to wait; -1 without a bound.
        timeout_s: i64,
    },
    /// The state of a job; answers [`JobState`].
    #[serde(rename = "drmaa_job_ps")]
    JobPs {
        /// The session.
        session: String,
        /// The job.
        job: String,
    },
    /// The version of the interface; answers major and minor.
    #[serde(rename = "drmaa_version")]
    Version {},
    /// The scheduler behind the interface; answers a text.
    #[serde(rename = "drmaa_get_DRM_system")]
    DrmSystem {},
    /// All jobs that the placer knows, for operators; answers [`JobsPage`].
    #[serde(rename = "reedring_jobs")]
    ListJobs {
        /// Only jobs after this one, in the order of their submission; from the page before.
        #[serde(default)]
        after: Option<u64>,
        /// Lines of a page at most.
        limit: usize,
    },
    /// One job with its history, for operators; answers [`JobDetail`].
    #[serde(rename = "reedring_job")]
    ShowJob {
        /// The job.
        job: String,
    },
    /// The nodes as the placer sees them; answers a list of [`NodeLine`].
    #[serde(rename = "reedring_nodes")]
    ListNodes {},
    /// Keeps new work from a node, or lets it come again.
    #[serde(rename = "reedring_drain")]
    Drain {
        /// The node.
        node: String,
        /// Drain it, or stop draining it.
        drain: bool,
    },
    /// What a constraint leaves of the placer's nodes, and why; answers a text.
    #[serde(rename = "reedring_constraint")]
    Explain {
        /// Its text.
        text: String,
    },
    /// Counts and times of the placer; answers [`Stats`].
    #[serde(rename = "reedring_stats")]
    Stats {},
}

/// A message from client to placer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Always `2.0`.
    pub jsonrpc: Version,
    /// Binds the answer to the call.
    pub id: u64,
    /// The call.
    #[serde(flatten)]
    pub call: Call,
}

impl Request {
    /// A call with its id.
    pub fn new(id: u64, call: Call) -> Self {
        Self {
            jsonrpc: Version,
            id,
            call,
        }
    }
}

/// The member `jsonrpc`, which is always `2.0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version;

impl Serialize for Version {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("2.0")
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text == "2.0" {
            Ok(Self)
        } else {
            Err(serde::de::Error::custom("jsonrpc is not `2.0`"))
        }
    }
}

/// A message from placer to client: exactly one of `result` and `error`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Response {
    /// Always `2.0`.
    pub jsonrpc: Version,
    /// The id of the call; none where it could not be read.
    pub id: Option<u64>,
    /// The answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<Answer>,
    /// What went wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Fault>,
}

/// An error as JSON-RPC has it. DRMAA codes are sent as 1000 and their number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The code.
    pub code: i64,
    /// What is wrong, and where.
    pub message: String,
}

/// JSON-RPC: the text is no JSON.
pub const PARSE_ERROR: i64 = -32700;
/// JSON-RPC: the JSON is no call, or a call with wrong members.
pub const INVALID_REQUEST: i64 = -32600;
/// JSON-RPC: there is no such call.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Added to the number of a DRMAA code.
pub const DRMAA_BASE: i64 = 1000;

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Self {
            code: DRMAA_BASE + i64::from(error.code.number()),
            message: error.message,
        }
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        let number = i32::try_from(fault.code - DRMAA_BASE).ok();
        let code = number
            .and_then(ErrorCode::from_number)
            .unwrap_or(ErrorCode::InternalError);
        Self {
            code,
            message: fault.message,
        }
    }
}

impl Response {
    /// The answer to the call with this id.
    pub fn new(id: u64, result: Result<Answer, Error>) -> Self {
        let (result, error) = match result {
            Ok(answer) => (Some(answer), None),
            Err(error) => (None, Some(error.into())),
        };
        Self {
            jsonrpc: Version,
            id: Some(id),
            result,
            error,
        }
    }

    /// The answer to what is no call.
    pub fn fault(id: Option<u64>, code: i64, message: impl Into<String>) -> Self {
        let error = Some(Fault {
            code,
            message: message.into(),
        });
        Self {
            jsonrpc: Version,
            id,
            result: None,
            error,
        }
    }
}

/// Reads a request; what is none is answered with the returned response.
///
/// # Errors
/// The response that says what is wrong, bound to the id where one could be read.
pub fn read_request(body: &[u8]) -> Result<Request, Box<Response>> {
    serde_json::from_slice(body).map_err(|error| {
        let Ok(value) = serde_json::from_slice::<serde_json::Value>(body) else {
            return Box::new(Response::fault(None, PARSE_ERROR, error.to_string()));
        };
        let id = value.get("id").and_then(serde_json::Value::as_u64);
        let method = value.get("method").and_then(serde_json::Value::as_str);
        let text = error.to_string();
        let code = if method.is_some() && text.starts_with("unknown variant") {
            METHOD_NOT_FOUND
        } else {
            INVALID_REQUEST
        };
        Box::new(Response::fault(id, code, text))
    })
}

/// What calls answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Done.
    Done,
    /// The session is open.
    Session {
        /// The placer's life: another one each time it is started.
        life: u64,
    },
    /// Jobs were taken.
    Submitted(Submitted),
    /// A job's end.
    Ended(JobInfo),
    /// A job's state.
    State(JobState),
    /// Major and minor.
    Version(u32, u32),
    /// A text.
    Text(String),
    /// A page of jobs.
    Jobs(JobsPage),
    /// One job.
    Job(Box<JobDetail>),
    /// The nodes.
    Nodes(Vec<NodeLine>),
    /// Counts and times.
    Stats(Box<Stats>),
}

/// What a submission answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submitted {
    /// The jobs, in the order of their indices.
    pub jobs: Vec<String>,
    /// What the submitter should know, such as that its jobs would not outlive the placer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// A page of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobsPage {
    /// The jobs, in the order of their submission.
    pub jobs: Vec<JobLine>,
    /// Ask with this for the next page; none at the end.
    pub next: Option<u64>,
}

/// One job in a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobLine {
    /// The job.
    pub job: String,
    /// Its state.
    pub state: JobState,
    /// Its outcome, once it has one: `placed`, `refused`, `failed` or `terminated`.
    pub outcome: Option<String>,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Its service.
    pub service: String,
    /// Where it is, or was last.
    pub node: Option<String>,
    /// Milliseconds since it was submitted.
    pub age_ms: u64,
}

/// One job with what happened to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// The line of the list.
    #[serde(flatten)]
    pub line: JobLine,
    /// Its session.
    pub session: String,
    /// Cores it asks for.
    pub cores: f64,
    /// Memory it asks for.
    pub memory: f64,
    /// Why it was refused or failed.
    pub reason: Option<String>,
    /// Each attempt, in order.
    pub attempts: Vec<AttemptLine>,
    /// Its constraint, if it has one.
    #[serde(default)]
    pub constraint: Option<String>,
    /// How the constraint stands: why it leaves the machines that it leaves, and what is broken since when.
    #[serde(default)]
    pub stands: Vec<String>,
}

/// One attempt of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptLine {
    /// Where.
    pub node: String,
    /// Milliseconds after the job's submission at which it was sent.
    pub sent_ms: u64,
    /// What became of it.
    pub fate: String,
}

/// One node as a placer sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeLine {
    /// What it keeps of plans, where placers tell plans: in force, introduced, and how many placers are behind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
    /// Its name.
    pub node: String,
    /// Where it listens.
    pub address: String,
    /// Its kind.
    pub kind: String,
    /// Its rack.
    pub rack: String,
    /// Its hall.
    pub hall: String,
    /// What the list says: `ready`, `draining` or `gone`.
    pub listed: String,
    /// An operator drains it by hand.
    pub drained: bool,
    /// The link to it stands.
    pub linked: bool,
    /// Own tasks that it was offered and did not answer.
    pub waiting: usize,
    /// Own tasks that it holds.
    pub held: usize,
    /// Cores that own tasks on it asked for.
    pub cores: f64,
    /// Memory that own tasks on it asked for.
    pub memory: f64,
    /// Offers that it refused, by reason.
    pub refusals: Vec<(String, u64)>,
}

/// Counts of one placer since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stats {
    /// Jobs taken.
    pub submitted: u64,
    /// Placed, each job once.
    pub placed: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Terminated by their users before they were placed.
    pub terminated: u64,
    /// Offers sent to nodes.
    pub offers: u64,
    /// Jobs that are not over.
    pub live: u64,
    /// Jobs held in memory.
    pub jobs: u64,
    /// Microseconds spent in the decision module.
    pub module_us: u64,
    /// Steps of the decision module.
    pub module_steps: u64,
    /// Late copies of tasks that were stopped.
    pub late_stopped: u64,
    /// Tasks adopted from what nodes hold.
    pub adopted: u64,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_json_rpc() {
        let call = Call::JobPs {
            session: "s".into(),
            job: "j.1".into(),
        };
        let text = serde_json::to_string(&Request::new(7, call)).unwrap();
        let want = r#"{"jsonrpc":"2.0","id":7,"method":"drmaa_job_ps","params":{"session":"s","job":"j.1"}}"#;
        assert_eq!(text, want);
        let read = read_request(text.as_bytes()).unwrap();
        assert_eq!(
            read.call,
            Call::JobPs {
                session: "s".into(),
                job: "j.1".into()
            }
        );
    }

    #[test]
    fn what_is_no_call_is_answered_as_json_rpc_asks() {
        let code = |text: &str| {
            read_request(text.as_bytes())
                .unwrap_err()
                .error
                .unwrap()
                .code
        };
        assert_eq!(code("{"), PARSE_ERROR);
        assert_eq!(code("{}"), INVALID_REQUEST);
        assert_eq!(
            code(r#"{"jsonrpc":"1.0","id":1,"method":"drmaa_version","params":{}}"#),
            INVALID_REQUEST
        );
        assert_eq!(
            code(r#"{"jsonrpc":"2.0","id":1,"method":"drmaa_what","params":{}}"#),
            METHOD_NOT_FOUND
        );
        let odd = r#"{"jsonrpc":"2.0","id":5,"method":"drmaa_job_ps","params":{"job":1}}"#;
        let response = read_request(odd.as_bytes()).unwrap_err();
        assert_eq!(response.id, Some(5));
        let deep = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
        assert_eq!(code(&deep), PARSE_ERROR);
    }

    #[test]
    fn errors_keep_their_code() {
        for code in ErrorCode::ALL {
            let error = Error::new(code, "x");
            assert_eq!(Error::from(Fault::from(error.clone())), error);
        }
    }

    #[test]
    fn a_range_has_the_indices_of_the_specification() {
        let range = |first, last, step| {
            Range { first, last, step }
                .indices(1_000)
                .map(|indices| indices.collect::<Vec<u64>>())
        };
        assert_eq!(range(1, 5, 2), Some(vec![1, 3, 5]));
        assert_eq!(range(2, 6, 3), Some(vec![2, 5]));
        assert_eq!(range(0, 5, 1), None);
        assert_eq!(range(5, 4, 1), None);
        assert_eq!(range(1, 5, 0), None);
        assert_eq!(range(1, u64::MAX, 1), None);
    }
}
