//! The one session of a process.

use std::sync::{Arc, PoisonError, RwLock};

use reedring_client::Session;
use reedring_client::drmaa::{Error, ErrorCode, Result};

static SESSION: RwLock<Option<Arc<Session>>> = RwLock::new(None);

/// The contact that is used where `drmaa_init` gets none.
pub(crate) fn default_contact() -> Option<String> {
    std::env::var("REEDRING_CONTACT")
        .ok()
        .filter(|contact| !contact.is_empty())
}

/// The open session. Calls that wait keep it while another thread closes it.
pub(crate) fn active() -> Result<Arc<Session>> {
    let session = SESSION
        .read()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    session.ok_or_else(|| Error::new(ErrorCode::NoActiveSession, "drmaa_init was not called"))
}

pub(crate) fn open(contact: Option<&str>) -> Result<()> {
    let mut session = SESSION.write().unwrap_or_else(PoisonError::into_inner);
    if session.is_some() {
        return Err(Error::new(
            ErrorCode::AlreadyActiveSession,
            "this process has one session at a time",
        ));
    }
    let told = contact.filter(|contact| !contact.is_empty());
    let opened = match (told, default_contact()) {
        (Some(contact), _) => Session::open(contact)?,
        (None, Some(contact)) => Session::open(&contact).map_err(|error| match error.code {
            ErrorCode::InvalidContactString => Error::new(
                ErrorCode::DefaultContactStringError,
                format!("REEDRING_CONTACT: {}", error.message),
            ),
            _ => error,
        })?,
        (None, None) => {
            let text = "no contact was given, and REEDRING_CONTACT names none";
            return Err(Error::new(ErrorCode::NoDefaultContactStringSelected, text));
        }
    };
    *session = Some(Arc::new(opened));
    Ok(())
}

pub(crate) fn close() -> Result<()> {
    let session = SESSION
        .write()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let session = session
        .ok_or_else(|| Error::new(ErrorCode::NoActiveSession, "drmaa_init was not called"))?;
    session
        .close()
        .map_err(|error| Error::new(ErrorCode::DrmsExitError, error.to_string()))
}
