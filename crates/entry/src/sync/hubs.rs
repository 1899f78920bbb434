//! What the hubs last told, and who is asked for what.
//!
//! Each hub is watched for instances, as an acknowledgement of any of them binds.
//! What is long comes from one hub only: the list of entry hosts from the nearest
//! that answers, a table from the one that told of it first. With all hubs sending
//! both, the links of 90 entry hosts were full for 12 s after a table of 1,440 routes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use wire::hub::EntryHost;

/// What a hub told counts for so long: a watch, and the time after which it is given up.
const RECENT: Duration = Duration::from_millis(1_800);
/// How long a hub holds a watch while nothing changes, for each hub that is watched:
/// six watches are renewed a second, whatever their number. Renewed twice a second at
/// each of 7 hubs they cost 90 entry hosts 13 % more processor time on a calm day.
const WAIT_PART: Duration = Duration::from_millis(167);
/// Shortest and longest of these waits: a hub counts an entry host as lost soon after
/// one, and callers keep addresses for 5 s.
const WAITS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// A hub that no other hub names and that doesn't answer is let go after so long.
const FORGET: Duration = Duration::from_secs(10);
/// A table that takes longer is fetched from another hub too: over the time in
/// which 60 KB come over a link of 2.3 Mbit/s.
const PATIENCE: Duration = Duration::from_millis(400);

/// One hub as last heard.
pub struct Seen {
    /// When it last answered.
    pub answered: Instant,
    /// It is in this process's failure domain.
    pub near: bool,
    /// The version of the newest table that it told of.
    pub table: u64,
    /// The hubs that it named.
    pub named: Vec<SocketAddr>,
    /// The entry hosts that it named.
    pub hosts: Vec<EntryHost>,
}

impl Seen {
    fn is_recent(&self) -> bool {
        self.answered.elapsed() < RECENT
    }
}

/// All hubs as last heard.
pub struct Hubs {
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    /// When the fetch of a table began that is under way.
    fetching: Mutex<Option<Instant>>,
    /// Spreads the entry processes over the hubs.
    order: RandomState,
    /// Tells that a fetch ended without the newest table.
    pub stalled: watch::Sender<()>,
    /// Tells that the hubs named others than before.
    pub renamed: watch::Sender<()>,
}

impl Default for Hubs {
    fn default() -> Self {
        Self::new()
    }
}

impl Hubs {
    /// None heard yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            seen: Mutex::default(),
            fetching: Mutex::default(),
            order: RandomState::new(),
            stalled: watch::Sender::new(()),
            renamed: watch::Sender::new(()),
        }
    }

    /// The hubs that any live hub names; the seeds besides while none is live.
    #[must_use]
    pub fn wanted(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut hubs = self.seen();
        hubs.retain(|_, seen| seen.answered.elapsed() < FORGET);
        let named = hubs.values().flat_map(|seen| seen.named.iter().copied());
        let mut wanted: Vec<SocketAddr> = named.chain(hubs.keys().copied()).collect();
        if wanted.len() < seeds.len() {
            wanted.extend(seeds);
        }
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }

    /// The hubs that answered within the time after which one is let go.
    #[must_use]
    pub fn live(&self) -> BTreeSet<SocketAddr> {
        let hubs = self.seen();
        let live = hubs
            .iter()
            .filter(|(_, seen)| seen.answered.elapsed() < FORGET);
        live.map(|(address, _)| *address).collect()
    }

    /// How long the hubs hold a watch while nothing changes.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let count = u32::try_from(self.seen().len()).unwrap_or(u32::MAX);
        let [least, most] = WAITS;
        WAIT_PART.saturating_mul(count).clamp(least, most)
    }

    /// Whether the hub at `address` is the one that is asked for entry hosts; true
    /// while none has answered.
    #[must_use]
    pub fn is_first(&self, address: SocketAddr) -> bool {
        let hubs = self.seen();
        let recent = hubs.iter().filter(|(_, seen)| seen.is_recent());
        let rank =
            |(address, seen): &(&SocketAddr, &Seen)| (!seen.near, self.order.hash_one(address));
        let first = recent.min_by_key(rank);
        first.is_none_or(|(first, _)| *first == address)
    }

    /// Takes what a hub told; gives the entry hosts that are named now.
    pub fn note(&self, address: SocketAddr, seen: Seen) -> Vec<EntryHost> {
        let mut hubs = self.seen();
        let before = hubs.insert(address, seen);
        if before.is_none_or(|before| before.named != hubs[&address].named) {
            self.renamed.send_replace(());
        }
        let recent = hubs.values().filter(|seen| seen.is_recent());
        let mut hosts: Vec<EntryHost> =
            recent.flat_map(|seen| seen.hosts.iter().cloned()).collect();
        hosts.sort_by(|a, b| a.address.cmp(&b.address));
        hosts.dedup_by(|a, b| a.address == b.address);
        hosts
    }

    /// The entry hosts that the hub at `address` named last.
    #[must_use]
    pub fn hosts_of(&self, address: SocketAddr) -> Vec<EntryHost> {
        let hubs = self.seen();
        hubs.get(&address)
            .map(|seen| seen.hosts.clone())
            .unwrap_or_default()
    }

    /// Whether a table is being fetched that may still come soon.
    #[must_use]
    pub fn is_fetching(&self) -> bool {
        let fetching = *self.fetching();
        fetching.is_some_and(|began| began.elapsed() < PATIENCE)
    }

    /// Begins a fetch, unless one is under way.
    pub fn begin_fetch(&self) -> bool {
        let mut fetching = self.fetching();
        let free = fetching.is_none_or(|began| began.elapsed() >= PATIENCE);
        if free {
            *fetching = Some(Instant::now());
        }
        free
    }

    /// Ends a fetch, after which `held` is held. Who was told of a newer one meanwhile
    /// asks again.
    pub fn end_fetch(&self, held: u64) {
        *self.fetching() = None;
        let told = self.seen().values().map(|seen| seen.table).max();
        if told > Some(held) {
            self.stalled.send_replace(());
        }
    }

    fn seen(&self) -> MutexGuard<'_, HashMap<SocketAddr, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fetching(&self) -> MutexGuard<'_, Option<Instant>> {
        self.fetching.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
