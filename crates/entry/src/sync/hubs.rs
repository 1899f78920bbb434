//! The state of all watched hubs, and which hub provides what.
//!
//! All hubs are watched, because an acknowledgement by any of them is binding. Bulk data comes
//! from a single hub, to spare slow links: instance updates and entry hosts from the primary
//! hub, a table from the hub that reported it first, the first full instance list from the first
//! hub that is reached.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use super::hosts::HostList;
use super::progress::Role;
use super::trust::Trust;

/// How long a hub's status stays valid after the end of its watch.
const STATUS_MARGIN: Duration = Duration::from_millis(800);
/// Watch duration per hub, for hubs in the same failure domain: the more hubs, the less often
/// each watch is renewed.
const WAIT_PER_HUB: Duration = Duration::from_millis(167);
/// Minimum and maximum of these durations. A hub considers an entry host lost soon after a watch
/// was due for renewal, and callers cache addresses for 5 s.
const WAIT_RANGE: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// Watch duration for other hubs. Local hubs report entry hosts, and instance changes end a
/// watch at once.
const REMOTE_WAIT: Duration = Duration::from_secs(4);
/// How long the number of entry hosts stays known after the last answer of a hub. Hubs count a host
/// for longer than this after its last watch, so that shares never add up to more than the whole.
const ENTRY_COUNT_LEASE: Duration = Duration::from_secs(15);
/// How long a hub may take to send all instances before another hub is asked.
const LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// A hub that isn't a known member is forgotten after not answering for this long.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Maximum number of hub addresses accepted from beacons: twice the size of the largest group.
const MAX_HINTS: usize = 32;
/// How long a table fetch may take before another hub is asked too.
const FETCH_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The last known status of a hub.
pub struct HubStatus {
    /// When the hub last answered.
    pub answered_at: Instant,
    /// Whether the hub is in this process's failure domain.
    pub near: bool,
    /// The version of the newest table that the hub reported, if it has one.
    pub table: Option<u64>,
    /// The members of the hub group, as reported by the hub.
    pub members: Vec<SocketAddr>,
    /// The number of entry hosts known to the hub.
    pub entry_count: u32,
    /// The duration of the next watch.
    pub watch_duration: Duration,
    /// Whether the hub has failed to answer since.
    pub failed: bool,
}

impl HubStatus {
    fn is_recent(&self) -> bool {
        !self.failed && self.answered_at.elapsed() < self.watch_duration + STATUS_MARGIN
    }
}

/// The last known status of all hubs.
pub struct Hubs {
    domain: DomainName,
    statuses: Mutex<HashMap<SocketAddr, HubStatus>>,
    /// The hubs that have started lately, as they say.
    restarted: Mutex<HashSet<SocketAddr>>,
    /// When any hub last answered.
    answered_at: Mutex<Option<Instant>>,
    /// When another hub may be asked although a table is being fetched.
    fetching: Mutex<Option<Instant>>,
    /// Whether the process knows any instance.
    instances_known: watch::Receiver<bool>,
    /// The hub that was asked for all instances, and when, while the process knows none.
    full_list: Mutex<Option<(SocketAddr, Instant)>>,
    hosts: Mutex<HostList>,
    /// Which route tables may be obeyed.
    trust: Mutex<Trust>,
    /// Hub addresses from beacons, used while no hub is live.
    hints: Mutex<BTreeSet<SocketAddr>>,
    /// All announcements up to this log index have been applied.
    applied_index: AtomicU64,
    /// Distributes entry processes over the local hubs.
    hash_seed: RandomState,
    /// The hub that provides instance updates and entry hosts.
    pub primary: watch::Sender<Option<SocketAddr>>,
    /// Signals that a fetch ended without the newest table.
    pub fetch_incomplete: watch::Sender<()>,
    /// Signals that the known members of the hub group changed.
    pub members_changed: watch::Sender<()>,
}

