//! The quarantine state of one process that sends requests, as a state machine without I/O.
//!
//! The process counts the crashes that it sees itself, so that it refuses requests even if no hub
//! answers. Hubs count the crashes of all processes. Events are retained after they were reported,
//! because a restarted hub has lost them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;

use crate::event_log::Event;
use crate::event_log::EventLog;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::Head;
use crate::recent_answers::RecentAnswers;
use crate::tracker::Crash;
use crate::tracker::Outcome;
use crate::tracker::Suspect;
use crate::tracker::Tracker;
use crate::tracker::WINDOW;
use crate::tracker::path_range;

/// Refuses requests that crash the instances that run them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    tracker: Tracker,
    // Requests that a hub or directory reported as suspected, and when.
    suspected: BTreeMap<Fingerprint, Moment>,
    answered: RecentAnswers,
    events: EventLog,
}

impl Quarantine {
    /// Remaining time for which a request is refused; none if it isn't refused.
    #[must_use]
    pub fn refused(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        self.tracker.refused(now, request)
    }

    /// Whether there are records of requests for this path. Otherwise, none is refused.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        let suspected = self.suspected.range(path_range(head)).next();
        self.tracker.tracks_path(head) || suspected.is_some()
    }

    /// Records that an instance crashed while it ran a request of this process. Returns the
    /// number of the event to report and the resulting decision.
    pub fn record_crash(&mut self, now: Moment, crash: Crash) -> (u64, Outcome) {
        if self.answered.contains(now, crash.request) {
            return (self.events.newest(), Outcome::Answered);
        }
        let crash = Crash {
            answered: self.answered.contains(now, crash.request.for_all_senders()),
            ..crash
        };
        let outcome = self.tracker.record_crash(now, &crash);
        (self.push_event(now, Event::Crashed(crash)), outcome)
    }

    /// Records that an instance answered a request of this process. Returns whether the request
    /// was suspected.
    pub fn record_success(&mut self, now: Moment, request: Fingerprint) -> bool {
        self.answered.record(now, request);
        let of_sender = self.suspected.remove(&request).is_some();
        let suspected = self.suspected.remove(&request.for_all_senders()).is_some() || of_sender;
        if !self.tracker.record_success(now, request) && !suspected {
            return false;
        }
        self.push_event(now, Event::Succeeded(request));
        true
    }

    fn push_event(&mut self, now: Moment, event: Event) -> u64 {
        self.remove_expired(now);
        self.events.push(now, event)
    }

    fn remove_expired(&mut self, now: Moment) {
        self.events.remove_expired(now);
        self.suspected.retain(|_, at| now.since(*at) < WINDOW);
    }

    /// Applies the suspects that a hub or directory reported. Returns those that are refused from now on.
    pub fn apply_suspects(&mut self, now: Moment, suspects: &[Suspect]) -> Vec<Suspect> {
        self.remove_expired(now);
        let mut refused = Vec::new();
        for suspect in suspects {
            if suspect.refused.is_zero() {
                self.suspected.insert(suspect.request, now);
            } else if self
                .tracker
                .record_refusal(now, suspect.request, suspect.refused)
            {
                refused.push(*suspect);
            }
        }
        refused
    }

    /// The number of the newest event.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.events.newest()
    }

    /// The stored events after the event `number`.
    #[must_use]
    pub fn since(&self, number: u64) -> Vec<Event> {
        self.events.since(number)
    }

    /// The requests that are refused now, for a hub that has restarted.
    #[must_use]
    pub fn refusals(&self, now: Moment) -> Vec<Suspect> {
        let mut suspects = self.tracker.suspects(now);
        suspects.retain(|suspect| !suspect.refused.is_zero());
        suspects
    }
}
