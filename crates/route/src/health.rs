//! Whether an instance gets work, judged from results.
//!
//! Failures in a row, or too large a share of them, eject an instance; so does
//! a long wait without any answer. It comes back by a probe that is answered,
//! one trial request, and a ramp. Each ejection soon after the last one is
//! twice as long, so that a flapping instance costs less and less. Who may be
//! ejected is bounded by the chooser, not here.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;

/// Failures in a row that eject where few results come.
const FAILURE_STREAK_LIMIT: u32 = 3;
/// One more is needed for each so many recent results: where a third of the answers are
/// lost, three in a row come by chance every two seconds at 20 results a second, and
/// half of the instances were out while requests were refused for want of room.
const RESULTS_PER_EXTRA_FAILURE: u32 = 4;
/// What an attempt without any answer counts for in a row.
const TIMEOUT_STREAK_STEP: u32 = 2;
/// Results below which a share of failures tells nothing.
const MIN_RESULTS: f64 = 5.0;
/// Share of failures that ejects.
const FAILURE_SHARE_LIMIT: f64 = 0.4;
/// Results that the share of failures remembers.
const RESULT_WINDOW: f64 = 20.0;
/// Age at which results have half of their weight.
const RESULT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Failed probes in a row, without an answer between them, that eject.
const FAILED_PROBES_LIMIT: u32 = 2;
/// First ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Doublings at most.
const MAX_DOUBLINGS: u32 = 4;
/// Time without an ejection after which the next is a first one again.
const BACKOFF_RESET: Duration = Duration::from_mins(1);
/// Wait for a probe's answer before a trial is made without one, after failures.
const TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The same after silence, when requests may be lost in the instance.
const TRIAL_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(30);

/// Age at which a trial whose end was never told is made again.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an instance was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// It failed.
    Failures,
    /// It gave no answer.
    Silence,
}

/// Where an instance stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// It gets its share.
    Healthy,
    /// It gets a share that grows from `since` on.
    Ramping { since: Moment },
    /// It gets nothing; from `until` on a probe or a trial may be made.
    Ejected { until: Moment, cause: Cause },
    /// A probe was answered after the ejection: one trial request may be made.
    Probed,
    /// The trial is under way.
    Trial { since: Moment },
}

/// The health of one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    state: State,
    streak: u32,
    failures: f64,
    results: f64,
    updated_at: Moment,
    failed_probes: u32,
    doublings: u32,
    ejected_at: Option<Moment>,
}

impl Health {
    /// An instance about which nothing is known.
    pub(crate) fn new(state: State) -> Self {
        Self {
            state,
            streak: 0,
            failures: 0.0,
            results: 0.0,
            updated_at: Moment::ZERO,
            failed_probes: 0,
            doublings: 0,
            ejected_at: None,
        }
    }

    /// Where it stands.
    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Whether it gets ordinary work.
    pub(crate) fn takes_traffic(&self) -> bool {
        matches!(self.state, State::Healthy | State::Ramping { .. })
    }

