//! What can be wrong with an entry, a catalogue or a change.

use std::fmt;

use base::name::NameError;
use quick_error::quick_error;
use strum::Display;
use strum::EnumIter;
use strum::IntoStaticStr;

/// Most faults that one answer carries.
pub const MAX_FAULTS: usize = 64;

/// The part that is at fault, named as in catalogue files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Field {
    /// A service's name.
    Service,
    /// Who answers for a service.
    Owner,
    /// How its requests are treated.
    Class,
    /// Requests in flight at one gateway.
    Concurrency,
    /// Requests queued at one gateway.
    Queue,
    /// The deadline of a request that names none.
    Deadline,
    /// Largest request body.
    Body,
    /// Retries and hedges as a share of calls.
    Retries,
    /// Probes that one instance may receive.
    Probes,
    /// A gateway's host name.
    Gateway,
    /// The id of a change.
    Id,
    /// The author of a change.
    Author,
    /// The version that a change is based on.
    Base,
    /// The edits of a change.
    Edits,
}

quick_error! {
    /// What is wrong with a field.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Problem {
        /// Nothing stands there.
        Missing {
            display("is missing")
        }
        /// It is no name.
        Name(err: NameError) {
            from()
            display("{err}")
        }
        /// It is no text that may stand in a catalogue file.
        Text {
            display("is 1 to 128 letters, digits, spaces or any of -_.:,&'()/, without a space at either end")
        }
        /// It is no class.
        Class(number: i32) {
            display("{number} is no class (allowed: urgent, once, durable, deferred)")
        }
        /// It lies outside its bounds.
        Range(found: u64, least: u64, most: u64, unit: &'static str) {
            display("{found} {unit} is outside {least} to {most} {unit}")
        }
        /// There are more of them than a catalogue or a change may have.
        Many(found: usize, most: usize) {
            display("{found} are more than {most}")
        }
        /// It contradicts another field.
        Contradicts(why: Contradiction) {
            display("{why}")
        }
        /// The catalogue has nothing of that name.
        Absent {
            display("is not in the catalogue")
        }
        /// The catalogue has that name already.
        Present {
            display("is in the catalogue already")
        }
        /// Two edits of one change touch it.
        Twice {
            display("stands twice in one change")
        }
        /// The change is based on a version that doesn't exist yet.
        Ahead(current: u64) {
            display("is ahead of the current version {current}")
        }
    }
}

/// Two fields that can't both hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Contradiction {
    /// A durable change must be retried until it arrives.
    #[strum(to_string = "class durable must not be lost, which retries of 0% contradict")]
    DurableWithoutRetries,
    /// Deferred work waits in a queue.
    #[strum(to_string = "class deferred may wait, which a queue of 0 contradicts")]
    DeferredWithoutQueue,
    /// The caller of an urgent service doesn't wait that long.
    #[strum(
        to_string = "class urgent means that the caller waits, which a deadline over 30s contradicts"
    )]
    UrgentWithoutHaste,
    /// A gateway's share of the measuring budget would be nothing.
    #[strum(
        to_string = "the measuring budget divided by the gateways gives less than 0.001/s each; raise it or set 0/s"
    )]
    BudgetWithoutShare,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The service or gateway at fault, empty for the whole.
    pub subject: String,
    /// The part at fault.
    pub field: Field,
    /// What is wrong with it.
    pub problem: Problem,
}

impl Fault {
    /// A fault of `field` at `subject`.
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

/// The wire form of `faults`, the first [`MAX_FAULTS`] of them.
#[must_use]
pub fn to_wire(faults: &[Fault]) -> wire::catalogue::Invalid {
    wire::catalogue::Invalid {
        faults: faults.iter().take(MAX_FAULTS).map(Into::into).collect(),
    }
}
