//! A DRMAA session.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jiff::Zoned;
use reedring_drmaa::rpc::{Answer, Call, CallKey, Jobs, Range};
use reedring_drmaa::{
    Control, Error, ErrorCode, JobInfo, JobState, JobTemplate, NO_WAIT, Result, WAIT_FOREVER,
};

use crate::connection::Connection;
use crate::contact::Contact;

/// How long a call is made again while the placer can't be reached.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long the answer of a call that does not wait may take.
const ANSWER: Duration = Duration::from_secs(30);
/// Between two tries to reach the placer: the first, doubled up to the last.
const FIRST_WAIT: Duration = Duration::from_millis(20);
const LAST_WAIT: Duration = Duration::from_secs(1);

/// Numbers of calls: each has its own, and those under way hold back what the placer may forget.
#[derive(Default)]
struct Calls {
    next: u64,
    under_way: BTreeSet<u64>,
}

/// A session with a placer. It can be shared between threads; each call has a connection to itself.
pub struct Session {
    contact: Contact,
    name: String,
    patience: Duration,
    idle: Mutex<Vec<Connection>>,
    calls: Mutex<Calls>,
    told: Mutex<Told>,
    warning: Mutex<Option<String>>,
}

/// Ends remembered of a session, to pass them by when they are told once more.
const REMEMBERED: usize = 65_536;

/// Jobs whose end was told. A placer that was started anew hears of tasks again whose nodes had not yet
/// noted that their end was known, and would tell it a second time to whoever waits for any job.
#[derive(Default)]
struct Told {
    jobs: BTreeSet<String>,
    order: VecDeque<String>,
    again: u64,
}

