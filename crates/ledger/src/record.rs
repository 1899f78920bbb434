//! The record of one key.

use prost::Message;
use strum::Display;
use strum::IntoStaticStr;
use wire::ledger::Answer;

use crate::limits::Limits;
use crate::limits::MAX_CONTENT_TYPE;

/// State of a record.
#[derive(Clone, Debug, PartialEq, IntoStaticStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordState {
    /// A claim was granted and is not settled yet.
    InFlight,
    /// The request ran; the body of its answer is omitted if it exceeded the limits.
    Done(StoredAnswer),
    /// The request was not run, and may be claimed again.
    NotRun,
    /// The request may have run; no further claim is granted.
    Unknown,
}

/// The state of one key and its latest claim.
///
/// Invariant: `Done` and `Unknown` are terminal. `InFlight` changes only when its own
/// claim is settled or its hold expires.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Digest of the request; `None` if the settlement arrived before its claim.
    pub digest: Option<u64>,
    /// State of the record.
    pub state: RecordState,
    /// Id of the latest claim that was granted or settled.
    pub claim_id: Box<[u8]>,
    /// Log time at which the hold (while in flight) or the record expires.
    pub expires_at_ms: u64,
}

/// An answer, stored encoded to save memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer(Box<[u8]>);

impl StoredAnswer {
    /// Stores `answer` without checks.
    #[must_use]
    pub fn new(answer: &Answer) -> Self {
        Self(answer.encode_to_vec().into())
    }

    /// Stores `answer`, without its body if the answer exceeds `limits` or `available_bytes`,
    /// or doesn't match its digest.
    #[must_use]
    pub fn within_limits(limits: &Limits, answer: Option<&Answer>, available_bytes: usize) -> Self {
        let Some(answer) = answer else {
            return Self::new(&Answer {
                omitted: true,
                ..Answer::default()
            });
        };
        let fits = !answer.omitted
            && answer.body.len() <= limits.max_body_bytes
            && answer.content_type.len() <= MAX_CONTENT_TYPE
            && answer.encoded_len() <= available_bytes
            && digest(&answer.body) == answer.digest;
        if fits {
            return Self::new(answer);
        }
        Self::new(&Answer {
            status: answer.status,
            digest: answer.digest,
            omitted: true,
            ..Answer::default()
        })
    }

    /// Decodes the answer.
    #[must_use]
    pub fn answer(&self) -> Answer {
        // The bytes come from `encode_to_vec`, so decoding can't fail.
        Answer::decode(&*self.0).unwrap_or_default()
    }

    /// Size in bytes that counts towards [`Limits::max_answer_bytes`].
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        self.0.len()
    }
}

/// XXH3 digest of an answer's body.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
