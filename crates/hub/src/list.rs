//! The list of entry hosts as it was told, and what has changed since.
//!
//! A list of 449 hosts is 30 KB, and a rolling restart changes it ten times a second: told
//! whole each time it fills links of 250 KB/s. So watchers are told what has changed
//! since the list that they hold, as long as that is one of the last few.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use wire::hub::EntryHost;
use xxhash_rust::xxh3::Xxh3;

/// Lists that are remembered: three seconds of one each 100 ms, over the time between
/// two questions of a watcher.
const REMEMBERED: usize = 32;

/// The entry hosts of one moment.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Names the list; equal lists have equal marks, and only one that was never
    /// made has 0.
    pub mark: u64,
    /// The hosts.
    pub hosts: Vec<EntryHost>,
}

/// What a watcher lacks.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// It holds the list.
    Held,
    /// What to put to the list that it holds, and what to take off.
    Changes {
        /// New ones.
        hosts: Vec<EntryHost>,
        /// Addresses of those that were lost.
        lost: Vec<String>,
    },
    /// All of it, packed.
    Whole(Bytes),
}

impl List {
    /// The list of `hosts`.
    #[must_use]
    pub fn new(hosts: Vec<EntryHost>) -> Self {
        let addresses = hosts.iter().map(|host| host.address.as_bytes());
        Self {
            mark: mark(addresses),
            hosts,
        }
    }

    /// What leads from `before` to this one.
    fn changes(&self, before: &Self) -> Update {
        let held = by_address(&before.hosts);
        let now = by_address(&self.hosts);
        let new = |host: &&EntryHost| held.get(&*host.address) != Some(host);
        let gone = |host: &&EntryHost| !now.contains_key(&*host.address);
        Update::Changes {
            hosts: self.hosts.iter().filter(new).cloned().collect(),
            lost: before
                .hosts
                .iter()
                .filter(gone)
                .map(|host| host.address.clone())
                .collect(),
        }
    }
}

/// Names a list of `items`: equal lists have equal names, and none has 0.
pub(crate) fn mark(items: impl Iterator<Item: AsRef<[u8]>>) -> u64 {
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

/// The last lists, the newest one packed for whoever needs it whole.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    recent: VecDeque<Arc<List>>,
    packed: Bytes,
}

impl Lists {
    /// Takes the list in force from now on; `packed` is all of it.
    pub fn push(&mut self, list: Arc<List>, packed: Bytes) {
        if self.recent.len() == REMEMBERED {
            self.recent.pop_front();
        }
        self.recent.push_back(list);
        self.packed = packed;
    }

    /// The mark of the newest list.
    #[must_use]
    pub fn mark(&self) -> u64 {
        self.recent.back().map_or(0, |list| list.mark)
    }

    /// What a watcher lacks that holds the list with `mark`.
    #[must_use]
    pub fn update(&self, mark: u64) -> Update {
        let Some(newest) = self.recent.back() else {
            return Update::Held;
        };
        if newest.mark == mark {
            return Update::Held;
        }
        match self.recent.iter().find(|list| list.mark == mark) {
            Some(before) => newest.changes(before),
            None => Update::Whole(self.packed.clone()),
        }
    }
}
