//! The state machine of one service's choices.

use std::time::Duration;

use base::prelude::InstanceId;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::entry::Entry;
use crate::instance::Instance;
use crate::instance::Phase;
use crate::instance::Pick;
use crate::instance::Ticket;
use crate::outcome::Outcome;
use crate::outcome::Probed;
use crate::policy::Choice;
use crate::policy::Policy;
use crate::policy::Reason;
use crate::policy::Settings;
use crate::view::View;

/// Chooses among one service's instances.
///
/// Invariant: `ready` holds the indexes of exactly the entries whose phase is
/// ready, so that a choice looks at no other.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    settings: Settings,
    rng: SmallRng,
    entries: Vec<Entry>,
    ready: Vec<usize>,
    turn: usize,
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
        }
    }

    /// Takes the directory's table, whole: an instance that it lacks has gone.
    pub fn update(&mut self, now: Moment, table: &[Instance]) {
        for entry in &mut self.entries {
            if !table.iter().any(|row| row.id == entry.instance.id) {
                entry.instance.phase = Phase::Gone;
            }
        }
        for row in table {
            self.take(now, row);
        }
        self.ready.clear();
        let ready = (0..self.entries.len()).filter(|i| self.entries[*i].is_ready());
        self.ready.extend(ready);
    }

    fn take(&mut self, now: Moment, row: &Instance) {
        let known = self.entries.iter_mut().find(|e| e.instance.id == row.id);
        if let Some(entry) = known {
            entry.take(now, row);
            return;
        }
        if row.phase == Phase::Gone {
            return;
        }
        let free = self.entries.iter_mut().find(|e| e.is_gone());
        match free {
            Some(entry) => *entry = Entry::new(row.clone(), entry.epoch + 1),
            None => self.entries.push(Entry::new(row.clone(), 0)),
        }
    }

    /// Chooses an instance for an attempt, none of `exclude` if another is left.
    ///
    /// `None` means that no instance is ready.
    pub fn choose(&mut self, now: Moment, exclude: &[Pick]) -> Option<Choice> {
        let index = match self.policy {
            Policy::Random | Policy::LeastWait => self.random(exclude, None)?,
            Policy::RoundRobin => self.next(exclude)?,
            Policy::TwoChoices => self.two_choices(exclude)?,
        };
        let entry = &self.entries[index];
        Some(Choice {
            pick: entry.pick(index),
            reason: Reason::Baseline,
            age: entry.age(now),
            in_flight: entry.in_flight(),
            expected: Duration::ZERO,
        })
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
        Ticket { pick, began: now }
    }

    /// Notes the end of an attempt.
    pub fn finished(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        let (pick, began) = ticket.close();
        if let Some(entry) = self.entry(pick) {
            entry.finish(now, began, outcome);
        }
    }

    /// The instance that a probe now tells most about, among those `allowed`.
    ///
    /// `allowed` is asked in the order of need and takes the probe from the
    /// instance's measuring budget when it says yes. Every pick is to be given
    /// back to [`Chooser::probed`].
    pub fn probe(&mut self, now: Moment, allowed: impl FnMut(&InstanceId) -> bool) -> Option<Pick> {
        let _ = (now, allowed, self.settings);
        None
    }

    /// Notes the end of a probe.
    pub fn probed(&mut self, now: Moment, pick: Pick, result: Probed) {
        let _ = (now, pick, result);
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
        shown.map(|e| e.view(now)).collect()
    }

    fn entry(&mut self, pick: Pick) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(pick.index as usize)?;
        (entry.epoch == pick.epoch).then_some(entry)
    }
}
