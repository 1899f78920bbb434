//! Writes the output of a command, aligned for people or as `key=value` lines for programs.

use std::io;
use std::io::Write;

use crate::table::Table;

/// The output of a command.
pub struct Output<'a> {
    out: &'a mut (dyn Write + Send),
    plain: bool,
}

impl<'a> Output<'a> {
    /// Writes to `out`; with `plain`, one `key=value` line per item.
    pub fn new(out: &'a mut (dyn Write + Send), plain: bool) -> Self {
        Self { out, plain }
    }

    /// Writes a table.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn table(&mut self, table: &Table) -> io::Result<()> {
        let text = if self.plain {
            table.plain()
        } else {
            table.aligned()
        };
        self.raw(&text)
    }

    /// Writes one item: `sentence`, or the rows of `table` with `--plain`.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn item(&mut self, sentence: &str, table: &Table) -> io::Result<()> {
        if self.plain {
            return self.raw(&table.plain());
        }
        self.raw(&format!("{sentence}\n"))
    }

    /// Writes `text` unchanged, with and without `--plain`.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn raw(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())?;
        self.out.flush()
    }
}
