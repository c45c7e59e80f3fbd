//! Error codes with the numbers of the C binding (GFD.133, section 3), and errors that carry a text.

use serde::{Deserialize, Serialize};

/// A DRMAA error code. The numbers are those of `drmaa.h`; success is no error and has none here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
#[repr(i32)]
pub enum ErrorCode {
    /// Something broke inside the library or the placer.
    InternalError = 1,
    /// The placer can't be reached.
    DrmCommunicationFailure = 2,
    /// The caller may not do this.
    AuthFailure = 3,
    /// An argument is outside its range.
    InvalidArgument = 4,
    /// `init` was not called.
    NoActiveSession = 5,
    /// Memory ran out.
    NoMemory = 6,
    /// The contact string names no placer.
    InvalidContactString = 7,
    /// The default contact string can't be used.
    DefaultContactStringError = 8,
    /// No contact string was given and there is no default.
    NoDefaultContactStringSelected = 9,
    /// The session could not be opened.
    DrmsInitFailed = 10,
    /// This process has a session already.
    AlreadyActiveSession = 11,
    /// The session could not be closed.
    DrmsExitError = 12,
    /// An attribute's text has the wrong form.
    InvalidAttributeFormat = 13,
    /// An attribute's value is not known or not allowed.
    InvalidAttributeValue = 14,
    /// Two attributes contradict each other.
    ConflictingAttributeValues = 15,
    /// Not now; asking again later may succeed.
    TryLater = 16,
    /// Refused by the placer's rules; asking again will not help.
    DeniedByDrm = 17,
    /// No such job, or its end was already told.
    InvalidJob = 18,
    /// The job is not suspended.
    ResumeInconsistentState = 19,
    /// The job does not run.
    SuspendInconsistentState = 20,
    /// The job can't be held any more.
    HoldInconsistentState = 21,
    /// The job is not on hold.
    ReleaseInconsistentState = 22,
    /// The time to wait is over.
    ExitTimeout = 23,
    /// The job ended before it had anything to tell.
    NoRusage = 24,
    /// The iterator is at its end (C binding alone).
    NoMoreElements = 25,
}

impl ErrorCode {
    /// Every code, in the order of its number.
    pub const ALL: [Self; 25] = [
        Self::InternalError,
        Self::DrmCommunicationFailure,
        Self::AuthFailure,
        Self::InvalidArgument,
        Self::NoActiveSession,
        Self::NoMemory,
        Self::InvalidContactString,
        Self::DefaultContactStringError,
        Self::NoDefaultContactStringSelected,
        Self::DrmsInitFailed,
        Self::AlreadyActiveSession,
        Self::DrmsExitError,
        Self::InvalidAttributeFormat,
        Self::InvalidAttributeValue,
        Self::ConflictingAttributeValues,
        Self::TryLater,
        Self::DeniedByDrm,
        Self::InvalidJob,
        Self::ResumeInconsistentState,
        Self::SuspendInconsistentState,
        Self::HoldInconsistentState,
        Self::ReleaseInconsistentState,
        Self::ExitTimeout,
        Self::NoRusage,
        Self::NoMoreElements,
    ];

    /// The number of `drmaa.h`.
    pub const fn number(self) -> i32 {
        self as i32
    }

    /// The code with this number, where there is one.
    pub fn from_number(number: i32) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.number() == number)
    }

    /// What `drmaa_strerror` says.
    pub const fn text(self) -> &'static str {
        match self {
            Self::InternalError => "internal error",
            Self::DrmCommunicationFailure => "the placer can't be reached",
            Self::AuthFailure => "not authorised",
            Self::InvalidArgument => "an argument is invalid",
            Self::NoActiveSession => "there is no active session",
            Self::NoMemory => "out of memory",
            Self::InvalidContactString => "the contact string is invalid",
            Self::DefaultContactStringError => "the default contact string can't be used",
            Self::NoDefaultContactStringSelected => "there is no default contact string",
            Self::DrmsInitFailed => "the session could not be opened",
            Self::AlreadyActiveSession => "this process has an active session already",
            Self::DrmsExitError => "the session could not be closed",
            Self::InvalidAttributeFormat => "an attribute's text has the wrong form",
            Self::InvalidAttributeValue => "an attribute's value is not allowed",
            Self::ConflictingAttributeValues => "attributes contradict each other",
            Self::TryLater => "not now, try later",
            Self::DeniedByDrm => "denied by the placer's rules",
            Self::InvalidJob => "no such job",
            Self::ResumeInconsistentState => "the job is not suspended",
            Self::SuspendInconsistentState => "the job does not run",
            Self::HoldInconsistentState => "the job can't be held any more",
            Self::ReleaseInconsistentState => "the job is not on hold",
            Self::ExitTimeout => "the time to wait is over",
            Self::NoRusage => "the job has no usage to tell",
            Self::NoMoreElements => "no more elements",
        }
    }
}

/// A failed call: the code, and a text that names the place and the fix.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("{}: {message}", code.text())]
pub struct Error {
    /// The code.
    pub code: ErrorCode,
    /// What is wrong, and where.
    pub message: String,
}

impl Error {
    /// An error with its text.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

/// What calls return.
pub type Result<T> = std::result::Result<T, Error>;

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_are_those_of_the_c_binding() {
        assert!(
            ErrorCode::ALL
                .iter()
                .zip(1..)
                .all(|(code, number)| code.number() == number)
        );
        assert_eq!(ErrorCode::from_number(16), Some(ErrorCode::TryLater));
        assert_eq!(ErrorCode::from_number(0), None);
    }
}
