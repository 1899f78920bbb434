//! The history of the list of entry hosts, from which watchers are sent changes.
//!
//! During a rolling restart the list changes several times a second. To save bandwidth, a
//! watcher whose list is recent enough receives only the changes since then.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use wire::hub::EntryHost;
use xxhash_rust::xxh3::Xxh3;

/// Number of lists kept. They have to cover the time between two requests of a watcher.
const MAX_HISTORY: usize = 32;

/// The entry hosts at one point in time.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// Hash of the list. Never 0, which stands for no list.
    pub hash: u64,
    /// The hosts.
    pub hosts: Vec<EntryHost>,
}

/// What a watcher needs to have the newest list.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Nothing: it has the newest list.
    Unchanged,
    /// The changes to the list that it has.
    Changes {
        /// Hosts that were added or changed.
        hosts: Vec<EntryHost>,
        /// Addresses of the hosts that were removed.
        lost: Vec<String>,
    },
    /// The full list, packed.
    Full(Bytes),
}

impl HostList {
    /// Creates a list of `hosts` and computes its hash.
    #[must_use]
    pub fn new(hosts: Vec<EntryHost>) -> Self {
        let addresses = hosts.iter().map(|host| host.address.as_bytes());
        Self {
            hash: content_hash(addresses),
            hosts,
        }
    }

    /// The changes from `before` to this list.
    fn changes(&self, before: &Self) -> Update {
        let previous = by_address(&before.hosts);
        let current = by_address(&self.hosts);
        let changed = |host: &&EntryHost| previous.get(&*host.address) != Some(host);
        let removed = |host: &&EntryHost| !current.contains_key(&*host.address);
        Update::Changes {
            hosts: self.hosts.iter().filter(changed).cloned().collect(),
            lost: before
                .hosts
                .iter()
                .filter(removed)
                .map(|host| host.address.clone())
                .collect(),
        }
    }
}

/// Hash of a list of `items`; never 0.
pub(crate) fn content_hash(items: impl Iterator<Item: AsRef<[u8]>>) -> u64 {
    let mut hash = Xxh3::new();
    for item in items {
        hash.update(item.as_ref());
        hash.update(b" ");
    }
    hash.digest().max(1)
}

fn by_address(hosts: &[EntryHost]) -> HashMap<&str, &EntryHost> {
    hosts.iter().map(|host| (&*host.address, host)).collect()
}

/// The most recent lists, the newest one also packed.
#[derive(Clone, Debug, Default)]
pub struct ListHistory {
    recent: VecDeque<Arc<HostList>>,
    packed: Bytes,
}

impl ListHistory {
    /// Adds the newest list; `packed` is the full list.
    pub fn push(&mut self, list: Arc<HostList>, packed: Bytes) {
        if self.recent.len() == MAX_HISTORY {
            self.recent.pop_front();
        }
        self.recent.push_back(list);
        self.packed = packed;
    }

    /// Hash of the newest list; 0 if there is none.
    #[must_use]
    pub fn latest_hash(&self) -> u64 {
        self.recent.back().map_or(0, |list| list.hash)
    }

    /// The update for a watcher whose list has `hash`.
    #[must_use]
    pub fn update(&self, hash: u64) -> Update {
        let Some(newest) = self.recent.back() else {
            return Update::Unchanged;
        };
        if newest.hash == hash {
            return Update::Unchanged;
        }
        match self.recent.iter().find(|list| list.hash == hash) {
            Some(before) => newest.changes(before),
            None => Update::Full(self.packed.clone()),
        }
    }
}
