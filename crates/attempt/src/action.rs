//! What a call asks of its adapter.

use std::time::Duration;

use base::prelude::*;
use strum::Display;
use strum::IntoStaticStr;

use crate::event::AttemptError;
use crate::event::AttemptNumber;

/// Most actions that one event brings: a failure and the end of two attempts.
pub const MOST_ACTIONS: usize = 4;

/// One thing to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an upstream that this call hasn't tried, and send the request.
    Start(Start),
    /// Drop an attempt; its connection is never used again, unless its answer was whole.
    Cancel(AttemptNumber),
    /// Relay this attempt's answer; `marked` adds [`base::header::RETRIED`].
    Relay {
        /// The attempt.
        number: AttemptNumber,
        /// It is a failure, which no level above may retry, or took extra attempts,
        /// which the levels above pay for from their budgets too.
        retried: bool,
    },
    /// Answer the caller at once with a failure.
    Fail(Failure),
    /// Break the caller's connection or stream: a part of the body was relayed.
    Break(Failure),
}

/// An attempt to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// From 1; goes into [`base::header::ATTEMPT`].
    pub number: AttemptNumber,
    /// When the adapter may drop it by itself: the call's deadline.
    pub deadline: Moment,
    /// What goes into [`base::header::DEADLINE`]: less than what remains, so that the
    /// failure of a level below, with its mark, comes before the deadline here.
    pub upstream_timeout: Duration,
    /// What goes into [`base::header::DEPTH`].
    pub depth: u8,
    /// First byte of the body to ask for; over 0 only after a broken body.
    pub offset: u64,
    /// Runs beside another attempt.
    pub hedge: bool,
}

/// The final answer when it isn't the upstream's own; always carries [`base::header::RETRIED`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// `not-run` only when certain over all attempts.
    pub outcome: Outcome,
    /// Why the last attempt failed.
    pub reason: Reason,
}

impl Failure {
    /// The HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> u16 {
        match (self.outcome, self.reason) {
            (Outcome::NotRun, _) => 503,
            (Outcome::Unknown, Reason::Deadline) => 504,
            (Outcome::Unknown, _) => 502,
        }
    }
}

/// Why a call failed, for [`base::header::REASON`] and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// No upstream could be chosen.
    NoUpstream,
    /// No upstream took the connection.
    Connect,
    /// Every upstream tried refused before any work.
    Shed,
    /// No answer to a request that may have been sent.
    NoAnswer,
    /// The answer was another request's.
    Mismatch,
    /// The deadline passed.
    Deadline,
    /// The body of the answer was short.
    ShortBody,
}

impl From<AttemptError> for Reason {
    fn from(ending: AttemptError) -> Self {
        match ending {
            AttemptError::NoUpstream => Self::NoUpstream,
            AttemptError::ConnectFailed | AttemptError::NotSent => Self::Connect,
            AttemptError::NoAnswer => Self::NoAnswer,
            AttemptError::Mismatch => Self::Mismatch,
            AttemptError::Timeout => Self::Deadline,
            AttemptError::ShortBody(_) => Self::ShortBody,
        }
    }
}

/// Up to [`MOST_ACTIONS`] actions, in order, without allocation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    items: [Option<Action>; MOST_ACTIONS],
}

impl Actions {
    /// None.
    #[must_use]
    pub fn none() -> Self {
        Self::default()
    }

    /// Adds `action` as the last.
    ///
    /// # Panics
    ///
    /// Panics when there are [`MOST_ACTIONS`] already, which no event brings.
    pub fn push(&mut self, action: Action) {
        let free = self.items.iter_mut().find(|item| item.is_none());
        *free.expect("an event brings at most MOST_ACTIONS actions") = Some(action);
    }

    /// The actions in order.
    pub fn iter(&self) -> impl Iterator<Item = Action> {
        self.items.into_iter().flatten()
    }
}

impl IntoIterator for Actions {
    type Item = Action;
    type IntoIter = std::iter::Flatten<std::array::IntoIter<Option<Action>, MOST_ACTIONS>>;

    fn into_iter(self) -> Self::IntoIter {
        self.items.into_iter().flatten()
    }
}
