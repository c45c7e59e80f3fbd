//! Errors in the text of a constraint, printed in the style of compiler diagnostics.

use std::fmt;
use std::ops::Range;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFile;
use codespan_reporting::term::termcolor::NoColor;
use codespan_reporting::term::{self, Config};

/// The first error in the text of a constraint. `Display` prints it with the offending line, like a compiler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConstraintError(Box<ErrorDetails>);

impl std::ops::Deref for ConstraintError {
    type Target = ErrorDetails;

    fn deref(&self) -> &ErrorDetails {
        &self.0
    }
}

/// The message of an error, its position in the text, and a suggested fix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorDetails {
    /// The error message.
    pub message: String,
    /// The byte range of the error in the text.
    pub span: Range<usize>,
    /// A short label printed at `span`.
    pub label: String,
    /// A second byte range that is related to the error, and its label; `None` if there is none.
    pub related: Option<(Range<usize>, String)>,
    /// A suggested fix; `None` if none is known.
    pub help: Option<String>,
    text: String,
}

impl ConstraintError {
    pub(crate) fn new(
        text: &str,
        span: Range<usize>,
        message: impl Into<String>,
        label: impl Into<String>,
    ) -> Self {
        let (message, label, text) = (message.into(), label.into(), text.to_owned());
        Self(Box::new(ErrorDetails {
            message,
            span,
            label,
            related: None,
            help: None,
            text,
        }))
    }

    pub(crate) fn help(mut self, help: impl Into<String>) -> Self {
        self.0.help = Some(help.into());
        self
    }

    pub(crate) fn related(mut self, span: Range<usize>, label: impl Into<String>) -> Self {
        self.0.related = Some((span, label.into()));
        self
    }
}

impl std::error::Error for ConstraintError {}

impl fmt::Display for ConstraintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut labels = vec![Label::primary((), self.span.clone()).with_message(&self.label)];
        if let Some((span, label)) = &self.related {
            labels.push(Label::secondary((), span.clone()).with_message(label));
        }
        let notes = self
            .help
            .iter()
            .map(|help| format!("help: {help}"))
            .collect();
        let diagnostic = Diagnostic::error()
            .with_message(&self.message)
            .with_labels(labels)
            .with_notes(notes);
        let mut out = NoColor::new(Vec::new());
        let file = SimpleFile::new("constraint", &self.text);
        match term::emit(&mut out, &Config::default(), &file, &diagnostic) {
            Ok(()) => f.write_str(String::from_utf8_lossy(out.get_ref()).trim_end()),
            Err(_) => write!(f, "error: {}, at byte {}", self.message, self.span.start),
        }
    }
}

/// The known name closest to `name`, for a suggestion. `None` if `name` is known, or if the closest one differs by more
/// than one edit plus one for every four characters.
pub(crate) fn closest_name<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::damerau_levenshtein(name, known), known));
    let (distance, found) = scored.min()?;
    (distance > 0 && distance <= 1 + name.chars().count() / 4).then_some(found)
}
