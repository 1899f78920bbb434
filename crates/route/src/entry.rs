//! A chooser's state of one instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::backoff::Backoff;
use crate::decay::decay;
use crate::external_load::ExternalLoad;
use crate::health::Cause;
use crate::health::Health;
use crate::health::State;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::outcome::Outcome;
use crate::outcome::OutcomeKind;
use crate::outcome::Report;
use crate::policy::Reason;
use crate::policy::Settings;
use crate::view;
use crate::view::View;
use crate::work_time;
use crate::work_time::WorkTime;

/// Half-life of the time that timed-out and cancelled attempts waited, in average work times.
const WAIT_HALF_LIFE: f64 = 20.0;
/// Factor added to the expectation at the start of a ramp.
const RAMP_PENALTY: f64 = 4.0;
/// Cost of a failure share of 1, in average work times.
const FAILURE_PENALTY: f64 = 10.0;

/// Expected total wait of an attempt, relative to the wait so far.
const WAIT_FACTOR: f64 = 2.0;
/// Queueing time at a utilization of 1, in work times.
const QUEUE_FACTOR: f64 = 2.0;

/// Averages over the service's instances.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceAverages {
    /// Work time of a request, in seconds.
    pub(crate) work: f64,
    /// Requests from other gateways at an instance.
    pub(crate) external: f64,
    /// Whether `work` comes from at least one response.
    pub(crate) known: bool,
}

impl ServiceAverages {
    /// Half-life of the time that attempts waited without a response.
    fn wait_half_life(self) -> Duration {
        Duration::from_secs_f64(self.work * WAIT_HALF_LIFE)
    }
}

/// What the end of an attempt says about the instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// Work time of an answered request, in seconds.
    Answered(f64),
    /// The instance is to be ejected if the ejection limit allows.
    Eject(Cause),
    /// Nothing to do.
    Unchanged,
}

/// One instance with the chooser's own attempts there.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) instance: Instance,
    pub(crate) generation: u32,
    pub(crate) health: Health,
    pub(crate) chosen: u32,
    pub(crate) reason: Option<Reason>,
    pub(crate) probing: bool,
    pub(crate) backoff: Backoff,
    /// It has said that it is shutting down.
    pub(crate) leaving: bool,
    pub(crate) probed_at: Option<Moment>,
    starts: Vec<Moment>,
    external_load: ExternalLoad,
    work_time: WorkTime,
    // Time that attempts waited without a response since the last response.
    unanswered_wait: Duration,
    unanswered_at: Moment,
    last_response: Moment,
}

impl Entry {
    pub(crate) fn new(instance: Instance, generation: u32, state: State) -> Self {
        Self {
            instance,
            generation,
            health: Health::new(state),
            chosen: 0,
            reason: None,
            probing: false,
            backoff: Backoff::default(),
            leaving: false,
            probed_at: None,
            starts: Vec::new(),
            external_load: ExternalLoad::default(),
            work_time: WorkTime::default(),
            unanswered_wait: Duration::ZERO,
            unanswered_at: Moment::ZERO,
            last_response: Moment::ZERO,
        }
    }

    /// Applies an entry of the instance table; an instance that returns or becomes ready ramps.
    pub(crate) fn apply(&mut self, now: Moment, announced: &Instance) {
        if self.is_gone() && announced.phase != Phase::Gone {
            let state = State::Ramping { since: now };
            *self = Self::new(announced.clone(), self.generation + 1, state);
            return;
        }
        let became_ready = self.instance.phase != Phase::Ready && announced.phase == Phase::Ready;
        if became_ready && self.health.takes_traffic() {
            self.health = Health::new(State::Ramping { since: now });
        }
        self.instance.clone_from(announced);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.instance.phase == Phase::Ready && !self.leaving
    }

    /// Whether its backoff, if there was one, allows a request now.
    pub(crate) fn takes_requests(&self, now: Moment) -> bool {
        self.backoff.allows(now, self.starts.len())
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.instance.phase == Phase::Gone
    }

