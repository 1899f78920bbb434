//! What the hubs last told, and who is asked for what.
//!
//! Each hub is watched, as an acknowledgement of any of them binds. What is long comes
//! from one hub only: changes of instances and the list of entry hosts from the nearest
//! that answers, a table from the one that told of it first, all instances from the first
//! that is reached. All hubs sending everything would fill thin links for seconds.

use std::collections::BTreeSet;
use std::collections::HashMap;
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
use super::progress::Part;

/// What a hub told counts for so much longer than its watch is held: until that is given
/// up.
const RECENT: Duration = Duration::from_millis(800);
/// How long a hub nearby holds a watch while nothing changes, for each hub that is
/// watched: renewing them costs processor time for nothing.
const WAIT_PART: Duration = Duration::from_millis(167);
/// Shortest and longest of these waits: a hub counts an entry host as lost soon after
/// one, and callers keep addresses for 5 s.
const WAITS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// How long the others hold one. Callers here are told of entry hosts by hubs nearby, and
/// what instances do ends a watch at once; so these find nothing out by its end.
const FAR_WAIT: Duration = Duration::from_secs(4);
/// A hub that was asked for all instances has so long to send them before another one
/// is asked: over the time of 40 KB over a link of 2 Mbit/s.
const LISTING: Duration = Duration::from_millis(400);
/// A hub that no other hub names and that doesn't answer is let go after so long.
const FORGET: Duration = Duration::from_secs(10);
/// Hubs that are taken from those that make themselves known; twice as many as a group
/// of the largest size has.
const MOST_HINTS: usize = 32;
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
    /// Entry hosts that share what is shared out among all, as far as it knows.
    pub entries: u32,
    /// How long it holds the next watch.
    pub wait: Duration,
    /// It has failed to answer since.
    pub missed: bool,
}

impl Seen {
    fn is_recent(&self) -> bool {
        !self.missed && self.answered.elapsed() < self.wait + RECENT
    }
}

/// All hubs as last heard.
pub struct Hubs {
    domain: DomainName,
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    /// When the fetch of a table began that is under way.
    fetching: Mutex<Option<Instant>>,
    /// Whether the process holds instances.
    instances_known: watch::Receiver<bool>,
    /// Who was asked for all instances, and when, while it holds none.
    listing: Mutex<Option<(SocketAddr, Instant)>>,
    hosts: Mutex<HostList>,
    /// Hubs that made themselves known, to be asked while none is live.
    hints: Mutex<BTreeSet<SocketAddr>>,
    /// All announcements of the log up to this index are held.
    reached: AtomicU64,
    /// Spreads the entry processes over the hubs nearby.
    order: RandomState,
    /// The hub that tells changes.
    pub first: watch::Sender<Option<SocketAddr>>,
    /// Tells that a fetch ended without the newest table.
    pub stalled: watch::Sender<()>,
    /// Tells that the hubs named others than before.
    pub renamed: watch::Sender<()>,
}

impl Hubs {
    /// None heard yet, for a process in `domain`; `stocked` tells whether it holds instances.
    #[must_use]
    pub fn new(domain: DomainName, instances_known: watch::Receiver<bool>) -> Self {
        Self {
            domain,
            instances_known,
            seen: Mutex::default(),
            fetching: Mutex::default(),
            listing: Mutex::default(),
            hosts: Mutex::default(),
            hints: Mutex::default(),
            reached: AtomicU64::new(0),
            first: watch::Sender::new(None),
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
            wanted.extend(self.hints().iter());
        }
        wanted.sort_unstable();
        wanted.dedup();
        wanted
    }

