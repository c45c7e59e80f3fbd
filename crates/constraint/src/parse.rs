//! Text to tree: words by winnow, then clauses by what they begin with.

use std::ops::Range;

use winnow::combinator::{alt, cut_err, delimited, preceded, repeat, separated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{AsChar, LocatingSlice};
use winnow::token::{any, none_of, one_of, take_while};

use crate::error::{Mistake, nearest};
use crate::tree::{
    Clause, Compare, Constraint, Expr, Field, Op, Place, Rule, Spread, Strength, Value, Who,
};
use crate::{MAX_CLAUSES, MAX_DEPTH, MAX_TEXT};

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Word(String),
    Quoted(String),
    Number(f64),
    Version(Vec<u64>),
    /// One of `= != < <= > >= ( ) { } , ;`
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

/// Words with their places. A line's end between clauses is a `;` too.
fn tokens(text: &str) -> Result<Vec<Spanned>, Mistake> {
    let mut input = LocatingSlice::new(text);
    let (mut found, mut open) = (Vec::<Spanned>::new(), 0_i32);
    loop {
        // It takes no character where there is none to take.
        let _ = blank(&mut input);
        let at = text.len() - input.len();
        if input.starts_with(['\n', '\r']) {
            let _: ModalResult<char> = any.parse_next(&mut input);
            // Inside parentheses a clause goes on.
            if open <= 0 {
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
                    Token::Sign("(" | "{") => open += 1,
                    Token::Sign(")" | "}") => open -= 1,
                    _ => {}
                }
                found.push((token, span));
            }
            Err(_) if text[at..].starts_with(['"', '\'']) => {
                let wrong =
                    Mistake::new(text, at..text.len(), "a quote is not closed", "opened here");
                return Err(
                    wrong.help("inside quotes, write \\\" for a quote and \\\\ for a backslash")
                );
            }
            Err(_) => {
                let length = text[at..].chars().next().map_or(1, char::len_utf8);
                let odd = &text[at..at + length];
                let span = at..at + length;
                return Err(Mistake::new(
                    text,
                    span,
                    format!("`{odd}` means nothing here"),
                    "unexpected",
                ));
            }
        }
    }
}

struct Reading<'a> {
    text: &'a str,
    tokens: Vec<Spanned>,
    at: usize,
    depth: usize,
}

impl Constraint {
    /// Reads a text.
    ///
    /// # Errors
    /// The first mistake, with its place, what was expected and the nearest known word.
    pub fn parse(text: &str) -> Result<Self, Mistake> {
        Self::parse_with(text, |_| None)
    }

    /// As [`Constraint::parse`]; `named` gives the text of a constraint that a clause `use NAME` names.
    ///
    /// # Errors
    /// As [`Constraint::parse`], and an unknown name after `use`.
    pub fn parse_with<'n>(
        text: &str,
        named: impl Fn(&str) -> Option<&'n str>,
    ) -> Result<Self, Mistake> {
        let length = text.chars().count();
        if length > MAX_TEXT {
            let message = format!("the text has {length} characters, at most {MAX_TEXT} fit");
            return Err(Mistake::new("", 0..0, message, "too long"));
        }
        let mut parser = Reading {
            text,
            tokens: tokens(text)?,
            at: 0,
            depth: 0,
        };
        let mut clauses = Vec::new();
        loop {
            while parser.takes_sign(";") {}
            if parser.at == parser.tokens.len() {
                break;
            }
            parser.clause(&named, &mut clauses)?;
            if clauses.len() > MAX_CLAUSES {
                let span = parser.place();
                let message = format!("more than {MAX_CLAUSES} clauses");
                return Err(Mistake::new(text, span, message, "one too many"));
            }
            if parser.at < parser.tokens.len() && !parser.takes_sign(";") {
                return Err(
                    parser.expected("`;`, `and`, `or` or the end of the clause", &["and", "or"])
                );
            }
        }
        let constraint = Self { clauses };
        crate::check::contradiction(&constraint, text)?;
        Ok(constraint)
    }
}

