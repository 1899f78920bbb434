//! Tables, rendered in aligned columns or as `key=value` lines.

use std::fmt::Display;
use std::fmt::Write;

/// A table whose rows are items of one kind.
#[derive(Clone, Debug)]
pub struct Table {
    item: &'static str,
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table; `item` names the kind of its rows.
    #[must_use]
    pub fn new(item: &'static str, columns: &'static [&'static str]) -> Self {
        Self {
            item,
            columns,
            rows: Vec::new(),
        }
    }

    /// Appends a row with one cell per column.
    pub fn push_row<const N: usize>(&mut self, cells: [&dyn Display; N]) {
        debug_assert_eq!(N, self.columns.len(), "one cell per column");
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    /// Whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Renders aligned columns under a heading; an empty cell is shown as `-`.
    #[must_use]
    pub fn aligned(&self) -> String {
        let mut widths: Vec<usize> = self.columns.iter().map(|c| c.len()).collect();
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let heading: Vec<String> = self.columns.iter().map(|c| c.to_uppercase()).collect();
        let mut text = String::new();
        for row in std::iter::once(&heading).chain(&self.rows) {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let cell = if cell.is_empty() { "-" } else { cell };
                // Writing to a string can't fail.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    /// Renders one `key=value` line per row.
    #[must_use]
    pub fn plain(&self) -> String {
        self.rows.iter().map(|row| self.plain_line(row)).collect()
    }

    fn plain_line(&self, row: &[String]) -> String {
        let mut line = format!("item={}", self.item);
        for (column, cell) in self.columns.iter().zip(row) {
            // Writing to a string can't fail.
            let _ = write!(line, " {column}={}", quoted(cell));
        }
        line.push('\n');
        line
    }
}

/// Quotes `text` where a `key=value` line needs it.
#[must_use]
pub fn quoted(text: &str) -> String {
    let bare = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=\\".contains(c);
    if !text.is_empty() && text.chars().all(bare) {
        return text.into();
    }
    format!("{text:?}")
}
