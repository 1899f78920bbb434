//! What a dispatcher gave away and hasn't got back.

use std::collections::HashMap;

use base::prelude::*;

/// Grants by number, each with the time after which it is over whatever becomes of it:
/// a process that is lost returns nothing.
#[derive(Debug)]
pub struct Grants<T> {
    next: u64,
    open: HashMap<u64, (Moment, T)>,
}

impl<T> Grants<T> {
    /// Grants from `first` on. Numbers of an earlier life of the process must not be
    /// taken for those of this one.
    #[must_use]
    pub fn with_first_id(first: u64) -> Self {
        Self {
            next: first,
            open: HashMap::new(),
        }
    }

    /// Keeps one that is over at `until`; gives its number.
    pub fn grant(&mut self, until: Moment, what: T) -> u64 {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.open.insert(number, (until, what));
        number
    }

    /// Takes one that came back; none where it is over, or isn't one of these.
    pub fn take(&mut self, number: u64) -> Option<T> {
        self.open.remove(&number).map(|(_, what)| what)
    }

    /// Takes those that are over.
    pub fn take_expired(&mut self, now: Moment) -> Vec<T> {
        let take_expired = self.open.extract_if(|_, (until, _)| *until <= now);
        take_expired.map(|(_, (_, what))| what).collect()
    }

    /// How many are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
