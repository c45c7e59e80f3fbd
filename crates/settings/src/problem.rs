//! What is wrong with a text, and where.

use std::fmt;
use std::ops::Range;

use reedring_drmaa::template::nearest;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, as the caller named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The key, such as `class[2].kind`; empty where the text is no TOML.
    pub key: String,
    /// What is wrong, and the fix.
    pub message: String,
}

impl Problem {
    /// One that no line of the text shows.
    pub(crate) fn of(file: &str, key: &str, message: String) -> Self {
        Self {
            file: file.to_owned(),
            line: 1,
            key: key.to_owned(),
            message,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.key.is_empty() {
            String::new()
        } else {
            format!("{}: ", self.key)
        };
        write!(f, "{}:{}: {key}{}", self.file, self.line, self.message)
    }
}

/// Everything that is wrong with a text, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(pub Vec<Problem>);

/// Collects what is wrong with one text.
pub(crate) struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    found: Vec<Problem>,
}

impl<'a> Checker<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            found: Vec::new(),
        }
    }

    fn line(&self, at: usize) -> usize {
        let at = at.min(self.text.len());
        self.text.as_bytes()[..at]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1
    }

    pub fn wrong(
        &mut self,
        span: Range<usize>,
        key: impl Into<String>,
        message: impl Into<String>,
    ) {
        let (line, key, message) = (self.line(span.start), key.into(), message.into());
        self.found.push(Problem {
            file: self.file.to_owned(),
            line,
            key,
            message,
        });
    }

    /// Reads the text; the parser's own errors name line and key already in their words.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Problems> {
        toml::from_str(self.text).map_err(|error| {
            let line = error.span().map_or(1, |span| self.line(span.start));
            let key = error
                .span()
                .and_then(|span| self.text.get(span))
                .unwrap_or_default();
            let key = key.lines().next().unwrap_or_default();
            // A span over a whole table tells of a key that is missing from it.
            let key = if key.starts_with('[') || key.len() > 60 {
                ""
            } else {
                key
            };
            let key = key.split('=').next().unwrap_or_default().trim().to_owned();
            let message = error.message().to_owned();
            Problems(vec![Problem {
                file: self.file.to_owned(),
                line,
                key,
                message,
            }])
        })
    }

    /// The position of a name in a list of names.
    pub fn find(
        &mut self,
        name: &Spanned<String>,
        known: &[&str],
        key: &str,
        what: &str,
    ) -> Option<usize> {
        let at = known.iter().position(|known| known == name.get_ref());
        if at.is_none() {
            let near = nearest(name.get_ref(), known).map(|near| format!("did you mean `{near}`?"));
            let list = if known.is_empty() {
                format!("the settings name no {what}")
            } else {
                format!("known are {}", known.join(", "))
            };
            let message = format!(
                "`{}` is no {what}; {}",
                name.get_ref(),
                near.unwrap_or(list)
            );
            self.wrong(name.span(), key, message);
        }
        at
    }

    /// Names that must differ and fit the wire.
    pub fn names<'n>(&mut self, names: impl Iterator<Item = &'n Spanned<String>>, what: &str) {
        let mut seen = std::collections::BTreeSet::new();
        for (n, name) in names.enumerate() {
            let (key, text) = (format!("{what}[{n}].name"), name.get_ref());
            if text.is_empty() || text.len() > 200 {
                self.wrong(name.span(), key, "a name has 1 to 200 bytes");
            } else if !seen.insert(text) {
                let message = format!("`{text}` stands twice; each {what} needs a name of its own");
                self.wrong(name.span(), key, message);
            }
        }
    }

    /// A number that must be finite and over 0.
    pub fn positive(&mut self, value: Option<&Spanned<f64>>, key: &str) {
        if let Some(value) = value
            && !(value.get_ref().is_finite() && *value.get_ref() > 0.0)
        {
            self.wrong(
                value.span(),
                key,
                format!("{} is not a number over 0", value.get_ref()),
            );
        }
    }

    pub fn finish<T>(mut self, value: T) -> Result<T, Problems> {
        self.found.sort_by_key(|problem| problem.line);
        if self.found.is_empty() {
            Ok(value)
        } else {
            Err(Problems(self.found))
        }
    }
}

/// A length of time such as `"250ms"`, `"20s"`, `"1.5m"` or `"2h"`, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Time(pub u64);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        reedring_drmaa::native::duration_us(&text)
            .map(Self)
            .ok_or_else(|| {
                serde::de::Error::custom(format!(
                    "`{text}` is not a time such as \"250ms\", \"20s\", \"1.5m\" or \"2h\""
                ))
            })
    }
}
