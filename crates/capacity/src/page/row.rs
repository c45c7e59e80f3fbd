//! A row that the runs give.

use super::{Column, NOTHING, TableName};

/// A row of one of the tables.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Row {
    table: TableName,
    /// The texts of the cells, as they stand between the bars.
    cells: Vec<String>,
}

impl Row {
    /// A row with the texts given; each other cell says that there is nothing to say.
    pub(super) fn new<const N: usize>(table: TableName, texts: [(Column, String); N]) -> Self {
        let mut row = Self {
            table,
            cells: vec![NOTHING.to_owned(); table.columns().len()],
        };
        for (column, text) in texts {
            row.cells[table.position(column)] = text;
        }
        row
    }

    /// The table that it is a row of.
    pub(super) fn table(&self) -> TableName {
        self.table
    }

    /// The text of one cell.
    pub(super) fn cell(&self, column: Column) -> &str {
        &self.cells[self.table.position(column)]
    }

    /// The row as a line of the page.
    pub(super) fn to_line(&self) -> String {
        format!("| {} |", self.cells.join(" | "))
    }
}

/// A text as it stands in a cell: a bar has a backslash before it.
pub(super) fn escaped(text: &str) -> String {
    text.replace('|', "\\|")
}
