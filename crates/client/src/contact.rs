//! Contact strings: where a placer takes calls, and which session is meant.

use std::net::SocketAddr;
use std::path::PathBuf;

use reedring_drmaa::{Error, ErrorCode, Result};

/// `tcp:ADDRESS:PORT` or `unix:PATH`, and `#SESSION` to take a session up again. `tcp:` may be left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contact {
    pub(crate) place: Place,
    /// The session to take up.
    pub session: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

impl Contact {
    /// Reads a contact string.
    ///
    /// # Errors
    /// `InvalidContactString` where it has another form.
    pub fn parse(text: &str) -> Result<Self> {
        let wrong = || {
            let form = "tcp:ADDRESS:PORT or unix:PATH, with #SESSION to take a session up again";
            Error::new(
                ErrorCode::InvalidContactString,
                format!("`{text}` is no contact; the form is {form}"),
            )
        };
        let (place, session) = match text.trim().split_once('#') {
            Some((place, session)) if !session.is_empty() => (place, Some(session.to_owned())),
            Some(_) => return Err(wrong()),
            None => (text.trim(), None),
        };
        let place = match place.strip_prefix("unix:") {
            Some("") => return Err(wrong()),
            Some(path) => Place::Unix(PathBuf::from(path)),
            None => Place::Tcp(
                place
                    .strip_prefix("tcp:")
                    .unwrap_or(place)
                    .parse()
                    .map_err(|_| wrong())?,
            ),
        };
        Ok(Self { place, session })
    }
}

impl std::fmt::Display for Contact {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.place {
            Place::Tcp(address) => write!(f, "tcp:{address}")?,
            Place::Unix(path) => write!(f, "unix:{}", path.display())?,
        }
        self.session
            .iter()
            .try_for_each(|session| write!(f, "#{session}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn contacts_read_back() {
        for text in [
            "tcp:127.0.0.1:4710",
            "unix:/run/r.sock#abc",
            "tcp:[::1]:1#s-1",
        ] {
            assert_eq!(Contact::parse(text).unwrap().to_string(), text);
        }
        assert_eq!(
            Contact::parse("127.0.0.1:1").unwrap().to_string(),
            "tcp:127.0.0.1:1"
        );
        for text in [
            "",
            "localhost",
            "tcp:",
            "unix:",
            "tcp:127.0.0.1",
            "tcp:127.0.0.1:1#",
        ] {
            assert_eq!(
                Contact::parse(text).unwrap_err().code,
                ErrorCode::InvalidContactString,
                "{text}"
            );
        }
    }
}
