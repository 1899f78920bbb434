//! A leader's replication progress for one follower, with flow control.

use std::collections::VecDeque;

use base::prelude::*;

use crate::entry::Index;
use crate::entry::Position;
use crate::stored::Snapshot;

/// How the leader replicates to a follower.
#[derive(Debug)]
pub(crate) enum ReplicationState {
    /// The match index is unknown: one append at a time.
    Probe { sent_at: Option<Moment> },
    /// Appends are pipelined; `in_flight` has the last index of each unacknowledged one.
    Replicate {
        in_flight: VecDeque<Index>,
        last_progress: Moment,
    },
    /// The follower needs compacted entries: a snapshot is sent, one chunk at a time.
    Snapshot {
        snapshot: Snapshot,
        offset: usize,
        sent_at: Option<Moment>,
    },
}

/// The replication progress of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index at which the follower's log matches the leader's and is synced.
    pub(crate) matched: Index,
    /// The index of the next entry to send.
    pub(crate) next: Index,
    pub(crate) state: ReplicationState,
    /// When the follower last responded in this term.
    pub(crate) last_response: Moment,
    /// The last heartbeat round that the follower answered.
    pub(crate) round: u64,
}

impl Progress {
    /// Creates the progress of a follower with an unknown log, counted as responding at `now`.
    pub(crate) fn new(next: Index, now: Moment) -> Self {
        Self {
            matched: Index::default(),
            next,
            state: ReplicationState::Probe { sent_at: None },
            last_response: now,
            round: 0,
        }
    }

    /// Handles an acknowledgement up to `matched`.
    pub(crate) fn handle_accepted(&mut self, matched: Index, now: Moment) {
        self.matched = self.matched.max(matched);
        match &mut self.state {
            ReplicationState::Probe { .. } => self.start_replicate(now),
            ReplicationState::Replicate {
                in_flight,
                last_progress,
            } => {
                while in_flight.front().is_some_and(|last| *last <= matched) {
                    in_flight.pop_front();
                    *last_progress = now;
                }
                self.next = self.next.max(self.matched.next());
            }
            ReplicationState::Snapshot { snapshot, .. } => {
                if self.matched >= snapshot.position.index {
                    self.start_replicate(now);
                }
            }
        }
    }

    fn start_replicate(&mut self, now: Moment) {
        self.next = self.matched.next();
        self.state = ReplicationState::Replicate {
            in_flight: VecDeque::new(),
            last_progress: now,
        };
    }

    /// Handles a refused append: the follower has no entry `previous`, and its log may match
    /// up to `hint`.
    pub(crate) fn handle_refused(&mut self, previous: Index, hint: Index) {
        let is_current = match self.state {
            ReplicationState::Probe { .. } => previous == self.next.previous(),
            ReplicationState::Replicate { .. } => previous > self.matched,
            ReplicationState::Snapshot { .. } => false,
        };
        if is_current {
            self.start_probe(previous.min(hint.next()));
        }
    }

    /// Switches to probing from `next`.
    pub(crate) fn start_probe(&mut self, next: Index) {
        self.next = next.max(self.matched.next());
        self.state = ReplicationState::Probe { sent_at: None };
    }

    /// Handles the acknowledgement of `received` bytes of the snapshot at `position`.
    pub(crate) fn handle_chunk_reply(&mut self, position: Position, received: u64) {
        let ReplicationState::Snapshot {
            snapshot,
            offset,
            sent_at,
        } = &mut self.state
        else {
            return;
        };
        let received = usize::try_from(received).unwrap_or(usize::MAX);
        let is_new = received != *offset && received <= snapshot.data.len();
        if snapshot.position == position && is_new {
            *offset = received;
            *sent_at = None;
        }
    }
}
