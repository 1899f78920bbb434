//! The lowest rank that a view accepts for each key.
//!
//! When a home ends its lease of a new incarnation while another home still leases an old
//! one, the old incarnation must not reappear; nor may an incarnation that is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;

use crate::record::Key;
use crate::record::Rank;

/// The part of a rank that is retained: the greatest incarnation, and whether it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Floor {
    /// Incarnation of the announcer.
    pub incarnation: u64,
    /// Whether the incarnation is gone.
    pub gone: bool,
}

impl From<Rank> for Floor {
    fn from(rank: Rank) -> Self {
        Self {
            incarnation: rank.incarnation,
            gone: rank.gone,
        }
    }
}

/// The floor of each key, and when it was last raised or confirmed.
#[derive(Clone, Debug, Default)]
pub struct Floors {
    floors: BTreeMap<Key, (Floor, Moment)>,
}

impl Floors {
    /// Raises the floor of `key` to at least `floor` and returns it.
    pub fn raise(&mut self, key: &Key, floor: Floor, now: Moment) -> Floor {
        let entry = self.floors.entry(key.clone()).or_insert((floor, now));
        *entry = (entry.0.max(floor), now);
        entry.0
    }

    /// The floor of `key`.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<Floor> {
        self.floors.get(key).map(|(floor, _)| *floor)
    }

    /// Forgets keys that were not touched within `retention` and for which `in_use` is false.
    pub fn forget(&mut self, retention: Duration, now: Moment, in_use: impl Fn(&Key) -> bool) {
        let keep = |key: &Key, at: Moment| now.since(at) < retention || in_use(key);
        self.floors.retain(|key, (_, at)| keep(key, *at));
    }
}
