//! Messages between replicas.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Position;
use crate::entry::ReplicaId;
use crate::entry::Term;
use crate::event::Ticket;

/// A message, which may be lost, duplicated, delayed or reordered.
///
/// A replica ignores messages to another id, so a replica that lost its disk doesn't
/// answer for the one that used its address before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term; in pre-vote messages the term of the intended campaign.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant its vote; doesn't change any replica's term.
    PreVote {
        /// The position of the last entry in the candidate's log.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Tells that the sender campaigns in the message's term; it asks for votes once its own is
    /// synced.
    Campaigning {
        /// The position of the last entry in the candidate's log.
        last: Position,
    },
    /// Requests a vote.
    Vote {
        /// The position of the last entry in the candidate's log.
        last: Position,
        /// Whether the leader requested this campaign, so that voters grant it although they
        /// have heard from that leader recently.
        transfer: bool,
    },
    /// Answers a vote request; sent once the vote is synced.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Extends the follower's log after `previous`.
    Append {
        /// The position of the entry preceding `entries`.
        previous: Position,
        /// Consecutive entries, limited by [`crate::Settings::max_batch_bytes`].
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// The follower's log matches the leader's up to an index and is synced up to it.
    Accepted {
        /// The last index that matches and is synced.
        matched: Index,
    },
    /// The follower's log doesn't contain the previous entry, or the sender's term is stale.
    Refused {
        /// The index of the append's previous entry.
        previous: Index,
        /// The last index that may match.
        hint: Index,
    },
    /// Prevents followers from campaigning and carries the commit index.
    Heartbeat {
        /// The leader's commit index, limited to the follower's match index.
        commit: Index,
        /// The heartbeat round, which confirms leadership for reads.
        round: u64,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// The heartbeat's round.
        round: u64,
    },
    /// A chunk of a snapshot, limited by [`crate::Settings::max_chunk_bytes`].
    Chunk {
        /// The position of the last entry in the snapshot.
        position: Position,
        /// The configuration at that position.
        config: Config,
        /// The size of the whole snapshot, in bytes.
        total: u64,
        /// The offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// The chunk's bytes.
        data: Bytes,
    },
    /// Acknowledges a chunk; the complete snapshot is acknowledged by [`Body::Accepted`].
    ChunkReply {
        /// The position of the last entry in the snapshot.
        position: Position,
        /// Bytes received without gaps.
        received: u64,
    },
    /// The leader asks the receiver to campaign immediately (leadership transfer).
    CampaignNow,
    /// A follower requests a read index from the leader.
    ReadAsk {
        /// The follower's request number.
        ticket: Ticket,
    },
    /// Answers [`Body::ReadAsk`] once a quorum has confirmed leadership.
    ReadAnswer {
        /// The follower's request number.
        ticket: Ticket,
        /// The read index.
        index: Index,
    },
}
