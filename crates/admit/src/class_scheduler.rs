//! Which class starts next when the gateway's own concurrency is short.
//!
//! The order is urgent, once, durable, deferred. Each class that waits earns its
//! share at every start of another, and goes first once it has earned a whole
//! start. So a class that always waits gets at least its share of the starts.

use base::prelude::*;

/// Classes from the first to the last to be served.
pub const ORDER: [Class; 4] = [Class::Urgent, Class::Once, Class::Durable, Class::Deferred];

const WHOLE: u32 = 100;

/// Least share of the starts for a class that waits, in percent.
#[must_use]
pub fn percent(class: Class) -> u32 {
    match class {
        Class::Urgent => 50,
        Class::Once => 20,
        Class::Durable => 15,
        Class::Deferred => 5,
    }
}

/// Rank of a class in [`ORDER`].
#[must_use]
pub fn rank(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Once => 1,
        Class::Durable => 2,
        Class::Deferred => 3,
    }
}

/// What each class has earned.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    earned: [u32; ORDER.len()],
}

impl Shares {
    /// Picks among the classes that have a call to start, and counts the start.
    ///
    /// `waiting` has one flag a class, in [`ORDER`].
    pub fn pick(&mut self, waiting: [bool; ORDER.len()]) -> Option<Class> {
        let owed = ORDER
            .into_iter()
            .filter(|class| waiting[rank(*class)] && self.earned[rank(*class)] >= WHOLE)
            .max_by_key(|class| self.earned[rank(*class)]);
        let first = ORDER.into_iter().find(|class| waiting[rank(*class)]);
        let picked = owed.or(first)?;
        self.count(picked, waiting);
        Some(picked)
    }

    fn count(&mut self, picked: Class, waiting: [bool; ORDER.len()]) {
        for class in ORDER {
            let earned = &mut self.earned[rank(class)];
            *earned = match (waiting[rank(class)], class == picked) {
                (_, true) => earned.saturating_sub(WHOLE - percent(class)),
                (true, false) => *earned + percent(class),
                // What was earned while waiting is not saved for a later surge.
                (false, false) => 0,
            };
        }
    }
}
