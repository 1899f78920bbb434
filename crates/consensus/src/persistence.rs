//! Tracks which part of a replica's state is synced, and the messages that depend on a sync.
//!
//! At most one write is in flight; changes made meanwhile are batched into the next
//! one (group commit). A message that states something about stored data is held back
//! until the corresponding write is synced.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use base::prelude::*;

use crate::action::Write;
use crate::action::WriteNumber;
use crate::entry::Index;
use crate::log::Log;
use crate::message::Body;
use crate::message::Message;
use crate::stored::HardState;
use crate::stored::Snapshot;

#[derive(Debug)]
struct InFlightWrite {
    number: WriteNumber,
    started_at: Moment,
    /// The last entry that the write makes durable, lowered if entries are truncated meanwhile.
    last_index: Index,
    has_hard_state: bool,
    received_snapshot: Option<Snapshot>,
}

#[derive(Debug)]
struct PendingMessage {
    required_write: WriteNumber,
    message: Message,
}

/// Effects of a completed write.
#[derive(Debug, Default)]
pub(crate) struct CompletedWrite {
    /// A received snapshot that is now synced.
    pub(crate) received_snapshot: Option<Snapshot>,
    /// The messages that waited for the write, in order.
    pub(crate) messages: Vec<Message>,
}

/// Maximum factor by which a slow last write raises the write timeout.
const MAX_TIMEOUT_FACTOR: u32 = 5;

/// The difference between the state in memory and the stored state.
#[derive(Debug)]
pub(crate) struct Persistence {
    next_number: WriteNumber,
    in_flight: Option<InFlightWrite>,
    /// How long the last completed write took, or the first one is expected to take.
    last_duration: Duration,
    /// Every entry up to this index is synced.
    durable: Index,
    /// The first entry that has not been included in a write.
    first_unwritten: Index,
    hard_state_changed: bool,
    truncate: Option<Index>,
    snapshot: Option<Snapshot>,
    snapshot_received: bool,
    pending_messages: VecDeque<PendingMessage>,
}

impl Persistence {
    /// Starts with every entry up to `last` stored; a write is expected to take `write_time`.
    pub(crate) fn new(last: Index, write_time: Duration) -> Self {
        Self {
            next_number: WriteNumber(1),
            in_flight: None,
            last_duration: write_time,
            durable: last,
            first_unwritten: last.next(),
            hard_state_changed: false,
            truncate: None,
            snapshot: None,
            snapshot_received: false,
            pending_messages: VecDeque::new(),
        }
    }

    /// Every entry up to this index is synced.
    pub(crate) fn durable(&self) -> Index {
        self.durable
    }

    /// Every entry up to this index is synced or in the write in flight.
    pub(crate) fn last_written(&self) -> Index {
        self.first_unwritten.previous()
    }

    /// Whether the term and vote in memory are synced.
    pub(crate) fn is_hard_state_synced(&self) -> bool {
        !self.hard_state_changed && !self.in_flight.as_ref().is_some_and(|f| f.has_hard_state)
    }

    /// How long the last completed write took, or the first one is expected to take.
    pub(crate) fn last_duration(&self) -> Duration {
        self.last_duration
    }

    /// Whether a write has been in flight for at least `timeout` and for twice as long as the last
    /// one took: a disk that is slow and steady isn't stalled.
    pub(crate) fn is_write_stalled(&self, now: Moment, timeout: Duration) -> bool {
        let usual = (self.last_duration * 2).min(timeout * MAX_TIMEOUT_FACTOR);
        let timeout = timeout.max(usual);
        let is_overdue = |in_flight: &InFlightWrite| now.since(in_flight.started_at) >= timeout;
        self.in_flight.as_ref().is_some_and(is_overdue)
    }

    /// Records that the term or the vote has changed.
    pub(crate) fn mark_hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Records that entries from `index` on were removed from the log.
    pub(crate) fn truncate(&mut self, index: Index) {
        if index < self.first_unwritten {
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
            self.first_unwritten = index;
        }
        self.lower_durable(index.previous());
    }

    /// Makes the next write remove stored entries from `index` on, which are not in the log.
    pub(crate) fn truncate_stored(&mut self, index: Index) {
        self.truncate = Some(index);
    }

    /// Records that a synced snapshot covers the entries up to `index`.
    pub(crate) fn raise_durable(&mut self, index: Index) {
        self.durable = self.durable.max(index);
    }

