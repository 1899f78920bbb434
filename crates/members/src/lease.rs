//! Leases of the instances and hosts that announce themselves to this directory.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::*;
use quick_error::quick_error;

use crate::record::Key;
use crate::record::Rank;

/// Effect of an accepted announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The announcement changed the record.
    Changed,
    /// The announcement only renewed the lease.
    Renewed,
    /// The announcement was a duplicate and renewed nothing.
    Repeated,
}

quick_error! {
    /// Why an announcement was refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AnnounceError {
        /// A newer announcement was already received.
        Older(known: Rank) {
            display("incarnation {} sequence {} was already received", known.incarnation, known.sequence)
        }
        /// The incarnation is gone, which is final.
        Left(incarnation: u64) {
            display("incarnation {incarnation} is gone; restart with a greater incarnation")
        }
        /// The limit on records is reached.
        Full(limit: usize) {
            display("limit of {limit} records reached")
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    rank: Rank,
    last_heartbeat: Moment,
    live: bool,
}

/// The latest rank and heartbeat of each key.
///
/// A key is retained for a while after its lease expires, so that a delayed announcement
/// cannot bring an expired record back.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    leases: BTreeMap<Key, Lease>,
}

impl Leases {
    /// The highest rank received for `key`.
    #[must_use]
    pub fn rank(&self, key: &Key) -> Option<Rank> {
        self.leases.get(key).map(|lease| lease.rank)
    }

    /// Whether the lease of `key` has not expired.
    #[must_use]
    pub fn is_live(&self, key: &Key) -> bool {
        self.leases.get(key).is_some_and(|lease| lease.live)
    }

    /// When the latest announcement of `key` was received.
    #[must_use]
    pub fn last_heartbeat(&self, key: &Key) -> Option<Moment> {
        self.leases.get(key).map(|lease| lease.last_heartbeat)
    }

    /// Number of keys, including retained ones without a lease.
    #[must_use]
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there is no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Renews a lease, or ends it when `rank` says that the key is gone.
    pub fn renew(&mut self, key: Key, rank: Rank, now: Moment) {
        let lease = Lease {
            rank,
            last_heartbeat: now,
            live: !rank.gone,
        };
        self.leases.insert(key, lease);
    }

    /// Expires the leases not renewed within `timeout` and returns their keys.
    pub fn expire(&mut self, timeout: Duration, now: Moment) -> Vec<Key> {
        let mut expired = Vec::new();
        for (key, lease) in &mut self.leases {
            if lease.live && now.since(lease.last_heartbeat) >= timeout {
                lease.live = false;
                expired.push(key.clone());
            }
        }
        expired
    }

    /// Forgets keys without a lease, last announced `retention` ago, and returns them.
    pub fn forget(&mut self, retention: Duration, now: Moment) -> Vec<Key> {
        let unused = |lease: &Lease| !lease.live && now.since(lease.last_heartbeat) >= retention;
        let keys = self.leases.iter().filter(|(_, lease)| unused(lease));
        let keys: Vec<Key> = keys.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.leases.remove(key);
        }
        keys
    }
}
