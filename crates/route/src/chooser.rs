//! Chooses among one service's instances by own attempts and load reports.

mod selection;

use std::time::Duration;

use base::prelude::InstanceId;
use base::prelude::InstanceRun;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::entry::Entry;
use crate::entry::ServiceAverages;
use crate::entry::Verdict;
use crate::health::Cause;
use crate::health::State;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::Ticket;
use crate::outcome::Outcome;
use crate::outcome::ProbeResult;
use crate::policy::Choice;
use crate::policy::Policy;
use crate::policy::Reason;
use crate::policy::Settings;
use crate::view::View;

/// Work time assumed before the first response, in seconds.
const INITIAL_WORK_TIME: f64 = 0.01;
/// Lower bound of the average work time, in seconds.
const MIN_WORK_TIME: f64 = 1e-5;
/// Weight of one response in the service's averages.
const AVERAGE_WEIGHT: f64 = 0.02;
/// Upper bound of a sample, relative to the average work time.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Upper bound of [`Choice::expected`], in seconds.
const MAX_EXPECTED: f64 = 3600.0;
/// Number of recent choices that [`View::chosen`] covers.
const SHARE_WINDOW: u32 = 2048;
/// Time without a response that ejects an instance, in average work times.
const SILENCE_WORK_TIMES: f64 = 40.0;
/// Lower bound of the time without a response that ejects an instance.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// At most one instance in this many is ejected.
const EJECTED_DIVISOR: usize = 2;

/// Chooses among one service's instances.
///
/// Invariant: `ready` holds the indexes of exactly the entries whose phase is
/// ready. `has_ejected` is set while any entry receives no ordinary requests.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    settings: Settings,
    rng: SmallRng,
    entries: Vec<Entry>,
    ready: Vec<usize>,
    last_index: usize,
    averages: ServiceAverages,
    choices: u32,
    /// A table with instances has been applied; instances that appear later ramp.
    has_started: bool,
    has_ejected: bool,
}

impl Chooser {
    /// A chooser without instances; equal seeds and inputs give equal choices.
    #[must_use]
    pub fn new(policy: Policy, settings: Settings, seed: u64) -> Self {
        Self {
            policy,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            ready: Vec::new(),
            last_index: 0,
            averages: ServiceAverages {
                work: INITIAL_WORK_TIME,
                external: 0.0,
                known: false,
            },
            choices: 0,
            has_started: false,
            has_ejected: false,
        }
    }

    /// Applies the directory's complete table; an instance that it lacks has been removed.
    pub fn update(&mut self, now: Moment, table: &[Instance]) {
        for entry in &mut self.entries {
            if !table.iter().any(|listed| listed.is_same(&entry.instance)) {
                entry.instance.phase = Phase::Gone;
            }
        }
        for instance in table {
            self.apply_instance(now, instance);
        }
        self.has_started |= !table.is_empty();
        self.ready.clear();
        let ready = (0..self.entries.len()).filter(|i| self.entries[*i].is_ready());
        self.ready.extend(ready);
        for index in 0..self.entries.len() {
            self.check_silence(now, self.entries[index].pick(index));
        }
    }

