//! As much of Markdown as the pages use: code spans, links and tables.

/// A row of a table, with the head of its table.
pub struct TableRow {
    /// The line of the page, from 1.
    pub line: usize,
    /// The cells of the head.
    pub header: Vec<String>,
    /// The cells of the row.
    pub cells: Vec<String>,
}

/// A part of a page, from one heading to the next.
pub struct Section {
    /// The line of the page at which it begins, from 1.
    pub first_line: usize,
    /// Its text, with the heading.
    pub text: String,
}

/// The sections of a page; what comes before the first heading is one, too.
pub fn sections(page: &str) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for (index, line) in page.lines().enumerate() {
        match sections.last_mut() {
            Some(section) if !line.starts_with("## ") => {
                section.text.push_str(line);
                section.text.push('\n');
            }
            _ => sections.push(Section {
                first_line: index + 1,
                text: format!("{line}\n"),
            }),
        }
    }
    sections
}

/// The code spans outside code blocks and HTML comments, each with its line.
pub fn code_spans(page: &str) -> Vec<(usize, String)> {
    let mut spans = Vec::new();
    for (line, text) in text_lines(page) {
        spans.extend(
            text.split('`')
                .skip(1)
                .step_by(2)
                .map(|span| (line, span.to_owned())),
        );
    }
    spans
}

/// The targets of the links outside code blocks, each with its line.
pub fn links(page: &str) -> Vec<(usize, String)> {
    let mut targets = Vec::new();
    for (line, text) in text_lines(page) {
        let found = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split_once(')'));
        targets.extend(found.map(|(target, _)| (line, target.to_owned())));
    }
    targets
}

/// The rows of all tables.
pub fn table_rows(page: &str) -> Vec<TableRow> {
    let mut rows = Vec::new();
    let mut header: Option<Vec<String>> = None;
    for (line, text) in text_lines(page) {
        if !text.starts_with('|') {
            header = None;
            continue;
        }
        let cells = cells(text);
        match &header {
            None => header = Some(cells),
            Some(_) if cells.iter().all(|cell| cell.chars().all(|c| c == '-')) => {}
            Some(header) => rows.push(TableRow {
                line,
                header: header.clone(),
                cells,
            }),
        }
    }
    rows
}

/// A bar after a backslash belongs to its cell.
fn cells(row: &str) -> Vec<String> {
    const ESCAPED_BAR: char = '\u{0}';
    let row = row.replace("\\|", &ESCAPED_BAR.to_string());
    let inner = row.trim().trim_start_matches('|').trim_end_matches('|');
    inner
        .split('|')
        .map(|cell| cell.trim().replace(ESCAPED_BAR, "|"))
        .collect()
}

/// The lines, numbered from 1, that are not part of a code block.
fn text_lines(page: &str) -> Vec<(usize, &str)> {
    let mut in_code_block = false;
    let mut lines = Vec::new();
    for (index, text) in page.lines().enumerate() {
        if text.starts_with("```") {
            in_code_block = !in_code_block;
        } else if !in_code_block && !text.starts_with("    ") {
            lines.push((index + 1, text));
        }
    }
    lines
}
