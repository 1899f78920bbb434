//! What one process that sends requests knows, and has to tell others: a pure state machine.
//!
//! It counts the crashes that it sees by itself, so that it refuses what it must while no hub
//! answers. Hubs count those of all processes. What was told is kept, as a hub that starts
//! anew knows nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::fingerprint::Head;
use crate::recent_answers::Answered;
use crate::tracker::Crash;
use crate::tracker::Outcome;
use crate::tracker::Suspect;
use crate::tracker::Tracker;
use crate::tracker::WINDOW;
use crate::tracker::all_of;

/// How long it is worth telling that a request has succeeded.
const ACQUITTAL: Duration = Duration::from_secs(10);
/// Crashes that are kept to be told again.
const MOST_NEWS: usize = 512;

/// Something to tell the hubs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An instance crashed while it ran a request.
    Crashed(Crash),
    /// A suspected request was answered.
    Succeeded(Fingerprint),
}

#[derive(Clone, Debug)]
struct News {
    number: u64,
    at: Moment,
    event: Event,
}

/// Refuses requests that crash what runs them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    tracker: Tracker,
    /// Requests that hubs suspect, and since when they say so.
    suspected: BTreeMap<Fingerprint, Moment>,
    answered: Answered,
    news: VecDeque<News>,
    number: u64,
}

impl Quarantine {
    /// How much longer a request is refused, if it is.
    #[must_use]
    pub fn refused(&self, now: Moment, request: Fingerprint) -> Option<Duration> {
        self.tracker.refused(now, request)
    }

    /// Whether anything is known of requests for this path; else none is refused.
    #[must_use]
    pub fn tracks_path(&self, head: Head) -> bool {
        let suspected = self.suspected.range(all_of(head)).next();
        self.tracker.tracks_path(head) || suspected.is_some()
    }

    /// Takes that an instance crashed while it ran a request of this process. Gives the number
    /// under which that is told.
    pub fn record_crash(&mut self, now: Moment, crash: Crash) -> (u64, Outcome) {
        if self.answered.contains(now, crash.request) {
            return (self.number, Outcome::Answered);
        }
        let crash = Crash {
            answered: self.answered.contains(now, crash.request.of_all()),
            ..crash
        };
        let outcome = self.tracker.record_crash(now, &crash);
        (self.tell(now, Event::Crashed(crash)), outcome)
    }

    /// Takes that an instance has answered a request of this process. Gives whether it was
    /// suspected.
    pub fn record_success(&mut self, now: Moment, request: Fingerprint) -> bool {
        self.answered.note(now, request);
        let one = self.suspected.remove(&request).is_some();
        let suspected = self.suspected.remove(&request.of_all()).is_some() || one;
        if !self.tracker.record_success(now, request) && !suspected {
            return false;
        }
        let of = |event: &Event| matches!(event, Event::Crashed(c) if c.request == request);
        self.news.retain(|news| !of(&news.event));
        self.tell(now, Event::Succeeded(request));
        true
    }

    fn tell(&mut self, now: Moment, event: Event) -> u64 {
        self.forget(now);
        self.number += 1;
        self.news.push_back(News {
            number: self.number,
            at: now,
            event,
        });
        self.number
    }

    fn forget(&mut self, now: Moment) {
        self.news.retain(|news| {
            let kept = match news.event {
                Event::Crashed(_) => WINDOW,
                Event::Succeeded(_) => ACQUITTAL,
            };
            now.since(news.at) < kept
        });
        self.suspected.retain(|_, at| now.since(*at) < WINDOW);
        if self.news.len() >= MOST_NEWS {
            self.news.pop_front();
        }
    }

    /// Takes what a hub tells. Gives the requests that are refused from now on.
    pub fn apply_suspects(&mut self, now: Moment, told: &[Suspect]) -> Vec<Suspect> {
        self.forget(now);
        let mut refused = Vec::new();
        for suspect in told {
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
        self.number
    }

    /// What has happened since the event `number`.
    #[must_use]
    pub fn since(&self, number: u64) -> Vec<Event> {
        let newer = self.news.iter().filter(|news| news.number > number);
        newer.map(|news| news.event.clone()).collect()
    }

    /// The requests that are refused now, for a hub that starts anew.
    #[must_use]
    pub fn refusals(&self, now: Moment) -> Vec<Suspect> {
        let mut suspects = self.tracker.suspects(now);
        suspects.retain(|suspect| !suspect.refused.is_zero());
        suspects
    }
}