impl Reading<'_> {
    fn peek(&self) -> Option<&Token> {
        self.tokens.get(self.at).map(|(token, _)| token)
    }

    /// The place of the next token, or the end of the text.
    fn place(&self) -> Range<usize> {
        let end = self.text.len();
        self.tokens
            .get(self.at)
            .map_or(end..end, |(_, span)| span.clone())
    }

    fn shown(&self) -> String {
        let place = self.place();
        if place.is_empty() {
            "the end".to_owned()
        } else {
            format!("`{}`", self.text[place].trim_end())
        }
    }

    fn expected(&self, what: &str, words: &[&str]) -> Mistake {
        let mistake = Mistake::new(
            self.text,
            self.place(),
            format!("expected {what}, found {}", self.shown()),
            "here",
        );
        let near = match self.peek() {
            Some(Token::Word(word)) => nearest(word, words.iter().copied()),
            _ => None,
        };
        match near {
            Some(near) => mistake.help(format!("did you mean `{near}`?")),
            None => mistake,
        }
    }

    fn takes_sign(&mut self, sign: &str) -> bool {
        let takes = matches!(self.peek(), Some(Token::Sign(found)) if *found == sign);
        self.at += usize::from(takes);
        takes
    }

    fn takes_word(&mut self, word: &str) -> bool {
        let takes = matches!(self.peek(), Some(Token::Word(found)) if found == word);
        self.at += usize::from(takes);
        takes
    }

    fn needs_word(&mut self, word: &str) -> Result<(), Mistake> {
        if self.takes_word(word) {
            Ok(())
        } else {
            Err(self.expected(&format!("`{word}`"), &[word]))
        }
    }

    fn clause<'n>(
        &mut self,
        named: &impl Fn(&str) -> Option<&'n str>,
        clauses: &mut Vec<Clause>,
    ) -> Result<(), Mistake> {
        let from = self.place().start;
        if self.takes_word("use") {
            let place = self.place();
            let name = self.text_value("the name of a constraint of the settings")?;
            let Some(text) = named(&name) else {
                let message = format!("the settings name no constraint `{name}`");
                return Err(Mistake::new(self.text, place, message, "unknown"));
            };
            // A named text holds no `use` of its own, so that none can name itself.
            let inner = Constraint::parse(text).map_err(|inner| {
                Mistake::new(
                    self.text,
                    place.clone(),
                    format!("constraint `{name}`: {}", inner.message),
                    "used here",
                )
            })?;
            clauses.extend(inner.clauses.into_iter().map(|clause| Clause {
                span: place.clone(),
                ..clause
            }));
            return Ok(());
        }
        let strength = if self.takes_word("prefer") {
            Strength::Prefer
        } else {
            // `require` may be left out.
            self.takes_word("require");
            Strength::Require
        };
        let rule = if self.takes_word("spread") {
            self.needs_word("by")?;
            let by = self.by()?;
            Rule::Spread {
                by,
                how: self.spread()?,
            }
        } else {
            Rule::Where(self.or()?)
        };
        let span = from..self.tokens[self.at - 1].1.end;
        clauses.push(Clause {
            strength,
            rule,
            span,
        });
        Ok(())
    }

    fn by(&mut self) -> Result<Place, Mistake> {
        let found = Place::ALL
            .into_iter()
            .find(|place| self.takes_word(place.word()));
        found.ok_or_else(|| {
            self.expected("`machine`, `rack` or `hall`", &["machine", "rack", "hall"])
        })
    }

    fn spread(&mut self) -> Result<Spread, Mistake> {
        if self.takes_word("within") {
            return Ok(Spread::Within(self.count()?));
        }
        if !self.takes_word("at") {
            return Err(self.expected("`at most`, `at least` or `within`", &["at", "within"]));
        }
        if self.takes_word("most") {
            Ok(Spread::AtMost(self.count()?))
        } else if self.takes_word("least") {
            Ok(Spread::AtLeast(self.count()?))
        } else {
            Err(self.expected("`most` or `least`", &["most", "least"]))
        }
    }

    fn count(&mut self) -> Result<u32, Mistake> {
        let count = match self.peek() {
            Some(Token::Number(n)) if n.fract() == 0.0 && (1.0..=1e6).contains(n) => {
                Some(*n as u32)
            }
            _ => None,
        };
        let count = count.ok_or_else(|| self.expected("a whole number from 1 to 1000000", &[]))?;
        self.at += 1;
        Ok(count)
    }

    fn or(&mut self) -> Result<Expr, Mistake> {
        self.joined("or", Self::and, Expr::Or)
    }

    fn and(&mut self) -> Result<Expr, Mistake> {
        self.joined("and", Self::unary, Expr::And)
    }

    fn joined(
        &mut self,
        word: &str,
        part: fn(&mut Self) -> Result<Expr, Mistake>,
        join: fn(Vec<Expr>) -> Expr,
    ) -> Result<Expr, Mistake> {
        let mut all = vec![part(self)?];
        while self.takes_word(word) {
            all.push(part(self)?);
        }
        Ok(if all.len() == 1 {
            all.remove(0)
        } else {
            join(all)
        })
    }

    fn deeper<T>(
        &mut self,
        part: impl FnOnce(&mut Self) -> Result<T, Mistake>,
    ) -> Result<T, Mistake> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            let message = format!("more than {MAX_DEPTH} levels of parentheses and `not`");
            return Err(Mistake::new(self.text, self.place(), message, "too deep"));
        }
        let result = part(self);
        self.depth -= 1;
        result
    }

    fn unary(&mut self) -> Result<Expr, Mistake> {
        if self.takes_word("not") {
            return Ok(Expr::Not(Box::new(self.deeper(Self::unary)?)));
        }
        let open = self.place();
        if self.takes_sign("(") {
            let inner = self.deeper(Self::or)?;
            if !self.takes_sign(")") {
                return Err(self.expected("`)`", &[]).also(open, "opened here"));
            }
            return Ok(inner);
        }
        if self.takes_word("near") {
            let who = self.who()?;
            self.needs_word("by")?;
            return Ok(Expr::Near(who, self.by()?));
        }
        if self.takes_word("apart") {
            self.needs_word("from")?;
            let who = self.who()?;
            self.needs_word("by")?;
            return Ok(Expr::Apart(who, self.by()?));
        }
        self.compare()
    }

    fn who(&mut self) -> Result<Who, Mistake> {
        if self.takes_word("copies") {
            return Ok(Who::Copies);
        }
        if self.takes_word("service") {
            return Ok(Who::Service(self.text_value("the name of a service")?));
        }
        if self.takes_word("label") {
            let key = self.text_value("the name of a label")?;
            if !self.takes_sign("=") {
                return Err(self.expected("`=` and the label's value", &[]));
            }
            return Ok(Who::Label(key, self.text_value("the label's value")?));
        }
        Err(self.expected(
            "`copies`, `service NAME` or `label NAME = VALUE`",
            &["copies", "service", "label"],
        ))
    }

    fn text_value(&mut self, what: &str) -> Result<String, Mistake> {
        let text = match self.peek() {
            Some(Token::Word(text) | Token::Quoted(text)) => Some(text.clone()),
            _ => None,
        };
        let text = text.ok_or_else(|| self.expected(what, &[]))?;
        self.at += 1;
        Ok(text)
    }

    fn field(&mut self) -> Result<Field, Mistake> {
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
        let field = field.ok_or_else(|| self.expected(what, &words))?;
        self.at += 1;
        Ok(field)
    }

    fn compare(&mut self) -> Result<Expr, Mistake> {
        let from = self.place().start;
        let field = self.field()?;
        let signs = [Op::Ne, Op::Le, Op::Ge, Op::Eq, Op::Lt, Op::Gt];
        let sign = signs.into_iter().find(|op| self.takes_sign(op.word()));
        let op = sign.or_else(|| {
            [Op::In, Op::Has]
                .into_iter()
                .find(|op| self.takes_word(op.word()))
        });
        let op = op.ok_or_else(|| {
            self.expected(
                "`=`, `!=`, `<`, `<=`, `>`, `>=`, `in` or `has`",
                &["in", "has"],
            )
        })?;
        let at = self.place();
        let value = self.value()?;
        let span = from..self.tokens[self.at - 1].1.end;
        crate::check::fits(self.text, &field, op, &value, at)?;
        Ok(Expr::Compare(Compare {
            field,
            op,
            value,
            span,
        }))
    }

    fn value(&mut self) -> Result<Value, Mistake> {
        let open = self.place();
        if self.takes_sign("{") {
            let mut all = Vec::new();
            while !self.takes_sign("}") {
                if !all.is_empty() && !self.takes_sign(",") {
                    return Err(self
                        .expected("`,` or `}`", &[])
                        .also(open, "the set begins here"));
                }
                all.push(self.text_value("a text of the set")?);
            }
            if all.is_empty() {
                return Err(Mistake::new(
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
            self.expected("a text, a number, a version such as `v6.1`, or a set", &[])
        })?;
        self.at += 1;
        Ok(value)
    }
}
