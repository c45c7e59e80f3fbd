//! Finds the lines of a TOML text that begin with a bracket outside of strings and comments: the section headers.

use crate::delta::error::SectionError;

/// The lexical context of a byte of TOML.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Context {
    /// Neither a string nor a comment.
    Plain,
    /// From a `#` to the end of the line.
    Comment,
    /// A string that ends with this delimiter, with backslash escapes.
    BasicString(&'static str),
    /// A string that ends with this delimiter, without escapes.
    LiteralString(&'static str),
}

/// The number of bytes that one scanning step consumes, and the context after them.
struct Step {
    context: Context,
    bytes: usize,
}

impl Step {
    fn new(context: Context, bytes: usize) -> Self {
        Self { context, bytes }
    }
}

/// The offsets of all section headers in a text.
pub(super) fn header_offsets(text: &str) -> Result<Vec<usize>, SectionError> {
    let bytes = text.as_bytes();
    let mut context = Context::Plain;
    let mut offsets = Vec::new();
    let mut offset = 0;
    let mut at_line_start = true;
    while let Some(byte) = bytes.get(offset) {
        if context == Context::Plain && at_line_start && *byte == b'[' {
            offsets.push(offset);
        }
        let step = next_step(context, &bytes[offset..])?;
        at_line_start = *byte == b'\n';
        context = step.context;
        offset += step.bytes;
    }
    match context {
        Context::BasicString(_) | Context::LiteralString(_) => {
            Err(SectionError::UnterminatedString)
        }
        Context::Plain | Context::Comment => Ok(offsets),
    }
}

/// Scans the start of `rest`, which must not be empty.
fn next_step(context: Context, rest: &[u8]) -> Result<Step, SectionError> {
    match context {
        Context::Plain => Ok(step_in_plain_text(rest)),
        Context::Comment if rest[0] == b'\n' => Ok(Step::new(Context::Plain, 1)),
        Context::Comment => Ok(Step::new(Context::Comment, 1)),
        Context::BasicString(_) if rest[0] == b'\\' => Ok(Step::new(context, 2)),
        Context::BasicString(delimiter) | Context::LiteralString(delimiter) => {
            step_in_string(context, delimiter, rest)
        }
    }
}

fn step_in_plain_text(rest: &[u8]) -> Step {
    match rest[0] {
        b'#' => Step::new(Context::Comment, 1),
        b'"' if rest.starts_with(b"\"\"\"") => Step::new(Context::BasicString("\"\"\""), 3),
        b'"' => Step::new(Context::BasicString("\""), 1),
        b'\'' if rest.starts_with(b"'''") => Step::new(Context::LiteralString("'''"), 3),
        b'\'' => Step::new(Context::LiteralString("'"), 1),
        _ => Step::new(Context::Plain, 1),
    }
}

fn step_in_string(
    context: Context,
    delimiter: &'static str,
    rest: &[u8],
) -> Result<Step, SectionError> {
    let is_multi_line = delimiter.len() == 3;
    if rest.starts_with(delimiter.as_bytes()) {
        // A multi-line string may end with up to two quotes of its own, directly before the closing delimiter.
        let after = &rest[delimiter.len()..];
        let more_quotes = after.iter().take(2).take_while(|next| **next == rest[0]);
        let more_quotes = if is_multi_line {
            more_quotes.count()
        } else {
            0
        };
        return Ok(Step::new(Context::Plain, delimiter.len() + more_quotes));
    }
    if rest[0] == b'\n' && !is_multi_line {
        return Err(SectionError::UnterminatedString);
    }
    Ok(Step::new(context, 1))
}
