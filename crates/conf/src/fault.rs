//! What can be wrong with a settings file.

use std::fmt;
use std::io;

use quick_error::quick_error;

/// What is wrong with one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The key is required.
    Missing,
    /// Nothing reads this key.
    Unknown,
    /// Nothing reads this section.
    UnknownSection,
    /// The key or section stands twice.
    Twice,
    /// The text has another form than the key's.
    Form(String),
    /// It contradicts another key, named here.
    Contradicts(&'static str),
    /// It breaks a rule of the file's own kind, told here.
    Rule(String),
}

/// One fault, with where it is and what would be allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file as it was named.
    pub file: String,
    /// The section, empty before the first.
    pub section: String,
    /// The key, empty for the whole section.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
    /// The allowed form.
    pub form: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}] {}: ", self.file, self.section, self.key)?;
        match &self.problem {
            Problem::Missing => write!(f, "is missing")?,
            Problem::Unknown => write!(f, "is no known key")?,
            Problem::UnknownSection => write!(f, "is no known section")?,
            Problem::Twice => write!(f, "stands twice")?,
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

/// All faults of a file, one a line.
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
    /// Why a settings file can't be used.
    #[derive(Debug)]
    pub enum ConfError {
        /// It can't be read.
        Read(file: String, err: io::Error) {
            source(err)
            display("{file}: {err}")
        }
        /// It isn't INI.
        Syntax(file: String, line: usize, text: String) {
            display("{file}:{line}: {text}")
        }
        /// Keys are wrong; all of them.
        Keys(faults: Faults) {
            display("{faults}")
        }
    }
}
