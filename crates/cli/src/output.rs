//! Where a command's text goes, as it comes.

use std::io;
use std::io::Write;

use crate::table::Table;

/// The text of a command, in one of two forms.
pub struct Output<'a> {
    out: &'a mut (dyn Write + Send),
    plain: bool,
}

impl<'a> Output<'a> {
    /// Writes to `out`, one key=value line an item when `plain`.
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

    /// Writes one item: `sentence` for people, the table's rows for programs.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn fact(&mut self, sentence: &str, table: &Table) -> io::Result<()> {
        if self.plain {
            return self.raw(&table.plain());
        }
        self.raw(&format!("{sentence}\n"))
    }

    /// Writes text as it is, in both forms.
    ///
    /// # Errors
    ///
    /// Fails when the text can't be written.
    pub fn raw(&mut self, text: &str) -> io::Result<()> {
        self.out.write_all(text.as_bytes())?;
        self.out.flush()
    }
}
