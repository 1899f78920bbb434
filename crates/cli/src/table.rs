//! Rows under named columns, for people and for programs.

use std::fmt::Display;
use std::fmt::Write;

/// A table of one kind of item.
#[derive(Clone, Debug)]
pub struct Table {
    item: &'static str,
    columns: &'static [&'static str],
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table of `item`s.
    #[must_use]
    pub fn new(item: &'static str, columns: &'static [&'static str]) -> Self {
        Self {
            item,
            columns,
            rows: Vec::new(),
        }
    }

    /// Adds one row, a cell a column.
    pub fn row<const N: usize>(&mut self, cells: [&dyn Display; N]) {
        debug_assert_eq!(N, self.columns.len(), "a cell a column");
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    /// Whether it has no row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Aligned columns under a heading; an empty cell shows as `-`.
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

    /// One key=value line an item.
    #[must_use]
    pub fn plain(&self) -> String {
        self.rows.iter().map(|row| self.plain_row(row)).collect()
    }

    fn plain_row(&self, row: &[String]) -> String {
        let mut line = format!("item={}", self.item);
        for (column, cell) in self.columns.iter().zip(row) {
            // Writing to a string can't fail.
            let _ = write!(line, " {column}={}", quoted(cell));
        }
        line.push('\n');
        line
    }
}

/// `text` as a value of a key=value line.
#[must_use]
pub fn quoted(text: &str) -> String {
    let bare = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=\\".contains(c);
    if !text.is_empty() && text.chars().all(bare) {
        return text.into();
    }
    format!("{text:?}")
}
