//! What became of attempts and probes.

use std::time::Duration;

use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// How an attempt ended, as far as it tells of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// An answer that the instance means, a caller's own mistake included.
    Ok,
    /// A failure of the instance: 5xx other than shed, a broken or short answer.
    Error,
    /// A refusal before any work.
    Shed,
    /// No answer within the time of the attempt.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// Given up by the gateway or the caller; says nothing but how long it took so far.
    Cancelled,
}

/// The load that an instance says it has, the answered request not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests in flight at the instance, queued ones included.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// What an instance says of its load at one moment, everything counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes on its machine now, in hundredths of the usual time.
    pub pace: u32,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// Time from the start to the answer's head, or to the failure.
    pub latency: Duration,
    /// The load report on the answer, if it had one.
    pub report: Option<Report>,
}

/// The end of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It was answered with a report.
    Load(Report),
    /// It failed or took too long.
    Failed,
}
