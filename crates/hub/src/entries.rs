//! The entry hosts that callers may be sent to: a pure state machine.
//!
//! An entry host counts while it watches this hub and says that it is ready. A
//! hub that has just started knows only the first few that came to it; it names
//! none until the others have had the time to come too, as callers would all go
//! to those few.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use wire::hub::EntryHost;
use wire::hub::Watch;

/// How much longer than it asked for a watch may be held, before its host counts as
/// lost: some ways through a busy network.
pub const HELD: Duration = Duration::from_millis(150);
/// After an answer a host asks again at once; one that takes longer counts as lost.
/// A host without power is seen so within a second.
pub const ASKED: Duration = Duration::from_millis(350);
/// Entry hosts that were silent for so long are forgotten: over the time of a
/// restart, so that the number of hosts that share a budget doesn't fall while
/// one of them restarts.
pub const FORGET: Duration = Duration::from_secs(20);
/// How long after the first entry host came the others have come too: their
/// longest pause between two tries to connect, and a connection.
const SETTLE: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Entry {
    address: String,
    domain: String,
    region: String,
    place: String,
    ready: bool,
    heard: Moment,
    /// It counts as lost then, unless it is heard.
    until: Moment,
}

/// All entry hosts that watch.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    known: BTreeMap<String, Entry>,
    first: Option<Moment>,
}

impl Entries {
    /// Notes who asks; gives whether it is named from now on, or no more.
    pub fn asked(&mut self, now: Moment, watch: &Watch) -> bool {
        let wait = Duration::from_millis(watch.wait_ms.into());
        self.note(now, now + wait + HELD, watch)
    }

    /// Notes that the watch was answered.
    pub fn answered(&mut self, now: Moment, watch: &Watch) {
        self.note(now, now + ASKED, watch);
    }

    fn note(&mut self, now: Moment, until: Moment, watch: &Watch) -> bool {
        if watch.address.is_empty() {
            return false;
        }
        self.first.get_or_insert(now);
        let entry = Entry {
            address: watch.address.clone(),
            domain: watch.domain.clone(),
            region: watch.region.clone(),
            place: watch.place.clone(),
            ready: watch.ready,
            heard: now,
            until,
        };
        let before = self.known.insert(watch.host.clone(), entry);
        before.is_none_or(|b| b.ready != watch.ready || now >= b.until)
    }

    /// Hosts that share what is shared out among all entry hosts.
    #[must_use]
    pub fn count(&self, now: Moment) -> u32 {
        let recent = |e: &&Entry| now.since(e.heard) < FORGET;
        let count = self.known.values().filter(recent).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The hosts that callers may be sent to; none before all had time to come.
    #[must_use]
    pub fn list(&self, now: Moment) -> Vec<EntryHost> {
        let settled = self.first.is_some_and(|first| now.since(first) >= SETTLE);
        if !settled {
            return Vec::new();
        }
        let usable = |e: &&Entry| e.ready && now < e.until;
        let usable = self.known.values().filter(usable);
        let hosts = usable.map(|e| EntryHost {
            address: e.address.clone(),
            domain: e.domain.clone(),
            region: e.region.clone(),
            place: e.place.clone(),
        });
        hosts.collect()
    }

    /// Where those that watch are asked for instances by others.
    #[must_use]
    pub fn places(&self) -> BTreeSet<SocketAddr> {
        let places = self.known.values().map(|entry| entry.place.parse());
        places.filter_map(Result::ok).collect()
    }

    /// Forgets hosts that were silent for long.
    pub fn forget(&mut self, now: Moment) {
        self.known.retain(|_, e| now.since(e.heard) < FORGET);
    }
}