impl Hubs {
    /// Creates the state for a process in `domain`; `instances_known` tells whether the process
    /// knows any instance.
    #[must_use]
    pub fn new(domain: DomainName, instances_known: watch::Receiver<bool>) -> Self {
        Self {
            domain,
            instances_known,
            statuses: Mutex::default(),
            restarted: Mutex::default(),
            answered_at: Mutex::default(),
            fetching: Mutex::default(),
            full_list: Mutex::default(),
            hosts: Mutex::default(),
            trust: Mutex::default(),
            hints: Mutex::default(),
            applied_index: AtomicU64::new(0),
            primary: watch::Sender::new(None),
            hash_seed: RandomState::new(),
            fetch_incomplete: watch::Sender::new(()),
            members_changed: watch::Sender::new(()),
        }
    }

    /// The hubs to watch: the known hubs and the members that they named. Seeds and hints are
    /// added while there are fewer of these than seeds.
    #[must_use]
    pub fn targets(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut hubs = self.statuses();
        hubs.retain(|_, status| status.answered_at.elapsed() < FORGET_AFTER);
        let members = hubs
            .values()
            .flat_map(|status| status.members.iter().copied());
        let mut targets: Vec<SocketAddr> = members.chain(hubs.keys().copied()).collect();
        if targets.len() < seeds.len() {
            targets.extend(seeds);
            targets.extend(self.hints().iter());
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Adds hub addresses from a beacon.
    ///
    /// Returns whether any of them is new.
    pub fn add_hints(&self, addresses: &[SocketAddr]) -> bool {
        let mut hints = self.hints();
        let before = hints.len();
        hints.extend(addresses.iter().take(MAX_HINTS.saturating_sub(before)));
        let more = hints.len() > before;
        if more {
            self.members_changed.send_replace(());
        }
        more
    }

    /// The hubs that answered recently enough not to be forgotten.
    #[must_use]
    pub fn live(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.statuses();
        let live = hubs
            .iter()
            .filter(|(_, status)| status.answered_at.elapsed() < FORGET_AFTER);
        live.map(|(address, _)| *address).collect()
    }

    /// Whether a known member of the hub group doesn't answer.
    #[must_use]
    pub fn is_any_missing(&self) -> bool {
        let hubs = self.statuses();
        let answers = |address| hubs.get(address).is_some_and(HubStatus::is_recent);
        let mut members = hubs.values().flat_map(|status| &status.members);
        members.any(|address| !answers(address))
    }

    /// How long the hub at `address` should hold a watch while nothing changes.
    #[must_use]
    pub fn watch_duration(&self, address: SocketAddr) -> Duration {
        if !*self.instances_known.borrow() {
            return LIST_TIMEOUT;
        }
        let hubs = self.statuses();
        let near = hubs.get(&address).is_none_or(|status| status.near);
        if !near && *self.primary.borrow() != Some(address) {
            return REMOTE_WAIT;
        }
        let count = u32::try_from(hubs.len()).unwrap_or(u32::MAX);
        let [min, max] = WAIT_RANGE;
        WAIT_PER_HUB.saturating_mul(count).clamp(min, max)
    }

    /// Whether the hub at `address` is the primary; true for all hubs while there is none.
    #[must_use]
    pub fn is_primary(&self, address: SocketAddr) -> bool {
        let primary = *self.primary.borrow();
        primary.is_none_or(|primary| primary == address)
    }

    /// The current role of the hub at `address`. While the process knows no instance, one hub at
    /// a time is asked for the full list.
    #[must_use]
    pub fn role(&self, address: SocketAddr) -> Role {
        if *self.instances_known.borrow() {
            return if self.is_primary(address) {
                Role::Primary
            } else {
                Role::Secondary
            };
        }
        let mut full_list = self.full_list();
        let is_pending =
            |(other, at): (SocketAddr, Instant)| other != address && at.elapsed() < LIST_TIMEOUT;
        if full_list.is_some_and(is_pending) {
            return Role::Idle;
        }
        *full_list = Some((address, Instant::now()));
        Role::FullList
    }

    /// The log index up to which all announcements have been applied.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index.load(Ordering::Relaxed)
    }

    /// Records that all announcements up to log index `index` have been applied.
    pub fn advance_applied_index(&self, index: u64) {
        self.applied_index.fetch_max(index, Ordering::Relaxed);
    }

    /// Records a hub's status.
    pub fn record(&self, address: SocketAddr, status: HubStatus) {
        let members = status.members.clone();
        self.answered_at().replace(status.answered_at);
        let before = self.statuses().insert(address, status);
        if before.is_none_or(|before| before.members != members) {
            self.members_changed.send_replace(());
        }
        self.select_primary();
    }

    /// Records how long the hub at `address` has run. Returns whether a majority of the group has
    /// restarted within `period`.
    pub fn record_uptime(&self, address: SocketAddr, uptime: Duration, period: Duration) -> bool {
        let members = self.statuses().get(&address).map(|s| s.members.clone());
        let members = members.unwrap_or_default();
        let mut restarted = self
            .restarted
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if uptime < period {
            restarted.insert(address);
        } else {
            restarted.remove(&address);
        }
        let count = members.iter().filter(|hub| restarted.contains(hub)).count();
        count * 2 > members.len()
    }

    /// Records that the hub at `address` failed to answer, so that another takes its place.
    pub fn record_failure(&self, address: SocketAddr) {
        self.full_list().take_if(|(asked, _)| *asked == address);
        self.trust().forget(address);
        if let Some(status) = self.statuses().get_mut(&address) {
            status.failed = true;
        }
        self.select_primary();
    }

    /// Selects the primary hub: a local hub that answers, or else the one that all processes of
    /// the failure domain select, so that it knows all of them.
    pub fn select_primary(&self) {
        let preference = |(address, status): &(&SocketAddr, &HubStatus)| {
            let hash_seed = if status.near {
                self.hash_seed.hash_one(address)
            } else {
                place::score(self.domain.as_str(), &address.to_string())
            };
            (!status.near, hash_seed)
        };
        let primary = {
            let hubs = self.statuses();
            let recent = hubs.iter().filter(|(_, status)| status.is_recent());
            recent.min_by_key(preference).map(|(primary, _)| *primary)
        };
        self.primary
            .send_if_modified(|current| std::mem::replace(current, primary) != primary);
    }

    /// The number of entry hosts that share budgets: the maximum over the hubs, as a hub that
    /// has just started knows only a few.
    #[must_use]
    pub fn entry_count(&self) -> u32 {
        let hubs = self.statuses();
        let recent = hubs.values().filter(|status| status.is_recent());
        recent
            .map(|status| status.entry_count)
            .max()
            .unwrap_or_default()
    }

    /// Whether no hub has answered for so long that others may use this process's share of
    /// budgets.
    #[must_use]
    pub fn is_count_expired(&self) -> bool {
        let answered_at = *self.answered_at();
        answered_at.is_some_and(|answered_at| answered_at.elapsed() >= ENTRY_COUNT_LEASE)
    }

    /// The list of entry hosts.
    pub fn hosts(&self) -> MutexGuard<'_, HostList> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Which route tables may be obeyed.
    pub fn trust(&self) -> MutexGuard<'_, Trust> {
        self.trust.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a table is being fetched and the fetch isn't overdue.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        let fetching = *self.fetching();
        fetching.is_some_and(|overdue_at| Instant::now() < overdue_at)
    }

    /// Starts a fetch, whose transfer takes `transfer` on a slow link, unless one is in progress.
    /// Returns whether it was started.
    pub fn begin_fetch(&self, transfer: Duration) -> bool {
        let mut fetching = self.fetching();
        let free = fetching.is_none_or(|overdue_at| Instant::now() >= overdue_at);
        if free {
            *fetching = Some(Instant::now() + FETCH_RETRY_AFTER + transfer);
        }
        free
    }

    /// Ends a fetch after which the process has table version `current`, if any. If a newer one
    /// was reported meanwhile, the watches are renewed.
    pub fn end_fetch(&self, current: Option<u64>) {
        *self.fetching() = None;
        let newest = self.statuses().values().filter_map(|s| s.table).max();
        if newest > current {
            self.fetch_incomplete.send_replace(());
        }
    }

    fn statuses(&self) -> MutexGuard<'_, HashMap<SocketAddr, HubStatus>> {
        self.statuses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answered_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.answered_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn fetching(&self) -> MutexGuard<'_, Option<Instant>> {
        self.fetching.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn full_list(&self) -> MutexGuard<'_, Option<(SocketAddr, Instant)>> {
        self.full_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn hints(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
