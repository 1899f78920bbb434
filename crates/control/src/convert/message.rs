//! Conversion of consensus messages.

use consensus::Body;
use consensus::Index;
use consensus::Message;
use consensus::Position;
use consensus::ReplicaId;
use consensus::Term;
use consensus::Ticket;
use wire::replica as w;
use wire::replica::message::Body as WireBody;

use crate::convert::ConvertError;
use crate::convert::entry;
use crate::convert::entry_to_wire;
use crate::convert::group;
use crate::convert::group_to_wire;

/// Converts a message to its wire form.
#[must_use]
pub fn to_wire(message: &Message) -> w::Message {
    w::Message {
        from: message.from.0,
        to: message.to.0,
        term: message.term.0,
        body: Some(body_to_wire(&message.body)),
    }
}

/// Converts a message from its wire form.
///
/// # Errors
///
/// Fails when a field is missing or malformed.
pub fn from_wire(message: &w::Message) -> Result<Message, ConvertError> {
    let body = message.body.as_ref();
    Ok(Message {
        from: ReplicaId(message.from),
        to: ReplicaId(message.to),
        term: Term(message.term),
        body: body_from_wire(body.ok_or(ConvertError::Missing("body"))?)?,
    })
}

fn body_to_wire(body: &Body) -> WireBody {
    match body {
        Body::PreVote { last } => WireBody::PreVote(w::PreVote {
            last: Some(position_to_wire(*last)),
        }),
        Body::PreVoteReply { granted } => {
            WireBody::PreVoteReply(w::PreVoteReply { granted: *granted })
        }
        Body::Campaigning { last } => WireBody::Campaigning(w::Campaigning {
            last: Some(position_to_wire(*last)),
        }),
        Body::Vote { last, transfer } => WireBody::Vote(w::Vote {
            last: Some(position_to_wire(*last)),
            transfer: *transfer,
        }),
        Body::VoteReply { granted } => WireBody::VoteReply(w::VoteReply { granted: *granted }),
        Body::Append {
            previous,
            entries,
            commit,
        } => WireBody::Append(w::Append {
            previous: Some(position_to_wire(*previous)),
            entries: entries.iter().map(entry_to_wire).collect(),
            commit: commit.0,
        }),
        Body::Accepted { matched } => WireBody::Matched(w::Matched { matched: matched.0 }),
        Body::Refused { previous, hint } => WireBody::Mismatched(w::Mismatched {
            previous: previous.0,
            hint: hint.0,
        }),
        Body::Heartbeat { commit, round } => WireBody::Heartbeat(w::Heartbeat {
            commit: commit.0,
            round: *round,
        }),
        Body::HeartbeatReply { round } => {
            WireBody::HeartbeatReply(w::HeartbeatReply { round: *round })
        }
        Body::Chunk {
            position,
            config,
            total,
            offset,
            data,
        } => WireBody::Chunk(w::Chunk {
            position: Some(position_to_wire(*position)),
            group: Some(group_to_wire(config)),
            total: *total,
            offset: *offset,
            data: data.clone(),
        }),
        Body::ChunkReply { position, received } => WireBody::ChunkReply(w::ChunkReply {
            position: Some(position_to_wire(*position)),
            received: *received,
        }),
        Body::CampaignNow => WireBody::CampaignNow(w::CampaignNow {}),
        Body::ReadAsk { ticket } => WireBody::ReadAsk(w::ReadAsk { ticket: ticket.0 }),
        Body::ReadAnswer { ticket, index } => WireBody::ReadAnswer(w::ReadAnswer {
            ticket: ticket.0,
            index: index.0,
        }),
    }
}

fn body_from_wire(body: &WireBody) -> Result<Body, ConvertError> {
    Ok(match body {
        WireBody::PreVote(m) => Body::PreVote {
            last: position(m.last.as_ref())?,
        },
        WireBody::PreVoteReply(m) => Body::PreVoteReply { granted: m.granted },
        WireBody::Campaigning(m) => Body::Campaigning {
            last: position(m.last.as_ref())?,
        },
        WireBody::Vote(m) => Body::Vote {
            last: position(m.last.as_ref())?,
            transfer: m.transfer,
        },
        WireBody::VoteReply(m) => Body::VoteReply { granted: m.granted },
        WireBody::Append(m) => Body::Append {
            previous: position(m.previous.as_ref())?,
            entries: m.entries.iter().map(entry).collect::<Result<_, _>>()?,
            commit: Index(m.commit),
        },
        WireBody::Matched(m) => Body::Accepted {
            matched: Index(m.matched),
        },
        WireBody::Mismatched(m) => Body::Refused {
            previous: Index(m.previous),
            hint: Index(m.hint),
        },
        WireBody::Heartbeat(m) => Body::Heartbeat {
            commit: Index(m.commit),
            round: m.round,
        },
        WireBody::HeartbeatReply(m) => Body::HeartbeatReply { round: m.round },
        WireBody::Chunk(m) => Body::Chunk {
            position: position(m.position.as_ref())?,
            config: group(m.group.as_ref().ok_or(ConvertError::Missing("group"))?)?,
            total: m.total,
            offset: m.offset,
            data: m.data.clone(),
        },
        WireBody::ChunkReply(m) => Body::ChunkReply {
            position: position(m.position.as_ref())?,
            received: m.received,
        },
        WireBody::CampaignNow(_) => Body::CampaignNow,
        WireBody::ReadAsk(m) => Body::ReadAsk {
            ticket: Ticket(m.ticket),
        },
        WireBody::ReadAnswer(m) => Body::ReadAnswer {
            ticket: Ticket(m.ticket),
            index: Index(m.index),
        },
    })
}

fn position_to_wire(position: Position) -> w::Position {
    w::Position {
        term: position.term.0,
        index: position.index.0,
    }
}

fn position(position: Option<&w::Position>) -> Result<Position, ConvertError> {
    let found = position.ok_or(ConvertError::Missing("position"))?;
    Ok(Position {
        term: Term(found.term),
        index: Index(found.index),
    })
}
