//! Faults of an entry, a catalogue or a change.

use std::fmt;

use base::name::NameError;
use quick_error::quick_error;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Maximum number of faults in one reply.
pub const MAX_FAULTS: usize = 64;

/// Field of an entry or a change, named as in catalogue files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Field {
    /// Name of a service.
    Service,
    /// Owner of a service.
    Owner,
    /// Request class of a service.
    Class,
    /// Maximum number of requests in flight at one gateway.
    Concurrency,
    /// Maximum number of requests queued at one gateway.
    Queue,
    /// Deadline of a request that doesn't set one.
    Deadline,
    /// Maximum size of a request body.
    Body,
    /// Retry budget, as a percentage of calls.
    Retries,
    /// Maximum rate of probes to one instance.
    Probes,
    /// Host name of a gateway.
    Gateway,
    /// Id of a change.
    Id,
    /// Author of a change.
    Author,
    /// Version that a change is based on.
    Base,
    /// Edits of a change.
    Edits,
}

quick_error! {
    /// Problem with a field.
    ///
    /// Refusals with these texts are stored by the replicas, whose snapshots must be
    /// byte-identical: changing a text breaks that between two releases.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Problem {
        /// The field is missing.
        Missing {
            display("is missing")
        }
        /// The text is not a valid name.
        Name(err: NameError) {
            from()
            display("{err}")
        }
        /// The text is not a valid owner or author.
        InvalidText {
            display("is 1 to 128 letters, digits, spaces or any of -_.:,&'()/, without a space at either end")
        }
        /// The number is not a known class.
        UnknownClass(number: i32) {
            display("{number} is no class (allowed: urgent, once, durable, deferred)")
        }
        /// The value is out of range.
        OutOfRange(found: u64, min: u64, max: u64, unit: &'static str) {
            display("{found} {unit} is outside {min} to {max} {unit}")
        }
        /// The number of services, gateways or edits exceeds the maximum.
        TooMany(found: usize, max: usize) {
            display("{found} are more than {max}")
        }
        /// The field contradicts another one.
        Contradicts(contradiction: Contradiction) {
            display("{contradiction}")
        }
        /// The catalogue has no service or gateway of that name.
        NotFound {
            display("is not in the catalogue")
        }
        /// The gateway is already registered.
        AlreadyExists {
            display("is in the catalogue already")
        }
        /// The service or gateway appears more than once in a change or catalogue.
        Duplicate {
            display("stands twice in one change")
        }
        /// The change is based on a version that doesn't exist yet.
        BaseAhead(current: u64) {
            display("is ahead of the current version {current}")
        }
    }
}

/// A combination of field values that is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Contradiction {
    /// Requests of a durable service must be retried until they succeed.
    #[strum(to_string = "class durable must not be lost, which retries of 0% contradict")]
    DurableWithoutRetries,
    /// Requests of a deferred service wait in a queue.
    #[strum(to_string = "class deferred may wait, which a queue of 0 contradicts")]
    DeferredWithoutQueue,
    /// The deadline exceeds [`MAX_URGENT_DEADLINE`](crate::entry::MAX_URGENT_DEADLINE).
    #[strum(
        to_string = "class urgent means that the caller waits, which a deadline over 30s contradicts"
    )]
    UrgentDeadlineTooLong,
    /// Each gateway's share of the probe budget would round down to zero.
    #[strum(
        to_string = "the measuring budget divided by the gateways gives less than 0.001/s each; raise it or set 0/s"
    )]
    ProbeBudgetTooSmall,
}

/// A fault and where it was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Name of the service or gateway; empty for the catalogue or change as a whole.
    pub subject: String,
    /// Field with the fault.
    pub field: Field,
    /// Problem with the field.
    pub problem: Problem,
}

impl Fault {
    /// Creates a fault of `field` of `subject`.
    pub fn new(subject: &str, field: Field, problem: impl Into<Problem>) -> Self {
        Self {
            subject: subject.into(),
            field,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.subject.is_empty() {
            return write!(f, "{}: {}", self.field, self.problem);
        }
        write!(f, "{}: {}: {}", self.subject, self.field, self.problem)
    }
}

impl From<&Fault> for wire::catalogue::Fault {
    fn from(fault: &Fault) -> Self {
        Self {
            service: fault.subject.clone(),
            field: fault.field.to_string(),
            reason: fault.problem.to_string(),
        }
    }
}

/// Converts the first [`MAX_FAULTS`] of `faults` to the wire form.
#[must_use]
pub fn to_wire(faults: &[Fault]) -> wire::catalogue::Invalid {
    wire::catalogue::Invalid {
        faults: faults.iter().take(MAX_FAULTS).map(Into::into).collect(),
    }
}
