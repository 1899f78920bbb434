//! Outcomes of attempts and probes.

use std::time::Duration;

use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// How an attempt ended, as far as it concerns the instance's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// A response that isn't a failure of the instance; includes errors of the caller.
    Ok,
    /// A failure of the instance: 5xx other than shed, or a broken or truncated response.
    Error,
    /// Refused before any work.
    Shed,
    /// No response within the attempt's timeout.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// Cancelled by the gateway or the caller; only its duration so far counts.
    Cancelled,
    /// Abandoned because the instance has probably lost the request.
    Abandoned,
}

/// Load reported on a response, without the answered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests in flight at the instance, including queued ones.
    pub in_flight: u32,
    /// Maximum number of requests processed at once.
    pub slots: u32,
}

/// An instance's load at one moment, including all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Maximum number of requests processed at once.
    pub slots: u32,
    /// Current work time on the instance's machine, in hundredths of the nominal time.
    pub pace: u32,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time from the start to the response's head, or to the failure.
    pub latency: Duration,
    /// Load report on the response, if any.
    pub report: Option<Report>,
}

/// The end of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The reported load.
    Load(Report),
    /// The probe failed or timed out.
    Failed,
}
