//! The policies, their settings and the choice that they make.

use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::instance::Pick;

/// How an instance is chosen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Any ready instance, evenly.
    Random,
    /// Ready instances in turn.
    RoundRobin,
    /// The one of two random instances with fewer own attempts in flight.
    TwoChoices,
    /// The instance whose answer is expected first; the product's own.
    #[default]
    LeastWait,
}

/// Why the instance was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// A baseline policy's choice.
    Baseline,
    /// Least expected wait, from a report that is fresh.
    Fresh,
    /// Least expected wait, from own attempts and averages alone.
    Stale,
    /// Granted by the process that decides for the service.
    Placed,
    /// A trial request to an instance that is ejected or was silent.
    Trial,
    /// Every instance is ejected, so that health is left out of account.
    Panic,
}

/// The choice of an instance with what it rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub pick: Pick,
    /// Why this one.
    pub reason: Reason,
    /// Age of the newest report of the instance, `None` before the first.
    pub age: Option<Duration>,
    /// Own attempts in flight there.
    pub in_flight: u32,
    /// When an answer is expected, from now.
    pub expected: Duration,
}

/// Settings of a chooser.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Age at which the reports before have half of their weight.
    pub report_half_life: Duration,
    /// Age from which a report isn't used.
    pub max_report_age: Duration,
    /// Age of the newest report from which a probe is worth its cost.
    pub probe_age: Duration,
    /// How long an instance that is new, or back, gets a growing share.
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
