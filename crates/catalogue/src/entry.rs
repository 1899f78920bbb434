//! A service of the catalogue and its limits.

use std::time::Duration;

use base::name;
use base::prelude::Class;
use base::prelude::ServiceName;
use wire::catalogue::Class as WireClass;

use crate::fault::Contradiction;
use crate::fault::Fault;
use crate::fault::Field;
use crate::fault::Problem;

/// Maximum of [`Limits::concurrency`].
pub const MAX_CONCURRENCY: u32 = 100_000;
/// Maximum of [`Limits::queue`].
pub const MAX_QUEUE: u32 = 100_000;
/// Minimum of [`Limits::deadline`].
pub const MIN_DEADLINE: Duration = Duration::from_millis(10);
/// Maximum of [`Limits::deadline`].
pub const MAX_DEADLINE: Duration = Duration::from_mins(10);
/// Maximum of [`Limits::deadline`] for the class urgent.
pub const MAX_URGENT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum of [`Limits::body`], in bytes.
pub const MAX_BODY: u64 = 64 * 1024 * 1024;
/// Maximum of [`Limits::retries`], in percent.
pub const MAX_RETRIES: u32 = 100;
/// Maximum of [`Limits::probes`], in thousandths per second.
pub const MAX_PROBES: u32 = 1_000_000;
/// Characters besides letters and digits that an owner's name may contain.
const OWNER_PUNCTUATION: &str = " -_.:,&'()/";

/// Limits of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of requests in flight at one gateway.
    pub concurrency: u32,
    /// Maximum number of requests queued at one gateway.
    pub queue: u32,
    /// Deadline of a request that doesn't set one, in whole milliseconds.
    pub deadline: Duration,
    /// Maximum size of a request body, in bytes.
    pub body: u64,
    /// Retry budget for retries and hedges, in percent of calls.
    pub retries: u32,
    /// Maximum rate of probes to one instance from all gateways together, in thousandths per second.
    pub probes: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the service.
    pub service: ServiceName,
    /// Person or team responsible for the service.
    pub owner: String,
    /// Request class, which decides how requests are handled.
    pub class: Class,
    /// Limits of the service.
    pub limits: Limits,
}

impl Entry {
    /// Converts and checks the wire form.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the entry.
    pub fn from_wire(entry: &wire::catalogue::Entry) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let mut add_fault =
            |field, problem| faults.push(Fault::new(&entry.service, field, problem));
        let service = ServiceName::new(&entry.service)
            .map_err(|err| add_fault(Field::Service, Problem::Name(err)))
            .ok();
        if !is_valid_owner(&entry.owner) {
            add_fault(Field::Owner, Problem::InvalidText);
        }
        let class = class_from_wire(entry.class);
        if class.is_none() {
            add_fault(Field::Class, Problem::UnknownClass(entry.class));
        }
        let limits = entry.limits.unwrap_or_default();
        for (field, problem) in range_faults(&limits) {
            add_fault(field, problem);
        }
        let limits = Limits::from_wire(&limits);
        for (field, contradiction) in class.into_iter().flat_map(|c| contradictions(c, &limits)) {
            add_fault(field, Problem::Contradicts(contradiction));
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

    /// Converts to the wire form.
    #[must_use]
    pub fn to_wire(&self) -> wire::catalogue::Entry {
        wire::catalogue::Entry {
            service: self.service.to_string(),
            owner: self.owner.clone(),
            class: class_to_wire(self.class).into(),
            limits: Some(self.limits.to_wire()),
        }
    }
}

impl Limits {
    /// Converts the wire form without checks; [`Entry::from_wire`] checks it.
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

    /// Converts to the wire form.
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

/// Converts the number of a class on the wire; `None` if it is unknown or unspecified.
#[must_use]
pub fn class_from_wire(number: i32) -> Option<Class> {
    match WireClass::try_from(number).ok()? {
        WireClass::Unspecified => None,
        WireClass::Urgent => Some(Class::Urgent),
        WireClass::Once => Some(Class::Once),
        WireClass::Durable => Some(Class::Durable),
        WireClass::Deferred => Some(Class::Deferred),
    }
}

/// Converts a class to its wire form.
#[must_use]
pub fn class_to_wire(class: Class) -> WireClass {
    match class {
        Class::Urgent => WireClass::Urgent,
        Class::Once => WireClass::Once,
        Class::Durable => WireClass::Durable,
        Class::Deferred => WireClass::Deferred,
    }
}

/// Whether `text` is a valid owner or author, both on the wire and in a catalogue file.
pub(crate) fn is_valid_owner(text: &str) -> bool {
    let allowed = |c: char| c.is_alphanumeric() || OWNER_PUNCTUATION.contains(c);
    (1..=name::MAX_NAME_BYTES).contains(&text.len())
        && text.trim() == text
        && text.chars().all(allowed)
}

fn range_faults(limits: &wire::catalogue::Limits) -> Vec<(Field, Problem)> {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let deadline = (millis(MIN_DEADLINE), millis(MAX_DEADLINE));
    let ranges = [
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
    ranges
        .into_iter()
        .filter(|(_, found, (min, max), _)| found < min || found > max)
        .map(|(field, found, (min, max), unit)| (field, Problem::OutOfRange(found, min, max, unit)))
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
            vec![(Field::Deadline, Contradiction::UrgentDeadlineTooLong)]
        }
        _ => Vec::new(),
    }
}
