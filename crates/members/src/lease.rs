//! Leases of what this directory hears itself.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use quick_error::quick_error;

use crate::record::Key;
use crate::record::Rank;

/// What an accepted announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It said something new.
    Changed,
    /// It renewed the lease.
    Renewed,
    /// It was heard before and renewed nothing.
    Repeated,
}

quick_error! {
    /// Why an announcement was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// A newer one was heard.
        Older(known: Rank) {
            display("incarnation {} sequence {} was heard before", known.incarnation, known.sequence)
        }
        /// The incarnation has left for good.
        Left(incarnation: u64) {
            display("incarnation {incarnation} has left; start with a greater one")
        }
        /// No room for another instance.
        Full(most: usize) {
            display("{most} records are kept here, and no more")
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    rank: Rank,
    heard: Moment,
    live: bool,
}

/// When each key was last heard, and with what rank.
///
/// A key is remembered for a while after its lease ran out, so that an
/// announcement that was delayed on its way brings nothing back.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: BTreeMap<Key, Lease>,
}

impl Leases {
    /// The highest rank heard of `key`.
    #[must_use]
    pub fn rank(&self, key: &Key) -> Option<Rank> {
        self.leases.get(key).map(|lease| lease.rank)
    }

    /// Whether the key's lease runs.
    #[must_use]
    pub fn is_live(&self, key: &Key) -> bool {
        self.leases.get(key).is_some_and(|lease| lease.live)
    }

    /// When the key was last heard.
    #[must_use]
    pub fn heard(&self, key: &Key) -> Option<Moment> {
        self.leases.get(key).map(|lease| lease.heard)
    }

    /// Number of keys kept, with those that are only remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Renews a lease, or ends it when `rank` says that the key is gone.
    pub fn renew(&mut self, key: Key, rank: Rank, now: Moment) {
        let lease = Lease {
            rank,
            heard: now,
            live: !rank.gone,
        };
        self.leases.insert(key, lease);
    }

    /// Ends the leases not renewed for `span` and returns their keys.
    pub fn expire(&mut self, span: Duration, now: Moment) -> Vec<Key> {
        let mut expired = Vec::new();
        for (key, lease) in &mut self.leases {
            if lease.live && now.since(lease.heard) >= span {
                lease.live = false;
                expired.push(key.clone());
            }
        }
        expired
    }

    /// Forgets keys without a lease, last heard `span` ago, and returns them.
    pub fn forget(&mut self, span: Duration, now: Moment) -> Vec<Key> {
        let old = |lease: &Lease| !lease.live && now.since(lease.heard) >= span;
        let keys = self.leases.iter().filter(|(_, lease)| old(lease));
        let keys: Vec<Key> = keys.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.leases.remove(key);
        }
        keys
    }
}