    pub(crate) fn pick(&self, index: usize) -> Pick {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        Pick {
            index,
            generation: self.generation,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.external_load.age(now)
    }

    pub(crate) fn external(&self, now: Moment, limit: Duration) -> Option<f64> {
        self.external_load.mean(now, limit)
    }

    /// Expected time to the response of one more request, in seconds.
    pub(crate) fn expected(
        &mut self,
        now: Moment,
        averages: ServiceAverages,
        settings: &Settings,
    ) -> f64 {
        self.expected_with_ramp(now, averages, settings, 1.0)
    }

    /// The same with the penalty of a ramp multiplied by `weight`.
    pub(crate) fn expected_with_ramp(
        &mut self,
        now: Moment,
        averages: ServiceAverages,
        settings: &Settings,
        weight: f64,
    ) -> f64 {
        let utilization = self.utilization(now, averages, settings);
        let mut work = self.work_time.estimate(now, averages.work);
        let total_wait = self.total_wait(now, averages).as_secs_f64() * WAIT_FACTOR;
        work = work.max(total_wait / utilization.max(1.0));
        let failures = self.health.failure_share(now) * averages.work * FAILURE_PENALTY;
        let remaining = 1.0 - self.health.ramp_progress(now, settings.ramp);
        let penalty = RAMP_PENALTY * remaining * weight;
        (work * queueing_factor(utilization) + failures) * (1.0 + penalty)
    }

    /// Requests per slot, including one more.
    fn utilization(&self, now: Moment, averages: ServiceAverages, settings: &Settings) -> f64 {
        let own = f64::from(self.in_flight());
        let external = self.external_load.mean(now, settings.max_report_age);
        let load = own + external.unwrap_or(averages.external) + 1.0;
        load / f64::from(self.instance.slots.max(1))
    }

    /// Wait of the oldest attempt in flight, plus that of attempts that ended without a response.
    fn total_wait(&self, now: Moment, averages: ServiceAverages) -> Duration {
        let running = self.starts.first().map(|start| now.since(*start));
        self.decayed_unanswered_wait(now, averages) + running.unwrap_or_default()
    }

    /// How long attempts have waited since the last response of any attempt.
    pub(crate) fn silence(&self, now: Moment, averages: ServiceAverages) -> Duration {
        let oldest = self
            .starts
            .first()
            .map(|start| (*start).max(self.last_response));
        let running = oldest.map(|start| now.since(start));
        self.decayed_unanswered_wait(now, averages) + running.unwrap_or_default()
    }

    /// Whether an attempt has ended without a response since the last response.
    pub(crate) fn is_suspect(&self) -> bool {
        !self.unanswered_wait.is_zero()
    }

    /// Whether a probe would show if the instance is silent or has recovered.
    pub(crate) fn needs_probe(&self, now: Moment) -> bool {
        let asked = self.probed_at.is_some_and(|at| at > self.unanswered_at);
        let suspect = self.is_suspect() && !asked && self.health.takes_traffic();
        suspect || self.health.wants_probe(now, Duration::ZERO)
    }

    /// Whether the instance receives requests and its latest report is at least `limit` old.
    pub(crate) fn is_stale(&self, now: Moment, limit: Duration) -> bool {
        self.health.takes_traffic() && self.age(now).is_none_or(|age| age >= limit)
    }

    fn decayed_unanswered_wait(&self, now: Moment, averages: ServiceAverages) -> Duration {
        if self.unanswered_wait.is_zero() {
            return Duration::ZERO;
        }
        self.unanswered_wait.mul_f64(decay(
            now.since(self.unanswered_at),
            averages.wait_half_life(),
        ))
    }

    pub(crate) fn record_start(&mut self, now: Moment) {
        self.starts.push(now);
    }

    /// Records the end of the attempt that started at `started_at`.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        started_at: Moment,
        outcome: Outcome,
        averages: ServiceAverages,
        settings: &Settings,
    ) -> Verdict {
        if let Some(index) = self.starts.iter().position(|start| *start == started_at) {
            self.starts.remove(index);
        }
        if let Some(report) = outcome.report {
            self.record_report(now, report, settings);
        }
        self.backoff.record_end(now, outcome.kind);
        match outcome.kind {
            OutcomeKind::Ok => self.record_success(now, outcome.latency, averages, settings),
            OutcomeKind::Error | OutcomeKind::ConnectFailed => {
                self.record_failure(now, Cause::Failures)
            }
            OutcomeKind::Timeout => {
                self.record_unanswered(now, outcome.latency, averages);
                self.record_failure(now, Cause::Silence)
            }
            OutcomeKind::Shed => {
                self.record_response(now);
                self.health.trial_cancelled();
                Verdict::Unchanged
            }
            OutcomeKind::Cancelled | OutcomeKind::Abandoned => {
                self.record_unanswered(now, outcome.latency, averages);
                self.health.trial_cancelled();
                Verdict::Unchanged
            }
        }
    }

    fn record_success(
        &mut self,
        now: Moment,
        latency: Duration,
        averages: ServiceAverages,
        settings: &Settings,
    ) -> Verdict {
        self.record_response(now);
        self.health.record_success(now);
        let slots = self.instance.slots;
        let load = self.utilization(now, averages, settings) * f64::from(slots);
        let work = work_time::from_latency(latency, load, slots);
        self.work_time.observe(now, work);
        Verdict::Answered(work)
    }

    fn record_failure(&mut self, now: Moment, cause: Cause) -> Verdict {
        if self.health.record_failure(now, cause) {
            Verdict::Eject(cause)
        } else {
            Verdict::Unchanged
        }
    }

    fn record_response(&mut self, now: Moment) {
        self.last_response = now;
        self.unanswered_wait = Duration::ZERO;
    }

    fn record_unanswered(&mut self, now: Moment, latency: Duration, averages: ServiceAverages) {
        self.unanswered_wait = self.decayed_unanswered_wait(now, averages) + latency;
        self.unanswered_at = now;
    }

    pub(crate) fn record_report(&mut self, now: Moment, report: Report, settings: &Settings) {
        let own = self.in_flight();
        self.external_load
            .observe(now, report, own, settings.report_half_life);
    }

    pub(crate) fn view(&self, now: Moment, averages: ServiceAverages, total: u32) -> View {
        let work = self.work_time.estimate(now, averages.work);
        let health = match self.health.state() {
            State::Healthy => view::Health::Well,
            State::Ramping { .. } => view::Health::Ramping,
            State::Ejected { .. } => view::Health::Ejected,
            State::Probed | State::Trial { .. } => view::Health::Trial,
        };
        View {
            id: self.instance.id.clone(),
            phase: self.instance.phase,
            health,
            in_flight: self.in_flight(),
            latency: Duration::from_secs_f64(work),
            age: self.age(now),
            chosen: self.chosen * 1000 / total.max(1),
            reason: self.reason,
        }
    }
}

/// Expected response time at this utilization, in work times.
///
/// A queue forms below a utilization of 1, too, as a slot is free only on average.
fn queueing_factor(utilization: f64) -> f64 {
    let square = utilization * utilization;
    1.0 + QUEUE_FACTOR * square * square + (utilization - 1.0).max(0.0)
}
