//! What a view has shown of a key, below which it never goes back.
//!
//! A home that ends its lease of a new incarnation, while another still holds
//! one of an old, must not bring the old one back; nor may an incarnation that
//! has left return.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;

use crate::record::Key;
use crate::record::Rank;

/// The part of a rank that is remembered: the greatest incarnation, and whether it has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Floor {
    /// Start of the announcer.
    pub incarnation: u64,
    /// It has left.
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

/// The floor of each key, with when it was last raised or confirmed.
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

    /// Forgets keys that aren't `kept` and were last touched `span` ago.
    pub fn forget(&mut self, span: Duration, now: Moment, kept: impl Fn(&Key) -> bool) {
        let stays = |key: &Key, at: Moment| now.since(at) < span || kept(key);
        self.floors.retain(|key, (_, at)| stays(key, *at));
    }
}