    /// Takes an answer that the instance means.
    pub(crate) fn record_success(&mut self, now: Moment) {
        self.record(now, 0.0);
        self.streak = 0;
        self.failed_probes = 0;
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Ramping { since: now };
            self.failures = 0.0;
        }
    }

    /// Takes a failure; true when it asks for ejection.
    pub(crate) fn record_failure(&mut self, now: Moment, cause: Cause) -> bool {
        self.record(now, 1.0);
        self.streak += match cause {
            Cause::Failures => 1,
            Cause::Silence => TIMEOUT_STREAK_STEP,
        };
        let failing = self.results >= MIN_RESULTS && self.failure_share(now) >= FAILURE_SHARE_LIMIT;
        match self.state {
            State::Healthy | State::Ramping { .. } => {
                self.streak >= self.streak_limit(now) || failing
            }
            State::Trial { .. } => true,
            // Attempts from before the ejection tell nothing new.
            State::Ejected { .. } | State::Probed => false,
        }
    }

    /// Failures in a row that eject now.
    fn streak_limit(&self, now: Moment) -> u32 {
        let weight = decay(now.since(self.updated_at), RESULT_HALF_LIFE);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        let results = (self.results * weight) as u32;
        FAILURE_STREAK_LIMIT + results / RESULTS_PER_EXTRA_FAILURE
    }

    /// Takes a probe's failure; true when it asks for ejection.
    ///
    /// `suspect` says that attempts have waited in vain since the last answer.
    pub(crate) fn probe_failed(&mut self, suspect: bool) -> bool {
        self.failed_probes += 1;
        suspect || !self.takes_traffic() || self.failed_probes >= FAILED_PROBES_LIMIT
    }

    /// Takes a probe's answer.
    pub(crate) fn probe_answered(&mut self, now: Moment) {
        self.failed_probes = 0;
        if matches!(self.state, State::Ejected { until, .. } if until <= now) {
            self.state = State::Probed;
        }
    }

    /// Ejects it; `jitter` from 0 to 1 spreads the gateways' trials.
    pub(crate) fn eject(&mut self, now: Moment, cause: Cause, jitter: f64) {
        let recently = self
            .ejected_at
            .is_some_and(|at| now.since(at) < BACKOFF_RESET);
        self.doublings = if recently {
            (self.doublings + 1).min(MAX_DOUBLINGS)
        } else {
            0
        };
        let duration = MIN_EJECTION * 2_u32.pow(self.doublings);
        let until = now + duration.mul_f64(1.0 + jitter / 2.0);
        self.state = State::Ejected { until, cause };
        self.ejected_at = Some(now);
        self.streak = 0;
    }

    /// Whether a trial request may be made now.
    pub(crate) fn wants_trial(&self, now: Moment) -> bool {
        match self.state {
            State::Probed => true,
            State::Ejected { until, cause } => now >= until + trial_delay(cause),
            State::Trial { since } => now.since(since) >= TRIAL_TIMEOUT,
            State::Healthy | State::Ramping { .. } => false,
        }
    }

    /// Notes that the trial is under way.
    pub(crate) fn begin_trial(&mut self, now: Moment) {
        self.state = State::Trial { since: now };
    }

    /// Takes the end of a trial that told nothing.
    pub(crate) fn trial_cancelled(&mut self) {
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Probed;
        }
    }

    /// Whether a probe could end the ejection, whose time has been over for `since`.
    pub(crate) fn wants_probe(&self, now: Moment, delay: Duration) -> bool {
        matches!(self.state, State::Ejected { until, .. } if until + delay <= now)
    }

    /// Share of failures among recent results, from 0 to 1.
    pub(crate) fn failure_share(&self, now: Moment) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        let weight = decay(now.since(self.updated_at), RESULT_HALF_LIFE);
        // One success more than was seen, so that a first failure isn't all.
        self.failures * weight / (self.results * weight + 1.0)
    }

    /// How far a ramp of `span` has come, 1 when there is none.
    pub(crate) fn ramp_progress(&mut self, now: Moment, duration: Duration) -> f64 {
        let State::Ramping { since } = self.state else {
            return 1.0;
        };
        let progress = now.since(since).as_secs_f64() / duration.as_secs_f64();
        if progress >= 1.0 {
            self.state = State::Healthy;
        }
        progress.min(1.0)
    }

    fn record(&mut self, now: Moment, failure: f64) {
        let weight = decay(now.since(self.updated_at), RESULT_HALF_LIFE);
        let weight = weight * (1.0 - 1.0 / RESULT_WINDOW);
        self.failures = self.failures * weight + failure;
        self.results = self.results * weight + 1.0;
        self.updated_at = now;
    }
}

fn trial_delay(cause: Cause) -> Duration {
    match cause {
        Cause::Failures => TRIAL_DELAY,
        Cause::Silence => TRIAL_DELAY_AFTER_SILENCE,
    }
}
