//! The native specification: what DRMAA leaves to the placer, as words `name=value`.
//!
//! ```text
//! class=capture tenant=archive service=crate-7 key=crate-7/12 life=20s cores=0.5 memory=1
//! ```
//!
//! Words are separated by blanks; a value that holds blanks stands in single or double quotes.

use std::ops::Range;

use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

use crate::error::{Error, ErrorCode, Result};
use crate::template::nearest;

/// The names that a specification may hold, each with what it means.
pub const NAMES: [(&str, &str); 9] = [
    (
        "class",
        "the class of the task, by its name in the settings",
    ),
    ("tenant", "whose task it is, by its name in the settings"),
    (
        "service",
        "the service that the task belongs to: one class, one program",
    ),
    ("key", "the key under which a keyed class drops repeats"),
    (
        "life",
        "how long it should run: a number with ms, s, m or h",
    ),
    ("cores", "cores it asks for, over 0"),
    (
        "memory",
        "memory it asks for, over 0, in the unit of the settings",
    ),
    (
        "labels",
        "what others can be near to or apart from: NAME:VALUE, joined by commas",
    ),
    (
        "constraint",
        "where it may stand, in the words of docs/constraints.md, in quotes",
    ),
];

/// A specification as read; what it does not say is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Native {
    /// `class`.
    pub class: Option<String>,
    /// `tenant`.
    pub tenant: Option<String>,
    /// `service`.
    pub service: Option<String>,
    /// `key`.
    pub key: Option<String>,
    /// `life`, in microseconds.
    pub life_us: Option<u64>,
    /// `cores`.
    pub cores: Option<f64>,
    /// `memory`.
    pub memory: Option<f64>,
    /// `labels`.
    pub labels: Option<Vec<(String, String)>>,
    /// `constraint`: its text.
    pub constraint: Option<String>,
}

/// Characters of a specification at most.
pub const MAX_LENGTH: usize = 16 * 1024;

type Input<'a> = LocatingSlice<&'a str>;

fn name<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_alphanumeric() || c == '_' || c == '-')
        .context(StrContext::Expected(StrContextValue::Description(
            "a name such as `class`",
        )))
        .parse_next(input)
}

fn value<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let quoted = |quote: char| {
        delimited(
            quote,
            take_while(0.., move |c: char| c != quote),
            cut_err(quote),
        )
        .context(StrContext::Expected(StrContextValue::Description(
            "a closing quote",
        )))
    };
    let bare = take_while(1.., |c: char| !c.is_whitespace() && !"'\"=".contains(c));
    alt((quoted('"'), quoted('\''), bare))
        .context(StrContext::Expected(StrContextValue::Description(
            "a value",
        )))
        .parse_next(input)
}

type Word<'a> = ((&'a str, Range<usize>), (&'a str, Range<usize>));

fn word<'a>(input: &mut Input<'a>) -> ModalResult<Word<'a>> {
    let equals = cut_err('=').context(StrContext::Expected(StrContextValue::Description("`=`")));
    (
        terminated(name.with_span(), equals),
        cut_err(value.with_span()),
    )
        .parse_next(input)
}

fn words<'a>(input: &mut Input<'a>) -> ModalResult<Vec<Word<'a>>> {
    preceded(multispace0, repeat(0.., terminated(word, multispace0))).parse_next(input)
}

/// An error that shows the line and points at the place.
fn pointing(code: ErrorCode, text: &str, span: Range<usize>, why: &str) -> Error {
    let from = text.floor_char_boundary(span.start.min(text.len()));
    let to = text.floor_char_boundary(span.end.min(text.len())).max(from);
    let (before, marked) = (
        text[..from].chars().count(),
        text[from..to].chars().count().max(1),
    );
    // A long text is shown from a little before the place, so that the mark stays in sight.
    let skip = before.saturating_sub(40);
    let shown: String = text.chars().skip(skip).take(100).collect();
    let mark = format!(
        "{}{}",
        " ".repeat(before - skip),
        "^".repeat(marked.min(60))
    );
    let place = format!("character {}", before + 1);
    Error::new(
        code,
        format!("native specification, {place}: {why}\n  {shown}\n  {mark}"),
    )
}

/// Labels `NAME:VALUE`, joined by commas.
fn labels(text: &str) -> Option<Vec<(String, String)>> {
    let label = |text: &str| {
        let (name, value) = text.split_once(':')?;
        (!name.is_empty() && !value.is_empty()).then(|| (name.to_owned(), value.to_owned()))
    };
    let labels: Vec<(String, String)> = text.split(',').map(label).collect::<Option<_>>()?;
    (labels.len() <= 16).then_some(labels)
}

/// A length of time such as `250ms`, `20s`, `1.5m` or `2h`, in microseconds.
pub fn duration_us(text: &str) -> Option<u64> {
    let at = text.find(|c: char| c.is_alphabetic())?;
    let number: f64 = text[..at].parse().ok()?;
    let unit = match &text[at..] {
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        "h" => 3_600e6,
        _ => return None,
    };
    let us = number * unit;
    (us.is_finite() && (0.0..=9e15).contains(&us)).then_some(us as u64)
}

