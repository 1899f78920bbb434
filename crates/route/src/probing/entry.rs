//! A chooser's state of one instance, and the service's averages.

use std::collections::VecDeque;
use std::time::Duration;

use base::prelude::*;

use crate::backoff::Backoff;
use crate::cost::DomainIndex;
use crate::cost::InstanceState;
use crate::cost::PaceStats;
use crate::health::Health;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::outcome::LoadReport;

use super::limit::Limit;
use super::loss::Loss;

/// Age below which a report counts as fresh: short beside the duration of a pace, about as
/// long as the interval between a service's requests.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_millis(12);
/// Time constant with which a reported load decays towards the average, in seconds.
const LOAD_TIME_CONSTANT: f64 = 0.5;
/// Requests per slot assumed before the first report.
const INITIAL_LOAD: f64 = 0.45;

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) instance: Instance,
    pub(super) domain_index: DomainIndex,
    pub(super) generation: u32,
    pub(super) health: Health,
    /// Start times of own attempts in flight.
    pub(super) starts: Vec<Moment>,
    pub(super) report: Option<(Moment, LoadReport)>,
    /// Own attempts started since the report.
    pub(super) attempts_since_report: u32,
    pub(super) cold_until: Moment,
    /// This process's share while the instance is cold.
    pub(super) share: Share,
    /// The limit that it names for all processes together.
    pub(super) limit: Option<Limit>,
    pub(super) backoff: Backoff,
    pub(super) loss: Loss,
    /// Start times of this process's latest attempts there.
    pub(super) recent_starts: VecDeque<Moment>,
    pub(super) probes_in_flight: u32,
    pub(super) last_probe_failed: bool,
    pub(super) presence: Presence,
    /// It hasn't announced itself recently, so it may be gone.
    pub(super) silent: bool,
    pub(super) subset: Subset,
    /// The part of the service that it belongs to, if the service is divided.
    pub(super) part: Option<usize>,
}

/// Window in which starts at a cold instance count against the share: a second, plus the
/// longest wait for a connection between a start and sending the request.
pub const COLD_WINDOW: Duration = Duration::from_millis(1_250);
/// Number of remembered starts; larger than any share of a cold instance.
const MAX_RECENT_STARTS: usize = 64;

/// A process's share of a cold instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Revision of the process list that it was computed from.
    pub(super) list_revision: u64,
    /// Starts per second.
    pub(super) starts: u32,
}

/// What responses from an instance's address show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    /// It serves requests.
    Present,
    /// It is shutting down.
    Leaving,
    /// Another instance has taken over the address.
    Displaced,
}

/// Whether this process prefers an instance to others of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subset {
    Inside,
    Outside,
}

impl Entry {
    pub(super) fn age(&self, now: Moment) -> Option<Duration> {
        self.report.map(|(at, _)| now.since(at))
    }

    /// Whether it accepts requests and is reachable at its address.
    pub(super) fn is_ready(&self) -> bool {
        self.instance.phase == Phase::Ready && self.presence == Presence::Present
    }

    pub(super) fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Whether this process's share isn't used up.
    pub(super) fn has_share(&self, now: Moment, list_revision: u64) -> bool {
        let counts = |at: &&Moment| now.since(**at) < COLD_WINDOW;
        let recent = self.recent_starts.iter().rev().take_while(counts).count();
        let starts = usize::try_from(self.share.starts).unwrap_or(usize::MAX);
        self.share.list_revision == list_revision && recent < starts.min(MAX_RECENT_STARTS)
    }

    pub(super) fn record_start(&mut self, now: Moment) {
        self.starts.push(now);
        self.attempts_since_report += 1;
        if self.recent_starts.len() == MAX_RECENT_STARTS {
            self.recent_starts.pop_front();
        }
        self.recent_starts.push_back(now);
        self.pace_start(now);
    }

    /// Whether one more request would start at once, using at most the fraction `max_occupancy`
    /// of the slots. An instance above the knee counts as having room, as it may still answer in
    /// time.
    pub(super) fn has_room(
        &self,
        now: Moment,
        averages: ServiceAverages,
        max_occupancy: f64,
    ) -> bool {
        let state = self.state(now, averages);
        state.busy + 1.0 <= (state.slots * max_occupancy).max(1.0)
    }

    pub(super) fn state(&self, now: Moment, averages: ServiceAverages) -> InstanceState {
        let slots = f64::from(self.instance.slots.max(1));
        let own = f64::from(u32::try_from(self.starts.len()).unwrap_or(u32::MAX));
        let guess = (slots * averages.load).max(own);
        let (busy, pace) = match self.report {
            None => (guess, None),
            Some((at, report)) => {
                let age = now.since(at).as_secs_f64();
                let reported =
                    f64::from(report.running + report.waiting + self.attempts_since_report);
                let confidence = (-age / LOAD_TIME_CONSTANT).exp();
                let busy = reported * confidence + guess * (1.0 - confidence);
                (busy.max(own), Some((f64::from(report.pace), age)))
            }
        };
        InstanceState {
            busy,
            slots,
            pace,
            pace_stats: averages.pace_stats,
            cold: self.is_cold(now),
            failure_share: self.health.failure_share(now),
        }
    }
}

/// Averages over the service's instances.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceAverages {
    /// Requests per slot.
    pub(super) load: f64,
    pub(super) pace_stats: PaceStats,
    /// Whether any report has counted a request.
    pub(super) counts_requests: bool,
}

impl Default for ServiceAverages {
    fn default() -> Self {
        Self {
            load: INITIAL_LOAD,
            pace_stats: PaceStats::default(),
            counts_requests: false,
        }
    }
}
