//! What a chooser knows of an instance, for operators.

use std::time::Duration;

use base::prelude::InstanceId;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::instance::Phase;
use crate::policy::Reason;

/// The judgement of an instance's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Health {
    /// Gets its share.
    Well,
    /// New or back, gets a growing share.
    Ramping,
    /// Gets no work but trials.
    Ejected,
    /// Trials are under way.
    Trial,
}

/// One instance as the chooser sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The instance.
    pub id: InstanceId,
    /// What it announced.
    pub phase: Phase,
    /// The judgement from results.
    pub health: Health,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Usual latency of an answer.
    pub latency: Duration,
    /// Age of the newest report.
    pub age: Option<Duration>,
    /// Share of the recent choices, in thousandths.
    pub chosen: u32,
    /// Why it was chosen last.
    pub reason: Option<Reason>,
}
