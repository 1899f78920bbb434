//! Which directory to ask next.
//!
//! All directories stand in one ring, sorted by address. Each asks, in turn,
//! the ones 1, 2, 4, 8 and so on places before it. What one knows reaches any
//! other within as many hops as its distance has binary digits, so the oldest
//! word of anyone stays young without a random tail. A directory that doesn't
//! answer is left out of the ring and tried again now and then.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Turns between two tries of one that doesn't answer.
pub const RETRY: usize = 8;

/// The order in which one directory asks the others.
#[derive(Clone, Debug)]
pub struct Ring {
    me: SocketAddr,
    peers: Vec<SocketAddr>,
    failing: BTreeSet<SocketAddr>,
    turn: usize,
}

impl Ring {
    /// The ring of `me` and `peers`.
    #[must_use]
    pub fn new(me: SocketAddr, peers: &[SocketAddr]) -> Self {
        let peers: BTreeSet<SocketAddr> = peers.iter().copied().filter(|a| *a != me).collect();
        Self {
            me,
            peers: peers.into_iter().collect(),
            failing: BTreeSet::new(),
            turn: 0,
        }
    }

    /// Notes whether `peer` answered.
    pub fn note(&mut self, peer: SocketAddr, answered: bool) {
        if answered {
            self.failing.remove(&peer);
        } else {
            self.failing.insert(peer);
        }
    }

    /// Who to ask now; `None` without peers.
    pub fn pick(&mut self) -> Option<SocketAddr> {
        let turn = self.turn;
        self.turn = turn.wrapping_add(1);
        if turn % RETRY == RETRY - 1 && !self.failing.is_empty() {
            let which = turn / RETRY % self.failing.len();
            return self.failing.iter().nth(which).copied();
        }
        self.before(turn)
    }

    /// The one that answers and stands a power of two places before.
    fn before(&self, turn: usize) -> Option<SocketAddr> {
        let answering = self.peers.iter().filter(|a| !self.failing.contains(a));
        let mut live: Vec<SocketAddr> = answering.copied().collect();
        if live.is_empty() {
            let which = turn.checked_rem(self.peers.len())?;
            return self.peers.get(which).copied();
        }
        let place = live.partition_point(|a| *a < self.me);
        live.insert(place, self.me);
        let digits = usize::try_from((live.len() - 1).ilog2() + 1).ok()?;
        let distance = 1 << (turn % digits);
        live.get((place + live.len() - distance) % live.len())
            .copied()
    }
}
