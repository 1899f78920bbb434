//! Events that an adapter passes to a replica.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::WriteNumber;
use crate::config::Change;
use crate::entry::Index;
use crate::message::Message;

/// Identifies a request of the adapter; unique among pending requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// One input to the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed: process expired timers.
    Tick,
    /// A message was received.
    Message(Message),
    /// Append an entry to the log; leader only.
    Propose {
        /// Answered by [`crate::Action::Committed`] or [`crate::Action::Rejected`].
        ticket: Ticket,
        /// The entry's data.
        data: Bytes,
    },
    /// Determine an index at which a read is linearisable; leader or follower.
    Read {
        /// Answered by [`crate::Action::ReadReady`] or [`crate::Action::Rejected`].
        ticket: Ticket,
    },
    /// Change the configuration; leader only, one change at a time.
    ///
    /// An addition completes only when the replica is a voter and has synced the entry
    /// that promoted it. A change that is already in effect completes immediately.
    Change {
        /// Answered by [`crate::Action::Committed`] or [`crate::Action::Rejected`].
        ticket: Ticket,
        /// The requested change.
        change: Change,
    },
    /// Transfer leadership to another voter, for example before a graceful stop.
    ///
    /// Success is reported by [`crate::Action::LeaderChanged`]; if it doesn't come
    /// within an election timeout, the leader continues.
    Transfer,
    /// A write has been synced.
    Persisted {
        /// The write's sequence number.
        number: WriteNumber,
    },
    /// A write or its sync failed; the node stops permanently.
    PersistFailed,
    /// A snapshot of the adapter's state as applied up to `index`.
    ///
    /// Ignored if the index is not applied yet or not newer than the last snapshot.
    Compact {
        /// The last entry included in the snapshot.
        index: Index,
        /// The state in the adapter's encoding.
        data: Bytes,
    },
}
