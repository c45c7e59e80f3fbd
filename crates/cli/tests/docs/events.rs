//! The events that staff see in the logs of placers: warnings and errors, and what else is on by default.

use std::collections::{BTreeMap, BTreeSet};

use crate::sources::{read, rust_files};

/// A package whose log records have event names.
struct Package {
    /// Its folder.
    folder: &'static str,
    /// The macros whose records staff see without asking for more.
    macros: &'static [&'static str],
}

const WARNINGS: &[&str] = &["warn!(", "error!("];
const WARNINGS_AND_INFO: &[&str] = &["warn!(", "error!(", "info!("];

/// The packages of the two placers that staff run in service.
///
/// `core` decides what the DRMAA placer logs and `placer` logs it; `platform` is the placer of the platform, whose
/// records of level info are on by default; `connection` logs for both. Left out are the simulated nodes, the local
/// cluster and the system tests, which are no part of a placer.
const PACKAGES: [Package; 4] = [
    Package {
        folder: "crates/core",
        macros: WARNINGS,
    },
    Package {
        folder: "crates/placer",
        macros: WARNINGS,
    },
    Package {
        folder: "crates/connection",
        macros: WARNINGS,
    },
    Package {
        folder: "crates/platform",
        macros: WARNINGS_AND_INFO,
    },
];

/// The typed events of the core.
const CORE_EVENTS: &str = "crates/core/src/event.rs";
/// Logs them with their names and levels: the one file whose records may have a name that is no literal.
const CORE_EVENTS_LOGGER: &str = "crates/placer/src/log_events.rs";

/// A log record of the sources.
struct Record {
    /// Its file and line.
    place: String,
    /// What stands between its parentheses.
    arguments: String,
}

impl Record {
    /// The name in its field `event`, if it has one.
    fn event(&self) -> Option<EventField> {
        let mut fields = self.arguments.split(',').map(str::trim);
        let value = fields.find_map(|field| {
            let rest = field.strip_prefix("event")?.trim_start();
            (rest.is_empty() || rest.starts_with('=')).then_some(rest)
        })?;
        let name = value.split('"').nth(1);
        Some(name.map_or(EventField::Typed, |name| EventField::Name(name.to_owned())))
    }
}

/// The value of a record's field `event`.
enum EventField {
    /// A name.
    Name(String),
    /// The name of a typed event.
    Typed,
}

/// The places of the records without a field `event`, or with one whose name can't be read from the source.
pub fn unnamed_records() -> Vec<String> {
    let records = records().into_iter();
    records
        .filter(|record| match record.event() {
            Some(EventField::Name(_)) => false,
            Some(EventField::Typed) => !record.place.starts_with(CORE_EVENTS_LOGGER),
            None => true,
        })
        .map(|record| record.place)
        .collect()
}

/// The names of all events that staff see, each with a place that logs it.
pub fn logged_events() -> BTreeMap<String, String> {
    let core_events = core_warning_events().into_iter();
    let mut events: BTreeMap<String, String> = core_events
        .map(|name| (name, CORE_EVENTS.to_owned()))
        .collect();
    for record in records() {
        if let Some(EventField::Name(name)) = record.event() {
            events.insert(name, record.place);
        }
    }
    events
}

fn records() -> Vec<Record> {
    let mut records = Vec::new();
    for package in PACKAGES {
        for file in rust_files(&format!("{}/src", package.folder)) {
            records.extend(records_of(&file, &read(&file), package.macros));
        }
    }
    records
}

fn records_of(file: &str, text: &str, macros: &[&str]) -> Vec<Record> {
    let mut records = Vec::new();
    for (start, macro_name) in macros.iter().flat_map(|name| text.match_indices(name)) {
        let line_start = text[..start].rfind('\n').map_or(0, |end| end + 1);
        if text[line_start..start].trim_start().starts_with("//") {
            continue;
        }
        let line = text[..start].matches('\n').count() + 1;
        let arguments = until_closed(&text[start + macro_name.len()..]).to_owned();
        records.push(Record {
            place: format!("{file}:{line}"),
            arguments,
        });
    }
    records
}

/// The text up to the parenthesis that closes one opened just before it; parentheses in string literals don't count.
fn until_closed(text: &str) -> &str {
    let (mut depth, mut in_string, mut escaped) = (1_usize, false, false);
    for (index, letter) in text.char_indices() {
        match letter {
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            '(' if !in_string => depth += 1,
            ')' if !in_string => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..index];
        }
    }
    text
}

/// The names of the core's events but for those at level `Info`.
fn core_warning_events() -> BTreeSet<String> {
    let text = read(CORE_EVENTS);
    let names = function_body(&text, "name");
    let infos = function_body(&text, "level")
        .split("=> Level::Info")
        .next()
        .unwrap_or_default();
    let infos: BTreeSet<&str> = variants(infos).map(|(variant, _)| variant).collect();
    let warnings = variants(names).filter(|(variant, _)| !infos.contains(variant));
    warnings
        .map(|(variant, rest)| match rest.split('"').nth(1) {
            Some(name) => name.to_owned(),
            None => panic!("{CORE_EVENTS}: {variant} has no name"),
        })
        .collect()
}

/// The text of a function of `Event`, from its signature to the next function.
fn function_body<'a>(text: &'a str, function: &str) -> &'a str {
    let signature = format!("fn {function}(&self)");
    let body = text.split(&signature).nth(1);
    let body = body.unwrap_or_else(|| panic!("{CORE_EVENTS}: there is no `{signature}`"));
    body.split("fn ").next().unwrap_or_default()
}

/// The variants that a text names, each with what follows its name.
fn variants(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.split("Self::").skip(1).map(|rest| {
        let end = rest
            .find(|letter: char| !letter.is_alphanumeric())
            .unwrap_or(rest.len());
        rest.split_at(end)
    })
}