impl Native {
    /// Reads a specification.
    ///
    /// # Errors
    /// `InvalidAttributeFormat` where the text is no list of `name=value`, `InvalidAttributeValue` for an
    /// unknown name, a name given twice or a value outside its range. The text points at the place.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > MAX_LENGTH {
            let why = format!(
                "native specification: {} bytes, at most {MAX_LENGTH} fit",
                text.len()
            );
            return Err(Error::new(ErrorCode::InvalidAttributeFormat, why));
        }
        let read = words.parse(LocatingSlice::new(text)).map_err(|error| {
            let why = expected(error.inner());
            pointing(
                ErrorCode::InvalidAttributeFormat,
                text,
                error.char_span(),
                &why,
            )
        })?;
        let mut native = Self::default();
        for ((name, name_span), (value, value_span)) in read {
            let odd = |why: &str| {
                pointing(
                    ErrorCode::InvalidAttributeValue,
                    text,
                    value_span.clone(),
                    why,
                )
            };
            let word = |slot: &mut Option<String>| {
                let twice = slot.replace(value.to_owned()).is_some();
                if value.is_empty() {
                    Err("the value is empty")
                } else {
                    Ok(twice)
                }
            };
            let amount = |slot: &mut Option<f64>| {
                let number = value
                    .parse::<f64>()
                    .ok()
                    .filter(|x| x.is_finite() && *x > 0.0);
                number
                    .map(|x| slot.replace(x).is_some())
                    .ok_or("this is not a number over 0")
            };
            let twice = match name {
                "class" => word(&mut native.class),
                "tenant" => word(&mut native.tenant),
                "service" => word(&mut native.service),
                "key" => word(&mut native.key),
                "cores" => amount(&mut native.cores),
                "memory" => amount(&mut native.memory),
                "constraint" => word(&mut native.constraint),
                "labels" => labels(value)
                    .map(|labels| native.labels.replace(labels).is_some())
                    .ok_or("this is no list such as tier:web,zone:3, of at most 16 labels"),
                "life" => duration_us(value)
                    .map(|us| native.life_us.replace(us).is_some())
                    .ok_or("this is not a time such as 250ms, 20s, 1.5m or 2h"),
                _ => {
                    let known: Vec<&str> = NAMES.iter().map(|(name, _)| *name).collect();
                    let near =
                        nearest(name, &known).map(|near| format!("; did you mean `{near}`?"));
                    let list = format!("; known are {}", known.join(", "));
                    let why = format!("unknown name `{name}`{}", near.unwrap_or(list));
                    return Err(pointing(
                        ErrorCode::InvalidAttributeValue,
                        text,
                        name_span,
                        &why,
                    ));
                }
            };
            if twice.map_err(odd)? {
                let why = format!("`{name}` is given twice");
                return Err(pointing(
                    ErrorCode::InvalidAttributeValue,
                    text,
                    name_span,
                    &why,
                ));
            }
        }
        Ok(native)
    }

    /// What `self` says, and what `base` says where `self` is silent.
    pub fn or(self, base: &Self) -> Self {
        Self {
            class: self.class.or_else(|| base.class.clone()),
            tenant: self.tenant.or_else(|| base.tenant.clone()),
            service: self.service.or_else(|| base.service.clone()),
            key: self.key.or_else(|| base.key.clone()),
            life_us: self.life_us.or(base.life_us),
            cores: self.cores.or(base.cores),
            memory: self.memory.or(base.memory),
            labels: self.labels.or_else(|| base.labels.clone()),
            constraint: self.constraint.or_else(|| base.constraint.clone()),
        }
    }
}

fn expected(error: &ContextError) -> String {
    let wanted: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(value) => Some(value.to_string()),
            _ => None,
        })
        .collect();
    wanted
        .first()
        .map_or("this is no `name=value`".to_owned(), |want| {
            format!("expected {want}")
        })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn words_are_read_with_and_without_quotes() {
        let native =
            Native::parse("  class=capture service='crate 7' key=\"a=b\" life=1.5m cores=0.5 ")
                .unwrap();
        assert_eq!(native.class.as_deref(), Some("capture"));
        assert_eq!(native.service.as_deref(), Some("crate 7"));
        assert_eq!(native.key.as_deref(), Some("a=b"));
        assert_eq!(native.life_us, Some(90_000_000));
        assert_eq!(native.cores, Some(0.5));
        assert_eq!(Native::parse("").unwrap(), Native::default());
    }

    #[test]
    fn errors_point_at_the_place() {
        let cases = [
            ("clas=x", "did you mean `class`?", "character 1:"),
            ("class=a cores=-1", "not a number over 0", "character 15:"),
            ("class=a life=20", "not a time", "character 14:"),
            ("class=a class=b", "given twice", "character 9:"),
            ("class a", "expected `=`", "character 6:"),
            ("class=", "expected a value", "character 7:"),
            ("class='a", "closing quote", "character 9:"),
            ("-q all.q", "expected `=`", "character 3:"),
            ("klasse=ä colour=ü", "unknown name `klasse`", "character 1:"),
        ];
        for (text, why, place) in cases {
            let error = Native::parse(text).unwrap_err().message;
            assert!(
                error.contains(why) && error.contains(place),
                "{text}: {error}"
            );
            assert!(error.ends_with('^'), "{text}: {error}");
        }
    }

    #[test]
    fn a_long_text_is_one_error() {
        let text = format!("class={}", "x".repeat(MAX_LENGTH));
        assert_eq!(
            Native::parse(&text).unwrap_err().code,
            ErrorCode::InvalidAttributeFormat
        );
    }

    proptest! {
        #[test]
        fn any_text_is_read_or_refused(text in ".{0,60}") {
            let _ = Native::parse(&text);
        }
    }
}
