//! What a leader knows of one follower, and how fast it may send to it.

use std::collections::VecDeque;

use base::prelude::*;

use crate::entry::Index;
use crate::entry::Position;
use crate::stored::Snapshot;

/// How entries go to a follower.
#[derive(Debug)]
pub(crate) enum Flow {
    /// Its log isn't known: one append at a time, sent at that moment.
    Probe { asked: Option<Moment> },
    /// Appends follow each other; the last index of each one on the way, and the last sign of progress.
    Stream {
        flight: VecDeque<Index>,
        since: Moment,
    },
    /// It lacks entries that are gone: a snapshot goes in parts, one at a time.
    Snapshot {
        snapshot: Snapshot,
        offset: usize,
        asked: Option<Moment>,
    },
}

/// One follower as the leader knows it.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Its log equals the leader's up to here, synced.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    /// How entries go to it.
    pub(crate) flow: Flow,
    /// When it last answered in this term.
    pub(crate) heard: Moment,
    /// The last heartbeat round that it answered.
    pub(crate) round: u64,
}

impl Progress {
    /// A follower of which nothing is known; counted as heard now.
    pub(crate) fn new(next: Index, now: Moment) -> Self {
        Self {
            matched: Index::default(),
            next,
            flow: Flow::Probe { asked: None },
            heard: now,
            round: 0,
        }
    }

    /// Its log equals the leader's up to `matched`.
    pub(crate) fn accept(&mut self, matched: Index, now: Moment) {
        self.matched = self.matched.max(matched);
        match &mut self.flow {
            Flow::Probe { .. } => self.stream(now),
            Flow::Stream { flight, since } => {
                while flight.front().is_some_and(|last| *last <= matched) {
                    flight.pop_front();
                    *since = now;
                }
                self.next = self.next.max(self.matched.next());
            }
            Flow::Snapshot { snapshot, .. } => {
                if self.matched >= snapshot.position.index {
                    self.stream(now);
                }
            }
        }
    }

    fn stream(&mut self, now: Moment) {
        self.next = self.matched.next();
        self.flow = Flow::Stream {
            flight: VecDeque::new(),
            since: now,
        };
    }

    /// It has no entry `previous`; its log may be equal up to `hint`.
    pub(crate) fn refuse(&mut self, previous: Index, hint: Index) {
        let current = match self.flow {
            Flow::Probe { .. } => previous == self.next.previous(),
            Flow::Stream { .. } => previous > self.matched,
            Flow::Snapshot { .. } => false,
        };
        if current {
            self.probe(previous.min(hint.next()));
        }
    }

    /// Sends one append from `next` and waits for its answer.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.flow = Flow::Probe { asked: None };
    }

    /// So much of the snapshot at `position` has come.
    pub(crate) fn received(&mut self, position: Position, received: u64) {
        let Flow::Snapshot {
            snapshot,
            offset,
            asked,
        } = &mut self.flow
        else {
            return;
        };
        let received = usize::try_from(received).unwrap_or(usize::MAX);
        let fresh = received != *offset && received <= snapshot.data.len();
        if snapshot.position == position && fresh {
            *offset = received;
            *asked = None;
        }
    }
}
