//! The known homes: each one's partition and when it was last seen alive.
//!
//! A [`HomeStatus`] reports that a home was alive some time ago at the position (epoch,
//! cursor). It counts only for a copy that is at least as new, because a newer position may
//! have removed records that the copy still contains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;

use crate::partition::Delta;
use crate::partition::Partition;
use crate::record::Key;
use crate::record::Record;

/// Failure domain and announcement address of a home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Failure domain.
    pub domain: DomainName,
    /// Address that takes announcements.
    pub address: SocketAddr,
}

/// One directory's partition as known to this directory.
#[derive(Clone, Debug)]
pub struct Home {
    /// Where the home takes announcements.
    pub location: Location,
    /// A copy, or the partition itself for this directory's own home.
    pub partition: Partition,
    /// The latest moment at which the home is known to have been alive.
    pub last_seen: Option<Moment>,
    /// When this epoch of the home was first seen.
    pub first_seen: Moment,
    /// Whether the records of the partition count as leased.
    pub alive: bool,
}

/// A report that a home was alive `age` ago, and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeStatus {
    /// The home.
    pub home: HostName,
    /// Where the home takes announcements.
    pub location: Location,
    /// Epoch of the home.
    pub epoch: u64,
    /// Latest cursor of the home that the sender knows.
    pub cursor: u64,
    /// Time since the home was known to be alive; `None` when unknown.
    pub age: Option<Duration>,
}

/// All known homes by name.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    homes: BTreeMap<HostName, Home>,
}

impl Homes {
    /// Returns the home `name`, adding it when unknown; `location` is ignored otherwise.
    pub fn get_or_insert(&mut self, name: &HostName, location: Location, now: Moment) -> &mut Home {
        self.homes.entry(name.clone()).or_insert_with(|| Home {
            location,
            partition: Partition::new(0),
            last_seen: None,
            first_seen: now,
            alive: false,
        })
    }

    /// The home `name`.
    #[must_use]
    pub fn get(&self, name: &HostName) -> Option<&Home> {
        self.homes.get(name)
    }

    /// The home `name`, mutable.
    pub fn get_mut(&mut self, name: &HostName) -> Option<&mut Home> {
        self.homes.get_mut(name)
    }

    /// All homes, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &Home)> {
        self.homes.iter()
    }

    /// Records that a home was alive at `moment`; returns the keys that became visible by it.
    pub fn mark_alive(&mut self, name: &HostName, moment: Moment) -> BTreeSet<Key> {
        let Some(home) = self.homes.get_mut(name) else {
            return BTreeSet::new();
        };
        home.last_seen = home.last_seen.max(Some(moment));
        if home.alive {
            return BTreeSet::new();
        }
        home.alive = true;
        home.partition.keys().cloned().collect()
    }

    /// Applies a delta; a new epoch of the home counts only after a status confirms it alive.
    pub fn merge(&mut self, name: &HostName, delta: &Delta, now: Moment) -> BTreeSet<Key> {
        let Some(home) = self.homes.get_mut(name) else {
            return BTreeSet::new();
        };
        if home.partition.accepts(delta) && delta.epoch != home.partition.epoch() {
            home.alive = false;
            home.last_seen = None;
            home.first_seen = now;
        }
        home.partition.merge(delta)
    }

    /// Deactivates homes not seen alive within `lease`; returns them with their keys.
    pub fn expire(&mut self, me: &HostName, lease: Duration, now: Moment) -> Expired {
        let mut expired = Expired::default();
        for (name, home) in &mut self.homes {
            let overdue = home.last_seen.is_none_or(|v| now.since(v) > lease);
            if name == me || !home.alive || !overdue {
                continue;
            }
            home.alive = false;
            expired.homes.push(name.clone());
            expired.keys.extend(home.partition.keys().cloned());
        }
        expired
    }

    /// Drops homes not seen alive within `retention` and returns the keys they contained.
    pub fn forget(&mut self, me: &HostName, retention: Duration, now: Moment) -> BTreeSet<Key> {
        let mut keys = BTreeSet::new();
        self.homes.retain(|name, home| {
            let since = home.last_seen.unwrap_or(home.first_seen);
            let keep = name == me || home.alive || now.since(since) < retention;
            if !keep {
                keys.extend(home.partition.keys().cloned());
            }
            keep
        });
        keys
    }

    /// The record of `key` with the highest rank in any partition, dead homes included.
    #[must_use]
    pub fn highest_ranked(&self, key: &Key) -> Option<&Record> {
        let records = self.homes.values().filter_map(|h| h.partition.get(key));
        records.max_by_key(|record| record.rank())
    }

    /// Whether a live home leases `key` in this incarnation.
    #[must_use]
    pub fn has_lease(&self, key: &Key, incarnation: u64) -> bool {
        let counts = self.homes.values().filter(|home| home.alive);
        let mut found = counts.filter_map(|home| home.partition.get(key));
        found.any(|r| !r.is_gone() && r.rank().incarnation == incarnation)
    }
}

/// Homes deactivated by [`Homes::expire`].
#[derive(Clone, Debug, Default)]
pub struct Expired {
    /// Names of the homes.
    pub homes: Vec<HostName>,
    /// Keys in their partitions.
    pub keys: BTreeSet<Key>,
}
