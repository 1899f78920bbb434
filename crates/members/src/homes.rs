//! The homes that are known: each one's partition and when it was last heard of.
//!
//! A home is heard of by statements: "at point (epoch, cursor) it was alive so
//! long ago". A statement counts only for a copy that is at least as new, for a
//! newer point may have removed what the copy still holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;

use crate::partition::Delta;
use crate::partition::Partition;
use crate::record::Key;
use crate::record::Record;

/// Where a home can be reached by those who announce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes announcements.
    pub address: SocketAddr,
}

/// One directory's partition as it is known here.
#[derive(Clone, Debug)]
pub struct Home {
    /// Where it takes announcements.
    pub place: Place,
    /// The copy, or the table itself of this directory's own home.
    pub partition: Partition,
    /// The latest moment at which it was certainly alive.
    pub vouched: Option<Moment>,
    /// When this start of the home was first learned of.
    pub learned: Moment,
    /// The copy counts.
    pub alive: bool,
}

/// "This home was alive `age` ago, and stood at this point."
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vouch {
    /// The home.
    pub home: HostName,
    /// Where it takes announcements.
    pub place: Place,
    /// Its start.
    pub epoch: u64,
    /// Its latest change that the speaker knows.
    pub cursor: u64,
    /// Time since it was certainly alive, if that is known at all.
    pub age: Option<Duration>,
}

/// All known homes by name.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    homes: BTreeMap<HostName, Home>,
}

impl Homes {
    /// Adds a home, or leaves a known one as it is.
    pub fn learn(&mut self, name: &HostName, place: Place, now: Moment) -> &mut Home {
        self.homes.entry(name.clone()).or_insert_with(|| Home {
            place,
            partition: Partition::new(0),
            vouched: None,
            learned: now,
            alive: false,
        })
    }

    /// One home.
    #[must_use]
    pub fn get(&self, name: &HostName) -> Option<&Home> {
        self.homes.get(name)
    }

    /// One home, to change it.
    pub fn get_mut(&mut self, name: &HostName) -> Option<&mut Home> {
        self.homes.get_mut(name)
    }

    /// All homes, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &Home)> {
        self.homes.iter()
    }

    /// Notes that a home was alive at `moment`; returns the keys that count again.
    pub fn vouch(&mut self, name: &HostName, moment: Moment) -> BTreeSet<Key> {
        let Some(home) = self.homes.get_mut(name) else {
            return BTreeSet::new();
        };
        home.vouched = home.vouched.max(Some(moment));
        if home.alive {
            return BTreeSet::new();
        }
        home.alive = true;
        home.partition.keys().cloned().collect()
    }

    /// Moves a copy on; a new start of the home counts only once vouched for.
    pub fn merge(&mut self, name: &HostName, delta: &Delta, now: Moment) -> BTreeSet<Key> {
        let Some(home) = self.homes.get_mut(name) else {
            return BTreeSet::new();
        };
        if home.partition.takes(delta) && delta.epoch != home.partition.epoch() {
            home.alive = false;
            home.vouched = None;
            home.learned = now;
        }
        home.partition.merge(delta)
    }

    /// Lets homes not heard of for `lease` count no more; returns them with their keys.
    pub fn expire(&mut self, me: &HostName, lease: Duration, now: Moment) -> Expired {
        let mut expired = Expired::default();
        for (name, home) in &mut self.homes {
            let late = home.vouched.is_none_or(|v| now.since(v) > lease);
            if name == me || !home.alive || !late {
                continue;
            }
            home.alive = false;
            expired.homes.push(name.clone());
            expired.keys.extend(home.partition.keys().cloned());
        }
        expired
    }

    /// Drops homes not heard of for `span` and returns the keys they held.
    pub fn forget(&mut self, me: &HostName, span: Duration, now: Moment) -> BTreeSet<Key> {
        let mut keys = BTreeSet::new();
        self.homes.retain(|name, home| {
            let since = home.vouched.unwrap_or(home.learned);
            let keep = name == me || home.alive || now.since(since) < span;
            if !keep {
                keys.extend(home.partition.keys().cloned());
            }
            keep
        });
        keys
    }

    /// The record of `key` with the highest rank, from any home.
    #[must_use]
    pub fn best(&self, key: &Key) -> Option<&Record> {
        let records = self.homes.values().filter_map(|h| h.partition.get(key));
        records.max_by_key(|record| record.rank())
    }

    /// Whether a home that counts keeps a lease of `key` in this incarnation.
    #[must_use]
    pub fn keeps(&self, key: &Key, incarnation: u64) -> bool {
        let counts = self.homes.values().filter(|home| home.alive);
        let mut found = counts.filter_map(|home| home.partition.get(key));
        found.any(|r| !r.is_gone() && r.rank().incarnation == incarnation)
    }
}

/// What [`Homes::expire`] ended.
#[derive(Clone, Debug, Default)]
pub struct Expired {
    /// Homes that count no more.
    pub homes: Vec<HostName>,
    /// The keys they held.
    pub keys: BTreeSet<Key>,
}
