//! The requests of one workspace that wait for permits in one process.
//!
//! One call to the holder is in flight; requests that come meanwhile form the next batch. After
//! a refusal, requests are refused here until tokens have accrued.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

/// Maximum number of permits in one call. Larger batches would let one process empty the bucket
/// before the others ask.
const MAX_BATCH: usize = 64;

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A holder granted this many permits, and refuses further ones for some time if they are
    /// fewer than asked for.
    Granted(u32, Duration),
    /// No holder answered.
    Unreachable,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Granted,
    /// It is beyond the quota; the time after which to come back.
    Refused(Duration),
    /// No holder answered.
    Unreachable,
}

/// The waiting requests of one workspace, each with a ticket of the caller's choice.
#[derive(Clone, Debug)]
pub struct Batch<T> {
    waiting: VecDeque<T>,
    /// The tickets of the call in flight.
    asked: Vec<T>,
    refused_until: Moment,
}

impl<T> Default for Batch<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            asked: Vec::new(),
            refused_until: Moment::ZERO,
        }
    }
}

impl<T> Batch<T> {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Refuses it if the holder said so a short time ago, with the time after which to come back.
    pub fn add(&mut self, now: Moment, ticket: T) -> Result<(), Duration> {
        let refused_for = self.refused_until.since(now);
        if !refused_for.is_zero() {
            return Err(refused_for);
        }
        self.waiting.push_back(ticket);
        Ok(())
    }

    /// Starts the next call unless one is in flight or no request waits. Returns the number of
    /// permits to ask for.
    pub fn start_call(&mut self) -> Option<u32> {
        if !self.asked.is_empty() || self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len().min(MAX_BATCH);
        self.asked = self.waiting.drain(..count).collect();
        u32::try_from(count).ok()
    }

    /// Ends the call in flight. Returns what becomes of each request that it was for, and of those
    /// that came meanwhile and are refused with them.
    pub fn end_call(&mut self, now: Moment, answer: Answer) -> Vec<(T, Verdict)> {
        let asked = std::mem::take(&mut self.asked);
        let Answer::Granted(granted, retry_after) = answer else {
            let lost = asked.into_iter().chain(self.waiting.drain(..));
            return lost.map(|ticket| (ticket, Verdict::Unreachable)).collect();
        };
        let granted = usize::try_from(granted).unwrap_or(usize::MAX);
        let is_refused = granted < asked.len();
        let mut verdicts: Vec<(T, Verdict)> = Vec::with_capacity(asked.len());
        for (index, ticket) in asked.into_iter().enumerate() {
            let verdict = if index < granted {
                Verdict::Granted
            } else {
                Verdict::Refused(retry_after)
            };
            verdicts.push((ticket, verdict));
        }
        if is_refused {
            self.refused_until = now + retry_after;
            let later = self.waiting.drain(..);
            verdicts.extend(later.map(|ticket| (ticket, Verdict::Refused(retry_after))));
        }
        verdicts
    }

    /// Whether nothing has to be kept of it.
    #[must_use]
    pub fn is_idle(&self, now: Moment) -> bool {
        self.asked.is_empty() && self.waiting.is_empty() && now >= self.refused_until
    }
}
