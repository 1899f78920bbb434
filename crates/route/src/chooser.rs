//! The state machine of one service's choices.

use std::time::Duration;

use base::prelude::InstanceId;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::entry::Entry;
use crate::entry::Usual;
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

/// Work time that is assumed before the first answer, in seconds.
const FIRST_WORK: f64 = 0.01;
/// Least work time that is believed, in seconds.
const LEAST_WORK: f64 = 1e-5;
/// Weight of one answer in what is usual for the service.
const USUAL_WEIGHT: f64 = 0.02;
/// Usual work times that one answer counts for at most.
const MOST_SAMPLE: f64 = 4.0;
/// Most that an expectation is shown as, in seconds.
const MOST_EXPECTED: f64 = 3600.0;
/// Part of an expectation that is random, so that equal ones take turns.
const JITTER: f64 = 0.05;
/// Instances that one choice looks at, at most.
const CANDIDATES: usize = 24;
/// Choices over which shares are shown.
const SHARE_WINDOW: u32 = 2048;
/// Usual work times without an answer that eject.
const SILENT_WORKS: f64 = 40.0;
/// Least time without an answer that ejects.
const SILENT_FLOOR: Duration = Duration::from_millis(100);
/// At most one instance in so many is ejected.
const EJECTED_PART: usize = 2;

