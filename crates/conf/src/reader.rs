//! Reads one INI file key by key and collects what is wrong.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use ini::Ini;
use ini::ParseOption;

use crate::fault::ConfError;
use crate::fault::Fault;
use crate::fault::Faults;
use crate::fault::Problem;
use crate::value::Value;

type Section = BTreeMap<String, String>;

/// A settings file that is being read.
///
/// Invariant: every key asked for is in `asked` and its section in `known`, so
/// that [`Reader::finish`] reports exactly the others as unknown.
#[derive(Debug)]
pub struct Reader {
    file: String,
    sections: BTreeMap<String, Section>,
    asked: BTreeSet<(String, String)>,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Opens the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when it can't be read or isn't INI.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(err) => Err(ConfError::Read(file, err)),
        }
    }

    /// Reads `text`, naming it `file` in faults.
    ///
    /// # Errors
    ///
    /// Fails when it isn't INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfError> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|err| ConfError::Syntax(file.into(), err.line, err.msg.into_owned()))?;
        let mut reader = Self {
            file: file.into(),
            sections: BTreeMap::new(),
            asked: BTreeSet::new(),
            known: BTreeSet::new(),
            faults: Vec::new(),
        };
        for (name, properties) in &ini {
            let name = name.unwrap_or_default();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            reader.take(name, properties.iter());
        }
        Ok(reader)
    }

    fn take<'a>(&mut self, name: &str, pairs: impl Iterator<Item = (&'a str, &'a str)>) {
        if self.sections.contains_key(name) {
            self.fault(name, "", Problem::Twice, "each section once");
            return;
        }
        let mut section = Section::new();
        for (key, text) in pairs {
            if section.insert(key.into(), text.trim().into()).is_some() {
                self.fault(name, key, Problem::Twice, "each key once");
            }
        }
        self.sections.insert(name.into(), section);
    }

    /// The sections' names, sorted.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        self.sections.keys().cloned().collect()
    }

    /// Whether the section stands in the file.
    #[must_use]
    pub fn has(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Takes the section as known, also when none of its keys is asked for.
    pub fn know(&mut self, section: &str) {
        self.known.insert(section.into());
    }

    /// A key that must be there; `None` after a noted fault.
    pub fn required<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        if self.text(section, key).is_none() {
            self.fault(section, key, Problem::Missing, T::FORM);
            return None;
        }
        self.optional(section, key)
    }

    /// A key that may be there.
    pub fn optional<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.text(section, key)?;
        let value = T::read(&text);
        if value.is_none() {
            self.fault(section, key, Problem::Form(text), T::FORM);
        }
        value
    }

    /// A key with a value for when it isn't there.
    pub fn or<T: Value>(&mut self, section: &str, key: &str, default: T) -> T {
        self.optional(section, key).unwrap_or(default)
    }

    /// A key with values apart by commas; empty when it isn't there.
    pub fn list<T: Value>(&mut self, section: &str, key: &str) -> Vec<T> {
        let Some(text) = self.text(section, key) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            match T::read(part) {
                Some(value) => values.push(value),
                None => self.fault(section, key, Problem::Form(part.into()), T::FORM),
            }
        }
        values
    }

    /// Notes a fault that only the caller can see, such as a contradiction.
    pub fn fault(&mut self, section: &str, key: &str, problem: Problem, form: &'static str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            problem,
            form,
        });
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Fails with every fault noted, keys that nothing read included.
    pub fn finish(mut self) -> Result<(), ConfError> {
        self.note_unknown();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(ConfError::Keys(Faults(self.faults)))
    }

    fn note_unknown(&mut self) {
        let sections = std::mem::take(&mut self.sections);
        for (name, section) in sections {
            if !self.known.contains(&name) {
                self.fault(&name, "", Problem::UnknownSection, "");
                continue;
            }
            for key in section.into_keys() {
                if !self.asked.contains(&(name.clone(), key.clone())) {
                    self.fault(&name, &key, Problem::Unknown, "");
                }
            }
        }
    }

    fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.know(section);
        self.asked.insert((section.into(), key.into()));
        self.sections.get(section)?.get(key).cloned()
    }
}
