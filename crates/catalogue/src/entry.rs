//! One service of the catalogue, with its bounds.

use std::time::Duration;

use base::name;
use base::prelude::Class;
use base::prelude::ServiceName;
use wire::catalogue::Class as WireClass;

use crate::fault::Contradiction;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Most requests in flight at one gateway.
pub const MAX_CONCURRENCY: u32 = 100_000;
/// Most requests queued at one gateway.
pub const MAX_QUEUE: u32 = 100_000;
/// Shortest deadline.
pub const MIN_DEADLINE: Duration = Duration::from_millis(10);
/// Longest deadline.
pub const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Longest deadline of an urgent service.
pub const MAX_URGENT_DEADLINE: Duration = Duration::from_secs(30);
/// Largest request body, in bytes.
pub const MAX_BODY: u64 = 64 * 1024 * 1024;
/// Most retries, in percent of calls.
pub const MAX_RETRIES: u32 = 100;
/// Most probes that one instance may receive, in thousandths a second.
pub const MAX_PROBES: u32 = 1_000_000;
/// Other characters than letters and digits that an owner may have.
const OWNER_MARKS: &str = " -_.:,&'()/";

/// Bounds of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in flight at one gateway.
    pub concurrency: u32,
    /// Requests queued at one gateway.
    pub queue: u32,
    /// Deadline of a request that names none, in whole milliseconds.
    pub deadline: Duration,
    /// Largest request body, in bytes.
    pub body: u64,
    /// Retries and hedges, in percent of calls.
    pub retries: u32,
    /// Probes that one instance may receive from all gateways together, in thousandths a second.
    pub probes: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub service: ServiceName,
    /// Who answers for it.
    pub owner: String,
    /// How its requests are treated.
    pub class: Class,
    /// Its bounds.
    pub limits: Limits,
}

impl Entry {
    /// Takes the wire form.
    ///
    /// # Errors
    ///
    /// Fails with every fault of the entry.
    pub fn from_wire(entry: &wire::catalogue::Entry) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut note = |field, problem| faults.push(Fault::new(&entry.service, field, problem));
        let service = ServiceName::new(&entry.service)
            .map_err(|err| note(Field::Service, Problem::Name(err)))
            .ok();
        if !is_owner(&entry.owner) {
            note(Field::Owner, Problem::Text);
        }
        let class = read_class(entry.class);
        if class.is_none() {
            note(Field::Class, Problem::Class(entry.class));
        }
        let limits = entry.limits.unwrap_or_default();
        for (field, problem) in range_faults(&limits) {
            note(field, problem);
        }
        let limits = Limits::from_wire(&limits);
        for (field, why) in class.into_iter().flat_map(|c| contradictions(c, &limits)) {
            note(field, Problem::Contradicts(why));
        }
        match (service, class) {
            (Some(service), Some(class)) if faults.is_empty() => Ok(Self {
                service,
                owner: entry.owner.clone(),
                class,
                limits,
            }),
            _ => Err(faults),
        }
    }

    /// The wire form.
    #[must_use]
    pub fn to_wire(&self) -> wire::catalogue::Entry {
        wire::catalogue::Entry {
            service: self.service.to_string(),
            owner: self.owner.clone(),
            class: write_class(self.class).into(),
            limits: Some(self.limits.to_wire()),
        }
    }
}

impl Limits {
    /// Takes the wire form as it is; [`Entry::from_wire`] checks it.
    #[must_use]
    pub fn from_wire(limits: &wire::catalogue::Limits) -> Self {
        Self {
            concurrency: limits.concurrency,
            queue: limits.queue,
            deadline: Duration::from_millis(limits.deadline_ms.into()),
            body: limits.body_bytes,
            retries: limits.retry_percent,
            probes: limits.probe_millis,
        }
    }

    /// The wire form.
    #[must_use]
    pub fn to_wire(&self) -> wire::catalogue::Limits {
        wire::catalogue::Limits {
            concurrency: self.concurrency,
            queue: self.queue,
            deadline_ms: u32::try_from(self.deadline.as_millis()).unwrap_or(u32::MAX),
            body_bytes: self.body,
            retry_percent: self.retries,
            probe_millis: self.probes,
        }
    }
}

/// The class of a wire number.
#[must_use]
pub fn read_class(number: i32) -> Option<Class> {
    match WireClass::try_from(number).ok()? {
        WireClass::Unspecified => None,
        WireClass::Urgent => Some(Class::Urgent),
        WireClass::Once => Some(Class::Once),
        WireClass::Durable => Some(Class::Durable),
        WireClass::Deferred => Some(Class::Deferred),
    }
}

/// The wire form of a class.
#[must_use]
pub fn write_class(class: Class) -> WireClass {
    match class {
        Class::Urgent => WireClass::Urgent,
        Class::Once => WireClass::Once,
        Class::Durable => WireClass::Durable,
        Class::Deferred => WireClass::Deferred,
    }
}

/// Whether `text` can name an owner, in the wire form and in a catalogue file.
pub(crate) fn is_owner(text: &str) -> bool {
    let allowed = |c: char| c.is_alphanumeric() || OWNER_MARKS.contains(c);
    (1..=name::MAX_NAME_BYTES).contains(&text.len())
        && text.trim() == text
        && text.chars().all(allowed)
}

fn range_faults(limits: &wire::catalogue::Limits) -> Vec<(Field, Problem)> {
    let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let deadline = (millis(MIN_DEADLINE), millis(MAX_DEADLINE));
    let rows = [
        (
            Field::Concurrency,
            limits.concurrency.into(),
            (1, MAX_CONCURRENCY.into()),
            "requests",
        ),
        (
            Field::Queue,
            limits.queue.into(),
            (0, MAX_QUEUE.into()),
            "requests",
        ),
        (Field::Deadline, limits.deadline_ms.into(), deadline, "ms"),
        (Field::Body, limits.body_bytes, (0, MAX_BODY), "bytes"),
        (
            Field::Retries,
            limits.retry_percent.into(),
            (0, MAX_RETRIES.into()),
            "percent",
        ),
        (
            Field::Probes,
            limits.probe_millis.into(),
            (0, MAX_PROBES.into()),
            "thousandths a second",
        ),
    ];
    rows.into_iter()
        .filter(|(_, found, (least, most), _)| found < least || found > most)
        .map(|(field, found, (least, most), unit)| {
            (field, Problem::Range(found, least, most, unit))
        })
        .collect()
}

fn contradictions(class: Class, limits: &Limits) -> Vec<(Field, Contradiction)> {
    match class {
        Class::Durable if limits.retries == 0 => {
            vec![(Field::Retries, Contradiction::DurableWithoutRetries)]
        }
        Class::Deferred if limits.queue == 0 => {
            vec![(Field::Queue, Contradiction::DeferredWithoutQueue)]
        }
        Class::Urgent if limits.deadline > MAX_URGENT_DEADLINE => {
            vec![(Field::Deadline, Contradiction::UrgentWithoutHaste)]
        }
        _ => Vec::new(),
    }
}
