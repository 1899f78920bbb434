//! Faults of a settings file.

use std::fmt;
use std::io;

use quick_error::quick_error;

/// Problem with a key or section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The key is required.
    Missing,
    /// The key is not known.
    Unknown,
    /// The section is not known.
    UnknownSection,
    /// The key or section appears more than once.
    Duplicate,
    /// The value, given here, is malformed.
    Form(String),
    /// The key contradicts another one, named here.
    Contradicts(&'static str),
    /// The key violates another rule of this kind of file, described here.
    Rule(String),
}

/// A fault, where it was found, and the allowed form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file as given by the caller.
    pub file: String,
    /// Name of the section; empty for keys before the first section.
    pub section: String,
    /// Name of the key; empty if the fault concerns the section.
    pub key: String,
    /// Problem that was found.
    pub problem: Problem,
    /// Description of the allowed form; may be empty.
    pub form: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}] {}: ", self.file, self.section, self.key)?;
        match &self.problem {
            Problem::Missing => write!(f, "is missing")?,
            Problem::Unknown => write!(f, "is no known key")?,
            Problem::UnknownSection => write!(f, "is no known section")?,
            Problem::Duplicate => write!(f, "stands twice")?,
            Problem::Form(found) => write!(f, "{found:?} has the wrong form")?,
            Problem::Contradicts(other) => write!(f, "contradicts {other}")?,
            Problem::Rule(rule) => write!(f, "{rule}")?,
        }
        if self.form.is_empty() {
            return Ok(());
        }
        write!(f, " (allowed: {})", self.form)
    }
}

/// All faults of a file, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

quick_error! {
    /// Reason that a settings file can't be used.
    #[derive(Debug)]
    pub enum ConfError {
        /// The file can't be read.
        Read(file: String, err: io::Error) {
            source(err)
            display("{file}: {err}")
        }
        /// The file is not valid INI.
        Syntax(file: String, line: usize, text: String) {
            display("{file}:{line}: {text}")
        }
        /// Keys or sections have faults.
        Keys(faults: Faults) {
            display("{faults}")
        }
    }
}
