//! A dispatcher's outstanding grants.

use std::collections::HashMap;

use base::prelude::*;

/// Outstanding grants by id, each with its expiry: a process that fails returns nothing.
#[derive(Debug)]
pub struct Grants<T> {
    next_id: u64,
    open: HashMap<u64, (Moment, T)>,
}

impl<T> Grants<T> {
    /// Starts without grants; ids count from `first_id`, which must not repeat ids of an earlier
    /// run of the process.
    #[must_use]
    pub fn with_first_id(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            open: HashMap::new(),
        }
    }

    /// Stores a grant that expires at `until` and returns its id.
    pub fn grant(&mut self, until: Moment, value: T) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.open.insert(id, (until, value));
        id
    }

    /// Removes a returned grant; `None` if it expired or is unknown.
    pub fn take(&mut self, id: u64) -> Option<T> {
        self.open.remove(&id).map(|(_, value)| value)
    }

    /// Removes the expired grants.
    pub fn take_expired(&mut self, now: Moment) -> Vec<T> {
        let expired = self.open.extract_if(|_, (until, _)| *until <= now);
        expired.map(|(_, (_, value))| value).collect()
    }

    /// Number of outstanding grants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether there are no outstanding grants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
