//! Service classes, which determine queueing, retries and overload handling.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// How requests to a service are treated under load and on failure.
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
    /// The caller is waiting: may be retried and hedged.
    Urgent,
    /// Non-idempotent: runs at most once; never retried once any byte of the request has been sent.
    Once,
    /// Idempotent write that must not be lost: may be retried, never hedged.
    Durable,
    /// Delay-tolerant, but must be delivered in full; lowest priority under overload.
    Deferred,
}

impl Class {
    /// Whether a request can safely run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self != Self::Once
    }
}
