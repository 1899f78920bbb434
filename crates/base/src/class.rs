//! The class of a service, which decides queueing, retries and overload.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// How requests of a service are treated under load and faults.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// The caller waits; may be retried and hedged.
    Urgent,
    /// Non-idempotent: runs at most once, never retried after a byte left.
    Once,
    /// Idempotent change that must not be lost; retried, never hedged.
    Durable,
    /// May wait, must arrive whole; first to yield under overload.
    Deferred,
}

impl Class {
    /// Whether a second run does no harm.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}
