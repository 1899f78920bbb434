//! What the directory says of an instance, and handles to it.

use std::time::Duration;

use base::prelude::DomainName;
use base::prelude::InstanceId;
use base::prelude::Moment;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// What an instance announced of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Not yet serving; gets no work.
    Starting,
    /// Serving.
    Ready,
    /// Leaving; gets no new work.
    Draining,
    /// Left, or its lease ran out.
    Gone,
}

/// One row of the directory's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Unique within the service.
    pub id: InstanceId,
    /// Rises with each start under the same id; what was known of an earlier one says
    /// nothing of a later one.
    pub incarnation: u64,
    /// The failure domain it runs in.
    pub domain: DomainName,
    /// Requests that it works on at once, at least 1.
    pub slots: u32,
    /// What it announced.
    pub phase: Phase,
}

/// An instance as a chooser is told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedInstance {
    /// It.
    pub instance: Instance,
    /// How long it is still slow after its start.
    pub cold: Duration,
    /// It hasn't announced itself lately, so it may be gone.
    pub silent: bool,
}

impl Instance {
    /// Whether both are the same start of the same instance.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

/// A handle to an instance of one chooser, valid until the instance has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pick {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

/// An attempt in flight, given back to the chooser at its end.
#[derive(Debug)]
#[must_use = "an attempt that is never finished counts as in flight for good"]
pub struct Ticket {
    pub(crate) pick: Pick,
    pub(crate) started_at: Moment,
}

impl Ticket {
    /// The instance that the attempt went to.
    #[must_use]
    pub fn pick(&self) -> Pick {
        self.pick
    }

    /// When the attempt began.
    #[must_use]
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    /// Uses the ticket up.
    pub(crate) fn into_parts(self) -> (Pick, Moment) {
        (self.pick, self.started_at)
    }
}
