//! Finds processes that reach the instances of a service while this one doesn't.
//!
//! Hosts of a failure domain tend to be cut off together. So peers are asked in waves that go to
//! all failure domains in equal parts, and a peer that is cut off as well names those that it has
//! found: the number of waves grows with the logarithm of the number of processes. Only peers that
//! have answered that they reach the instances are selected, so that no request is spent on the
//! search.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;
use strum::IntoStaticStr;

use crate::peer::Candidate;
use crate::peer::select_peer;
use crate::spread::interleave_domains;

/// Number of peers that one of the first waves asks.
const QUICK_WAVE_SIZE: usize = 8;
/// Number of peers that each later wave asks.
const SLOW_WAVE_SIZE: usize = 4;
/// Number of peers that reach the instances above which no others are asked.
const ENOUGH_PEERS: usize = 8;
/// Interval between the first two waves. Each following one is twice as long.
const FIRST_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum interval between waves.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a peer isn't asked again.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Number of waves that follow each other in short intervals. Requests wait for their answers.
const QUICK_WAVES: u32 = 5;
/// Interval at which peers that reach the instances are asked again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Age above which the load that a peer reported says nothing any more.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Maximum number of peers that are named to others.
pub const MAX_HINTS: usize = 4;

/// What is known of a peer's path to the instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerPath {
    /// Nothing.
    #[default]
    Unknown,
    /// It reaches the instances.
    Reached,
    /// It doesn't, or doesn't serve for another reason.
    CutOff,
    /// It took no question or request.
    Silent,
}

/// A peer that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Where it takes questions and relayed requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Number of requests that it relays for this process.
    pub in_flight: usize,
}

/// A peer's answer to the question whether it reaches the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Whether it does.
    pub reached: bool,
    /// Number of requests that it relays for others.
    pub load: usize,
    /// Peers that it knows to reach the instances.
    pub hints: Vec<SocketAddr>,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Knowledge {
    path: PeerPath,
    /// When it was last asked.
    asked_at: Option<Moment>,
    /// Whether an answer is outstanding.
    pending: bool,
    /// Whether another peer named it.
    hinted: bool,
    /// The load that it reported, and when.
    load: Option<(usize, Moment)>,
}

impl Knowledge {
    fn load(&self, now: Moment) -> usize {
        let valid = self.load.filter(|(_, at)| now.since(*at) < MAX_LOAD_AGE);
        valid.map_or(0, |(load, _)| load)
    }

    fn may_be_asked(&self, now: Moment) -> bool {
        let asked_lately = self.asked_at.is_some_and(|at| now.since(at) < MIN_PAUSE);
        !self.pending && !asked_lately && self.path != PeerPath::Reached
    }
}

/// Numbers of listed peers by what is known of their paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// All listed peers.
    pub listed: usize,
    /// Those that reach the instances.
    pub reached: usize,
    /// Those that don't.
    pub cut_off: usize,
    /// Those that took no question or request.
    pub silent: usize,
}

/// The search for peers that reach the instances of one service.
#[derive(Clone, Debug)]
pub struct PeerSearch {
    domain: Arc<str>,
    known: BTreeMap<SocketAddr, Knowledge>,
    /// Number of quick waves since a peer was last known to reach the instances.
    waves: u32,
    next_wave: Moment,
}

impl PeerSearch {
    /// A search by a process in failure domain `domain`, whose first wave is due.
    #[must_use]
    pub fn new(domain: Arc<str>, peers: &[ListedPeer], now: Moment) -> Self {
        let known = peers
            .iter()
            .map(|peer| (peer.address, Knowledge::default()));
        Self {
            domain,
            known: known.collect(),
            waves: 0,
            next_wave: now,
        }
    }

    /// Replaces the list of peers. Those that aren't listed any more are forgotten.
    pub fn set_listed(&mut self, peers: &[ListedPeer], now: Moment) {
        let mut before = std::mem::take(&mut self.known);
        let known = peers.iter().map(|peer| {
            let known = before.remove(&peer.address);
            (peer.address, known.unwrap_or_default())
        });
        self.known = known.collect();
        self.restart_if_none_reached(now);
    }

    /// Asks in short intervals again once no peer is known that reaches the instances.
    fn restart_if_none_reached(&mut self, now: Moment) {
        if self.reached().next().is_none() {
            self.waves = 0;
            self.next_wave = now;
        }
    }

    /// When the next wave is due.
    #[must_use]
    pub fn next_wave(&self) -> Moment {
        self.next_wave
    }

    /// The peers of the wave that is due. They count as being asked until their answers are
    /// recorded.
    pub fn begin_wave(
        &mut self,
        peers: &[ListedPeer],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let wave = if self.reached().count() < ENOUGH_PEERS {
            let is_quick = self.waves < QUICK_WAVES;
            let (size, interval) = if is_quick {
                (QUICK_WAVE_SIZE, FIRST_INTERVAL * (1 << self.waves))
            } else {
                (SLOW_WAVE_SIZE, MAX_INTERVAL)
            };
            self.waves += u32::from(is_quick);
            self.next_wave = now + interval;
            self.select_unreached(peers, size, now, rng)
        } else {
            self.next_wave = now + REFRESH_INTERVAL;
            self.oldest_reached().into_iter().collect()
        };
        for address in &wave {
            if let Some(known) = self.known.get_mut(address) {
                known.asked_at = Some(now);
                known.pending = true;
            }
        }
        wave
    }

