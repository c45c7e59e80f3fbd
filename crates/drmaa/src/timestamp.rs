//! Partial timestamps (GFD.133, section 3.2.10): `[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]`.
//!
//! What a text leaves out comes from the time at which it is resolved: the next time that the stated
//! part comes round, so a bare `14:30` is today's or, once that is past, tomorrow's.

use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{Offset, TimeZone};
use jiff::{Span, Timestamp, Zoned};
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, opt, preceded, seq, terminated};
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

use crate::error::{Error, ErrorCode, Result};

/// A timestamp with what its text leaves out left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partial {
    century: Option<i16>,
    year: Option<i16>,
    month: Option<i8>,
    day: Option<i8>,
    hour: i8,
    minute: i8,
    second: i8,
    /// Seconds east of UTC.
    offset: Option<i32>,
}

fn two<'i>(input: &mut &'i str) -> ModalResult<i8> {
    take_while(2, |c: char| c.is_ascii_digit())
        .try_map(|text: &'i str| text.parse())
        .parse_next(input)
}

fn zone(input: &mut &str) -> ModalResult<i32> {
    let (sign, hours, minutes) =
        (one_of(['-', '+']), terminated(two, ':'), two).parse_next(input)?;
    let seconds = (i32::from(hours) * 60 + i32::from(minutes)) * 60;
    Ok(if sign == '-' { -seconds } else { seconds })
}

type Day = (Option<i8>, Option<i8>, Option<i8>, Option<i8>);

/// The date's parts from the left: century, year, month, day.
fn date(input: &mut &str) -> ModalResult<Day> {
    alt((
        seq!(two, two, _: '/', two, _: '/', two)
            .map(|(c, y, m, d)| (Some(c), Some(y), Some(m), Some(d))),
        seq!(two, _: '/', two, _: '/', two).map(|(y, m, d)| (None, Some(y), Some(m), Some(d))),
        seq!(two, _: '/', two).map(|(m, d)| (None, None, Some(m), Some(d))),
        two.map(|d| (None, None, None, Some(d))),
    ))
    .parse_next(input)
}

fn partial(input: &mut &str) -> ModalResult<Partial> {
    let _ = multispace0.parse_next(input)?;
    let day = opt(terminated(date, multispace1)).parse_next(input)?;
    let (century, year, month, day) = day.unwrap_or_default();
    let (hour, minute) = seq!(two, _: ':', two).parse_next(input)?;
    let second = opt(preceded(':', two)).parse_next(input)?.unwrap_or(0);
    let offset = opt(preceded(multispace0, zone)).parse_next(input)?;
    let _ = multispace0.parse_next(input)?;
    let (century, year) = (century.map(i16::from), year.map(i16::from));
    Ok(Partial {
        century,
        year,
        month,
        day,
        hour,
        minute,
        second,
        offset,
    })
}

fn bad(text: &str, why: &str) -> Error {
    let form = "[[[[CC]YY/]MM/]DD] hh:mm[:ss] [{-|+}UU:uu]";
    Error::new(
        ErrorCode::InvalidAttributeFormat,
        format!("timestamp `{text}`: {why}; the form is {form}"),
    )
}

impl Partial {
    /// Reads a text.
    ///
    /// # Errors
    /// `InvalidAttributeFormat` where the text has another form or a part is outside its range: hours to
    /// 23, minutes to 59, seconds to 61 as in the specification (60 and 61 count as 59).
    pub fn parse(text: &str) -> Result<Self> {
        let read = partial.parse(text).map_err(|error| {
            bad(
                text,
                &format!("unexpected text at character {}", error.offset() + 1),
            )
        })?;
        let ranges = [
            (read.hour <= 23, "the hour is over 23"),
            (read.minute <= 59, "the minute is over 59"),
            (read.second <= 61, "the second is over 61"),
            (
                read.month.is_none_or(|m| (1..=12).contains(&m)),
                "the month is not 01 to 12",
            ),
            (
                read.day.is_none_or(|d| (1..=31).contains(&d)),
                "the day is not 01 to 31",
            ),
            (
                read.offset.is_none_or(|o| o.abs() < 24 * 3600),
                "the offset is a day or more",
            ),
        ];
        match ranges.iter().find(|(fits, _)| !fits) {
            Some((_, why)) => Err(bad(text, why)),
            None => Ok(Self {
                second: read.second.min(59),
                ..read
            }),
        }
    }

    /// The time in seconds since 1970 UTC that the text means at `now` in the zone of `now`.
    ///
    /// # Errors
    /// `InvalidAttributeValue` where no calendar day fits, such as 31 February.
    pub fn resolve(&self, now: &Zoned) -> Result<i64> {
        let zone = match self.offset {
            Some(seconds) => TimeZone::fixed(Offset::from_seconds(seconds).map_err(value)?),
            None => now.time_zone().clone(),
        };
        let today = now.with_time_zone(zone.clone()).datetime();
        let time = Time::new(self.hour, self.minute, self.second, 0).map_err(value)?;
        let at = |date: Date| -> Result<i64> {
            let moment = DateTime::from_parts(date, time);
            Ok(zone
                .to_zoned(moment)
                .map_err(value)?
                .timestamp()
                .as_second())
        };
        let year = match (self.century, self.year) {
            (Some(century), Some(year)) => century * 100 + year,
            (_, Some(year)) => today.year() / 100 * 100 + year,
            _ => today.year(),
        };
        let Some(day) = self.day else {
            let first = at(today.date())?;
            let tomorrow = today.date().tomorrow().map_err(value)?;
            return if first < now.timestamp().as_second() {
                at(tomorrow)
            } else {
                Ok(first)
            };
        };
        let month = self.month.unwrap_or(today.month());
        // The next month or year that has such a day: 31 in a short month, 29 February in most years.
        let step = match (self.year, self.month) {
            (Some(_), _) => return at(Date::new(year, month, day).map_err(value)?),
            (None, Some(_)) => Span::new().years(1),
            (None, None) => Span::new().months(1),
        };
        let mut first = Date::new(year, month, 1).map_err(value)?;
        for _ in 0..9 {
            if let Ok(date) = Date::new(first.year(), first.month(), day) {
                let found = at(date)?;
                if found >= now.timestamp().as_second() {
                    return Ok(found);
                }
            }
            first = first.checked_add(step).map_err(value)?;
        }
        Err(Error::new(
            ErrorCode::InvalidAttributeValue,
            "no such day comes within nine steps",
        ))
    }
}

fn value(error: jiff::Error) -> Error {
    Error::new(ErrorCode::InvalidAttributeValue, error.to_string())
}

/// The full form of a time, as attribute getters show it.
pub fn format(unix: i64) -> String {
    let stamp = Timestamp::from_second(unix).unwrap_or(Timestamp::UNIX_EPOCH);
    stamp.strftime("%Y/%m/%d %H:%M:%S +00:00").to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Thursday, 2026-01-15 12:00:00 UTC.
    fn noon() -> Zoned {
        "2026-01-15T12:00:00Z"
            .parse::<Timestamp>()
            .unwrap()
            .to_zoned(TimeZone::UTC)
    }

    fn resolved(text: &str) -> String {
        format(Partial::parse(text).unwrap().resolve(&noon()).unwrap())
    }

    #[test]
    fn what_is_left_out_comes_from_the_moment() {
        assert_eq!(resolved("14:30"), "2026/01/15 14:30:00 +00:00");
        assert_eq!(resolved("11:59:59"), "2026/01/16 11:59:59 +00:00");
        assert_eq!(resolved("14 08:00"), "2026/02/14 08:00:00 +00:00");
        assert_eq!(resolved("31 08:00"), "2026/01/31 08:00:00 +00:00");
        assert_eq!(resolved("01/14 08:00"), "2027/01/14 08:00:00 +00:00");
        assert_eq!(resolved("02/29 08:00"), "2028/02/29 08:00:00 +00:00");
        assert_eq!(resolved("27/03/04 08:00"), "2027/03/04 08:00:00 +00:00");
        assert_eq!(
            resolved("2030/03/04 08:00:01 -03:30"),
            "2030/03/04 11:30:01 +00:00"
        );
    }

    #[test]
    fn the_formatted_form_reads_back() {
        for unix in [0, 1_768_478_400, 4_000_000_000] {
            assert_eq!(
                Partial::parse(&format(unix))
                    .unwrap()
                    .resolve(&noon())
                    .unwrap(),
                unix
            );
        }
    }

    #[test]
    fn wrong_texts_are_named() {
        for text in [
            "",
            "8:00",
            "24:00",
            "12:60",
            "12:00:62",
            "13/01 12:00",
            "00 12:00",
            "12:00 +25:00",
            "x",
        ] {
            let error = Partial::parse(text).unwrap_err();
            assert_eq!(
                error.code,
                ErrorCode::InvalidAttributeFormat,
                "{text}: {error}"
            );
        }
        let day = Partial::parse("2026/02/31 12:00").unwrap();
        assert_eq!(
            day.resolve(&noon()).unwrap_err().code,
            ErrorCode::InvalidAttributeValue
        );
    }
}
