//! What a chooser keeps of one instance.

use std::time::Duration;

use base::prelude::Moment;

use crate::fade::fade;
use crate::health::Cause;
use crate::health::Health;
use crate::health::State;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::load::Load;
use crate::outcome::Kind;
use crate::outcome::Outcome;
use crate::outcome::Report;
use crate::policy::Reason;
use crate::policy::Settings;
use crate::speed;
use crate::speed::Speed;
use crate::view;
use crate::view::View;

/// Usual work times after which a wait that ended in vain has half of its weight.
const WAIT_WORKS: f64 = 20.0;
/// Most that a ramping instance's expectation is raised by.
const RAMP_FACTOR: f64 = 4.0;
/// Usual work times that a failure costs.
const FAILURE_COST: f64 = 10.0;

/// How much longer a wait that has lasted so far is expected to last.
const WAIT_FACTOR: f64 = 2.0;
/// Work times that a request waits at an instance with as many requests as slots.
const QUEUE_FACTOR: f64 = 2.0;

/// What the chooser knows of the whole service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usual {
    /// Work time of a request, in seconds.
    pub(crate) work: f64,
    /// Requests of other gateways at an instance.
    pub(crate) others: f64,
    /// Whether an answer has told the work time yet.
    pub(crate) known: bool,
}

impl Usual {
    /// Age at which a wait that ended in vain has half of its weight.
    fn wait_half(self) -> Duration {
        Duration::from_secs_f64(self.work * WAIT_WORKS)
    }
}

/// What an end of an attempt or a probe says of the instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// Work time of an answered request, in seconds.
    Worked(f64),
    /// It is to be ejected if the bound allows.
    Bad(Cause),
    /// Nothing to act on.
    Nothing,
}

/// One instance with the chooser's own attempts there.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) instance: Instance,
    pub(crate) epoch: u32,
    pub(crate) health: Health,
    pub(crate) chosen: u32,
    pub(crate) reason: Option<Reason>,
    pub(crate) probing: bool,
    pub(crate) probed: Option<Moment>,
    starts: Vec<Moment>,
    load: Load,
    speed: Speed,
    // Time that ended attempts waited in vain since the last answer.
    waited: Duration,
    waited_at: Moment,
    answered: Moment,
}

impl Entry {
    pub(crate) fn new(instance: Instance, epoch: u32, state: State) -> Self {
        Self {
            instance,
            epoch,
            health: Health::new(state),
            chosen: 0,
            reason: None,
            probing: false,
            probed: None,
            starts: Vec::new(),
            load: Load::default(),
            speed: Speed::default(),
            waited: Duration::ZERO,
            waited_at: Moment::ZERO,
            answered: Moment::ZERO,
        }
    }

    /// Takes a new row of the table; one that was gone, or began anew, ramps.
    pub(crate) fn take(&mut self, now: Moment, row: &Instance) {
        if self.is_gone() && row.phase != Phase::Gone {
            let state = State::Ramping { since: now };
            *self = Self::new(row.clone(), self.epoch + 1, state);
            return;
        }
        let fresh = self.instance.phase != Phase::Ready && row.phase == Phase::Ready;
        if fresh && self.health.is_in() {
            self.health = Health::new(State::Ramping { since: now });
        }
        self.instance.clone_from(row);
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.instance.phase == Phase::Ready
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.instance.phase == Phase::Gone
    }

    pub(crate) fn pick(&self, index: usize) -> Pick {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        Pick {
            index,
            epoch: self.epoch,
        }
    }

    pub(crate) fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn age(&self, now: Moment) -> Option<Duration> {
        self.load.age(now)
    }

    pub(crate) fn others(&self, now: Moment, limit: Duration) -> Option<f64> {
        self.load.mean(now, limit)
    }

    /// When an answer to one more request is expected, in seconds.
    pub(crate) fn expected(&mut self, now: Moment, usual: Usual, settings: &Settings) -> f64 {
        let full = self.full(now, usual, settings);
        let mut work = self.speed.estimate(now, usual.work);
        let waited = self.waited(now, usual).as_secs_f64() * WAIT_FACTOR;
        work = work.max(waited / full.max(1.0));
        let failures = self.health.share(now) * usual.work * FAILURE_COST;
        let ramp = 1.0 + RAMP_FACTOR * (1.0 - self.health.ramp(now, settings.ramp));
        (work * wait(full) + failures) * ramp
    }

    /// Requests for each slot, one more included.
    fn full(&self, now: Moment, usual: Usual, settings: &Settings) -> f64 {
        let own = f64::from(self.in_flight());
        let others = self.load.mean(now, settings.report_limit);
        let load = own + others.unwrap_or(usual.others) + 1.0;
        load / f64::from(self.instance.slots.max(1))
    }