    /// Up to `size` peers to ask, in equal parts from all failure domains: first those
    /// named by other peers, then those that were never asked or not for the longest time.
    fn select_unreached(
        &self,
        peers: &[ListedPeer],
        size: usize,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let known = |peer: &ListedPeer| self.known.get(&peer.address).copied();
        let mut due: Vec<&ListedPeer> = peers
            .iter()
            .filter(|peer| known(peer).is_some_and(|known| known.may_be_asked(now)))
            .collect();
        due.sort_by_cached_key(|peer| {
            let known = known(peer).unwrap_or_default();
            (!known.hinted, known.asked_at, rng.random::<u32>())
        });
        let ordered = interleave_domains(due, |peer| &peer.domain, rng);
        let wave = ordered.into_iter().take(size);
        wave.map(|peer| peer.address).collect()
    }

    /// The peer that reaches the instances whose load was last reported the longest time ago.
    fn oldest_reached(&self) -> Option<SocketAddr> {
        let idle = self
            .reached()
            .filter(|(_, known)| !known.pending)
            .min_by_key(|(_, known)| known.load.map(|(_, at)| at));
        idle.map(|(address, _)| *address)
    }

    fn reached(&self) -> impl Iterator<Item = (&SocketAddr, &Knowledge)> {
        let known = self.known.iter();
        known.filter(|(_, known)| known.path == PeerPath::Reached)
    }

    /// Records a peer's answer, or the outcome of a request that it took. Returns whether it
    /// changes what is known of the peer's path.
    pub fn record_answer(&mut self, peer: SocketAddr, answer: &Answer, now: Moment) -> bool {
        let path = if answer.reached {
            PeerPath::Reached
        } else {
            PeerPath::CutOff
        };
        if let Some(known) = self.known.get_mut(&peer) {
            known.load = Some((answer.load, now));
        }
        let changed = self.record_path(peer, path, now);
        for hint in &answer.hints {
            self.record_hint(*hint, now);
        }
        changed
    }

    /// Records that a peer took no question or request. Returns whether that wasn't known.
    pub fn record_silent(&mut self, peer: SocketAddr, now: Moment) -> bool {
        self.record_path(peer, PeerPath::Silent, now)
    }

    fn record_path(&mut self, peer: SocketAddr, path: PeerPath, now: Moment) -> bool {
        let Some(known) = self.known.get_mut(&peer) else {
            return false;
        };
        let before = std::mem::replace(&mut known.path, path);
        known.pending = false;
        known.hinted = false;
        if before == PeerPath::Reached && path != PeerPath::Reached {
            self.restart_if_none_reached(now);
        }
        before != path
    }

    fn record_hint(&mut self, peer: SocketAddr, now: Moment) {
        let Some(known) = self.known.get_mut(&peer) else {
            return;
        };
        if known.path == PeerPath::Reached || known.pending {
            return;
        }
        let is_new = !std::mem::replace(&mut known.hinted, true);
        if is_new && known.may_be_asked(now) && self.reached().next().is_none() {
            self.next_wave = now;
        }
    }

    /// Selects a peer that reaches the instances; none of those in `tried`, and if possible from
    /// a failure domain that none of those is in.
    pub fn select(
        &self,
        peers: &[ListedPeer],
        tried: &[SocketAddr],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let is_reached = |peer: &&ListedPeer| {
            let known = self.known.get(&peer.address);
            known.is_some_and(|known| known.path == PeerPath::Reached)
        };
        let is_tried = |peer: &&ListedPeer| tried.contains(&peer.address);
        let tried_domains: Vec<&str> = peers
            .iter()
            .filter(is_tried)
            .map(|peer| &*peer.domain)
            .collect();
        let usable = peers.iter().filter(is_reached);
        let usable = usable.filter(|peer| !is_tried(peer));
        let (same_domain, others): (Vec<_>, Vec<_>) =
            usable.partition(|peer| tried_domains.contains(&&*peer.domain));
        let usable = if others.is_empty() {
            same_domain
        } else {
            others
        };
        let candidates = usable.iter().map(|peer| Candidate {
            near: peer.domain == self.domain,
            in_flight: peer.in_flight + self.known[&peer.address].load(now),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let index = select_peer(&candidates, rng)?;
        Some(usable[index].address)
    }

    /// Whether a request without a peer should wait for answers, because a peer that reaches the
    /// service may answer within milliseconds.
    #[must_use]
    pub fn is_promising(&self) -> bool {
        let is_unasked = |known: &Knowledge| known.asked_at.is_none();
        let mut known = self.known.values();
        match self.waves {
            0 => true,
            waves if waves < QUICK_WAVES => known.any(|k| k.pending || is_unasked(k)),
            _ => known.any(|k| k.pending),
        }
    }

    /// Up to [`MAX_HINTS`] random peers that reach the instances, to be named to others.
    pub fn hints(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let reached: Vec<SocketAddr> = self.reached().map(|(address, _)| *address).collect();
        reached.sample(rng, MAX_HINTS).copied().collect()
    }

    /// Counts the listed peers.
    #[must_use]
    pub fn counts(&self) -> PeerCounts {
        let count = |path| {
            let known = self.known.values();
            known.filter(|known| known.path == path).count()
        };
        PeerCounts {
            listed: self.known.len(),
            reached: count(PeerPath::Reached),
            cut_off: count(PeerPath::CutOff),
            silent: count(PeerPath::Silent),
        }
    }
}