impl Told {
    /// Whether this is the first time.
    fn first(&mut self, job: &str) -> bool {
        if !self.jobs.insert(job.to_owned()) {
            self.again += 1;
            return false;
        }
        self.order.push_back(job.to_owned());
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unexpected(answer: &Answer) -> Error {
    Error::new(
        ErrorCode::InternalError,
        format!("the placer answered something else: {answer:?}"),
    )
}

fn unreachable(contact: &Contact, error: &std::io::Error) -> Error {
    Error::new(
        ErrorCode::DrmCommunicationFailure,
        format!("{contact}: {error}"),
    )
}

impl Session {
    /// Opens a session, or takes one up again where the contact names it.
    ///
    /// # Errors
    /// `InvalidContactString`, `DrmCommunicationFailure` where nobody answers, and what the placer says.
    pub fn open(contact: &str) -> Result<Self> {
        Self::open_with(contact, PATIENCE)
    }

    /// As [`Session::open`], with another time for which calls are made again while nobody answers.
    ///
    /// # Errors
    /// As [`Session::open`].
    pub fn open_with(contact: &str, patience: Duration) -> Result<Self> {
        let mut contact = Contact::parse(contact)?;
        let drawn = || format!("{:016x}", RandomState::new().build_hasher().finish());
        let name = contact.session.take().unwrap_or_else(drawn);
        // A process that takes a session up again must not use numbers of the one before.
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let calls = Calls {
            next: now.as_micros() as u64,
            under_way: BTreeSet::new(),
        };
        let (idle, calls, told) = (Mutex::default(), Mutex::new(calls), Mutex::default());
        let warning = Mutex::default();
        let session = Self {
            contact,
            name,
            patience,
            idle,
            calls,
            told,
            warning,
        };
        let connection = session
            .connect()
            .map_err(|error| unreachable(&session.contact, &error))??;
        lock(&session.idle).push(connection);
        Ok(session)
    }

    /// The contact that takes this session up again.
    pub fn contact(&self) -> String {
        Contact {
            session: Some(self.name.clone()),
            ..self.contact.clone()
        }
        .to_string()
    }

    fn connect(&self) -> std::io::Result<Result<Connection>> {
        let mut connection = Connection::open(&self.contact)?;
        let init = Call::Init {
            session: self.name.clone(),
        };
        Ok(match connection.call(init, Some(ANSWER))? {
            Ok(Answer::Session { life }) => {
                connection.life = life;
                Ok(connection)
            }
            Ok(other) => Err(unexpected(&other)),
            Err(error) => Err(error),
        })
    }

    /// Makes a call until it is answered. `wait` bounds what the call itself waits for; `None` does not.
    fn call(
        &self,
        wait: Option<Duration>,
        make: impl Fn(CallKey, Option<Duration>) -> Call,
    ) -> Result<Answer> {
        let call = {
            let mut calls = lock(&self.calls);
            calls.next += 1;
            let call = calls.next;
            calls.under_way.insert(call);
            call
        };
        let answer = self.call_numbered(call, wait, make);
        lock(&self.calls).under_way.remove(&call);
        answer
    }

    fn call_numbered(
        &self,
        call: u64,
        wait: Option<Duration>,
        make: impl Fn(CallKey, Option<Duration>) -> Call,
    ) -> Result<Answer> {
        let began = Instant::now();
        let (mut sent_to, mut pause) = (None, FIRST_WAIT);
        let mut unheard_since: Option<Instant> = None;
        loop {
            let idle = lock(&self.idle).pop();
            let connection = match idle {
                Some(connection) => Ok(connection),
                None => self
                    .connect()
                    .and_then(|opened| opened.map_err(std::io::Error::other)),
            };
            let result = connection.and_then(|mut connection| {
                let sent_to = *sent_to.get_or_insert(connection.life);
                let settled = lock(&self.calls).under_way.first().copied().unwrap_or(call);
                let key = CallKey {
                    session: self.name.clone(),
                    call,
                    settled,
                    sent_to,
                };
                let left = wait.map(|wait| wait.saturating_sub(began.elapsed()));
                let limit = left.map(|left| left + ANSWER);
                let result = connection.call(make(key, left), limit)?;
                Ok((connection, result))
            });
            match result {
                // The placer was started anew on a connection that outlived it? It has to be greeted again.
                Ok((_, Err(error))) if error.code == ErrorCode::NoActiveSession => {
                    if unheard_since.is_some_and(|since| since.elapsed() > self.patience) {
                        return Err(error);
                    }
                    unheard_since.get_or_insert_with(Instant::now);
                }
                Ok((connection, result)) => {
                    lock(&self.idle).push(connection);
                    return result;
                }
                Err(error) => {
                    // Idle connections to a placer that is gone are of no use.
                    lock(&self.idle).clear();
                    let since = *unheard_since.get_or_insert_with(Instant::now);
                    if since.elapsed() > self.patience {
                        return Err(unreachable(&self.contact, &error));
                    }
                }
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(LAST_WAIT);
        }
    }

    /// Submits one job and returns its id.
    ///
    /// # Errors
    /// What is wrong with the template, `DeniedByDrm`, `TryLater`, `DrmCommunicationFailure`.
    pub fn run_job(&self, template: &JobTemplate) -> Result<String> {
        let job = Box::new(template.spec(&Zoned::now())?);
        match self.call(Some(Duration::ZERO), |key, _| Call::RunJob {
            key,
            job: job.clone(),
        })? {
            Answer::Submitted(mut submitted) if submitted.jobs.len() == 1 => {
                *lock(&self.warning) = submitted.warning;
                Ok(submitted.jobs.remove(0))
            }
            other => Err(unexpected(&other)),
        }
    }

    /// How many ends were told a second time, and passed by: by a placer that was killed right after it told them.
    pub fn told_again(&self) -> u64 {
        lock(&self.told).again
    }

    /// What the placer said with the last submission that its submitter should know, if it did.
    pub fn warning(&self) -> Option<String> {
        lock(&self.warning).clone()
    }

    /// Submits a job for each index of the range and returns their ids in order.
    ///
    /// # Errors
    /// As [`Session::run_job`], and `InvalidArgument` for a range that is empty or too large.
    pub fn run_bulk_jobs(&self, template: &JobTemplate, range: Range) -> Result<Vec<String>> {
        let job = Box::new(template.spec(&Zoned::now())?);
        match self.call(Some(Duration::ZERO), |key, _| Call::RunBulkJobs {
            key,
            job: job.clone(),
            range,
        })? {
            Answer::Submitted(submitted) => {
                *lock(&self.warning) = submitted.warning;
                Ok(submitted.jobs)
            }
            other => Err(unexpected(&other)),
        }
    }

    /// Holds, releases, suspends, resumes or ends jobs.
    ///
    /// # Errors
    /// `InvalidJob`, and the `…InconsistentState` of the action.
    pub fn control(&self, jobs: Jobs, action: Control) -> Result<()> {
        let make = |key, _| Call::Control {
            key,
            jobs: jobs.clone(),
            action,
        };
        self.call(Some(Duration::ZERO), make).map(drop)
    }

    /// Waits until jobs are over; `None` waits without a bound. With `dispose` they are forgotten, as if
    /// each had been waited for.
    ///
    /// # Errors
    /// `InvalidJob`, `ExitTimeout`.
    pub fn synchronize(&self, jobs: Jobs, timeout: Option<Duration>, dispose: bool) -> Result<()> {
        let make = |key, left| {
            let timeout_s = seconds(left);
            Call::Synchronize {
                key,
                jobs: jobs.clone(),
                timeout_s,
                dispose,
            }
        };
        self.call(timeout, make).map(drop)
    }

    /// Waits until a job is over, any of the session with `None`, and tells how it ended.
    ///
    /// # Errors
    /// `InvalidJob`, `ExitTimeout`.
    pub fn wait(&self, job: Option<&str>, timeout: Option<Duration>) -> Result<JobInfo> {
        let make = |key, left| {
            let (job, timeout_s) = (job.map(str::to_owned), seconds(left));
            Call::Wait {
                key,
                job,
                timeout_s,
            }
        };
        loop {
            match self.call(timeout, make)? {
                Answer::Ended(info) => {
                    if lock(&self.told).first(&info.job) || job.is_some() {
                        return Ok(info);
                    }
                }
                other => return Err(unexpected(&other)),
            }
        }
    }

    /// The state of a job.
    ///
    /// # Errors
    /// `InvalidJob`.
    pub fn job_ps(&self, job: &str) -> Result<JobState> {
        let make = |_, _| Call::JobPs {
            session: self.name.clone(),
            job: job.to_owned(),
        };
        match self.call(Some(Duration::ZERO), make)? {
            Answer::State(state) => Ok(state),
            other => Err(unexpected(&other)),
        }
    }

    /// The scheduler behind the interface.
    ///
    /// # Errors
    /// `DrmCommunicationFailure`.
    pub fn drm_system(&self) -> Result<String> {
        match self.call(Some(Duration::ZERO), |_, _| Call::DrmSystem {})? {
            Answer::Text(text) => Ok(text),
            other => Err(unexpected(&other)),
        }
    }

    /// Closes the session. Its jobs go on, and its contact takes it up again.
    ///
    /// # Errors
    /// `DrmCommunicationFailure`.
    pub fn exit(self) -> Result<()> {
        self.close()
    }

    /// As [`Session::exit`], for one that is shared.
    ///
    /// # Errors
    /// As [`Session::exit`].
    pub fn close(&self) -> Result<()> {
        self.call(Some(Duration::ZERO), |key, _| Call::Exit { key })
            .map(drop)
    }
}

/// Whole seconds of a wait, rounded up, so that a short one is not none.
fn seconds(left: Option<Duration>) -> i64 {
    match left {
        None => WAIT_FOREVER,
        Some(Duration::ZERO) => NO_WAIT,
        Some(left) => i64::try_from(left.as_secs_f64().ceil() as u64).unwrap_or(i64::MAX),
    }
}
