//! How each policy selects an instance for an attempt.

use base::prelude::Moment;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Chooser;
use crate::entry::Entry;
use crate::instance::Pick;
use crate::policy::Reason;

/// Random part of an expectation, so that equal instances take turns.
const JITTER: f64 = 0.05;
/// Upper bound of the random weight of a ramp's penalty, whose mean is 1. With equal weights, all
/// gateways would rank cold instances by age and send to the same one.
const MAX_RAMP_WEIGHT: f64 = 2.0;
/// Number of instances that one choice compares.
const MAX_CANDIDATES: usize = 24;

impl Chooser {
    pub(super) fn least_wait(&mut self, now: Moment, exclude: &[Pick]) -> Option<(usize, Reason)> {
        if let Some(index) = self.trial(now, exclude) {
            self.entries[index].health.begin_trial(now);
            return Some((index, Reason::Trial));
        }
        let least = if exclude.is_empty() {
            self.least_expected(now)
        } else {
            self.better_of_two(now, exclude)
        };
        let Some(index) = least else {
            let index = self.choose_random(now, exclude, None)?;
            return Some((index, Reason::Panic));
        };
        let age = self.entries[index].age(now);
        let fresh = age.is_some_and(|age| age < self.settings.max_report_age);
        Some((index, if fresh { Reason::Fresh } else { Reason::Stale }))
    }

    /// An ejected instance due for a trial request. Retries are not used as trials.
    fn trial(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        if !self.has_ejected || !exclude.is_empty() {
            return None;
        }
        let entries = &self.entries;
        let mut ready = self.ready.iter().copied();
        let wants = |e: &Entry| e.takes_requests(now) && e.health.wants_trial(now);
        let trial = ready.find(|i| wants(&entries[*i]));
        self.has_ejected = entries.iter().any(|e| !e.health.takes_traffic());
        trial
    }

    /// The instance with the least expectation among the candidates, or among all instances if no
    /// candidate is usable.
    fn least_expected(&mut self, now: Moment) -> Option<usize> {
        let count = self.ready.len();
        if count <= MAX_CANDIDATES {
            return self.least_expected_among(now, 0, count);
        }
        let start = self.rng.random_range(0..count);
        self.least_expected_among(now, start, MAX_CANDIDATES)
            .or_else(|| self.least_expected_among(now, 0, count))
    }

    /// The same among `count` ready instances, starting at position `start`.
    fn least_expected_among(&mut self, now: Moment, start: usize, count: usize) -> Option<usize> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for at in start..start + count {
            let index = self.ready[at % self.ready.len()];
            if !self.is_usable(index, now) {
                continue;
            }
            let expected = self.drawn_expected(index, now);
            if expected < least {
                least = expected;
                best = Some(index);
            }
        }
        best
    }

    /// The instance for a retry: the better of two random ones outside of `exclude`. Gateways with
    /// equal knowledge would all retry at the best one, together with a request that crashes
    /// instances.
    fn better_of_two(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        let ready = self.ready.iter().copied();
        let usable = ready.filter(|i| self.is_usable(*i, now) && !self.is_excluded(*i, exclude));
        let usable: Vec<usize> = usable.collect();
        let two = usable.into_iter().sample(&mut self.rng, 2);
        let expected = two.into_iter().map(|i| (i, self.drawn_expected(i, now)));
        let better = expected.min_by(|(_, one), (_, other)| one.total_cmp(other));
        better.map(|(index, _)| index)
    }

    fn is_usable(&self, index: usize, now: Moment) -> bool {
        let entry = &self.entries[index];
        entry.health.takes_traffic() && entry.takes_requests(now)
    }

    /// The instance's expectation with its random part.
    fn drawn_expected(&mut self, index: usize, now: Moment) -> f64 {
        let draw = self.rng.random::<f64>();
        let weight = MAX_RAMP_WEIGHT * draw;
        let entry = &mut self.entries[index];
        let expected = entry.expected_with_ramp(now, self.averages, &self.settings, weight);
        expected * (1.0 + JITTER * draw)
    }

    /// A random ready instance that takes requests; not `other` and outside of `exclude` where
    /// possible.
    pub(super) fn choose_random(
        &mut self,
        now: Moment,
        exclude: &[Pick],
        other: Option<usize>,
    ) -> Option<usize> {
        let ready = self.ready.iter().copied();
        let usable = ready.filter(|i| self.entries[*i].takes_requests(now));
        let usable: Vec<usize> = usable.collect();
        let free = |i: &usize| Some(*i) != other && !self.is_excluded(*i, exclude);
        let preferred: Vec<usize> = usable.iter().copied().filter(free).collect();
        let candidates = if preferred.is_empty() {
            usable
        } else {
            preferred
        };
        let count = candidates.len();
        (count > 0).then(|| candidates[self.rng.random_range(0..count)])
    }

    pub(super) fn round_robin(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        let count = self.ready.len();
        for _ in 0..count {
            self.last_index = (self.last_index + 1) % count;
            let index = self.ready[self.last_index];
            if self.entries[index].takes_requests(now) && !self.is_excluded(index, exclude) {
                return Some(index);
            }
        }
        self.choose_random(now, exclude, None)
    }

    pub(super) fn two_choices(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        let one = self.choose_random(now, exclude, None)?;
        let two = self.choose_random(now, exclude, Some(one))?;
        let fewer = self.entries[two].in_flight() < self.entries[one].in_flight();
        Some(if fewer { two } else { one })
    }

    fn is_excluded(&self, index: usize, exclude: &[Pick]) -> bool {
        exclude.contains(&self.entries[index].pick(index))
    }
}