    /// How long the oldest attempt has waited, with those that ended in vain.
    fn waited(&self, now: Moment, usual: Usual) -> Duration {
        let running = self.starts.first().map(|start| now.since(*start));
        self.waited_in_vain(now, usual) + running.unwrap_or_default()
    }

    /// How long attempts have waited since the last answer of any.
    pub(crate) fn silence(&self, now: Moment, usual: Usual) -> Duration {
        let oldest = self.starts.first().map(|start| (*start).max(self.answered));
        let running = oldest.map(|start| now.since(start));
        self.waited_in_vain(now, usual) + running.unwrap_or_default()
    }

    /// Whether an attempt has waited in vain since the last answer.
    pub(crate) fn is_suspect(&self) -> bool {
        !self.waited.is_zero()
    }

    /// Whether a probe would tell if it is silent or back.
    pub(crate) fn needs_probe(&self, now: Moment) -> bool {
        let asked = self.probed.is_some_and(|at| at > self.waited_at);
        let suspect = self.is_suspect() && !asked && self.health.is_in();
        suspect || self.health.wants_probe(now, Duration::ZERO)
    }

    /// Whether it gets work and its newest report is as old as `limit`.
    pub(crate) fn is_stale(&self, now: Moment, limit: Duration) -> bool {
        self.health.is_in() && self.age(now).is_none_or(|age| age >= limit)
    }

    fn waited_in_vain(&self, now: Moment, usual: Usual) -> Duration {
        if self.waited.is_zero() {
            return Duration::ZERO;
        }
        self.waited
            .mul_f64(fade(now.since(self.waited_at), usual.wait_half()))
    }

    pub(crate) fn start(&mut self, now: Moment) {
        self.starts.push(now);
    }

    /// Takes the end of the attempt that `began` then.
    pub(crate) fn finish(
        &mut self,
        now: Moment,
        started_at: Moment,
        outcome: Outcome,
        usual: Usual,
        settings: &Settings,
    ) -> Verdict {
        if let Some(index) = self.starts.iter().position(|start| *start == started_at) {
            self.starts.remove(index);
        }
        if let Some(report) = outcome.report {
            self.report(now, report, settings);
        }
        match outcome.kind {
            Kind::Ok => self.succeed(now, outcome.latency, usual, settings),
            Kind::Error | Kind::ConnectFailed => self.fail(now, Cause::Failures),
            Kind::Timeout => {
                self.wait_in_vain(now, outcome.latency, usual);
                self.fail(now, Cause::Silence)
            }
            Kind::Shed => {
                self.answer(now);
                self.health.trial_cancelled();
                Verdict::Nothing
            }
            Kind::Cancelled => {
                self.wait_in_vain(now, outcome.latency, usual);
                self.health.trial_cancelled();
                Verdict::Nothing
            }
        }
    }

    fn succeed(
        &mut self,
        now: Moment,
        latency: Duration,
        usual: Usual,
        settings: &Settings,
    ) -> Verdict {
        self.answer(now);
        self.health.succeeded(now);
        let slots = self.instance.slots;
        let load = self.full(now, usual, settings) * f64::from(slots);
        let work = speed::work(latency, load, slots);
        self.speed.observe(now, work);
        Verdict::Worked(work)
    }

    fn fail(&mut self, now: Moment, cause: Cause) -> Verdict {
        if self.health.failed(now, cause) {
            Verdict::Bad(cause)
        } else {
            Verdict::Nothing
        }
    }

    fn answer(&mut self, now: Moment) {
        self.answered = now;
        self.waited = Duration::ZERO;
    }

    fn wait_in_vain(&mut self, now: Moment, latency: Duration, usual: Usual) {
        self.waited = self.waited_in_vain(now, usual) + latency;
        self.waited_at = now;
    }

    pub(crate) fn report(&mut self, now: Moment, report: Report, settings: &Settings) {
        let own = self.in_flight();
        self.load.observe(now, report, own, settings.report_half);
    }

    pub(crate) fn view(&self, now: Moment, usual: Usual, total: u32) -> View {
        let work = self.speed.estimate(now, usual.work);
        let health = match self.health.state() {
            State::Well => view::Health::Well,
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

/// How many work times a request takes at an instance that is `full`.
///
/// Below 1 a slot is free on average but not always, so that it rises there too.
fn wait(full: f64) -> f64 {
    let square = full * full;
    1.0 + QUEUE_FACTOR * square * square + (full - 1.0).max(0.0)
}
