//! Weighted scheduling of classes when the gateway's own concurrency is exhausted.
//!
//! Calls start in the order of [`ORDER`], except that a waiting class accumulates
//! credit at every start of another class and goes first once its credit covers a start.
//! A class that always has queued calls therefore gets at least [`percent`] of the
//! starts.

use base::prelude::*;

/// Classes from the first to the last to be served.
pub const ORDER: [Class; 4] = [Class::Urgent, Class::Once, Class::Durable, Class::Deferred];

// Credit of one start, in percent of a start.
const START_COST: u32 = 100;

/// Minimum share of the starts for a class with queued calls, in percent.
#[must_use]
pub fn percent(class: Class) -> u32 {
    match class {
        Class::Urgent => 50,
        Class::Once => 20,
        Class::Durable => 15,
        Class::Deferred => 5,
    }
}

/// Index of a class in [`ORDER`].
#[must_use]
pub fn rank(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Once => 1,
        Class::Durable => 2,
        Class::Deferred => 3,
    }
}

/// Picks the class of the next call to start.
#[derive(Clone, Debug, Default)]
pub struct ClassScheduler {
    credits: [u32; ORDER.len()],
}

impl ClassScheduler {
    /// Picks among the classes that have a call to start, and counts the start.
    ///
    /// `waiting` has one flag per class, in [`ORDER`].
    pub fn pick(&mut self, waiting: [bool; ORDER.len()]) -> Option<Class> {
        let entitled = ORDER
            .into_iter()
            .filter(|class| waiting[rank(*class)] && self.credits[rank(*class)] >= START_COST)
            .max_by_key(|class| self.credits[rank(*class)]);
        let first = ORDER.into_iter().find(|class| waiting[rank(*class)]);
        let picked = entitled.or(first)?;
        self.update_credits(picked, waiting);
        Some(picked)
    }

    fn update_credits(&mut self, picked: Class, waiting: [bool; ORDER.len()]) {
        for class in ORDER {
            let credit = &mut self.credits[rank(class)];
            *credit = match (waiting[rank(class)], class == picked) {
                (_, true) => credit.saturating_sub(START_COST - percent(class)),
                (true, false) => *credit + percent(class),
                // What was earned while waiting is not saved for a later burst.
                (false, false) => 0,
            };
        }
    }
}
