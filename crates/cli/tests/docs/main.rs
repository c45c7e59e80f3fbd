//! The pages for engineers name what is there: each file, each type, and each event that staff see in the logs.

mod events;
mod markdown;
mod sources;

use std::collections::{BTreeMap, BTreeSet};

use markdown::{code_spans, links, sections, table_rows};
use sources::{read, root, type_names};

/// The pages whose files and links are checked.
const PAGES: [&str; 5] = [
    "CONTRIBUTING.md",
    "docs/CAPACITY.md",
    "docs/architecture.md",
    "docs/on-call.md",
    "docs/vocabulary.md",
];

/// The page on which each event that staff see stands.
const ON_CALL: &str = "docs/on-call.md";
/// The first cell of the head of its table of events.
const EVENT_COLUMN: &str = "event";

/// Whether a code span names a file or a folder of this repository: a path with a folder, or a file by its extension.
fn is_path(span: &str) -> bool {
    const EXTENSIONS: [&str; 5] = [".rs", ".md", ".toml", ".json", ".py"];
    const FOLDERS: [&str; 6] = ["crates/", "src/", "docs/", "tests/", "fuzz/", "deploy/"];
    let one_word = !span.contains([' ', '*', '<', '{', '(', ':']);
    let has_extension = EXTENSIONS.iter().any(|extension| span.ends_with(extension));
    let in_folder = FOLDERS.iter().any(|folder| span.starts_with(folder));
    one_word && (has_extension || in_folder || span.ends_with('/'))
}

/// A path is relative to the root, or to a source folder that the same section names.
#[test]
fn each_file_that_a_page_names_exists() {
    let mut wrong = Vec::new();
    for page in PAGES {
        for section in sections(&read(page)) {
            let spans = code_spans(&section.text);
            let mut folders = vec![root()];
            let named = spans
                .iter()
                .map(|(_, span)| span)
                .filter(|span| span.ends_with("/src"));
            folders.extend(named.map(|span| root().join(span)));
            for (line, span) in spans.iter().filter(|(_, span)| is_path(span)) {
                if !folders.iter().any(|folder| folder.join(span).exists()) {
                    let line = section.first_line + line - 1;
                    wrong.push(format!("{page}:{line}: there is no {span}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn each_link_of_a_page_leads_to_a_file() {
    let mut wrong = Vec::new();
    for page in PAGES {
        let folder = root().join(page).parent().map(ToOwned::to_owned);
        for (line, target) in links(&read(page)) {
            let path = target.split('#').next().unwrap_or_default();
            let is_file = !path.is_empty() && !path.contains("://");
            if is_file
                && !folder
                    .as_ref()
                    .is_some_and(|folder| folder.join(path).exists())
            {
                wrong.push(format!("{page}:{line}: the link {target} leads nowhere"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Whether a code span is the name of a type: `LeaseState`, not `LEASE`, `lease` or `A`.
fn is_type_name(span: &str) -> bool {
    let mut letters = span.chars();
    letters.next().is_some_and(char::is_uppercase)
        && letters.any(char::is_lowercase)
        && span.chars().all(char::is_alphanumeric)
}

/// The first column is the vocabulary's own; later ones may name what types were called before.
#[test]
fn each_type_that_the_vocabulary_names_exists() {
    let types = type_names();
    let mut wrong = Vec::new();
    for row in table_rows(&read("docs/vocabulary.md")) {
        assert_eq!(row.header[0], "term", "docs/vocabulary.md:{}", row.line);
        for (_, span) in code_spans(&row.cells[0]) {
            let name = span.rsplit("::").next().unwrap_or_default();
            if is_type_name(name) && !types.contains(name) {
                wrong.push(format!(
                    "docs/vocabulary.md:{}: there is no type {name}",
                    row.line
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// The events of the table, each with the line of its row.
fn events_of_the_page() -> Vec<(String, usize)> {
    let rows = table_rows(&read(ON_CALL));
    let of_events = rows.into_iter().filter(|row| row.header[0] == EVENT_COLUMN);
    of_events
        .map(|row| match code_spans(&row.cells[0]).as_slice() {
            [(_, name)] => (name.clone(), row.line),
            _ => panic!("{ON_CALL}:{}: the first cell names one event", row.line),
        })
        .collect()
}

#[test]
fn each_log_record_that_staff_see_has_an_event_name() {
    let unnamed: Vec<String> = events::unnamed_records();
    assert!(
        unnamed.is_empty(),
        "log records without `event = \"name\"`:\n{}",
        unnamed.join("\n")
    );
}

#[test]
fn the_on_call_page_has_each_event_that_staff_see_and_no_other() {
    let logged: BTreeMap<String, String> = events::logged_events();
    assert!(
        !logged.is_empty(),
        "the sources log no event; the search for them is broken"
    );
    let on_page = events_of_the_page();
    let names: BTreeSet<&str> = on_page.iter().map(|(name, _)| name.as_str()).collect();
    let mut wrong: Vec<String> = Vec::new();
    for (name, place) in &logged {
        if !names.contains(name.as_str()) {
            wrong.push(format!("{ON_CALL} lacks the event `{name}` of {place}"));
        }
    }
    for (name, line) in &on_page {
        if !logged.contains_key(name) {
            wrong.push(format!(
                "{ON_CALL}:{line}: nothing logs the event `{name}` at a level that staff see"
            ));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn each_event_of_the_on_call_page_has_one_row_with_meaning_cause_and_action() {
    let page = read(ON_CALL);
    let mut seen = BTreeSet::new();
    for row in table_rows(&page)
        .iter()
        .filter(|row| row.header[0] == EVENT_COLUMN)
    {
        assert_eq!(
            row.header[1..],
            ["meaning", "cause", "first action"],
            "{ON_CALL}:{}",
            row.line
        );
        assert!(
            seen.insert(row.cells[0].clone()),
            "{ON_CALL}:{}: a second row",
            row.line
        );
        assert!(
            row.cells.iter().all(|cell| !cell.is_empty()),
            "{ON_CALL}:{}: an empty cell",
            row.line
        );
    }
}
