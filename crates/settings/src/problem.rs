//! Problems found in a settings file or node list, with their places.

use std::fmt;
use std::ops::Range;

use reedring_drmaa::template::nearest;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use toml::Spanned;

/// One problem found in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file name that the caller passed.
    pub file: String,
    /// The line number, counted from 1.
    pub line: usize,
    /// The key, such as `class[2].kind`; empty if the parser could not tell which key is wrong.
    pub key: String,
    /// What is wrong and, where known, how to fix it.
    pub message: String,
}

impl Problem {
    /// A problem that has no place in the text; it is reported at line 1.
    pub(crate) fn without_line(file: &str, key: &str, message: String) -> Self {
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

/// All problems found in a text, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(pub Vec<Problem>);

/// Collects the problems found in one text.
pub(crate) struct Checker<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
}

impl<'a> Checker<'a> {
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            problems: Vec::new(),
        }
    }

    /// The line number, from 1, of a byte offset in the text.
    fn line_number(&self, offset: usize) -> usize {
        let offset = offset.min(self.text.len());
        self.text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count()
            + 1
    }

    /// Adds a problem at the first line of `span`, a byte range of the text.
    pub fn report(
        &mut self,
        span: Range<usize>,
        key: impl Into<String>,
        message: impl Into<String>,
    ) {
        let (line, key, message) = (self.line_number(span.start), key.into(), message.into());
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line,
            key,
            message,
        });
    }

    /// Deserializes the text. An error of the TOML parser becomes a problem: its key is the text of the error's span up
    /// to the first `=`.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Problems> {
        toml::from_str(self.text).map_err(|error| {
            let line = error.span().map_or(1, |span| self.line_number(span.start));
            let key = error
                .span()
                .and_then(|span| self.text.get(span))
                .unwrap_or_default();
            let key = key.lines().next().unwrap_or_default();
            // If a key is missing from a table, the span is the whole table, whose text is no key.
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

    /// The index of a name in the list of known names. Reports a problem and returns `None` if it is not there; `what`
    /// is what the names stand for, such as `class`.
    pub fn find_name(
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
            self.report(name.span(), key, message);
        }
        at
    }

    /// Reports names that occur twice, or whose length is not 1 to 200 bytes, which protocol messages
    /// require.
    pub fn check_names<'n>(
        &mut self,
        names: impl Iterator<Item = &'n Spanned<String>>,
        what: &str,
    ) {
        let mut seen = std::collections::BTreeSet::new();
        for (n, name) in names.enumerate() {
            let (key, text) = (format!("{what}[{n}].name"), name.get_ref());
            if text.is_empty() || text.len() > 200 {
                self.report(name.span(), key, "a name has 1 to 200 bytes");
            } else if !seen.insert(text) {
                let message =
                    format!("`{text}` is defined twice; each {what} needs a name of its own");
                self.report(name.span(), key, message);
            }
        }
    }

    /// Reports a value that is not finite or not over 0.
    pub fn check_positive(&mut self, value: Option<&Spanned<f64>>, key: &str) {
        if let Some(value) = value
            && !(value.get_ref().is_finite() && *value.get_ref() > 0.0)
        {
            self.report(
                value.span(),
                key,
                format!("{} is not a number over 0", value.get_ref()),
            );
        }
    }

    /// Returns the value if no problem was reported, and otherwise all problems in the order of their lines. Problems on
    /// the same line keep the order in which they were reported.
    pub fn finish<T>(mut self, value: T) -> Result<T, Problems> {
        self.problems.sort_by_key(|problem| problem.line);
        if self.problems.is_empty() {
            Ok(value)
        } else {
            Err(Problems(self.problems))
        }
    }
}

/// A duration in microseconds, written as `"250ms"`, `"20s"`, `"1.5m"` or `"2h"`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DurationUs(pub u64);

impl<'de> Deserialize<'de> for DurationUs {
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
