//! Load balancing policies, their settings and the choice they make.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::instance::Pick;

/// Load balancing policy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// A random ready instance.
    Random,
    /// Ready instances in turn.
    RoundRobin,
    /// The one of two random instances with fewer own attempts in flight.
    TwoChoices,
    /// The instance with the earliest expected response.
    #[default]
    LeastWait,
}

/// Why the instance was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// Choice of a baseline policy.
    Baseline,
    /// Least expected wait by a fresh load report.
    Fresh,
    /// Least expected wait without a fresh load report, by own attempts and averages.
    Stale,
    /// Granted by the service's dispatcher.
    Placed,
    /// Trial request to an ejected instance.
    Trial,
    /// All instances are ejected, so that health is ignored.
    Panic,
}

/// A chosen instance and the state that it was chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub pick: Pick,
    /// Why it was chosen.
    pub reason: Reason,
    /// Age of its latest load report, `None` before the first.
    pub age: Option<Duration>,
    /// Own attempts in flight there.
    pub in_flight: u32,
    /// Expected time to the response.
    pub expected: Duration,
}

/// Settings of a chooser.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Age at which earlier reports have half of their weight.
    pub report_half_life: Duration,
    /// Age from which a report is ignored.
    pub max_report_age: Duration,
    /// Age of the latest report from which the instance is probed.
    pub probe_age: Duration,
    /// Duration of the ramp of a new or returned instance.
    pub ramp: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_secs(3),
            max_report_age: Duration::from_secs(10),
            probe_age: Duration::from_millis(200),
            ramp: Duration::from_secs(2),
        }
    }
}
