//! The actions that a call requests from its driver.

use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::IntoStaticStr;

use crate::event::AttemptError;
use crate::event::AttemptNumber;

/// Maximum number of actions in response to one event.
pub const MAX_ACTIONS: usize = 4;

/// An action that a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an upstream that this call hasn't tried, and send the request to it.
    Start(Start),
    /// Cancel an attempt. Its connection may be reused only if its response was complete.
    Cancel(AttemptNumber),
    /// Relay the response of an attempt to the caller.
    Relay {
        /// The attempt to relay.
        number: AttemptNumber,
        /// Whether to add [`base::header::RETRIED`]: the response is a failure, which callers
        /// at higher levels must not retry, or took extra attempts, which they charge to
        /// their budgets.
        retried: bool,
    },
    /// Answer the caller with a failure.
    Fail(Failure),
    /// Abort the caller's connection or stream, because a part of the body was relayed.
    Break(Failure),
}

/// An attempt to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Value of [`base::header::ATTEMPT`].
    pub number: AttemptNumber,
    /// The call's deadline, after which the driver may drop the attempt by itself.
    pub deadline: Moment,
    /// Value of [`base::header::DEADLINE`]. Shorter than the remaining time, so that a failure
    /// of the level below arrives before the deadline here.
    pub upstream_timeout: Duration,
    /// Value of [`base::header::DEPTH`].
    pub depth: u8,
    /// First byte of the body to request; above 0 only when resuming a truncated body.
    pub offset: u64,
    /// Whether the attempt is a hedge, started while another is in flight.
    pub hedge: bool,
}

/// The final response of a call without an upstream's response. Always carries
/// [`base::header::RETRIED`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// `not-run` only if this is certain for all attempts.
    pub outcome: Outcome,
    /// Why the call failed.
    pub reason: Reason,
}

impl Failure {
    /// The HTTP status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match (self.outcome, self.reason) {
            (Outcome::NotRun, _) => 503,
            (Outcome::Unknown, Reason::Deadline) => 504,
            (Outcome::Unknown, _) => 502,
        }
    }
}

/// Why a call failed. Value of [`base::header::REASON`], also logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No upstream is available.
    NoUpstream,
    /// The connection to the upstream failed.
    Connect,
    /// The upstream shed the request before any work.
    Shed,
    /// No response to a request that may have been sent.
    NoAnswer,
    /// The request crashes instances.
    Quarantined,
    /// The response belonged to another request.
    Mismatch,
    /// The status of the response says that the request hasn't run, without proof.
    Unproven,
    /// The deadline passed.
    Deadline,
    /// The body of the response was truncated.
    ShortBody,
}

impl From<AttemptError> for Reason {
    fn from(err: AttemptError) -> Self {
        match err {
            AttemptError::NoUpstream => Self::NoUpstream,
            AttemptError::ConnectFailed | AttemptError::NotSent => Self::Connect,
            AttemptError::NoAnswer | AttemptError::Suspected => Self::NoAnswer,
            AttemptError::Quarantined => Self::Quarantined,
            AttemptError::Mismatch => Self::Mismatch,
            AttemptError::Unproven => Self::Unproven,
            AttemptError::Timeout => Self::Deadline,
            AttemptError::ShortBody(_) => Self::ShortBody,
        }
    }
}

/// Up to [`MAX_ACTIONS`] actions, in order, without allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    items: [Option<Action>; MAX_ACTIONS],
}

impl Actions {
    /// No actions.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// Appends `action`.
    ///
    /// # Panics
    ///
    /// Panics if there are [`MAX_ACTIONS`] already.
    pub fn push(&mut self, action: Action) {
        let free = self.items.iter_mut().find(|item| item.is_none());
        *free.expect("an event leads to at most MAX_ACTIONS actions") = Some(action);
    }

    /// The actions in order.
    pub fn iter(&self) -> impl Iterator<Item = Action> {
        self.items.into_iter().flatten()
    }
}

impl IntoIterator for Actions {
    type Item = Action;
    type IntoIter = std::iter::Flatten<std::array::IntoIter<Option<Action>, MAX_ACTIONS>>;

    fn into_iter(self) -> Self::IntoIter {
        self.items.into_iter().flatten()
    }
}
