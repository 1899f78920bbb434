//! Instances of the directory's table, and handles to them.

use std::time::Duration;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Phase that an instance announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Not serving yet; receives no requests.
    Starting,
    /// Serving.
    Ready,
    /// Shutting down; receives no new requests.
    Draining,
    /// Removed, or its lease expired.
    Gone,
}

/// An entry of the directory's instance table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique within the service.
    pub id: InstanceId,
    /// Rises with each start under the same id; state of an earlier incarnation doesn't apply to
    /// a later one.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: DomainName,
    /// Maximum number of requests processed at once, at least 1.
    pub slots: u32,
    /// The phase that it announced.
    pub phase: Phase,
}

/// An instance as reported to a [`ProbingChooser`](crate::ProbingChooser).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedInstance {
    /// The instance.
    pub instance: Instance,
    /// Time that it remains cold, i.e. slow after its start.
    pub cold: Duration,
    /// It hasn't announced itself recently, so it may be gone.
    pub silent: bool,
}

impl Instance {
    /// Whether both are the same incarnation of the same instance.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

/// A handle to an instance of one chooser, valid until the instance is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// An attempt in flight, to be returned to the chooser at its end.
#[derive(Debug)]
#[must_use = "an attempt that is never finished counts as in flight forever"]
pub struct Ticket {
    pub(crate) pick: Pick,
    pub(crate) started_at: Moment,
}

impl Ticket {
    /// The instance that the attempt was sent to.
    #[must_use]
    pub fn pick(&self) -> Pick {
        self.pick
    }

    /// When the attempt started.
    #[must_use]
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    pub(crate) fn into_parts(self) -> (Pick, Moment) {
        (self.pick, self.started_at)
    }
}
