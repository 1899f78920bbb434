//! Faults that a stand-in can be set to show, one at a time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// Kind of a fault.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// No fault.
    #[default]
    None,
    /// Rejects requests before any work, with 503 and the header that marks them as shed.
    Shed,
    /// Responds with 500 at once.
    Fail,
    /// Multiplies the service time by `factor`.
    Slow,
    /// Accepts requests and never finishes them; the deadline still applies.
    Stall,
    /// Accepts requests and finishes them once the fault is changed; the deadline still applies.
    Hold,
    /// Sends half of the announced content length, then closes the connection.
    Short,
    /// Finishes the work, then delays the response by `delay_ms`.
    Late,
    /// Echoes the id of the request before, as if responses were swapped.
    Crossed,
    /// Reports zero requests in flight, whatever the load.
    Lie,
    /// Responds to probes with 503 and serves requests as usual.
    Ill,
    /// Rejects requests as [`Self::Shed`] does, and asks for `factor` seconds without any.
    Rest,
    /// Says in all responses that it is shutting down, and serves as usual.
    Leaving,
    /// Names a limit of `factor` requests per second in all responses, and serves as usual.
    Limited,
    /// The same in responses to requests only.
    LimitedRequests,
}

/// A fault with its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Factor on the service time under [`FaultKind::Slow`], requests per second under
    /// [`FaultKind::Limited`], seconds under [`FaultKind::Rest`].
    #[serde(default = "default_factor")]
    pub factor: u32,
    /// Delay of a response under [`FaultKind::Late`], in milliseconds.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
}

impl Fault {
    /// Creates a fault with the default parameters: 10 times slower, 1 s late.
    #[must_use]
    pub fn new(kind: FaultKind) -> Self {
        Self {
            kind,
            factor: default_factor(),
            delay_ms: default_delay(),
        }
    }

    /// Delay of a response; zero unless the fault is [`FaultKind::Late`].
    #[must_use]
    pub fn delay(&self) -> Duration {
        match self.kind {
            FaultKind::Late => Duration::from_millis(self.delay_ms),
            _ => Duration::ZERO,
        }
    }

    /// Factor on the service time; 1 unless the fault is [`FaultKind::Slow`].
    #[must_use]
    pub fn slowdown(&self) -> u32 {
        match self.kind {
            FaultKind::Slow => self.factor,
            _ => 1,
        }
    }
}

impl Default for Fault {
    fn default() -> Self {
        Self::new(FaultKind::None)
    }
}

fn default_factor() -> u32 {
    10
}

fn default_delay() -> u64 {
    1_000
}
