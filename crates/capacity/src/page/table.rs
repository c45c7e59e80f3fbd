//! Reads the one form of table out of a page.

use super::{COLUMNS, Column, PageProblem, Problem, TABLE_NAME};

const MARKER_START: &str = "<!-- capacity-table:";
const MARKER_END: &str = "-->";
pub(super) const END_MARKER: &str = "<!-- end -->";

/// A table as it stands on the page.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Table {
    /// The rows below the heading.
    pub(super) rows: Vec<PageRow>,
    /// The line of the end marker.
    pub(super) end_line: usize,
}

/// A row as it stands on the page.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PageRow {
    /// The line of the page, from 1.
    pub(super) line: usize,
    /// The cells.
    pub(super) cells: [Cell; COLUMNS],
}

/// A cell as it stands on the page.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Cell {
    /// The column in the line at which the text begins, in characters from 1.
    pub(super) column: usize,
    /// The text without the spaces around it.
    pub(super) text: String,
}

impl PageRow {
    /// The text of one cell.
    pub(super) fn text(&self, column: Column) -> &str {
        &self.cells[column as usize].text
    }

    /// A problem at one cell.
    pub(super) fn problem_at(&self, column: Column, problem: Problem) -> PageProblem {
        PageProblem {
            line: self.line,
            column: self.cells[column as usize].column,
            problem,
        }
    }
}

pub(super) fn opening_marker(name: &str) -> String {
    format!("{MARKER_START} {name} {MARKER_END}")
}

pub(super) fn header() -> String {
    let names: Vec<&str> = Column::ALL.iter().map(|column| column.name()).collect();
    format!("| {} |", names.join(" | "))
}

pub(super) fn separator() -> String {
    format!("| {} |", ["---"; COLUMNS].join(" | "))
}

/// Finds and reads the table, or lists all that is wrong with its form.
pub(super) fn parse(page: &str) -> Result<Table, Vec<PageProblem>> {
    let mut parser = Parser::default();
    let mut line_count = 0;
    for (index, text) in page.lines().enumerate() {
        line_count = index + 1;
        parser.line(line_count, text);
    }
    parser.finish(line_count)
}

#[derive(Default)]
struct Parser {
    /// The table that has begun and not ended.
    open: Option<OpenTable>,
    table: Option<Table>,
    problems: Vec<PageProblem>,
}

struct OpenTable {
    /// The line of its marker.
    line: usize,
    /// Whether it is the one to check.
    wanted: bool,
    rows: Vec<PageRow>,
}

impl Parser {
    fn line(&mut self, line: usize, text: &str) {
        let trimmed = text.trim();
        if trimmed.starts_with(MARKER_START) {
            self.marker(line, trimmed);
        } else if trimmed == END_MARKER {
            self.end(line);
        } else if let Some(opened_at) = self.open.as_ref().map(|open| open.line) {
            match line - opened_at {
                1 => self.heading(line, text, header()),
                2 => self.heading(line, text, separator()),
                _ => self.row(line, text),
            }
        }
    }

    fn marker(&mut self, line: usize, text: &str) {
        if let Some(open) = self.open.take() {
            self.problem(line, 1, Problem::Unclosed(open.line));
        }
        let name = text
            .strip_prefix(MARKER_START)
            .and_then(|rest| rest.strip_suffix(MARKER_END));
        let problem = match name.map(str::trim) {
            None => Some(Problem::BadMarker),
            Some(TABLE_NAME) => self
                .table
                .as_ref()
                .map(|_| Problem::SecondTable(TABLE_NAME)),
            Some(name) => Some(Problem::UnknownTable(name.to_owned())),
        };
        self.open = Some(OpenTable {
            line,
            wanted: problem.is_none(),
            rows: Vec::new(),
        });
        if let Some(problem) = problem {
            self.problem(line, 1, problem);
        }
    }

    fn end(&mut self, line: usize) {
        let Some(open) = self.open.take() else {
            return self.problem(line, 1, Problem::EndWithoutTable);
        };
        match line - open.line {
            1 => self.problem(line, 1, Problem::Heading(header())),
            2 => self.problem(line, 1, Problem::Heading(separator())),
            _ => {}
        }
        if open.wanted {
            self.table = Some(Table {
                rows: open.rows,
                end_line: line,
            });
        }
    }

    fn heading(&mut self, line: usize, text: &str, expected: String) {
        if text != expected {
            self.problem(line, 1, Problem::Heading(expected));
        }
    }

    fn row(&mut self, line: usize, text: &str) {
        if text.len() < 4 || !text.starts_with("| ") || !text.ends_with(" |") {
            return self.problem(line, 1, Problem::NotARow);
        }
        let cells = cells(text);
        let found = cells.len();
        let Ok(cells) = <[Cell; COLUMNS]>::try_from(cells) else {
            return self.problem(
                line,
                1,
                Problem::CellCount {
                    found,
                    expected: COLUMNS,
                },
            );
        };
        if let Some(open) = &mut self.open {
            open.rows.push(PageRow { line, cells });
        }
    }

    fn finish(mut self, line_count: usize) -> Result<Table, Vec<PageProblem>> {
        if let Some(open) = self.open.take() {
            self.problem(line_count, 1, Problem::Unclosed(open.line));
        }
        if self.table.is_none() && self.problems.is_empty() {
            self.problem(line_count.max(1), 1, Problem::NoTable(TABLE_NAME));
        }
        match self.table {
            Some(table) if self.problems.is_empty() => Ok(table),
            _ => Err(self.problems),
        }
    }

    fn problem(&mut self, line: usize, column: usize, problem: Problem) {
        self.problems.push(PageProblem {
            line,
            column,
            problem,
        });
    }
}

/// The cells between the bars of a row; a bar after a backslash belongs to its cell.
fn cells(row: &str) -> Vec<Cell> {
    let mut cells = Vec::new();
    let mut cell = Cell::default();
    let mut previous = ' ';
    for (index, character) in row.chars().enumerate().skip(1) {
        if character == '|' && previous != '\\' {
            let mut ended = std::mem::take(&mut cell);
            ended.text.truncate(ended.text.trim_end().len());
            cells.push(ended);
        } else if !cell.text.is_empty() || character != ' ' {
            if cell.text.is_empty() {
                cell.column = index + 1;
            }
            cell.text.push(character);
        }
        previous = character;
    }
    cells
}
