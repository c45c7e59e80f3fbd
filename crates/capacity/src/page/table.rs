//! Reads the tables out of a page.

use super::{Column, PageProblem, Problem, TableName};

const MARKER_START: &str = "<!-- capacity-table:";
const MARKER_END: &str = "-->";
pub(super) const END_MARKER: &str = "<!-- end -->";

/// A table as it stands on the page.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Table {
    /// Its name.
    pub(super) name: TableName,
    /// The rows below the heading.
    pub(super) rows: Vec<PageRow>,
    /// The line of the end marker.
    pub(super) end_line: usize,
}

/// A row as it stands on the page.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PageRow {
    /// The table that it is a row of.
    pub(super) table: TableName,
    /// The line of the page, from 1.
    pub(super) line: usize,
    /// The cells; as many as the table has columns.
    cells: Vec<Cell>,
}

/// A cell as it stands on the page.
#[derive(Clone, Debug, Default, PartialEq)]
struct Cell {
    /// The column in the line at which the text begins, in characters from 1.
    column: usize,
    /// The text without the spaces around it.
    text: String,
}

impl PageRow {
    /// The text of one cell.
    pub(super) fn text(&self, column: Column) -> &str {
        &self.cells[self.table.position(column)].text
    }

    /// The texts of all cells.
    pub(super) fn texts(&self) -> impl Iterator<Item = &str> {
        self.cells.iter().map(|cell| cell.text.as_str())
    }

    /// A problem of the row as a whole, which is reported at its first cell.
    pub(super) fn problem(&self, problem: Problem) -> PageProblem {
        self.problem_at(self.table.columns()[0], problem)
    }

    /// A problem at one cell.
    pub(super) fn problem_at(&self, column: Column, problem: Problem) -> PageProblem {
        PageProblem {
            line: self.line,
            column: self.cells[self.table.position(column)].column,
            problem,
        }
    }
}

pub(super) fn opening_marker(name: TableName) -> String {
    format!("{MARKER_START} {name} {MARKER_END}")
}

pub(super) fn header(name: TableName) -> String {
    let names: Vec<&str> = name.columns().iter().map(|column| column.name()).collect();
    format!("| {} |", names.join(" | "))
}

pub(super) fn separator(name: TableName) -> String {
    format!("| {} |", vec!["---"; name.columns().len()].join(" | "))
}

/// Finds and reads one table of each name, or lists all that is wrong with their form.
pub(super) fn parse(page: &str) -> Result<Vec<Table>, Vec<PageProblem>> {
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
    tables: Vec<Table>,
    problems: Vec<PageProblem>,
}

struct OpenTable {
    /// The line of its marker.
    line: usize,
    /// `None` if no table has the name that the marker gives, or another one had it before; such a table is
    /// reported by its marker alone.
    name: Option<TableName>,
    rows: Vec<PageRow>,
}

impl Parser {
    fn line(&mut self, line: usize, text: &str) {
        let trimmed = text.trim();
        if trimmed.starts_with(MARKER_START) {
            self.marker(line, trimmed);
        } else if trimmed == END_MARKER {
            self.end(line);
        } else if let Some(OpenTable {
            line: opened_at,
            name: Some(name),
            ..
        }) = self.open
        {
            match line - opened_at {
                1 => self.heading(line, text, header(name)),
                2 => self.heading(line, text, separator(name)),
                _ => self.row(line, text, name),
            }
        }
    }

    fn marker(&mut self, line: usize, text: &str) {
        if let Some(open) = self.open.take() {
            self.problem(line, 1, Problem::Unclosed(open.line));
        }
        let name = match self.name_of_marker(text) {
            Ok(name) => Some(name),
            Err(problem) => {
                self.problem(line, 1, problem);
                None
            }
        };
        self.open = Some(OpenTable {
            line,
            name,
            rows: Vec::new(),
        });
    }

    /// The name that a marker gives to the table that it opens.
    fn name_of_marker(&self, text: &str) -> Result<TableName, Problem> {
        let name = text
            .strip_prefix(MARKER_START)
            .and_then(|rest| rest.strip_suffix(MARKER_END));
        let name = name.ok_or(Problem::BadMarker)?.trim();
        let name =
            TableName::from_name(name).ok_or_else(|| Problem::UnknownTable(name.to_owned()))?;
        if self.tables.iter().any(|table| table.name == name) {
            return Err(Problem::SecondTable(name));
        }
        Ok(name)
    }

    fn end(&mut self, line: usize) {
        let Some(open) = self.open.take() else {
            return self.problem(line, 1, Problem::EndWithoutTable);
        };
        let Some(name) = open.name else { return };
        match line - open.line {
            1 => self.problem(line, 1, Problem::Heading(header(name))),
            2 => self.problem(line, 1, Problem::Heading(separator(name))),
            _ => {}
        }
        self.tables.push(Table {
            name,
            rows: open.rows,
            end_line: line,
        });
    }

    fn heading(&mut self, line: usize, text: &str, expected: String) {
        if text != expected {
            self.problem(line, 1, Problem::Heading(expected));
        }
    }

    fn row(&mut self, line: usize, text: &str, table: TableName) {
        if text.len() < 4 || !text.starts_with("| ") || !text.ends_with(" |") {
            return self.problem(line, 1, Problem::NotARow);
        }
        let cells = cells(text);
        let (found, expected) = (cells.len(), table.columns().len());
        if found != expected {
            return self.problem(line, 1, Problem::CellCount { found, expected });
        }
        if let Some(open) = &mut self.open {
            open.rows.push(PageRow { table, line, cells });
        }
    }

    fn finish(mut self, line_count: usize) -> Result<Vec<Table>, Vec<PageProblem>> {
        if let Some(open) = self.open.take() {
            self.problem(line_count, 1, Problem::Unclosed(open.line));
        }
        if self.problems.is_empty() {
            self.report_missing_tables(line_count.max(1));
        }
        if self.problems.is_empty() {
            Ok(self.tables)
        } else {
            Err(self.problems)
        }
    }

    fn report_missing_tables(&mut self, line: usize) {
        for name in TableName::ALL {
            if !self.tables.iter().any(|table| table.name == *name) {
                self.problem(line, 1, Problem::NoTable(*name));
            }
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