    /// Schedules the write of a snapshot taken of the local state.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Schedules the write of a received snapshot that replaces the log; `applied` is
    /// the applied index before it.
    ///
    /// All stored entries are removed: one at the snapshot's index may have another
    /// term, and recovery would then discard the entries appended after the snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot, applied: Index) {
        self.truncate = Some(Index(1));
        self.first_unwritten = snapshot.position.index.next();
        self.snapshot = Some(snapshot);
        self.snapshot_received = true;
        self.lower_durable(applied);
    }

    fn lower_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.last_index = in_flight.last_index.min(last);
        }
    }

    /// Holds `message` back until the hard state and the entries up to `index` are synced;
    /// returns it if they already are.
    pub(crate) fn hold_until_synced(&mut self, message: Message, index: Index) -> Option<Message> {
        let Some(required_write) = self
            .write_with_hard_state()
            .max(self.write_with_entry(index))
        else {
            return Some(message);
        };
        let can_merge = |p: &&mut PendingMessage| {
            p.required_write == required_write && is_same_kind(&p.message, &message)
        };
        match self.pending_messages.iter_mut().find(can_merge) {
            Some(pending) => {
                pending.message.body = merge_bodies(&pending.message.body, message.body);
            }
            None => self.pending_messages.push_back(PendingMessage {
                required_write,
                message,
            }),
        }
        None
    }

    fn write_with_hard_state(&self) -> Option<WriteNumber> {
        if self.hard_state_changed {
            return Some(self.next_number);
        }
        self.in_flight
            .as_ref()
            .filter(|f| f.has_hard_state)
            .map(|f| f.number)
    }

    fn write_with_entry(&self, index: Index) -> Option<WriteNumber> {
        if index <= self.durable {
            return None;
        }
        let in_flight = self.in_flight.as_ref().filter(|f| index <= f.last_index);
        Some(in_flight.map_or(self.next_number, |f| f.number))
    }

    /// Discards held messages when their term has ended.
    pub(crate) fn discard_pending(&mut self) {
        self.pending_messages.clear();
    }

    /// Starts the next write, unless one is in flight or there is nothing to write.
    pub(crate) fn begin_write(
        &mut self,
        log: &Log,
        hard_state: HardState,
        commit: Index,
        now: Moment,
    ) -> Option<Write> {
        let last = log.last().index;
        let has_changes = self.needs_hard_state(hard_state)
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || self.first_unwritten <= last;
        if self.in_flight.is_some() || !has_changes {
            return None;
        }
        let write = Write {
            number: self.next_number,
            hard_state: self.hard_state_changed.then_some(hard_state),
            snapshot: self.snapshot.take(),
            truncate: self.truncate.take(),
            entries: log.slice(self.first_unwritten, last, usize::MAX),
            commit,
        };
        self.in_flight = Some(InFlightWrite {
            number: self.next_number,
            started_at: now,
            last_index: last,
            has_hard_state: self.hard_state_changed,
            received_snapshot: write.snapshot.clone().filter(|_| self.snapshot_received),
        });
        self.next_number.0 += 1;
        self.first_unwritten = last.next();
        self.hard_state_changed = false;
        self.snapshot_received = false;
        Some(write)
    }

    /// Whether a changed hard state has to be written for its own sake. A term without a vote is
    /// written with the first thing that depends on it: most often that is the vote, which would
    /// otherwise wait for another write.
    fn needs_hard_state(&self, hard_state: HardState) -> bool {
        let waits = |pending: &PendingMessage| pending.required_write == self.next_number;
        self.hard_state_changed
            && (hard_state.vote.is_some() || self.pending_messages.iter().any(waits))
    }

    /// Completes the write `number`; any other number is ignored.
    pub(crate) fn complete_write(&mut self, number: WriteNumber, now: Moment) -> CompletedWrite {
        let Some(in_flight) = self.in_flight.take_if(|f| f.number == number) else {
            return CompletedWrite::default();
        };
        self.durable = self.durable.max(in_flight.last_index);
        self.last_duration = now.since(in_flight.started_at);
        let ready = self
            .pending_messages
            .iter()
            .take_while(|p| p.required_write <= number)
            .count();
        CompletedWrite {
            received_snapshot: in_flight.received_snapshot,
            messages: self
                .pending_messages
                .drain(..ready)
                .map(|p| p.message)
                .collect(),
        }
    }
}

/// Whether two messages can be merged into one.
fn is_same_kind(a: &Message, b: &Message) -> bool {
    let kinds = mem::discriminant(&a.body) == mem::discriminant(&b.body);
    kinds && a.to == b.to && a.term == b.term
}

/// Merges two messages of one kind, which bounds the held messages while a write is stalled.
fn merge_bodies(old: &Body, new: Body) -> Body {
    match (old, new) {
        (Body::Accepted { matched: old }, Body::Accepted { matched }) => Body::Accepted {
            matched: matched.max(*old),
        },
        (Body::HeartbeatReply { round: old }, Body::HeartbeatReply { round }) => {
            Body::HeartbeatReply {
                round: round.max(*old),
            }
        }
        (_, new) => new,
    }
}