/// Chooses among one service's instances.
///
/// Invariant: `ready` holds the indexes of exactly the entries whose phase is
/// ready, so that a choice looks at no other. `ejected` is set while any entry's
/// health isn't in.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    settings: Settings,
    rng: SmallRng,
    entries: Vec<Entry>,
    ready: Vec<usize>,
    turn: usize,
    usual: Usual,
    total: u32,
    begun: bool,
    ejected: bool,
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
            turn: 0,
            usual: Usual {
                work: FIRST_WORK,
                others: 0.0,
                known: false,
            },
            total: 0,
            begun: false,
            ejected: false,
        }
    }

    /// Takes the directory's table, whole: an instance that it lacks has gone.
    pub fn update(&mut self, now: Moment, table: &[Instance]) {
        for entry in &mut self.entries {
            if !table.iter().any(|row| row.is_same(&entry.instance)) {
                entry.instance.phase = Phase::Gone;
            }
        }
        for row in table {
            self.take(now, row);
        }
        self.begun |= !table.is_empty();
        self.ready.clear();
        let ready = (0..self.entries.len()).filter(|i| self.entries[*i].is_ready());
        self.ready.extend(ready);
        for index in 0..self.entries.len() {
            self.check_silence(now, self.entries[index].pick(index));
        }
    }

    fn take(&mut self, now: Moment, row: &Instance) {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|e| e.instance.is_same(row)) {
            entry.take(now, row);
            return;
        }
        if row.phase == Phase::Gone {
            return;
        }
        let state = if self.begun {
            State::Ramping { since: now }
        } else {
            State::Well
        };
        let free = self.entries.iter_mut().find(|e| e.is_gone());
        match free {
            Some(entry) => *entry = Entry::new(row.clone(), entry.epoch + 1, state),
            None => self.entries.push(Entry::new(row.clone(), 0, state)),
        }
    }

    /// Chooses an instance for an attempt, none of `exclude` if another is left.
    ///
    /// `None` means that no instance is ready.
    pub fn choose(&mut self, now: Moment, exclude: &[Pick]) -> Option<Choice> {
        let (index, reason) = match self.policy {
            Policy::Random => (self.random(exclude, None)?, Reason::Baseline),
            Policy::RoundRobin => (self.next(exclude)?, Reason::Baseline),
            Policy::TwoChoices => (self.two_choices(exclude)?, Reason::Baseline),
            Policy::LeastWait => self.least_wait(now, exclude)?,
        };
        self.count(index, reason);
        let entry = &mut self.entries[index];
        let expected = entry.expected(now, self.usual, &self.settings);
        Some(Choice {
            pick: entry.pick(index),
            reason,
            age: entry.age(now),
            in_flight: entry.in_flight(),
            expected: Duration::from_secs_f64(expected.clamp(0.0, MOST_EXPECTED)),
        })
    }

    fn least_wait(&mut self, now: Moment, exclude: &[Pick]) -> Option<(usize, Reason)> {
        if let Some(index) = self.trial(now, exclude) {
            self.entries[index].health.begin_trial(now);
            return Some((index, Reason::Trial));
        }
        let Some(index) = self.least(now, exclude) else {
            let index = self.random(exclude, None)?;
            return Some((index, Reason::Panic));
        };
        let age = self.entries[index].age(now);
        let fresh = age.is_some_and(|age| age < self.settings.report_limit);
        Some((index, if fresh { Reason::Fresh } else { Reason::Stale }))
    }

    /// An ejected instance that may be tried; not for a retry, which has failed once.
    fn trial(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        if !self.ejected || !exclude.is_empty() {
            return None;
        }
        let entries = &self.entries;
        let mut ready = self.ready.iter().copied();
        let trial = ready.find(|i| entries[*i].health.wants_trial(now));
        self.ejected = entries.iter().any(|e| !e.health.is_in());
        trial
    }

    /// The least expectation among the candidates, or among all if none is left.
    fn least(&mut self, now: Moment, exclude: &[Pick]) -> Option<usize> {
        let count = self.ready.len();
        if count <= CANDIDATES {
            return self.least_of(now, exclude, 0, count);
        }
        let start = self.rng.random_range(0..count);
        self.least_of(now, exclude, start, CANDIDATES)
            .or_else(|| self.least_of(now, exclude, 0, count))
    }

    /// The same among `count` ready instances from the one at `start` on.
    fn least_of(
        &mut self,
        now: Moment,
        exclude: &[Pick],
        start: usize,
        count: usize,
    ) -> Option<usize> {
        let mut best = None;
        let mut least = f64::INFINITY;
        for at in start..start + count {
            let index = self.ready[at % self.ready.len()];
            if !self.entries[index].health.is_in() || self.is_excluded(index, exclude) {
                continue;
            }
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let expected = self.entries[index].expected(now, self.usual, &self.settings);
            if expected * jitter < least {
                least = expected * jitter;
                best = Some(index);
            }
        }
        best
    }

    fn count(&mut self, index: usize, reason: Reason) {
        self.total += 1;
        self.entries[index].chosen += 1;
        self.entries[index].reason = Some(reason);
        if self.total < SHARE_WINDOW {
            return;
        }
        self.total = 0;
        for entry in &mut self.entries {
            entry.chosen /= 2;
            self.total += entry.chosen;
        }
    }

    /// A random ready instance, not `other` and none of `exclude` if another is left.
    fn random(&mut self, exclude: &[Pick], other: Option<usize>) -> Option<usize> {
        let free = |i: &usize| Some(*i) != other && !self.is_excluded(*i, exclude);
        let count = self.ready.iter().copied().filter(free).count();
        if count == 0 {
            let count = self.ready.len();
            return (count > 0).then(|| self.ready[self.rng.random_range(0..count)]);
        }
        let nth = self.rng.random_range(0..count);
        let free = |i: &usize| Some(*i) != other && !self.is_excluded(*i, exclude);
        self.ready.iter().copied().filter(free).nth(nth)
    }

    fn next(&mut self, exclude: &[Pick]) -> Option<usize> {
        let count = self.ready.len();
        for _ in 0..count {
            self.turn = (self.turn + 1) % count;
            let index = self.ready[self.turn];
            if !self.is_excluded(index, exclude) {
                return Some(index);
            }
        }
        self.random(exclude, None)
    }

    fn two_choices(&mut self, exclude: &[Pick]) -> Option<usize> {
        let one = self.random(exclude, None)?;
        let two = self.random(exclude, Some(one))?;
        let fewer = self.entries[two].in_flight() < self.entries[one].in_flight();
        Some(if fewer { two } else { one })
    }

    fn is_excluded(&self, index: usize, exclude: &[Pick]) -> bool {
        exclude.contains(&self.entries[index].pick(index))
    }

    /// Notes that an attempt begins.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        if let Some(entry) = self.entry(pick) {
            entry.start(now);
        }
        Ticket {
            pick,
            started_at: now,
        }
    }

    /// Notes the end of an attempt.
    pub fn finished(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        let (pick, started_at) = ticket.close();
        let (usual, settings) = (self.usual, self.settings);
        let Some(entry) = self.entry(pick) else {
            return;
        };
        match entry.finish(now, started_at, outcome, usual, &settings) {
            Verdict::Worked(work) => self.learn(now, pick, work),
            Verdict::Bad(cause) => self.eject(now, pick, cause),
            Verdict::Nothing => self.check_silence(now, pick),
        }
    }

    fn learn(&mut self, now: Moment, pick: Pick, work: f64) {
        if self.usual.known {
            let work = work.min(self.usual.work * MOST_SAMPLE);
            self.usual.work += (work - self.usual.work) * USUAL_WEIGHT;
        } else {
            self.usual.work = work;
            self.usual.known = true;
        }
        self.usual.work = self.usual.work.max(LEAST_WORK);
        let limit = self.settings.report_limit;
        let others = self.entry(pick).and_then(|e| e.others(now, limit));
        if let Some(others) = others {
            self.usual.others += (others - self.usual.others) * USUAL_WEIGHT;
        }
    }

    fn check_silence(&mut self, now: Moment, pick: Pick) {
        let limit = Duration::from_secs_f64(self.usual.work * SILENT_WORKS);
        let limit = limit.max(SILENT_FLOOR);
        let usual = self.usual;
        let silent = |e: &mut Entry| e.health.is_in() && e.silence(now, usual) > limit;
        if self.usual.known && self.entry(pick).is_some_and(silent) {
            self.eject(now, pick, Cause::Silence);
        }
    }

    /// Ejects the instance unless too many of the ready ones are out already.
    fn eject(&mut self, now: Moment, pick: Pick, cause: Cause) {
        let out = |i: &&usize| !self.entries[**i].health.is_in();
        let count = self.ready.iter().filter(out).count();
        let jitter = self.rng.random();
        let bound = self.ready.len() / EJECTED_PART;
        let Some(entry) = self.entry(pick) else {
            return;
        };
        if !entry.health.is_in() || count < bound {
            entry.health.eject(now, cause, jitter);
            self.ejected = true;
        }
    }

    /// The instance that a probe now tells most about, among those `allowed`.
    ///
    /// `allowed` is asked in the order of need and takes the probe from the
    /// instance's measuring budget when it says yes. Every pick is to be given
    /// back to [`Chooser::probed`].
    pub fn probe(
        &mut self,
        now: Moment,
        mut allowed: impl FnMut(&InstanceId) -> bool,
    ) -> Option<Pick> {
        let settings = self.settings;
        let free = |e: &Entry| e.is_ready() && !e.probing;
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

    /// Notes the end of a probe.
    pub fn probed(&mut self, now: Moment, pick: Pick, result: ProbeResult) {
        let settings = self.settings;
        let Some(entry) = self.entry(pick) else {
            return;
        };
        entry.probing = false;
        entry.probed = Some(now);
        match result {
            ProbeResult::Load(report) => {
                entry.report(now, report, &settings);
                entry.health.probe_answered(now);
            }
            ProbeResult::Failed => {
                if entry.health.probe_failed(entry.is_suspect()) {
                    self.eject(now, pick, Cause::Silence);
                }
            }
        }
    }

    /// The instance's id, `None` after it has gone.
    #[must_use]
    pub fn id(&self, pick: Pick) -> Option<&InstanceId> {
        let entry = self.entries.get(pick.index as usize)?;
        (entry.epoch == pick.epoch).then_some(&entry.instance.id)
    }

    /// Every instance as the chooser sees it.
    #[must_use]
    pub fn views(&self, now: Moment) -> Vec<View> {
        let shown = self.entries.iter().filter(|e| !e.is_gone());
        shown.map(|e| e.view(now, self.usual, self.total)).collect()
    }

    fn entry(&mut self, pick: Pick) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(pick.index as usize)?;
        (entry.epoch == pick.epoch).then_some(entry)
    }
}
