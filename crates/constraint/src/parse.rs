//! Parses the text of a constraint: winnow splits it into tokens, a recursive descent parser builds the tree.

use std::ops::Range;

use winnow::combinator::{alt, cut_err, delimited, preceded, repeat, separated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{AsChar, LocatingSlice};
use winnow::token::{any, none_of, one_of, take_while};

use crate::error::{ConstraintError, closest_name};
use crate::tree::{
    Clause, Compare, Constraint, CopySelector, DomainKind, Expr, Field, Op, Rule, SpreadLimit,
    Strength, Value,
};
use crate::{MAX_CLAUSES, MAX_DEPTH, MAX_TEXT};

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Word(String),
    Quoted(String),
    Number(f64),
    Version(Vec<u64>),
    /// An operator or a punctuation mark: one of `= != < <= > >= ( ) { } , ;`
    Sign(&'static str),
}

type Input<'a> = LocatingSlice<&'a str>;

fn escape(input: &mut Input<'_>) -> ModalResult<char> {
    let code = any.verify_map(|c| match c {
        '"' | '\'' | '\\' => Some(c),
        'n' => Some('\n'),
        't' => Some('\t'),
        'r' => Some('\r'),
        _ => None,
    });
    preceded('\\', code).parse_next(input)
}

fn blank(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(0.., AsChar::is_space).void().parse_next(input)
}

fn quoted(input: &mut Input<'_>) -> ModalResult<Token> {
    let inner = |quote: char, input: &mut Input<'_>| -> ModalResult<String> {
        let body =
            repeat(0.., alt((none_of([quote, '\\']), escape))).fold(String::new, |mut text, c| {
                text.push(c);
                text
            });
        let end = cut_err(quote).context(StrContext::Expected(StrContextValue::Description(
            "a closing quote",
        )));
        delimited(quote, body, end).parse_next(input)
    };
    alt((
        |i: &mut Input<'_>| inner('"', i),
        |i: &mut Input<'_>| inner('\'', i),
    ))
    .map(Token::Quoted)
    .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ModalResult<Token> {
    let start = (
        winnow::combinator::opt('-'),
        take_while(1.., |c: char| c.is_ascii_digit()),
    );
    let fraction = winnow::combinator::opt(('.', take_while(1.., |c: char| c.is_ascii_digit())));
    (start, fraction)
        .take()
        .try_map(|text: &str| text.parse())
        .map(Token::Number)
        .parse_next(input)
}

fn version(input: &mut Input<'_>) -> ModalResult<Token> {
    let part =
        take_while(1..19, |c: char| c.is_ascii_digit()).try_map(|text: &str| text.parse::<u64>());
    let end = winnow::combinator::not(one_of(|c: char| {
        c.is_alphanumeric() || c == '_' || c == '-'
    }));
    winnow::combinator::terminated(preceded('v', separated(1..=8, part, '.')), end)
        .map(Token::Version)
        .parse_next(input)
}

fn word(input: &mut Input<'_>) -> ModalResult<Token> {
    let first = one_of(|c: char| c.is_alphabetic() || c == '_');
    let rest = take_while(0.., |c: char| c.is_alphanumeric() || "_-.".contains(c));
    (first, rest)
        .take()
        .map(|text: &str| Token::Word(text.to_owned()))
        .parse_next(input)
}

fn sign(input: &mut Input<'_>) -> ModalResult<Token> {
    let long = alt(("!=", "<=", ">="));
    let short = alt(("=", "<", ">", "(", ")", "{", "}", ",", ";"));
    let all = [
        "!=", "<=", ">=", "=", "<", ">", "(", ")", "{", "}", ",", ";",
    ];
    alt((long, short))
        .verify_map(move |text| all.into_iter().find(|sign| *sign == text))
        .map(Token::Sign)
        .parse_next(input)
}

type Spanned = (Token, Range<usize>);

/// Splits the text into tokens with their byte ranges. A line end outside parentheses and braces is a `;` token.
fn tokens(text: &str) -> Result<Vec<Spanned>, ConstraintError> {
    let mut input = LocatingSlice::new(text);
    let (mut found, mut open_brackets) = (Vec::<Spanned>::new(), 0_i32);
    loop {
        // Cannot fail: it accepts an empty match.
        let _ = blank(&mut input);
        let at = text.len() - input.len();
        if input.starts_with(['\n', '\r']) {
            let _: ModalResult<char> = any.parse_next(&mut input);
            // Inside parentheses and braces a line end does not end the clause.
            if open_brackets <= 0 {
                found.push((Token::Sign(";"), at..at + 1));
            }
            continue;
        }
        if input.is_empty() {
            return Ok(found);
        }
        match alt((quoted, version, number, word, sign))
            .with_span()
            .parse_next(&mut input)
        {
            Ok((token, span)) => {
                match &token {
                    Token::Sign("(" | "{") => open_brackets += 1,
                    Token::Sign(")" | "}") => open_brackets -= 1,
                    _ => {}
                }
                found.push((token, span));
            }
            Err(_) if text[at..].starts_with(['"', '\'']) => {
                let error = ConstraintError::new(
                    text,
                    at..text.len(),
                    "a quote is not closed",
                    "opened here",
                );
                return Err(
                    error.help("inside quotes, write \\\" for a quote and \\\\ for a backslash")
                );
            }
            Err(_) => {
                let length = text[at..].chars().next().map_or(1, char::len_utf8);
                let odd = &text[at..at + length];
                let span = at..at + length;
                return Err(ConstraintError::new(
                    text,
                    span,
                    format!("`{odd}` means nothing here"),
                    "unexpected",
                ));
            }
        }
    }
}

