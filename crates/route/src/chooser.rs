//! The state machine of one service's choices.

use std::time::Duration;

use base::prelude::InstanceId;
use base::prelude::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

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
use crate::view::Health;
use crate::view::View;

/// Chooses among one service's instances.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    settings: Settings,
    rng: SmallRng,
    entries: Vec<Entry>,
    turn: usize,
}

#[derive(Debug)]
struct Entry {
    instance: Instance,
    epoch: u32,
    in_flight: u32,
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
            turn: 0,
        }
    }

    /// Takes the directory's table, whole: an instance that it lacks has gone.
    pub fn update(&mut self, _now: Moment, table: &[Instance]) {
        for entry in &mut self.entries {
            if !table.iter().any(|row| row.id == entry.instance.id) {
                entry.instance.phase = Phase::Gone;
            }
        }
        for row in table {
            match self.entries.iter_mut().find(|e| e.instance.id == row.id) {
                Some(entry) => entry.instance = row.clone(),
                None => self.entries.push(Entry {
                    instance: row.clone(),
                    epoch: 0,
                    in_flight: 0,
                }),
            }
        }
    }

    /// Chooses an instance for an attempt, none of `exclude` if another is left.
    ///
    /// `None` means that no instance is ready.
    pub fn choose(&mut self, now: Moment, exclude: &[Pick]) -> Option<Choice> {
        let _ = (now, self.settings, self.policy, self.turn);
        let ready = self
            .entries
            .iter()
            .filter(|e| e.instance.phase == Phase::Ready)
            .count();
        if ready == 0 {
            return None;
        }
        let nth = self.rng.random_range(0..ready);
        let (index, entry) = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| e.instance.phase == Phase::Ready)
            .nth(nth)?;
        let _ = exclude;
        Some(Choice {
            pick: Pick {
                index: u32::try_from(index).ok()?,
                epoch: entry.epoch,
            },
            reason: Reason::Baseline,
            age: None,
            in_flight: entry.in_flight,
            expected: Duration::ZERO,
        })
    }

    /// Notes that an attempt begins.
    pub fn started(&mut self, now: Moment, pick: Pick) -> Ticket {
        if let Some(entry) = self.entry(pick) {
            entry.in_flight += 1;
        }
        Ticket { pick, began: now }
    }

    /// Notes the end of an attempt.
    pub fn finished(&mut self, _now: Moment, ticket: Ticket, outcome: Outcome) {
        let _ = outcome;
        let pick = ticket.close();
        if let Some(entry) = self.entry(pick) {
            entry.in_flight -= 1;
        }
    }

    /// The instance that a probe now tells most about, among those `allowed`.
    ///
    /// `allowed` is asked in the order of need and takes the probe from the
    /// instance's measuring budget when it says yes. Every pick is to be given
    /// back to [`Chooser::probed`].
    pub fn probe(&mut self, now: Moment, allowed: impl FnMut(&InstanceId) -> bool) -> Option<Pick> {
        let _ = (now, allowed);
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
        let _ = now;
        self.entries
            .iter()
            .map(|e| View {
                id: e.instance.id.clone(),
                phase: e.instance.phase,
                health: Health::Well,
                in_flight: e.in_flight,
                latency: Duration::ZERO,
                age: None,
                chosen: 0,
                reason: None,
            })
            .collect()
    }

    fn entry(&mut self, pick: Pick) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(pick.index as usize)?;
        (entry.epoch == pick.epoch).then_some(entry)
    }
}
