//! Mistakes in a text, shown as a compiler shows them.

use std::fmt;
use std::ops::Range;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFile;
use codespan_reporting::term::termcolor::NoColor;
use codespan_reporting::term::{self, Config};

/// The first mistake in a text. Shown, it is what a compiler would print.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake(Box<Details>);

impl std::ops::Deref for Mistake {
    type Target = Details;

    fn deref(&self) -> &Details {
        &self.0
    }
}

/// What is wrong with a text, where, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Details {
    /// What is wrong.
    pub message: String,
    /// Where, in bytes of the text.
    pub span: Range<usize>,
    /// What is wrong at that place, in few words.
    pub here: String,
    /// A second place that the mistake has to do with.
    pub also: Option<(Range<usize>, String)>,
    /// The fix, where one can be told.
    pub help: Option<String>,
    text: String,
}

impl Mistake {
    pub(crate) fn new(
        text: &str,
        span: Range<usize>,
        message: impl Into<String>,
        here: impl Into<String>,
    ) -> Self {
        let (message, here, text) = (message.into(), here.into(), text.to_owned());
        Self(Box::new(Details {
            message,
            span,
            here,
            also: None,
            help: None,
            text,
        }))
    }

    pub(crate) fn help(mut self, help: impl Into<String>) -> Self {
        self.0.help = Some(help.into());
        self
    }

    pub(crate) fn also(mut self, span: Range<usize>, here: impl Into<String>) -> Self {
        self.0.also = Some((span, here.into()));
        self
    }
}

impl std::error::Error for Mistake {}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut labels = vec![Label::primary((), self.span.clone()).with_message(&self.here)];
        if let Some((span, here)) = &self.also {
            labels.push(Label::secondary((), span.clone()).with_message(here));
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

/// The known name that was most likely meant.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.map(|known| (strsim::damerau_levenshtein(name, known), known));
    let (distance, found) = scored.min()?;
    (distance > 0 && distance <= 1 + name.chars().count() / 4).then_some(found)
}
