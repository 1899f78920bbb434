//! What replicas say to each other.

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

/// One message; it may be lost, doubled, delayed or overtaken.
///
/// A replica ignores a message to another id, so that an emptied disk at a known
/// address doesn't answer for the replica that was there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The sender's term, but in the pre-vote the term that is campaigned for.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether a campaign would be voted for; changes no one's term.
    PreVote {
        /// The end of the candidate's log.
        last: Position,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The end of the candidate's log.
        last: Position,
        /// The leader asked for this campaign, so its own lease doesn't stand against it.
        transfer: bool,
    },
    /// Answers a vote; sent once the vote is synced.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Extends the follower's log after `previous`.
    Append {
        /// The entry in front of `entries`.
        previous: Position,
        /// Entries without a gap, bounded by [`crate::Settings::batch_bytes`].
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// The follower's log equals the leader's up to there, and is synced.
    Accepted {
        /// The last index that is equal and synced.
        matched: Index,
    },
    /// The follower has no such previous entry, or the sender's term is over.
    Refused {
        /// The index of the append's previous entry.
        previous: Index,
        /// The last index that may be equal.
        hint: Index,
    },
    /// Keeps followers from campaigning and carries the commit index.
    Heartbeat {
        /// The leader's commit index as far as the follower's log is known to be equal.
        commit: Index,
        /// The round that confirms the leader for reads.
        round: u64,
    },
    /// Answers a heartbeat.
    HeartbeatReply {
        /// The heartbeat's round.
        round: u64,
    },
    /// A part of a snapshot, bounded by [`crate::Settings::chunk_bytes`].
    Chunk {
        /// The snapshot's last entry.
        position: Position,
        /// The group at that position.
        config: Config,
        /// Bytes of the whole snapshot.
        total: u64,
        /// Where `data` begins.
        offset: u64,
        /// The part.
        data: Bytes,
    },
    /// How much of a snapshot has come; the whole is answered by [`Body::Accepted`].
    ChunkReply {
        /// The snapshot's last entry.
        position: Position,
        /// Bytes received without a gap.
        received: u64,
    },
    /// The leader asks the receiver to campaign at once.
    CampaignNow,
    /// A follower asks the leader for an index to read at.
    ReadAsk {
        /// The follower's number for the question.
        ticket: Ticket,
    },
    /// Answers [`Body::ReadAsk`] once a quorum has confirmed the leader.
    ReadAnswer {
        /// The follower's number for the question.
        ticket: Ticket,
        /// Where to read.
        index: Index,
    },
}
