//! Faults that a stand-in is told to show, one at a time.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// What goes wrong.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing.
    #[default]
    None,
    /// Refuses before any work, and says so.
    Shed,
    /// Answers 500 at once.
    Fail,
    /// Works slower by the factor.
    Slow,
    /// Takes the work and never answers, for as long as the connection lives.
    Stall,
    /// Takes the work and keeps it until the fault is switched.
    Hold,
    /// Sends half of the body that it announced, then closes.
    Short,
    /// Finishes the work, then sends the answer later by `delay_ms`.
    Late,
    /// Echoes another request's id, as if answers were crossed.
    Crossed,
    /// Reports no load whatever it has in flight.
    Lie,
    /// Answers probes with 503 and works as ever.
    Ill,
}

/// A fault with its measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Factor on the service time when slow.
    #[serde(default = "default_factor")]
    pub factor: u32,
    /// Delay of a late answer in milliseconds.
    #[serde(default = "default_delay")]
    pub delay_ms: u64,
}

impl Fault {
    /// `kind` with the default measures: 10 times slower, 1 s late.
    #[must_use]
    pub fn new(kind: FaultKind) -> Self {
        Self {
            kind,
            factor: default_factor(),
            delay_ms: default_delay(),
        }
    }

    /// The delay of a late answer, zero under any other fault.
    #[must_use]
    pub fn delay(&self) -> Duration {
        match self.kind {
            FaultKind::Late => Duration::from_millis(self.delay_ms),
            _ => Duration::ZERO,
        }
    }

    /// The factor on the service time, 1 under any other fault than slow.
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
