//! Numbered events of a process, retained because a process that restarts has lost them.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::tracker::Crash;
use crate::tracker::WINDOW;

// Time for which a success is reported.
const SUCCESS_RETENTION: Duration = Duration::from_secs(10);
// Maximum number of stored events.
const MAX_EVENTS: usize = 512;

/// An event to report to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An instance crashed while it ran a request.
    Crashed(Crash),
    /// A suspected request was answered.
    Succeeded(Fingerprint),
    /// A request became refused.
    Refused(Fingerprint),
}

#[derive(Clone, Debug)]
struct StoredEvent {
    number: u64,
    at: Moment,
    event: Event,
}

/// The latest events.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    events: VecDeque<StoredEvent>,
    newest: u64,
}

impl EventLog {
    /// Adds an event, in place of the oldest one at the maximum number. Returns its number.
    pub fn push(&mut self, now: Moment, event: Event) -> u64 {
        self.remove_expired(now);
        if let Event::Succeeded(request) = event {
            self.remove_crashes(request);
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.newest += 1;
        self.events.push_back(StoredEvent {
            number: self.newest,
            at: now,
            event,
        });
        self.newest
    }

    /// Removes expired events.
    pub fn remove_expired(&mut self, now: Moment) {
        self.events.retain(|stored| {
            let retention = match stored.event {
                Event::Crashed(_) | Event::Refused(_) => WINDOW,
                Event::Succeeded(_) => SUCCESS_RETENTION,
            };
            now.since(stored.at) < retention
        });
    }

    /// The number of the newest event.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The stored events after the event `number`.
    #[must_use]
    pub fn since(&self, number: u64) -> Vec<Event> {
        let newer = self.events.iter().filter(|stored| stored.number > number);
        newer.map(|stored| stored.event.clone()).collect()
    }

    // An answer clears the request, so that its earlier crashes are no longer reported.
    fn remove_crashes(&mut self, request: Fingerprint) {
        let is_crash = |event: &Event| matches!(event, Event::Crashed(c) if c.request == request);
        self.events.retain(|stored| !is_crash(&stored.event));
    }
}
