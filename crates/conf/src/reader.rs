//! Reads the keys of an INI file and collects faults.

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
/// Invariant: `requested_keys` has every key that was requested, and `allowed_sections` the
/// sections of all of them, so that [`Reader::finish`] reports exactly the others as unknown.
#[derive(Debug)]
pub struct Reader {
    file: String,
    sections: BTreeMap<String, Section>,
    requested_keys: BTreeSet<(String, String)>,
    allowed_sections: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Opens the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or isn't valid INI.
    pub fn open(path: &Path) -> Result<Self, ConfError> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(err) => Err(ConfError::Read(file, err)),
        }
    }

    /// Parses `text`; faults name it as `file`.
    ///
    /// # Errors
    ///
    /// Fails if `text` isn't valid INI.
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
            requested_keys: BTreeSet::new(),
            allowed_sections: BTreeSet::new(),
            faults: Vec::new(),
        };
        for (name, properties) in &ini {
            let name = name.unwrap_or_default();
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            reader.add_section(name, properties.iter());
        }
        Ok(reader)
    }

    fn add_section<'a>(
        &mut self,
        name: &str,
        properties: impl Iterator<Item = (&'a str, &'a str)>,
    ) {
        if self.sections.contains_key(name) {
            self.fault(name, "", Problem::Duplicate, "each section once");
            return;
        }
        let mut section = Section::new();
        for (key, text) in properties {
            if section.insert(key.into(), text.trim().into()).is_some() {
                self.fault(name, key, Problem::Duplicate, "each key once");
            }
        }
        self.sections.insert(name.into(), section);
    }

    /// Returns the names of the sections, sorted.
    #[must_use]
    pub fn sections(&self) -> Vec<String> {
        self.sections.keys().cloned().collect()
    }

    /// Whether the file has the section.
    #[must_use]
    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Allows the section even if none of its keys is requested.
    pub fn allow_section(&mut self, section: &str) {
        self.allowed_sections.insert(section.into());
    }

    /// Reads a required key. Returns `None` and records a fault if it is missing or malformed.
    pub fn required<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        if self.raw_value(section, key).is_none() {
            self.fault(section, key, Problem::Missing, T::FORM);
            return None;
        }
        self.optional(section, key)
    }

    /// Reads an optional key. Returns `None` if it is missing, and also records a fault if it is
    /// malformed.
    pub fn optional<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.raw_value(section, key)?;
        let value = T::read(&text);
        if value.is_none() {
            self.fault(section, key, Problem::Form(text), T::FORM);
        }
        value
    }

    /// Reads an optional key with a default value.
    pub fn or<T: Value>(&mut self, section: &str, key: &str, default: T) -> T {
        self.optional(section, key).unwrap_or(default)
    }

    /// Reads a comma-separated list, which is empty if the key is missing.
    pub fn list<T: Value>(&mut self, section: &str, key: &str) -> Vec<T> {
        let Some(text) = self.raw_value(section, key) else {
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

    /// Records a fault found by the caller, such as a contradiction between keys.
    pub fn fault(&mut self, section: &str, key: &str, problem: Problem, form: &'static str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.into(),
            key: key.into(),
            problem,
            form,
        });
    }

    /// Ends reading and reports the faults.
    ///
    /// # Errors
    ///
    /// Fails with all recorded faults and the keys and sections that were not requested.
    pub fn finish(mut self) -> Result<(), ConfError> {
        self.report_unknown();
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(ConfError::Keys(Faults(self.faults)))
    }

    fn report_unknown(&mut self) {
        let sections = std::mem::take(&mut self.sections);
        for (name, section) in sections {
            if !self.allowed_sections.contains(&name) {
                self.fault(&name, "", Problem::UnknownSection, "");
                continue;
            }
            for key in section.into_keys() {
                if !self.requested_keys.contains(&(name.clone(), key.clone())) {
                    self.fault(&name, &key, Problem::Unknown, "");
                }
            }
        }
    }

    fn raw_value(&mut self, section: &str, key: &str) -> Option<String> {
        self.allow_section(section);
        self.requested_keys.insert((section.into(), key.into()));
        self.sections.get(section)?.get(key).cloned()
    }
}
