//! Catalogue files: INI, one section an entry.
//!
//! `[service NAME]` has every key of an entry, `[gateway NAME]` has none, and
//! `[catalogue]` may say the version that the file was made from. A file that
//! is written can be read back to the same catalogue.

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

const WHOLE: &str = "catalogue";
const VERSION: &str = "version";
const SERVICE: &str = "service ";
const GATEWAY: &str = "gateway ";

/// Reads the file at `path`; its version is zero where it says none.
///
/// # Errors
///
/// Fails with every fault of the file.
pub fn open(path: &Path) -> Result<Catalogue, ConfError> {
    read(Reader::open(path)?)
}

/// Reads `text`, naming it `file` in faults.
///
/// # Errors
///
/// Fails with every fault of the text.
pub fn parse(file: &str, text: &str) -> Result<Catalogue, ConfError> {
    read(Reader::parse(file, text)?)
}

/// Writes `catalogue` as a file.
#[must_use]
pub fn write(catalogue: &Catalogue) -> String {
    let mut text = String::new();
    if catalogue.version > 0 {
        section(&mut text, WHOLE);
        // Writing to a string can't fail.
        let _ = writeln!(text, "{VERSION} = {}", catalogue.version);
    }
    for entry in catalogue.entries.values() {
        section(&mut text, &format!("{SERVICE}{}", entry.service));
        for (field, value) in fields(entry) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{field} = {value}");
        }
    }
    for host in &catalogue.gateways {
        section(&mut text, &format!("{GATEWAY}{host}"));
    }
    text
}

/// An entry's fields as they stand in a file.
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

fn section(text: &mut String, name: &str) {
    if !text.is_empty() {
        text.push('\n');
    }
    // Writing to a string can't fail.
    let _ = writeln!(text, "[{name}]");
}

fn read(mut reader: Reader) -> Result<Catalogue, ConfError> {
    let mut catalogue = Catalogue {
        version: reader.or(WHOLE, VERSION, 0),
        ..Catalogue::default()
    };
    for section in reader.sections() {
        if let Some(name) = section.strip_prefix(SERVICE) {
            read_service(&mut reader, &section, name, &mut catalogue);
        } else if let Some(name) = section.strip_prefix(GATEWAY) {
            read_gateway(&mut reader, &section, name, &mut catalogue);
        }
    }
    for fault in catalogue.faults() {
        note(&mut reader, &fault);
    }
    reader.finish()?;
    Ok(catalogue)
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
    // The wire form is what a change carries, so its checks are the ones that count.
    match Entry::from_wire(&entry.to_wire()) {
        Ok(entry) => {
            catalogue.entries.insert(entry.service.clone(), entry);
        }
        Err(faults) => faults.iter().for_each(|fault| note(reader, fault)),
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
    reader.know(section);
    if let Some(host) = read_name::<HostName>(reader, section, name) {
        catalogue.gateways.insert(host);
    }
}

fn read_name<T: Value>(reader: &mut Reader, section: &str, name: &str) -> Option<T> {
    reader.know(section);
    let value = T::read(name);
    if value.is_none() {
        reader.fault(section, "", Problem::Form(name.into()), T::FORM);
    }
    value
}

fn required<T: Value>(reader: &mut Reader, section: &str, field: Field) -> Option<T> {
    reader.required(section, field.into())
}

fn note(reader: &mut Reader, fault: &Fault) {
    let kind = match fault.field {
        Field::Gateway => GATEWAY,
        _ => SERVICE,
    };
    let section = match fault.subject.as_str() {
        "" => String::new(),
        subject => format!("{kind}{subject}"),
    };
    let rule = Problem::Rule(fault.problem.to_string());
    reader.fault(&section, fault.field.into(), rule, "");
}