struct ConstraintParser<'a> {
    text: &'a str,
    tokens: Vec<Spanned>,
    /// Index of the next token.
    next: usize,
    /// Number of parentheses and `not` around the next token.
    depth: usize,
}

impl Constraint {
    /// Parses the text of a constraint. A clause `use NAME` is an error here; see [`Constraint::parse_with`].
    ///
    /// # Errors
    /// The first error, with its position, what was expected, and the closest known word if there is one.
    pub fn parse(text: &str) -> Result<Self, ConstraintError> {
        Self::parse_with(text, |_| None)
    }

    /// Parses the text of a constraint. `named` returns the text of the constraint that a clause `use NAME` includes,
    /// or `None` if there is none of that name.
    ///
    /// # Errors
    /// As [`Constraint::parse`], and an unknown name after `use`.
    pub fn parse_with<'n>(
        text: &str,
        named: impl Fn(&str) -> Option<&'n str>,
    ) -> Result<Self, ConstraintError> {
        let length = text.chars().count();
        if length > MAX_TEXT {
            let message = format!("the text has {length} characters, at most {MAX_TEXT} fit");
            return Err(ConstraintError::new("", 0..0, message, "too long"));
        }
        let mut parser = ConstraintParser {
            text,
            tokens: tokens(text)?,
            next: 0,
            depth: 0,
        };
        let mut clauses = Vec::new();
        loop {
            while parser.accept_sign(";") {}
            if parser.next == parser.tokens.len() {
                break;
            }
            parser.clause(&named, &mut clauses)?;
            if clauses.len() > MAX_CLAUSES {
                let span = parser.next_span();
                let message = format!("more than {MAX_CLAUSES} clauses");
                return Err(ConstraintError::new(text, span, message, "one too many"));
            }
            if parser.next < parser.tokens.len() && !parser.accept_sign(";") {
                return Err(parser
                    .expected_error("`;`, `and`, `or` or the end of the clause", &["and", "or"]));
            }
        }
        let constraint = Self { clauses };
        crate::check::contradiction(&constraint, text)?;
        Ok(constraint)
    }
}