    /// Takes the addresses of hubs that one of them told unasked.
    ///
    /// Gives whether any of them is new.
    pub fn hint(&self, addresses: &[SocketAddr]) -> bool {
        let mut hints = self.hints();
        let before = hints.len();
        hints.extend(addresses.iter().take(MOST_HINTS.saturating_sub(before)));
        let more = hints.len() > before;
        if more {
            self.renamed.send_replace(());
        }
        more
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

    /// How long the hub at `address` holds a watch while nothing changes.
    #[must_use]
    pub fn wait(&self, address: SocketAddr) -> Duration {
        if !*self.instances_known.borrow() {
            return LISTING;
        }
        let hubs = self.seen();
        let near = hubs.get(&address).is_none_or(|seen| seen.near);
        if !near && *self.first.borrow() != Some(address) {
            return FAR_WAIT;
        }
        let count = u32::try_from(hubs.len()).unwrap_or(u32::MAX);
        let [least, most] = WAITS;
        WAIT_PART.saturating_mul(count).clamp(least, most)
    }

    /// Whether the hub at `address` is the one that tells changes and entry hosts; true
    /// while none has answered.
    #[must_use]
    pub fn is_first(&self, address: SocketAddr) -> bool {
        let first = *self.first.borrow();
        first.is_none_or(|first| first == address)
    }

    /// What the hub at `address` is asked for now. While the process holds no instance,
    /// one hub at a time is asked for all of them.
    #[must_use]
    pub fn part(&self, address: SocketAddr) -> Part {
        if *self.instances_known.borrow() {
            return if self.is_first(address) {
                Part::First
            } else {
                Part::Other
            };
        }
        let mut listing = self.listing();
        let taken = |(other, at): (SocketAddr, Instant)| other != address && at.elapsed() < LISTING;
        if listing.is_some_and(taken) {
            return Part::Waits;
        }
        *listing = Some((address, Instant::now()));
        Part::Lists
    }

    /// The log's index up to which all announcements are held.
    #[must_use]
    pub fn reached(&self) -> u64 {
        self.reached.load(Ordering::Relaxed)
    }

    /// Notes that all announcements of the log up to `index` are held.
    pub fn reach(&self, index: u64) {
        self.reached.fetch_max(index, Ordering::Relaxed);
    }

    /// Takes what a hub told.
    pub fn note(&self, address: SocketAddr, seen: Seen) {
        let named = seen.named.clone();
        let before = self.seen().insert(address, seen);
        if before.is_none_or(|before| before.named != named) {
            self.renamed.send_replace(());
        }
        self.rank();
    }

    /// Notes that the hub at `address` didn't answer: another one is asked in its place.
    pub fn missed(&self, address: SocketAddr) {
        self.listing().take_if(|(asked, _)| *asked == address);
        if let Some(seen) = self.seen().get_mut(&address) {
            seen.missed = true;
        }
        self.rank();
    }

    /// Names the first hub again: the nearest that answers. Where there is none nearby,
    /// all processes of a failure domain name the same one, so that it knows them all.
    pub fn rank(&self) {
        let rank = |(address, seen): &(&SocketAddr, &Seen)| {
            let order = if seen.near {
                self.order.hash_one(address)
            } else {
                place::score(self.domain.as_str(), &address.to_string())
            };
            (!seen.near, order)
        };
        let first = {
            let hubs = self.seen();
            let recent = hubs.iter().filter(|(_, seen)| seen.is_recent());
            recent.min_by_key(rank).map(|(first, _)| *first)
        };
        self.first
            .send_if_modified(|held| std::mem::replace(held, first) != first);
    }

    /// Entry hosts that share what is shared out among all: the most that a hub knows.
    /// One that has just started knows few, and as few would spend what is for all.
    #[must_use]
    pub fn entries(&self) -> u32 {
        let hubs = self.seen();
        let recent = hubs.values().filter(|seen| seen.is_recent());
        recent.map(|seen| seen.entries).max().unwrap_or_default()
    }

    /// The entry hosts, as they were last told.
    pub fn hosts(&self) -> MutexGuard<'_, HostList> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
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

    fn listing(&self) -> MutexGuard<'_, Option<(SocketAddr, Instant)>> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hints(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
