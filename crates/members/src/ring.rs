//! Selects the directory to poll next.
//!
//! All directories form a ring, sorted by address. Each polls, in turn, the peers 1, 2, 4, 8
//! and so on positions before it. Information therefore reaches any other directory within
//! as many hops as its distance has binary digits, which bounds the age without the tail of
//! a random order. A peer that does not answer is left out and retried occasionally.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Turns between two retries of peers that do not answer.
pub const RETRY_TURNS: usize = 8;

/// The order in which one directory polls its peers.
#[derive(Clone, Debug)]
pub struct Ring {
    me: SocketAddr,
    peers: Vec<SocketAddr>,
    failing: BTreeSet<SocketAddr>,
    turn: usize,
}

impl Ring {
    /// Creates the ring of `me` and `peers`.
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

    /// Records whether `peer` answered.
    pub fn record(&mut self, peer: SocketAddr, answered: bool) {
        if answered {
            self.failing.remove(&peer);
        } else {
            self.failing.insert(peer);
        }
    }

    /// The peer to poll now; `None` without peers.
    pub fn next_peer(&mut self) -> Option<SocketAddr> {
        let turn = self.turn;
        self.turn = turn.wrapping_add(1);
        if turn % RETRY_TURNS == RETRY_TURNS - 1 && !self.failing.is_empty() {
            let index = turn / RETRY_TURNS % self.failing.len();
            return self.failing.iter().nth(index).copied();
        }
        self.peer_before(turn)
    }

    /// The answering peer at the power-of-two distance of this turn.
    fn peer_before(&self, turn: usize) -> Option<SocketAddr> {
        let answering = self.peers.iter().filter(|a| !self.failing.contains(a));
        let mut live: Vec<SocketAddr> = answering.copied().collect();
        if live.is_empty() {
            let index = turn.checked_rem(self.peers.len())?;
            return self.peers.get(index).copied();
        }
        let position = live.partition_point(|a| *a < self.me);
        live.insert(position, self.me);
        let digits = usize::try_from((live.len() - 1).ilog2() + 1).ok()?;
        let distance = 1 << (turn % digits);
        live.get((position + live.len() - distance) % live.len())
            .copied()
    }
}
