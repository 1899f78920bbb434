//! The entry hosts that callers may be sent to: a pure state machine.
//!
//! An entry host is listed while it watches this hub and reports that it is ready. A hub that
//! has just started lists none for a short time after the first watch, so that the first entry
//! hosts to connect don't receive all callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use wire::hub::EntryHost;
use wire::hub::Watch;

/// Time beyond the requested wait after which the host of an open watch counts as lost.
pub const WATCH_GRACE: Duration = Duration::from_millis(150);
/// Time after an answer within which a host has to watch again; otherwise it counts as lost.
pub const REWATCH_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after its last watch for which an entry host still counts towards shared budgets.
///
/// Longer than a restart, so that a restart doesn't change the shares of the other hosts, and
/// longer than an entry process uses its share after the last answer of a hub.
pub const RETENTION: Duration = Duration::from_secs(20);
/// Time after the first watch until hosts are listed: the longest reconnect delay of an entry
/// process plus the time to connect.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Entry {
    address: String,
    domain: String,
    region: String,
    place: String,
    ready: bool,
    last_seen: Moment,
    /// When the host counts as lost unless it watches again.
    expires_at: Moment,
}

/// All entry hosts that watch this hub.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    hosts: BTreeMap<String, Entry>,
    first_watch_at: Option<Moment>,
    /// Number of entry hosts before a restart of this hub, and when the hub started.
    remembered: Option<(u32, Moment)>,
}

impl Entries {
    /// Records a new watch. Returns true if the host was unknown or had expired, or if its
    /// readiness has changed.
    pub fn watch_started(&mut self, now: Moment, watch: &Watch) -> bool {
        let wait = Duration::from_millis(watch.wait_ms.into());
        self.record(now, now + wait + WATCH_GRACE, watch)
    }

    /// Records that the watch was answered.
    pub fn watch_answered(&mut self, now: Moment, watch: &Watch) {
        self.record(now, now + REWATCH_TIMEOUT, watch);
    }

    fn record(&mut self, now: Moment, expires_at: Moment, watch: &Watch) -> bool {
        if watch.address.is_empty() {
            return false;
        }
        self.first_watch_at.get_or_insert(now);
        let entry = Entry {
            address: watch.address.clone(),
            domain: watch.domain.clone(),
            region: watch.region.clone(),
            place: watch.place.clone(),
            ready: watch.ready,
            last_seen: now,
            expires_at,
        };
        let previous = self.hosts.insert(watch.host.clone(), entry);
        previous.is_none_or(|p| p.ready != watch.ready || now >= p.expires_at)
    }

    /// Sets the number of entry hosts before a restart of this hub. They still use their shares
    /// of budgets, but may not watch this hub yet.
    pub fn remember(&mut self, now: Moment, count: usize) {
        self.remembered = Some((u32::try_from(count).unwrap_or(u32::MAX), now));
    }

    /// Number of entry hosts among which budgets are divided; 0 while it is unknown.
    #[must_use]
    pub fn count(&self, now: Moment) -> u32 {
        let recent = |e: &&Entry| now.since(e.last_seen) < RETENTION;
        let count = self.hosts.values().filter(recent).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let remembered = self.remembered;
        let remembered = remembered.filter(|(_, started_at)| now.since(*started_at) < RETENTION);
        match remembered {
            Some((remembered, _)) => count.max(remembered),
            None if self.is_settled(now) => count,
            None => 0,
        }
    }

    /// Whether all entry hosts have had time to watch this hub.
    fn is_settled(&self, now: Moment) -> bool {
        self.first_watch_at
            .is_some_and(|first| now.since(first) >= SETTLE_DELAY)
    }

    /// The hosts that callers may be sent to; none during the settle delay after the first watch.
    #[must_use]
    pub fn list(&self, now: Moment) -> Vec<EntryHost> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        let usable = |e: &&Entry| e.ready && now < e.expires_at;
        let usable = self.hosts.values().filter(usable);
        let hosts = usable.map(|e| EntryHost {
            address: e.address.clone(),
            domain: e.domain.clone(),
            region: e.region.clone(),
            place: e.place.clone(),
        });
        hosts.collect()
    }

    /// The addresses at which other processes ask these entry hosts for instances.
    #[must_use]
    pub fn placement_addresses(&self) -> BTreeSet<SocketAddr> {
        let addresses = self.hosts.values().map(|entry| entry.place.parse());
        addresses.filter_map(Result::ok).collect()
    }

    /// Removes hosts that haven't watched for [`RETENTION`].
    pub fn remove_expired(&mut self, now: Moment) {
        self.hosts.retain(|_, e| now.since(e.last_seen) < RETENTION);
    }
}
