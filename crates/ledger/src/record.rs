//! One key's record.

use bytes::Bytes;
use strum::Display;
use strum::IntoStaticStr;
use wire::ledger::Answer;

use crate::bounds::Bounds;
use crate::bounds::MAX_CONTENT_TYPE;

/// Where a record stands.
#[derive(Clone, Debug, PartialEq, IntoStaticStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// One claim is granted and not settled.
    InFlight,
    /// It ran; the answer is kept unless it was too long.
    Done(Box<Answer>),
    /// It was certainly not run, and may be claimed again.
    NotRun,
    /// It may have run; it is never granted again.
    Unknown,
}

/// What is known of one key.
///
/// Invariant: `Done` and `Unknown` are terminal; only `InFlight` and `NotRun`
/// change, and `InFlight` only by its own claim or by the end of its hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Digest of the request; `None` when a settlement came before its claim.
    pub digest: Option<u64>,
    /// Where it stands.
    pub standing: Standing,
    /// The last claim that was granted or settled.
    pub claim: Box<[u8]>,
    /// End of the hold while in flight, else of the record, in log time.
    pub due_ms: u64,
}

/// Bytes that `answer` takes of the ledger's bound.
pub(crate) fn weight(answer: &Answer) -> usize {
    answer.body.len() + answer.content_type.len()
}

/// The answer as it is kept: whole and true to its digest, or without its body.
pub(crate) fn kept(answer: Option<&Answer>, bounds: &Bounds, room: usize) -> Answer {
    let Some(answer) = answer else {
        return Answer {
            omitted: true,
            ..Answer::default()
        };
    };
    let whole = !answer.omitted
        && answer.body.len() <= bounds.body
        && answer.content_type.len() <= MAX_CONTENT_TYPE
        && weight(answer) <= room
        && digest(&answer.body) == answer.digest;
    if !whole {
        return Answer {
            status: answer.status,
            digest: answer.digest,
            omitted: true,
            ..Answer::default()
        };
    }
    Answer {
        // A copy of its own: the message's buffer would be kept alive otherwise.
        body: Bytes::copy_from_slice(&answer.body),
        ..answer.clone()
    }
}

/// The digest of an answer's body.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
