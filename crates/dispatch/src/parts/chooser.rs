//! Which part a process asks for an instance.

use std::collections::HashMap;
use std::time::Duration;

use base::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::IntoStaticStr;

use super::division::Division;
use super::division::Part;
use super::division::PartId;

/// Share of a part's slots that must be free for the part to have capacity: instances slow down
/// with more than 0.8 of their slots in use.
const MIN_FREE: f64 = 0.2;
/// Free share assumed for a part without a recent answer.
const UNKNOWN_FREE: f64 = 0.5;
/// Time constant with which an answer ages. Load of a part changes about as fast as the pace of
/// its machines, each 300 ms.
const ANSWER_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Cost of the bytes between failure domains from which a request stays in its own domain: as
/// much as the request is worth.
const MAX_CROSSING: f64 = 1.0;

/// The load of a part, as its dispatcher reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartLoad {
    /// Slots of the instances that take requests.
    pub slots: u32,
    /// Requests at these instances.
    pub in_flight: u32,
    /// Requests that wait at the dispatcher.
    pub waiting: u32,
}

impl PartLoad {
    /// Share of the slots that is free; negative if requests wait.
    fn free(self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        let taken = f64::from(self.in_flight) + f64::from(self.waiting);
        1.0 - taken / f64::from(self.slots)
    }
}

/// Why a part was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PartReason {
    /// It is the home part and has capacity.
    Home,
    /// The home part has no capacity, and this part of the same failure domain has.
    Overflow,
    /// No part of the own failure domain has capacity, and this part of another one has.
    Crossing,
    /// No part is known to have capacity.
    Full,
}

/// A chosen part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartChoice {
    /// Its position in the division.
    pub position: usize,
    /// Why it was chosen.
    pub reason: PartReason,
    /// Estimated share of its slots that is free.
    pub free: f64,
    /// Age of its last answer; `None` before the first.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Moment,
    free: f64,
}

/// Chooses the part to ask, by the last answer of each dispatcher.
#[derive(Debug)]
pub struct PartChooser {
    rng: SmallRng,
    answers: HashMap<PartId, Answer>,
}

impl PartChooser {
    /// A chooser without answers.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            answers: HashMap::new(),
        }
    }

    /// Removes the answers of parts that no longer exist.
    pub fn retain(&mut self, division: &Division) {
        self.answers.retain(|id, _| division.position(id).is_some());
    }

    /// Records the load that the dispatcher of a part reports; `granted` if it granted an instance
    /// or may grant one.
    pub fn record(&mut self, now: Moment, part: &PartId, load: PartLoad, granted: bool) {
        let free = load.free();
        let free = if granted { free } else { free.min(0.0) };
        self.answers.insert(part.clone(), Answer { at: now, free });
    }

    /// Chooses a part that isn't in `tried`; `crossing` is the cost of the request's bytes between
    /// failure domains, as a fraction of its worth.
    pub fn choose(
        &mut self,
        now: Moment,
        division: &Division,
        own_domain: &DomainName,
        home: Option<usize>,
        tried: &[PartId],
        crossing: f64,
    ) -> Option<PartChoice> {
        let parts = division.parts();
        let open = (0..parts.len()).filter(|position| {
            let part = &parts[*position];
            part.slots > 0 && part.dispatcher.is_some() && !tried.contains(&part.id)
        });
        let (near, far): (Vec<usize>, Vec<usize>) =
            open.partition(|position| parts[*position].id.domain == *own_domain);
        let has_own = parts
            .iter()
            .any(|part| part.slots > 0 && part.id.domain == *own_domain);
        let far = if crossing < MAX_CROSSING || !has_own {
            far
        } else {
            Vec::new()
        };
        let home = home.filter(|home| near.contains(home));
        let free = |position: &usize| self.free(now, &parts[*position]);
        let with_capacity = |some: &[usize]| -> Vec<usize> {
            let some = some.iter().copied();
            some.filter(|position| free(position) >= MIN_FREE).collect()
        };
        let at_home = with_capacity(home.as_slice());
        let (near_free, far_free) = (with_capacity(&near), with_capacity(&far));
        let candidates = [
            (at_home, PartReason::Home),
            (near_free, PartReason::Overflow),
            (far_free, PartReason::Crossing),
            (home.into_iter().collect(), PartReason::Full),
            (near, PartReason::Full),
            (far, PartReason::Full),
        ];
        let (candidates, reason) = candidates.into_iter().find(|(some, _)| !some.is_empty())?;
        let position = self.better_of_two(now, parts, &candidates);
        let part = &parts[position];
        Some(PartChoice {
            position,
            reason,
            free: self.free(now, part),
            age: self.answers.get(&part.id).map(|last| now.since(last.at)),
        })
    }

    /// Of two candidates drawn at random the one with more free slots.
    fn better_of_two(&mut self, now: Moment, parts: &[Part], candidates: &[usize]) -> usize {
        let one = self.rng.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return candidates[one];
        }
        let step = self.rng.random_range(1..candidates.len());
        let two = (one + step) % candidates.len();
        let free_slots = |candidate: usize| {
            let part = &parts[candidates[candidate]];
            self.free(now, part) * f64::from(part.slots)
        };
        if free_slots(two) > free_slots(one) {
            candidates[two]
        } else {
            candidates[one]
        }
    }

    /// Estimated share of the part's slots that is free.
    fn free(&self, now: Moment, part: &Part) -> f64 {
        let Some(last) = self.answers.get(&part.id) else {
            return UNKNOWN_FREE;
        };
        let age = now.since(last.at).as_secs_f64() / ANSWER_TIME_CONSTANT.as_secs_f64();
        let weight = (-age).exp();
        last.free * weight + UNKNOWN_FREE * (1.0 - weight)
    }
}