impl ConstraintParser<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.next).map(|(token, _)| token)
    }

    /// The byte range of the next token, or an empty range at the end of the text.
    fn next_span(&self) -> Range<usize> {
        let end = self.text.len();
        self.tokens
            .get(self.next)
            .map_or(end..end, |(_, span)| span.clone())
    }

    /// The next token for an error message.
    fn next_token_for_message(&self) -> String {
        let span = self.next_span();
        if span.is_empty() {
            "the end".to_owned()
        } else {
            format!("`{}`", self.text[span].trim_end())
        }
    }

    /// The error that `what` was expected; suggests the closest of `words`.
    fn expected_error(&self, what: &str, words: &[&str]) -> ConstraintError {
        let error = ConstraintError::new(
            self.text,
            self.next_span(),
            format!("expected {what}, found {}", self.next_token_for_message()),
            "here",
        );
        let suggestion = match self.peek() {
            Some(Token::Word(word)) => closest_name(word, words.iter().copied()),
            _ => None,
        };
        match suggestion {
            Some(word) => error.help(format!("did you mean `{word}`?")),
            None => error,
        }
    }

    /// Consumes the next token if it is this sign; returns whether it was.
    fn accept_sign(&mut self, sign: &str) -> bool {
        let matches = matches!(self.peek(), Some(Token::Sign(found)) if *found == sign);
        self.next += usize::from(matches);
        matches
    }

    /// Consumes the next token if it is this keyword; returns whether it was.
    fn accept_word(&mut self, word: &str) -> bool {
        let matches = matches!(self.peek(), Some(Token::Word(found)) if found == word);
        self.next += usize::from(matches);
        matches
    }

    /// Consumes this keyword, or fails if the next token is another.
    fn expect_word(&mut self, word: &str) -> Result<(), ConstraintError> {
        if self.accept_word(word) {
            Ok(())
        } else {
            Err(self.expected_error(&format!("`{word}`"), &[word]))
        }
    }

    /// Parses one clause and appends it to `clauses`; a clause `use` appends all clauses of the named constraint.
    fn clause<'n>(
        &mut self,
        named: &impl Fn(&str) -> Option<&'n str>,
        clauses: &mut Vec<Clause>,
    ) -> Result<(), ConstraintError> {
        let start = self.next_span().start;
        if self.accept_word("use") {
            let span = self.next_span();
            let name = self.text_value("the name of a constraint of the settings")?;
            let Some(text) = named(&name) else {
                let message = format!("the settings name no constraint `{name}`");
                return Err(ConstraintError::new(self.text, span, message, "unknown"));
            };
            // A named constraint can't contain `use`, so that none can include itself.
            let inner = Constraint::parse(text).map_err(|inner| {
                ConstraintError::new(
                    self.text,
                    span.clone(),
                    format!("constraint `{name}`: {}", inner.message),
                    "used here",
                )
            })?;
            clauses.extend(inner.clauses.into_iter().map(|clause| Clause {
                span: span.clone(),
                ..clause
            }));
            return Ok(());
        }
        let strength = if self.accept_word("prefer") {
            Strength::Prefer
        } else {
            // The keyword `require` is optional.
            self.accept_word("require");
            Strength::Require
        };
        let rule = if self.accept_word("spread") {
            self.expect_word("by")?;
            let by = self.domain_kind()?;
            Rule::Spread {
                by,
                limit: self.spread()?,
            }
        } else {
            Rule::Where(self.or()?)
        };
        let span = start..self.tokens[self.next - 1].1.end;
        clauses.push(Clause {
            strength,
            rule,
            span,
        });
        Ok(())
    }

    fn domain_kind(&mut self) -> Result<DomainKind, ConstraintError> {
        let found = DomainKind::ALL
            .into_iter()
            .find(|kind| self.accept_word(kind.word()));
        found.ok_or_else(|| {
            self.expected_error("`machine`, `rack` or `hall`", &["machine", "rack", "hall"])
        })
    }

    fn spread(&mut self) -> Result<SpreadLimit, ConstraintError> {
        if self.accept_word("within") {
            return Ok(SpreadLimit::Within(self.count()?));
        }
        if !self.accept_word("at") {
            return Err(self.expected_error("`at most`, `at least` or `within`", &["at", "within"]));
        }
        if self.accept_word("most") {
            Ok(SpreadLimit::AtMost(self.count()?))
        } else if self.accept_word("least") {
            Ok(SpreadLimit::AtLeast(self.count()?))
        } else {
            Err(self.expected_error("`most` or `least`", &["most", "least"]))
        }
    }

    /// Parses the limit of a spread.
    fn count(&mut self) -> Result<u32, ConstraintError> {
        let count = match self.peek() {
            Some(Token::Number(n)) if n.fract() == 0.0 && (1.0..=1e6).contains(n) => {
                Some(*n as u32)
            }
            _ => None,
        };
        let count =
            count.ok_or_else(|| self.expected_error("a whole number from 1 to 1000000", &[]))?;
        self.next += 1;
        Ok(count)
    }

    fn or(&mut self) -> Result<Expr, ConstraintError> {
        self.separated_by("or", Self::and, Expr::Or)
    }

    fn and(&mut self) -> Result<Expr, ConstraintError> {
        self.separated_by("and", Self::unary, Expr::And)
    }

    /// Parses one or more parts separated by `word`; several parts are combined by `join`.
    fn separated_by(
        &mut self,
        word: &str,
        part: fn(&mut Self) -> Result<Expr, ConstraintError>,
        join: fn(Vec<Expr>) -> Expr,
    ) -> Result<Expr, ConstraintError> {
        let mut all = vec![part(self)?];
        while self.accept_word(word) {
            all.push(part(self)?);
        }
        Ok(if all.len() == 1 {
            all.remove(0)
        } else {
            join(all)
        })
    }

    /// Parses a part that is one level deeper; fails beyond [`MAX_DEPTH`].
    fn nested<T>(
        &mut self,
        part: impl FnOnce(&mut Self) -> Result<T, ConstraintError>,
    ) -> Result<T, ConstraintError> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let message = format!("more than {MAX_DEPTH} levels of parentheses and `not`");
            return Err(ConstraintError::new(
                self.text,
                self.next_span(),
                message,
                "too deep",
            ));
        }
        let result = part(self);
        self.depth -= 1;
        result
    }

    fn unary(&mut self) -> Result<Expr, ConstraintError> {
        if self.accept_word("not") {
            return Ok(Expr::Not(Box::new(self.nested(Self::unary)?)));
        }
        let open = self.next_span();
        if self.accept_sign("(") {
            let inner = self.nested(Self::or)?;
            if !self.accept_sign(")") {
                return Err(self.expected_error("`)`", &[]).related(open, "opened here"));
            }
            return Ok(inner);
        }
        if self.accept_word("near") {
            let selector = self.copy_selector()?;
            self.expect_word("by")?;
            return Ok(Expr::Affinity(selector, self.domain_kind()?));
        }
        if self.accept_word("apart") {
            self.expect_word("from")?;
            let selector = self.copy_selector()?;
            self.expect_word("by")?;
            return Ok(Expr::AntiAffinity(selector, self.domain_kind()?));
        }
        self.compare()
    }

    fn copy_selector(&mut self) -> Result<CopySelector, ConstraintError> {
        if self.accept_word("copies") {
            return Ok(CopySelector::OwnService);
        }
        if self.accept_word("service") {
            return Ok(CopySelector::Service(
                self.text_value("the name of a service")?,
            ));
        }
        if self.accept_word("label") {
            let key = self.text_value("the name of a label")?;
            if !self.accept_sign("=") {
                return Err(self.expected_error("`=` and the label's value", &[]));
            }
            return Ok(CopySelector::Label(
                key,
                self.text_value("the label's value")?,
            ));
        }
        Err(self.expected_error(
            "`copies`, `service NAME` or `label NAME = VALUE`",
            &["copies", "service", "label"],
        ))
    }

    /// Parses a word or a quoted text; `what` names it in the error message.
    fn text_value(&mut self, what: &str) -> Result<String, ConstraintError> {
        let text = match self.peek() {
            Some(Token::Word(text) | Token::Quoted(text)) => Some(text.clone()),
            _ => None,
        };
        let text = text.ok_or_else(|| self.expected_error(what, &[]))?;
        self.next += 1;
        Ok(text)
    }

    fn field(&mut self) -> Result<Field, ConstraintError> {
        let words = [
            "kind",
            "rack",
            "hall",
            "name",
            "attr.NAME",
            "near",
            "apart",
            "not",
            "spread",
        ];
        let field = match self.peek() {
            Some(Token::Word(word)) => match word.as_str() {
                "kind" => Some(Field::Kind),
                "rack" => Some(Field::Rack),
                "hall" => Some(Field::Hall),
                "name" => Some(Field::Name),
                other => other
                    .strip_prefix("attr.")
                    .filter(|name| !name.is_empty())
                    .map(|n| Field::Attr(n.to_owned())),
            },
            _ => None,
        };
        let what = "a condition: `kind`, `rack`, `hall`, `name`, `attr.NAME`, `near`, `apart from` or `not`";
        let field = field.ok_or_else(|| self.expected_error(what, &words))?;
        self.next += 1;
        Ok(field)
    }

    fn compare(&mut self) -> Result<Expr, ConstraintError> {
        let start = self.next_span().start;
        let field = self.field()?;
        let signs = [Op::Ne, Op::Le, Op::Ge, Op::Eq, Op::Lt, Op::Gt];
        let sign = signs.into_iter().find(|op| self.accept_sign(op.word()));
        let op = sign.or_else(|| {
            [Op::In, Op::Has]
                .into_iter()
                .find(|op| self.accept_word(op.word()))
        });
        let op = op.ok_or_else(|| {
            self.expected_error(
                "`=`, `!=`, `<`, `<=`, `>`, `>=`, `in` or `has`",
                &["in", "has"],
            )
        })?;
        let value_span = self.next_span();
        let value = self.value()?;
        let span = start..self.tokens[self.next - 1].1.end;
        crate::check::check_operand_types(self.text, &field, op, &value, value_span)?;
        Ok(Expr::Compare(Compare {
            field,
            op,
            value,
            span,
        }))
    }

    fn value(&mut self) -> Result<Value, ConstraintError> {
        let open = self.next_span();
        if self.accept_sign("{") {
            let mut all = Vec::new();
            while !self.accept_sign("}") {
                if !all.is_empty() && !self.accept_sign(",") {
                    return Err(self
                        .expected_error("`,` or `}`", &[])
                        .related(open, "the set begins here"));
                }
                all.push(self.text_value("a text of the set")?);
            }
            if all.is_empty() {
                return Err(ConstraintError::new(
                    self.text,
                    open,
                    "an empty set holds nothing",
                    "empty",
                ));
            }
            return Ok(Value::Set(all));
        }
        let value = match self.peek() {
            Some(Token::Word(text) | Token::Quoted(text)) => Some(Value::Text(text.clone())),
            Some(Token::Number(number)) => Some(Value::Number(*number)),
            Some(Token::Version(parts)) => Some(Value::Version(parts.clone())),
            _ => None,
        };
        let value = value.ok_or_else(|| {
            self.expected_error("a text, a number, a version such as `v6.1`, or a set", &[])
        })?;
        self.next += 1;
        Ok(value)
    }
}
