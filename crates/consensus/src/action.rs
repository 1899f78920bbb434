//! What a replica tells its adapter to do.

use base::prelude::*;
use quick_error::quick_error;
use strum::IntoStaticStr;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::event::Ticket;
use crate::message::Message;
use crate::stored::HardState;
use crate::stored::Snapshot;

/// Numbers the writes of one node, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// One write to the disk: all of it, synced, before [`crate::Event::Persisted`].
///
/// The parts are written in the order of the fields. A crash in between leaves a
/// prefix of them, from which a node recovers: nothing was acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Names the write.
    pub number: WriteNumber,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot; entries up to its position may be dropped from then on.
    pub snapshot: Option<Snapshot>,
    /// Drops the entries from this index on.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Entries up to here are committed. It goes with the next write that is due, and
    /// costs none of its own.
    pub commit: Index,
}

/// One thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync; at most one is in flight.
    Persist(Write),
    /// Send; all that it claims about this replica's disk is synced already.
    Send(Message),
    /// Replace the applied state by this snapshot, which is synced.
    Install(Snapshot),
    /// Apply these entries, in order and without a gap; they are committed and synced here.
    Commit(Vec<Entry>),
    /// The ticket's proposal or change is in force; its entry was in a [`Action::Commit`] before.
    Committed {
        /// The ticket.
        ticket: Ticket,
        /// Where its entry is.
        index: Index,
    },
    /// A read of the applied state is linearisable now; a [`Action::Commit`] up to `index` came before.
    ReadReady {
        /// The ticket.
        ticket: Ticket,
        /// What is applied at least.
        index: Index,
    },
    /// The ticket's request isn't done, or, for the reasons that say so, may be done later.
    Rejected {
        /// The ticket.
        ticket: Ticket,
        /// Why.
        reason: Rejection,
    },
    /// The replica follows another leader, or none.
    LeaderChanged {
        /// The term.
        term: Term,
        /// The leader, which may be this replica.
        leader: Option<ReplicaId>,
    },
    /// The node has stopped for good: it takes no event and sends no message any more.
    Stop(Fault),
}

quick_error! {
    /// Why a request was not done.
    #[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Rejection {
        /// Another replica leads, or none does; certain not to be done.
        NotLeader(leader: Option<ReplicaId>) {
            display("this replica doesn't lead; leader={}", leader.map_or(0, |id| id.0))
        }
        /// Leadership ended with the entry in the log: it may yet be committed.
        Uncertain {
            display("leadership ended; the entry may yet be committed")
        }
        /// No quorum confirmed the read in time.
        Timeout {
            display("no quorum confirmed the read in time")
        }
        /// Too much is open already; certain not to be done.
        Busy {
            display("too much is open")
        }
        /// Leadership is being handed over; certain not to be done.
        Transferring {
            display("leadership is being handed over")
        }
        /// The leader has committed nothing in its term yet; certain not to be done.
        NotReady {
            display("the leader has committed nothing in its term yet")
        }
        /// Another change of the group is open; certain not to be done.
        ChangeOpen {
            display("another change of the group is open")
        }
        /// A later change came before this one was done; ask again to learn where it stands.
        Withdrawn {
            display("a later change came before this one was done")
        }
        /// Too few voters of that region are in reach to accept anything; certain not to be done.
        RegionDown(region: RegionName) {
            display("region {region} has no majority in reach")
        }
        /// The change would leave no majority in reach; certain not to be done.
        QuorumLost {
            display("the change would leave no majority in reach")
        }
        /// The group has no such replica or region; certain not to be done.
        Unknown {
            display("no such replica or region")
        }
        /// The node has stopped; whether it is done is uncertain.
        Stopped {
            display("the node has stopped")
        }
    }
}

quick_error! {
    /// Why a node stopped for good.
    #[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Fault {
        /// A write or its sync failed, so what the disk holds is unknown.
        PersistFailed {
            display("a write failed")
        }
        /// A leader's log contradicts an entry that is committed here.
        CommittedConflict(index: Index) {
            display("entry {index} is committed here and differs at the leader")
        }
    }
}
