//! A chooser's state for operators.

use std::time::Duration;

use base::prelude::InstanceId;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::instance::Phase;
use crate::policy::Reason;

/// Health of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Health {
    /// Receives its full share of requests.
    Well,
    /// New or returned from an ejection; receives a growing share.
    Ramping,
    /// Receives only trial requests.
    Ejected,
    /// A trial request may be sent or is in flight.
    Trial,
}

/// State of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The instance.
    pub id: InstanceId,
    /// The phase that the instance announced.
    pub phase: Phase,
    /// Result of outlier detection.
    pub health: Health,
    /// The chooser's own attempts in flight.
    pub in_flight: u32,
    /// Estimated work time of a request.
    pub latency: Duration,
    /// Age of the latest load report.
    pub age: Option<Duration>,
    /// Share of the recent choices, in thousandths.
    pub chosen: u32,
    /// Reason of the latest choice of the instance.
    pub reason: Option<Reason>,
}
