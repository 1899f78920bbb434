//! The two users' shapes.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::fake::SLOTS;
use crate::noise::Neighbours;

/// A service as one of the users runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Shape {
    /// Ferrovie's status queries: 10 instances, short work, cheap probes.
    Ferrovie,
    /// The Trust's drawings: 6 instances, longer work, probes of 5 ms.
    Trust,
}

impl Shape {
    /// Instances of the service.
    pub fn instances(self) -> u32 {
        match self {
            Self::Ferrovie => 10,
            Self::Trust => 6,
        }
    }

    /// Mean time of a request's work on an undisturbed slot.
    pub fn work(self) -> Duration {
        match self {
            Self::Ferrovie => Duration::from_millis(5),
            Self::Trust => Duration::from_millis(20),
        }
    }

    /// What a probe costs an instance, on one of its slots.
    pub fn probe_work(self) -> Duration {
        match self {
            Self::Ferrovie => Duration::from_micros(200),
            Self::Trust => Duration::from_millis(5),
        }
    }

    /// The default measuring budget, in thousandths of a probe a second and instance.
    pub fn probes(self) -> u32 {
        match self {
            Self::Ferrovie => 4_000,
            Self::Trust => 1_000,
        }
    }

    /// How long a caller waits.
    pub fn deadline(self) -> Duration {
        self.work() * 20
    }

    /// Calls a second that all instances can serve.
    pub fn capacity(self, neighbours: Neighbours) -> f64 {
        let slots = f64::from(SLOTS * self.instances());
        slots * neighbours.mean_speed() / self.work().as_secs_f64()
    }
}
