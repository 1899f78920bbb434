//! What the chooser keeps of one instance, and of all of them together.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::cost::DomainIndex;
use crate::cost::Paces;
use crate::cost::Standing;
use crate::health::Health;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::outcome::LoadReport;

/// A report that is younger than this is as good as a new one: requests of a
/// service come some 10 ms apart, a pace lasts some 300 ms.
pub(super) const FRESH: Duration = Duration::from_millis(12);
/// Age at which a report of requests at an instance says nothing any more, in seconds.
const LOAD_LIFE: f64 = 0.5;
/// Requests a slot that are assumed before the first report.
const FIRST_LOAD: f64 = 0.45;

#[derive(Debug)]
pub(super) struct Row {
    pub(super) instance: Instance,
    /// Where it runs.
    pub(super) domain_index: DomainIndex,
    pub(super) epoch: u32,
    pub(super) health: Health,
    /// Own attempts in flight, by when they began.
    pub(super) starts: Vec<Moment>,
    pub(super) report: Option<(Moment, LoadReport)>,
    /// Own attempts begun since the report.
    pub(super) since: u32,
    pub(super) cold_until: Moment,
    /// What this process may send there while it is cold.
    pub(super) share: Share,
    /// When this process lately started attempts there.
    pub(super) recent: VecDeque<Moment>,
    pub(super) probing: u32,
    /// Its last probe failed.
    pub(super) mute: bool,
    /// Another instance has its address.
    pub(super) displaced: bool,
    /// It hasn't announced itself lately, so it may be gone.
    pub(super) silent: bool,
    pub(super) subset: Subset,
}

/// Time in which starts at a cold instance count together: a second, and the longest wait
/// for a connection between a start and the moment at which the request is sent.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_250);
/// Starts of one process that are remembered; no share of a cold instance is as large.
const MOST_RECENT: usize = 64;

/// A process's share of what a cold instance takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Of the list of processes that it goes by.
    pub(super) mark: u64,
    /// Starts a second.
    pub(super) starts: u32,
}

/// Whether this process asks an instance before others of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subset {
    Inside,
    Outside,
}

impl Row {
    pub(super) fn age(&self, now: Moment) -> Option<Duration> {
        self.report.map(|(at, _)| now.since(at))
    }

    /// It takes work and is reached at its address.
    pub(super) fn is_ready(&self) -> bool {
        self.instance.phase == Phase::Ready && !self.displaced
    }

    pub(super) fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether this process has a part of its share left.
    pub(super) fn has_share(&self, now: Moment, mark: u64) -> bool {
        let counts = |at: &&Moment| now.since(**at) < COLD_WINDOW;
        let recent = self.recent.iter().rev().take_while(counts).count();
        let starts = usize::try_from(self.share.starts).unwrap_or(usize::MAX);
        self.share.mark == mark && recent < starts.min(MOST_RECENT)
    }

    pub(super) fn start(&mut self, now: Moment) {
        self.starts.push(now);
        self.since += 1;
        if self.recent.len() == MOST_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    pub(super) fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < FRESH)
    }

    /// Whether it would begin with one more request at once, if that may take no more
    /// than a `part` of the slots. One that is slowed down as the last slots are taken
    /// may still be in time.
    pub(super) fn has_room(&self, now: Moment, usual: Usual, part: f64) -> bool {
        let standing = self.standing(now, usual);
        standing.busy + 1.0 <= (standing.slots * part).max(1.0)
    }

    pub(super) fn standing(&self, now: Moment, usual: Usual) -> Standing {
        let slots = f64::from(self.instance.slots.max(1));
        let own = f64::from(u32::try_from(self.starts.len()).unwrap_or(u32::MAX));
        let guess = (slots * usual.load).max(own);
        let (busy, pace) = match self.report {
            None => (guess, None),
            Some((at, report)) => {
                let age = now.since(at).as_secs_f64();
                let told = f64::from(report.running + report.waiting + self.since);
                let known = (-age / LOAD_LIFE).exp();
                let busy = told * known + guess * (1.0 - known);
                (busy.max(own), Some((f64::from(report.pace), age)))
            }
        };
        Standing {
            busy,
            slots,
            pace,
            usual: usual.paces,
            cold: self.is_cold(now),
            failing: self.health.share(now),
        }
    }
}

/// What is usual for the service, as its instances tell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usual {
    /// Requests a slot.
    pub(super) load: f64,
    pub(super) paces: Paces,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            load: FIRST_LOAD,
            paces: Paces::default(),
        }
    }
}
