//! What of a replica's state is synced, and the messages that wait for it.
//!
//! One write is in flight at most. Changes meanwhile gather into the next one,
//! which is group commit. A message that claims something about the disk is held
//! here until the write that makes it true is synced, so that no adapter can
//! send it early.

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
struct Flight {
    number: WriteNumber,
    since: Moment,
    /// The last entry synced once the write is, lowered where entries are dropped meanwhile.
    last: Index,
    hard_state: bool,
    install: Option<Snapshot>,
}

#[derive(Debug)]
struct Held {
    after: WriteNumber,
    message: Message,
}

/// What a synced write brought.
#[derive(Debug, Default)]
pub(crate) struct Synced {
    /// A received snapshot that is synced now.
    pub(crate) install: Option<Snapshot>,
    /// The messages that waited, in order.
    pub(crate) messages: Vec<Message>,
}

/// The distance between the state in memory and the state on disk.
#[derive(Debug)]
pub(crate) struct Persistence {
    next: WriteNumber,
    flight: Option<Flight>,
    /// Every entry up to here is synced.
    durable: Index,
    /// The first entry that is in no write yet.
    unwritten: Index,
    hard_state: bool,
    truncate: Option<Index>,
    snapshot: Option<Snapshot>,
    install: bool,
    held: VecDeque<Held>,
}

impl Persistence {
    /// A disk that holds everything up to `last`.
    pub(crate) fn new(last: Index) -> Self {
        Self {
            next: WriteNumber(1),
            flight: None,
            durable: last,
            unwritten: last.next(),
            hard_state: false,
            truncate: None,
            snapshot: None,
            install: false,
            held: VecDeque::new(),
        }
    }

    /// Every entry up to here is synced.
    pub(crate) fn durable(&self) -> Index {
        self.durable
    }

    /// Every entry up to here is synced or in the write in flight.
    pub(crate) fn written(&self) -> Index {
        self.unwritten.previous()
    }

    /// Whether the term and vote in memory are synced.
    pub(crate) fn is_hard_synced(&self) -> bool {
        !self.hard_state && !self.flight.as_ref().is_some_and(|f| f.hard_state)
    }

    /// Whether a write has been in flight for `span`.
    pub(crate) fn hangs(&self, now: Moment, span: Duration) -> bool {
        let late = |flight: &Flight| now.since(flight.since) >= span;
        self.flight.as_ref().is_some_and(late)
    }

    /// The term or the vote has changed.
    pub(crate) fn mark_hard(&mut self) {
        self.hard_state = true;
    }

    /// Entries from `index` on were dropped from the log.
    pub(crate) fn truncate(&mut self, index: Index) {
        if index < self.unwritten {
            self.truncate = Some(self.truncate.map_or(index, |t| t.min(index)));
            self.unwritten = index;
        }
        self.lower(index.previous());
    }

    /// Entries from `index` on are on disk and not in the log; the next write drops them.
    pub(crate) fn drop_from(&mut self, index: Index) {
        self.truncate = Some(index);
    }

    /// Entries up to `index` are held by a snapshot that is synced.
    pub(crate) fn raise(&mut self, index: Index) {
        self.durable = self.durable.max(index);
    }

    /// A snapshot of the log itself was taken.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// A received snapshot has replaced the log; `applied` was applied before.
    ///
    /// Every entry on disk is dropped: one at the snapshot's index may be of
    /// another term, and would overrule what is appended after the snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot, applied: Index) {
        self.truncate = Some(Index(1));
        self.unwritten = snapshot.position.index.next();
        self.snapshot = Some(snapshot);
        self.install = true;
        self.lower(applied);
    }

    fn lower(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        if let Some(flight) = &mut self.flight {
            flight.last = flight.last.min(last);
        }
    }

    /// Passes `message` on once the hard state and the entries up to `index` are synced.
    pub(crate) fn hold(&mut self, message: Message, index: Index) -> Option<Message> {
        let Some(after) = self.after_hard().max(self.after_entry(index)) else {
            return Some(message);
        };
        let fits = |h: &&mut Held| h.after == after && same_kind(&h.message, &message);
        match self.held.iter_mut().find(fits) {
            Some(held) => held.message.body = latest(&held.message.body, message.body),
            None => self.held.push_back(Held { after, message }),
        }
        None
    }

    fn after_hard(&self) -> Option<WriteNumber> {
        if self.hard_state {
            return Some(self.next);
        }
        self.flight
            .as_ref()
            .filter(|f| f.hard_state)
            .map(|f| f.number)
    }

    fn after_entry(&self, index: Index) -> Option<WriteNumber> {
        if index <= self.durable {
            return None;
        }
        let flight = self.flight.as_ref().filter(|f| index <= f.last);
        Some(flight.map_or(self.next, |f| f.number))
    }

    /// Forgets held messages, which belong to a term that is over.
    pub(crate) fn forget(&mut self) {
        self.held.clear();
    }

    /// The next write, unless one is in flight or there is nothing to write.
    pub(crate) fn flush(
        &mut self,
        log: &Log,
        hard_state: HardState,
        commit: Index,
        now: Moment,
    ) -> Option<Write> {
        let last = log.last().index;
        let dirty = self.hard_state
            || self.snapshot.is_some()
            || self.truncate.is_some()
            || self.unwritten <= last;
        if self.flight.is_some() || !dirty {
            return None;
        }
        let write = Write {
            number: self.next,
            hard_state: self.hard_state.then_some(hard_state),
            snapshot: self.snapshot.take(),
            truncate: self.truncate.take(),
            entries: log.slice(self.unwritten, last, usize::MAX),
            commit,
        };
        self.flight = Some(Flight {
            number: self.next,
            since: now,
            last,
            hard_state: self.hard_state,
            install: write.snapshot.clone().filter(|_| self.install),
        });
        self.next.0 += 1;
        self.unwritten = last.next();
        self.hard_state = false;
        self.install = false;
        Some(write)
    }

    /// The write `number` is synced; nothing comes of another number.
    pub(crate) fn synced(&mut self, number: WriteNumber) -> Synced {
        let Some(flight) = self.flight.take_if(|f| f.number == number) else {
            return Synced::default();
        };
        self.durable = self.durable.max(flight.last);
        let ready = self.held.iter().take_while(|h| h.after <= number).count();
        Synced {
            install: flight.install,
            messages: self.held.drain(..ready).map(|h| h.message).collect(),
        }
    }
}

/// Whether one of two messages to a replica can stand for both.
fn same_kind(a: &Message, b: &Message) -> bool {
    let kinds = mem::discriminant(&a.body) == mem::discriminant(&b.body);
    kinds && a.to == b.to && a.term == b.term
}

/// What stands for both: an adapter whose disk hangs holds no more than one message of a kind.
fn latest(old: &Body, new: Body) -> Body {
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
