//! Catalogue entries of the two example users' services.

use std::time::Duration;

use base::prelude::*;
use catalogue::entry::Entry;
use catalogue::entry::Limits;

/// Ferrovie Alpine: status queries.
pub const STATUS: &str = "ferrovie.status";
/// Ferrovie Alpine: grants of track possessions.
pub const GRANTS: &str = "ferrovie.grants";
/// Ferrovie Alpine: cancellations of possessions.
pub const CANCELLATIONS: &str = "ferrovie.cancellations";
/// Ferrovie Alpine: the historical register.
pub const REGISTER: &str = "ferrovie.register";
/// The Trust: status enquiries.
pub const ENQUIRIES: &str = "trust.enquiries";
/// The Trust: drawings on letters of credit.
pub const DRAWINGS: &str = "trust.drawings";
/// The Trust: amendments of letters of credit.
pub const AMENDMENTS: &str = "trust.amendments";
/// The Trust: archived statements.
pub const STATEMENTS: &str = "trust.statements";

/// Ferrovie's owner in the catalogue.
const FERROVIE: &str = "Ferrovie Alpine Pianificazione";
/// The Trust's owner in the catalogue.
const TRUST: &str = "Caribbean Export Credit Trust";
/// Probe budget of one instance of Ferrovie, in thousandths of a probe per second.
const FERROVIE_PROBES: u32 = 10_000;
/// Probe budget of one instance of the Trust, in thousandths of a probe per second.
const TRUST_PROBES: u32 = 2_500;

/// All eight services.
#[must_use]
pub fn all() -> Vec<Entry> {
    [ferrovie(), trust()].concat()
}

/// The four services of Ferrovie Alpine.
#[must_use]
pub fn ferrovie() -> Vec<Entry> {
    vec![
        entry(STATUS, FERROVIE, Class::Urgent, FERROVIE_PROBES),
        entry(GRANTS, FERROVIE, Class::Once, FERROVIE_PROBES),
        entry(CANCELLATIONS, FERROVIE, Class::Durable, FERROVIE_PROBES),
        entry(REGISTER, FERROVIE, Class::Deferred, FERROVIE_PROBES),
    ]
}

/// The four services of the Trust.
#[must_use]
pub fn trust() -> Vec<Entry> {
    vec![
        entry(ENQUIRIES, TRUST, Class::Urgent, TRUST_PROBES),
        entry(DRAWINGS, TRUST, Class::Once, TRUST_PROBES),
        entry(AMENDMENTS, TRUST, Class::Durable, TRUST_PROBES),
        entry(STATEMENTS, TRUST, Class::Deferred, TRUST_PROBES),
    ]
}

/// Returns an entry with the limits that tests use.
///
/// # Panics
///
/// Panics if `service` is not a valid service name.
#[must_use]
pub fn entry(service: &str, owner: &str, class: Class, probes: u32) -> Entry {
    Entry {
        service: ServiceName::new(service).expect("a valid service name"),
        owner: owner.into(),
        class,
        limits: Limits {
            concurrency: 256,
            queue: 256,
            deadline: Duration::from_secs(10),
            body: 64 * 1024,
            retries: retries(class),
            probes,
        },
    }
}

fn retries(class: Class) -> u32 {
    if class == Class::Once { 0 } else { 10 }
}
