//! Outlier detection for one instance.
//!
//! An instance is ejected after too many consecutive failures, too large a share
//! of failures, or too long a wait without any response. It returns after an
//! answered probe, one trial request and a ramp. The ejection time doubles for
//! each ejection that follows soon after the previous one, so that a flapping
//! instance affects fewer and fewer requests. The chooser limits how many
//! instances may be ejected at once.

use std::time::Duration;

use base::prelude::Moment;

use crate::decay::decay;

/// Consecutive failures that eject an instance with few recent results.
const FAILURE_STREAK_LIMIT: u32 = 3;
/// The streak limit rises by one for each this many recent results: at a high
/// request rate a moderate failure rate yields short streaks by chance. With a third of
/// the responses lost and 20 results a second, three failures in a row come every two
/// seconds; half of the instances were ejected while requests lacked capacity.
const RESULTS_PER_EXTRA_FAILURE: u32 = 4;
/// Failures that an unanswered attempt adds to the streak.
const TIMEOUT_STREAK_STEP: u32 = 2;
/// Minimum number of results for the failure share to be considered.
const MIN_RESULTS: f64 = 5.0;
/// Share of failures that ejects an instance.
const FAILURE_SHARE_LIMIT: f64 = 0.4;
/// Number of results over which the failure share is averaged.
const RESULT_WINDOW: f64 = 20.0;
/// Age at which a result has half of its weight.
const RESULT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Consecutive failed probes, without a response in between, that eject an instance.
const FAILED_PROBES_LIMIT: u32 = 2;
/// Duration of a first ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 4;
/// Time without an ejection after which the ejection time starts from the minimum again.
const BACKOFF_RESET: Duration = Duration::from_mins(1);
/// Time after the end of an ejection for failures until a trial request is sent without an
/// answered probe.
const TRIAL_DELAY: Duration = Duration::from_secs(2);
/// The same for an ejection for silence, where the instance may lose requests.
const TRIAL_DELAY_AFTER_SILENCE: Duration = Duration::from_secs(30);

/// Time after which a trial without a known outcome is repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an instance was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Failed attempts.
    Failures,
    /// No response.
    Silence,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// Receives its full share of requests.
    Healthy,
    /// Receives a share that has grown since `since`.
    Ramping { since: Moment },
    /// Receives nothing; a probe or a trial request may be sent from `until` on.
    Ejected { until: Moment, cause: Cause },
    /// Answered a probe after its ejection; one trial request may be sent.
    Probed,
    /// The trial request is in flight.
    Trial { since: Moment },
}

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

    pub(crate) fn state(&self) -> State {
        self.state
    }

    /// Whether the instance receives ordinary requests.
    pub(crate) fn takes_traffic(&self) -> bool {
        matches!(self.state, State::Healthy | State::Ramping { .. })
    }

    /// Records a response that isn't a failure of the instance.
    pub(crate) fn record_success(&mut self, now: Moment) {
        self.record(now, 0.0);
        self.streak = 0;
        self.failed_probes = 0;
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Ramping { since: now };
            self.failures = 0.0;
        }
    }

    /// Records a failure and returns whether the instance should be ejected.
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
            // Attempts from before the ejection carry no new information.
            State::Ejected { .. } | State::Probed => false,
        }
    }

    /// Consecutive failures that eject the instance at its current rate of results.
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

    /// Records a failed probe and returns whether the instance should be ejected.
    ///
    /// `suspect` means that attempts have gone unanswered since the last response.
    pub(crate) fn probe_failed(&mut self, suspect: bool) -> bool {
        self.failed_probes += 1;
        suspect || !self.takes_traffic() || self.failed_probes >= FAILED_PROBES_LIMIT
    }

    pub(crate) fn probe_answered(&mut self, now: Moment) {
        self.failed_probes = 0;
        if matches!(self.state, State::Ejected { until, .. } if until <= now) {
            self.state = State::Probed;
        }
    }

    /// Ejects the instance; `jitter` from 0 to 1 spreads the trials of different gateways.
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

    /// Whether a trial request may be sent now.
    pub(crate) fn wants_trial(&self, now: Moment) -> bool {
        match self.state {
            State::Probed => true,
            State::Ejected { until, cause } => now >= until + trial_delay(cause),
            State::Trial { since } => now.since(since) >= TRIAL_TIMEOUT,
            State::Healthy | State::Ramping { .. } => false,
        }
    }

    pub(crate) fn begin_trial(&mut self, now: Moment) {
        self.state = State::Trial { since: now };
    }

    /// Ends a trial that showed neither success nor failure.
    pub(crate) fn trial_cancelled(&mut self) {
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Probed;
        }
    }

    /// Whether the ejection ended at least `delay` ago, so that a probe may end it.
    pub(crate) fn wants_probe(&self, now: Moment, delay: Duration) -> bool {
        matches!(self.state, State::Ejected { until, .. } if until + delay <= now)
    }

    /// Share of failures among recent results, from 0 to 1.
    pub(crate) fn failure_share(&self, now: Moment) -> f64 {
        if self.failures == 0.0 {
            return 0.0;
        }
        let weight = decay(now.since(self.updated_at), RESULT_HALF_LIFE);
        // Counting one extra success keeps the first failure from being the whole share.
        self.failures * weight / (self.results * weight + 1.0)
    }

    /// Progress of a ramp that lasts `duration`, from 0 to 1; 1 without a ramp.
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
