//! Reads and writes catalogue files, which are INI.
//!
//! A section `[service NAME]` has all keys of an entry, `[gateway NAME]` has none, and the
//! optional `[catalogue]` has the version that the file was made from. Version 0, the empty
//! catalogue, is named like any other: a file made from it conflicts with the first change, and
//! one that names no version doesn't. Reading a written file yields the same content.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use base::prelude::Class;
use base::prelude::HostName;
use conf::ConfError;
use conf::Problem;
use conf::Reader;
use conf::value;
use conf::value::Bytes;
use conf::value::Percent;
use conf::value::Rate;
use conf::value::Text;
use conf::value::Value;

use crate::catalogue::Catalogue;
use crate::entry::Entry;
use crate::entry::Limits;
use crate::fault::Fault;
use crate::fault::Field;

const CATALOGUE_SECTION: &str = "catalogue";
const VERSION_KEY: &str = "version";
const SERVICE_PREFIX: &str = "service ";
const GATEWAY_PREFIX: &str = "gateway ";

/// The content of a catalogue file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogueFile {
    /// The version that the file was made from, if it names one.
    pub base: Option<u64>,
    /// Its services and gateways. The version is `base`, or 0 without one.
    pub catalogue: Catalogue,
}

impl From<Catalogue> for CatalogueFile {
    /// The file that is made from this catalogue.
    fn from(catalogue: Catalogue) -> Self {
        Self {
            base: Some(catalogue.version),
            catalogue,
        }
    }
}

/// Reads the file at `path`.
///
/// # Errors
///
/// Fails if the file can't be read, or with all faults of its content.
pub fn open(path: &Path) -> Result<CatalogueFile, ConfError> {
    read(Reader::open(path)?)
}

/// Parses `text`; faults name it as `file`.
///
/// # Errors
///
/// Fails with all faults of the text.
pub fn parse(file: &str, text: &str) -> Result<CatalogueFile, ConfError> {
    read(Reader::parse(file, text)?)
}

/// Formats the content of a file.
#[must_use]
pub fn write(file: &CatalogueFile) -> String {
    let catalogue = &file.catalogue;
    let mut text = String::new();
    if let Some(base) = file.base {
        write_section(&mut text, CATALOGUE_SECTION);
        // Writing to a string can't fail.
        let _ = writeln!(text, "{VERSION_KEY} = {base}");
    }
    for entry in catalogue.entries.values() {
        write_section(&mut text, &format!("{SERVICE_PREFIX}{}", entry.service));
        for (field, value) in fields(entry) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{field} = {value}");
        }
    }
    for host in &catalogue.gateways {
        write_section(&mut text, &format!("{GATEWAY_PREFIX}{host}"));
    }
    text
}

/// Returns an entry's fields, formatted as in a file.
#[must_use]
pub fn fields(entry: &Entry) -> [(Field, String); 8] {
    let limits = &entry.limits;
    [
        (Field::Owner, entry.owner.clone()),
        (Field::Class, entry.class.to_string()),
        (Field::Concurrency, limits.concurrency.to_string()),
        (Field::Queue, limits.queue.to_string()),
        (Field::Deadline, value::duration_text(limits.deadline)),
        (Field::Body, Bytes(limits.body).to_string()),
        (Field::Retries, Percent(limits.retries).to_string()),
        (Field::Probes, Rate(limits.probes).to_string()),
    ]
}

fn write_section(text: &mut String, name: &str) {
    if !text.is_empty() {
        text.push('\n');
    }
    // Writing to a string can't fail.
    let _ = writeln!(text, "[{name}]");
}

fn read(mut reader: Reader) -> Result<CatalogueFile, ConfError> {
    let base = reader.optional(CATALOGUE_SECTION, VERSION_KEY);
    let mut catalogue = Catalogue {
        version: base.unwrap_or_default(),
        ..Catalogue::default()
    };
    for section in reader.sections() {
        if let Some(name) = section.strip_prefix(SERVICE_PREFIX) {
            read_service(&mut reader, &section, name, &mut catalogue);
        } else if let Some(name) = section.strip_prefix(GATEWAY_PREFIX) {
            read_gateway(&mut reader, &section, name, &mut catalogue);
        }
    }
    for fault in catalogue.faults() {
        report(&mut reader, &fault);
    }
    reader.finish()?;
    Ok(CatalogueFile { base, catalogue })
}

fn read_service(reader: &mut Reader, section: &str, name: &str, catalogue: &mut Catalogue) {
    let service = read_name(reader, section, name);
    let owner = required::<Text>(reader, section, Field::Owner);
    let class = required::<Class>(reader, section, Field::Class);
    let limits = read_limits(reader, section);
    let (Some(service), Some(owner), Some(class), Some(limits)) = (service, owner, class, limits)
    else {
        return;
    };
    let entry = Entry {
        service,
        owner: owner.0,
        class,
        limits,
    };
    // Runs the same checks as for the wire form of a change.
    match Entry::from_wire(&entry.to_wire()) {
        Ok(entry) => {
            catalogue.entries.insert(entry.service.clone(), entry);
        }
        Err(faults) => faults.iter().for_each(|fault| report(reader, fault)),
    }
}

fn read_limits(reader: &mut Reader, section: &str) -> Option<Limits> {
    let concurrency = required::<u32>(reader, section, Field::Concurrency);
    let queue = required::<u32>(reader, section, Field::Queue);
    let deadline = required::<Duration>(reader, section, Field::Deadline);
    let body = required::<Bytes>(reader, section, Field::Body);
    let retries = required::<Percent>(reader, section, Field::Retries);
    let probes = required::<Rate>(reader, section, Field::Probes);
    Some(Limits {
        concurrency: concurrency?,
        queue: queue?,
        deadline: deadline?,
        body: body?.0,
        retries: retries?.0,
        probes: probes?.0,
    })
}

fn read_gateway(reader: &mut Reader, section: &str, name: &str, catalogue: &mut Catalogue) {
    reader.allow_section(section);
    if let Some(host) = read_name::<HostName>(reader, section, name) {
        catalogue.gateways.insert(host);
    }
}

fn read_name<T: Value>(reader: &mut Reader, section: &str, name: &str) -> Option<T> {
    reader.allow_section(section);
    let value = T::read(name);
    if value.is_none() {
        reader.fault(section, "", Problem::Form(name.into()), T::FORM);
    }
    value
}

fn required<T: Value>(reader: &mut Reader, section: &str, field: Field) -> Option<T> {
    reader.required(section, field.into())
}

fn report(reader: &mut Reader, fault: &Fault) {
    let prefix = match fault.field {
        Field::Gateway => GATEWAY_PREFIX,
        _ => SERVICE_PREFIX,
    };
    let section = match fault.subject.as_str() {
        "" => String::new(),
        subject => format!("{prefix}{subject}"),
    };
    let problem = Problem::Rule(fault.problem.to_string());
    reader.fault(&section, fault.field.into(), problem, "");
}
