//! Actions that a replica requests from its adapter.

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

/// Sequence number of a write of one node, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// One write to stable storage, completely synced before [`crate::Event::Persisted`].
///
/// The parts are written in the order of the fields. A crash may leave any prefix of
/// them; a node can recover from each, because nothing has been acknowledged yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// The write's sequence number.
    pub number: WriteNumber,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// The new snapshot; entries up to its position may be removed once it is stored.
    pub snapshot: Option<Snapshot>,
    /// Remove the stored entries from this index on.
    pub truncate: Option<Index>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The commit index. It is included in writes that are needed anyway and never
    /// causes a write by itself.
    pub commit: Index,
}

/// One action for the adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync; at most one write is in flight.
    Persist(Write),
    /// Send the message; everything that it states about this replica's storage is already synced.
    Send(Message),
    /// Replace the applied state with this snapshot, which is already synced.
    Install(Snapshot),
    /// Apply these entries, in order and without gaps; they are committed and synced locally.
    Commit(Vec<Entry>),
    /// The ticket's proposal or change is committed; an earlier [`Action::Commit`] contained its entry.
    Committed {
        /// The ticket.
        ticket: Ticket,
        /// The index of its entry.
        index: Index,
    },
    /// A read of the applied state is now linearisable; entries up to `index` have been applied.
    ReadReady {
        /// The ticket.
        ticket: Ticket,
        /// A lower bound of the applied index.
        index: Index,
    },
    /// The ticket's request was rejected; for some reasons its entry may still be committed later.
    Rejected {
        /// The ticket.
        ticket: Ticket,
        /// The reason.
        reason: Rejection,
    },
    /// The known leader or its term has changed.
    LeaderChanged {
        /// The term.
        term: Term,
        /// The leader, which may be this replica.
        leader: Option<ReplicaId>,
    },
    /// This replica has decided on its vote, which counts once it is synced.
    Voted {
        /// The term.
        term: Term,
        /// The candidate, which may be this replica.
        candidate: ReplicaId,
    },
    /// This replica asked for votes in vain.
    ElectionFailed {
        /// What it asked for.
        stage: ElectionStage,
        /// The term in which it would have led.
        term: Term,
        /// How many voters granted theirs, this replica included.
        votes: usize,
        /// How many attempts of this stage have failed since a leader was known.
        attempts: u32,
    },
    /// This replica leads no longer.
    SteppedDown {
        /// The term in which it led.
        term: Term,
        /// Why.
        reason: StepDown,
    },
    /// The node has stopped permanently: it processes no more events and sends no more messages.
    Stop(Fault),
}

/// What a replica that wants to lead asks the voters for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ElectionStage {
    /// Whether they would vote for it; changes no term.
    PreVote,
    /// Their votes, which they sync.
    Campaign,
}

/// Why a leader gave up its leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StepDown {
    /// No quorum responded within the election timeout.
    NoQuorum,
    /// Its own write has been in flight for the write timeout and for twice as long as the last one.
    WriteStalled,
    /// A replica with a newer term was heard.
    NewerTerm,
    /// The node has stopped.
    Stopped,
}

quick_error! {
    /// Why a request was rejected.
    #[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Rejection {
        /// Another replica is the leader, or none is; the request has no effect.
        NotLeader(leader: Option<ReplicaId>) {
            display("this replica is not the leader; leader={}", leader.map_or(0, |id| id.0))
        }
        /// Leadership was lost while the entry was uncommitted; it may still be committed.
        Uncertain {
            display("leadership was lost; the entry may still be committed")
        }
        /// No quorum confirmed the read in time.
        Timeout {
            display("no quorum confirmed the read in time")
        }
        /// Too many uncommitted bytes or pending reads; the request has no effect.
        Busy {
            display("too many uncommitted entries or pending reads")
        }
        /// Leadership is being transferred; the request has no effect.
        Transferring {
            display("leadership is being transferred")
        }
        /// The leader has not committed an entry in its term yet; the request has no effect.
        NotReady {
            display("the leader has not committed an entry in its term yet")
        }
        /// Another configuration change is pending; the request has no effect.
        ChangeOpen {
            display("another configuration change is pending")
        }
        /// A later change superseded this one before it completed; repeat the request to learn its state.
        Withdrawn {
            display("superseded by a later configuration change")
        }
        /// The region has no majority of reachable voters; the request has no effect.
        RegionDown(region: RegionName) {
            display("region {region} has no majority of reachable voters")
        }
        /// The change would leave no reachable quorum; the request has no effect.
        QuorumLost {
            display("the change would leave no reachable quorum")
        }
        /// The group has no such replica or region; the request has no effect.
        Unknown {
            display("no such replica or region")
        }
        /// The node has stopped; the outcome of the request is unknown.
        Stopped {
            display("the node has stopped")
        }
    }
}

quick_error! {
    /// Why a node stopped permanently.
    #[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
    #[strum(serialize_all = "kebab-case")]
    pub enum Fault {
        /// A write or its sync failed, so the stored state is unknown.
        PersistFailed {
            display("writing or syncing to storage failed")
        }
        /// A leader's log conflicts with an entry that is committed on this replica.
        CommittedConflict(index: Index) {
            display("committed entry {index} conflicts with the leader's log")
        }
    }
}