    fn apply_instance(&mut self, now: Moment, instance: &Instance) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|e| e.instance.is_same(instance)) {
            entry.apply(now, instance);
            return;
        }
        if instance.phase == Phase::Gone {
            return;
        }
        let state = if self.has_started {
            State::Ramping { since: now }
        } else {
            State::Healthy
        };
        let free = self.entries.iter_mut().find(|e| e.is_gone());
        match free {
            Some(entry) => *entry = Entry::new(instance.clone(), entry.generation + 1, state),
            None => self.entries.push(Entry::new(instance.clone(), 0, state)),
        }
    }

    /// Chooses an instance for an attempt, outside of `exclude` where possible.
    ///
    /// Returns `None` if no instance takes requests.
    pub fn choose(&mut self, now: Moment, exclude: &[Pick]) -> Option<Choice> {
        let (index, reason) = match self.policy {
            Policy::Random => (self.choose_random(now, exclude, None)?, Reason::Baseline),
            Policy::RoundRobin => (self.round_robin(now, exclude)?, Reason::Baseline),
            Policy::TwoChoices => (self.two_choices(now, exclude)?, Reason::Baseline),
            Policy::LeastWait => self.least_wait(now, exclude)?,
        };
        self.count_choice(index, reason);
        let entry = &mut self.entries[index];
        let expected = entry.expected(now, self.averages, &self.settings);
        Some(Choice {
            pick: entry.pick(index),
            reason,
            age: entry.age(now),
            in_flight: entry.in_flight(),
            expected: Duration::from_secs_f64(expected.clamp(0.0, MAX_EXPECTED)),
        })
    }

    fn count_choice(&mut self, index: usize, reason: Reason) {
        self.choices += 1;
        self.entries[index].chosen += 1;
        self.entries[index].reason = Some(reason);
        if self.choices < SHARE_WINDOW {
            return;
        }
        self.choices = 0;
        for entry in &mut self.entries {
            entry.chosen /= 2;
            self.choices += entry.chosen;
        }
    }

    /// Records the start of an attempt.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        if let Some(entry) = self.entry(pick) {
            entry.record_start(now);
        }
        Ticket {
            pick,
            started_at: now,
        }
    }

    /// Records the end of an attempt.
    pub fn finished(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        let (pick, started_at) = ticket.into_parts();
        let (averages, settings) = (self.averages, self.settings);
        let Some(entry) = self.entry(pick) else {
            return;
        };
        match entry.finish(now, started_at, outcome, averages, &settings) {
            Verdict::Answered(work) => self.observe(now, pick, work),
            Verdict::Eject(cause) => self.eject(now, pick, cause),
            Verdict::Unchanged => self.check_silence(now, pick),
        }
    }

    fn observe(&mut self, now: Moment, pick: Pick, work: f64) {
        if self.averages.known {
            let work = work.min(self.averages.work * MAX_SAMPLE_RATIO);
            self.averages.work += (work - self.averages.work) * AVERAGE_WEIGHT;
        } else {
            self.averages.work = work;
            self.averages.known = true;
        }
        self.averages.work = self.averages.work.max(MIN_WORK_TIME);
        let limit = self.settings.max_report_age;
        let external = self.entry(pick).and_then(|e| e.external(now, limit));
        if let Some(external) = external {
            self.averages.external += (external - self.averages.external) * AVERAGE_WEIGHT;
        }
    }

    fn check_silence(&mut self, now: Moment, pick: Pick) {
        let limit = Duration::from_secs_f64(self.averages.work * SILENCE_WORK_TIMES);
        let limit = limit.max(MIN_SILENCE);
        let averages = self.averages;
        let silent = |e: &mut Entry| e.health.takes_traffic() && e.silence(now, averages) > limit;
        if self.averages.known && self.entry(pick).is_some_and(silent) {
            self.eject(now, pick, Cause::Silence);
        }
    }

    /// Ejects the instance unless too many ready instances are ejected already.
    fn eject(&mut self, now: Moment, pick: Pick, cause: Cause) {
        let out = |i: &&usize| !self.entries[**i].health.takes_traffic();
        let count = self.ready.iter().filter(out).count();
        let jitter = self.rng.random();
        let bound = self.ready.len() / EJECTED_DIVISOR;
        let Some(entry) = self.entry(pick) else {
            return;
        };
        if !entry.health.takes_traffic() || count < bound {
            entry.health.eject(now, cause, jitter);
            self.has_ejected = true;
        }
    }

    /// The instance that most needs a probe, among those `allowed`.
    ///
    /// `allowed` is called in the order of need; it returns true after charging the probe to
    /// the instance's probe budget. Every returned pick must be passed to
    /// [`Chooser::probed`].
    pub fn probe(
        &mut self,
        now: Moment,
        mut allowed: impl FnMut(&InstanceId) -> bool,
    ) -> Option<Pick> {
        let settings = self.settings;
        let free = |e: &Entry| e.is_ready() && !e.probing && !e.backoff.is_on(now);
        let urgent = |e: &Entry| free(e) && e.needs_probe(now);
        let stale = |e: &Entry| free(e) && e.is_stale(now, settings.probe_age);
        let entries = self.entries.iter().enumerate();
        let first = entries.clone().filter(|(_, e)| urgent(e));
        let then = entries.filter(|(_, e)| stale(e) && !urgent(e));
        let mut wanted = first.chain(then);
        let (index, _) = wanted.find(|(_, e)| allowed(&e.instance.id))?;
        self.entries[index].probing = true;
        Some(self.entries[index].pick(index))
    }

    /// Records the end of a probe.
    pub fn probed(&mut self, now: Moment, pick: Pick, result: ProbeResult) {
        let settings = self.settings;
        let Some(entry) = self.entry(pick) else {
            return;
        };
        entry.probing = false;
        entry.probed_at = Some(now);
        match result {
            ProbeResult::Load(report) => {
                entry.record_report(now, report, &settings);
                entry.health.probe_answered(now);
            }
            ProbeResult::Failed => {
                if entry.health.probe_failed(entry.is_suspect()) {
                    self.eject(now, pick, Cause::Silence);
                }
            }
        }
    }

    /// Sends the instance nothing before `end`.
    pub fn set_backoff(&mut self, run: &InstanceRun, end: Moment) {
        if let Some(entry) = self.entry_of(run) {
            entry.backoff.extend(end);
        }
    }

    /// Sends the instance nothing more, as it is shutting down.
    pub fn set_leaving(&mut self, run: &InstanceRun) {
        if let Some(entry) = self.entry_of(run) {
            entry.leaving = true;
            let entries = &self.entries;
            self.ready.retain(|index| entries[*index].is_ready());
        }
    }

    /// When the first backoff ends, if all ready instances are backed off.
    #[must_use]
    pub fn first_backoff_end(&self, now: Moment) -> Option<Moment> {
        let ends = self.ready.iter().map(|i| self.entries[*i].backoff.end(now));
        ends.collect::<Option<Vec<Moment>>>()?.into_iter().min()
    }

    fn entry_of(&mut self, run: &InstanceRun) -> Option<&mut Entry> {
        let is_run = |entry: &&mut Entry| {
            let instance = &entry.instance;
            instance.id == run.instance && instance.incarnation == run.incarnation
        };
        self.entries.iter_mut().find(is_run)
    }

    /// The instance's id, `None` once the instance is removed.
    #[must_use]
    pub fn id(&self, pick: Pick) -> Option<&InstanceId> {
        let entry = self.entries.get(pick.index as usize)?;
        (entry.generation == pick.generation).then_some(&entry.instance.id)
    }

    /// The state of each instance.
    #[must_use]
    pub fn views(&self, now: Moment) -> Vec<View> {
        let shown = self.entries.iter().filter(|e| !e.is_gone());
        shown
            .map(|e| e.view(now, self.averages, self.choices))
            .collect()
    }

    fn entry(&mut self, pick: Pick) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(pick.index as usize)?;
        (entry.generation == pick.generation).then_some(entry)
    }
}
