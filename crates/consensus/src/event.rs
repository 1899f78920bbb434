//! What an adapter tells a replica.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::action::WriteNumber;
use crate::config::Change;
use crate::entry::Index;
use crate::message::Message;

/// Names one request of the adapter; unique while it is open.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message came.
    Message(Message),
    /// Append this to the log; leader only.
    Propose {
        /// Answered by [`crate::Action::Committed`] or [`crate::Action::Rejected`].
        ticket: Ticket,
        /// The content.
        data: Bytes,
    },
    /// Find an index at which a read is linearisable; leader or follower.
    Read {
        /// Answered by [`crate::Action::ReadReady`] or [`crate::Action::Rejected`].
        ticket: Ticket,
    },
    /// Change the group; leader only, one change at a time.
    ///
    /// An addition is answered only when the replica is a voter and has synced
    /// the entry that made it one. Asking again for what is done is answered at once.
    Change {
        /// Answered by [`crate::Action::Committed`] or [`crate::Action::Rejected`].
        ticket: Ticket,
        /// What to change.
        change: Change,
    },
    /// Hand leadership to another voter before a graceful stop.
    ///
    /// The outcome is seen in [`crate::Action::LeaderChanged`]; without one in an
    /// election timeout the leader serves on.
    Transfer,
    /// The write is synced.
    Persisted {
        /// The write.
        number: WriteNumber,
    },
    /// The write or its sync failed; the node stops for good.
    PersistFailed,
    /// The adapter's state, as applied up to `index`, as a snapshot.
    ///
    /// Ignored for an index that is not applied, or older than the last snapshot.
    Compact {
        /// The last entry applied.
        index: Index,
        /// The state in the adapter's encoding.
        data: Bytes,
    },
}
