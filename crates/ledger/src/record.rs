//! One key's record.

use prost::Message;
use strum::Display;
use strum::IntoStaticStr;
use wire::ledger::Answer;

use crate::limits::Limits;
use crate::limits::MAX_CONTENT_TYPE;

/// Where a record stands.
#[derive(Clone, Debug, PartialEq, IntoStaticStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// One claim is granted and not settled.
    InFlight,
    /// It ran; the answer is kept unless it was too long.
    Done(KeptAnswer),
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

/// An answer in its encoded form, as a ledger keeps very many.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer(Box<[u8]>);

impl KeptAnswer {
    /// Takes `answer` as it is.
    #[must_use]
    pub fn new(answer: &Answer) -> Self {
        Self(answer.encode_to_vec().into())
    }

    /// Takes `answer` whole where it is within `bounds` and true to its
    /// digest, else without its body.
    #[must_use]
    pub fn within(limits: &Limits, answer: Option<&Answer>, room: usize) -> Self {
        let Some(answer) = answer else {
            return Self::new(&Answer {
                omitted: true,
                ..Answer::default()
            });
        };
        let whole = !answer.omitted
            && answer.body.len() <= limits.body
            && answer.content_type.len() <= MAX_CONTENT_TYPE
            && answer.encoded_len() <= room
            && digest(&answer.body) == answer.digest;
        if whole {
            return Self::new(answer);
        }
        Self::new(&Answer {
            status: answer.status,
            digest: answer.digest,
            omitted: true,
            ..Answer::default()
        })
    }

    /// The answer.
    #[must_use]
    pub fn answer(&self) -> Answer {
        // Only an encoded answer is ever kept, so it can be decoded.
        Answer::decode(&*self.0).unwrap_or_default()
    }

    /// Bytes that it takes of the ledger's bound.
    #[must_use]
    pub fn weight(&self) -> usize {
        self.0.len()
    }
}

/// The digest of an answer's body.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}
