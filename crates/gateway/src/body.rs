//! Takes a request's body in: kept whole for a retry where it is small or must
//! not be lost, else streamed through.
//!
//! Invariant: bodies that are kept have reserved their bytes from one bound for
//! the whole process, so that callers can't grow its memory.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use futures::stream;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use salvo::http::ReqBody;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request_head::Ask;

type BoxError = Box<dyn std::error::Error + Send + std::marker::Sync>;

/// Bytes of one permit of the memory bound.
const UNIT: u64 = 1024;
/// When to come back after the memory bound was met.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// The memory that kept bodies may take together.
#[derive(Clone, Debug)]
pub struct Memory(Arc<Semaphore>);

impl Memory {
    /// A bound of `bytes`.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let units = usize::try_from(bytes / UNIT).unwrap_or(Semaphore::MAX_PERMITS);
        Self(Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))))
    }

    /// Reserves `bytes` until the reservation is dropped.
    ///
    /// # Errors
    ///
    /// Fails when they aren't free now.
    pub fn reserve(&self, bytes: u64) -> Result<OwnedSemaphorePermit, Refusal> {
        let units = u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX);
        self.0
            .clone()
            .try_acquire_many_owned(units)
            .map_err(|_| Refusal::busy(Reason::Memory, MEMORY_RETRY))
    }
}

/// How much of a body is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// All of it, up to the entry's bound.
    Whole,
    /// All of it where it has at most this many bytes.
    Small(u64),
}

/// A request's body on its way to upstreams.
pub enum Payload {
    /// Kept whole; may be sent again.
    Kept(Bytes, Option<OwnedSemaphorePermit>),
    /// Can be sent once.
    Once(Option<reqwest::Body>, Over),
}

/// Set when a body that passes through went over its bound.
#[derive(Clone, Debug, Default)]
pub struct Over(Arc<AtomicBool>);

impl Over {
    /// `body`, whose end over the bound is noted here.
    fn watch<B>(&self, body: B) -> reqwest::Body
    where
        B: http_body::Body<Data = Bytes, Error = BoxError> + Send + Sync + 'static,
    {
        let over = self.0.clone();
        reqwest::Body::wrap(body.map_err(move |err| {
            if err.is::<LengthLimitError>() {
                over.store(true, Ordering::Relaxed);
            }
            err
        }))
    }
}

impl Payload {
    /// Whether it can be sent again.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(..))
    }

    /// The bytes, where they are kept.
    #[must_use]
    pub fn kept(&self) -> Option<&Bytes> {
        match self {
            Self::Kept(bytes, _) => Some(bytes),
            Self::Once(..) => None,
        }
    }

    /// Whether it went over the entry's bound while it passed through.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Once(_, over) if over.0.load(Ordering::Relaxed))
    }

    /// The body for one attempt; `None` when it was streamed away before.
    pub fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Kept(bytes, _) => Some(bytes.clone().into()),
            Self::Once(body, _) => body.take(),
        }
    }
}

/// Takes `body` in until `until` at the latest.
///
/// # Errors
///
/// Fails with the caller's refusal: too large, broken off, too slow, or no memory.
pub async fn take_in(
    body: ReqBody,
    ask: &Ask,
    keep: Keep,
    memory: &Memory,
    until: Instant,
) -> Result<Payload, Refusal> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(Payload::Kept(Bytes::new(), None));
    }
    let bound = ask.body_bound();
    let kept = match keep {
        Keep::Whole => bound,
        Keep::Small(bytes) => bytes.min(bound),
    };
    if keep != Keep::Whole && ask.length.is_some_and(|length| length > kept) {
        let limited = Limited::new(body, usize::try_from(bound).unwrap_or(usize::MAX));
        let over = Over::default();
        return Ok(Payload::Once(Some(over.watch(limited)), over));
    }
    let permit = memory.reserve(ask.length.unwrap_or(kept))?;
    let mut intake = Intake {
        body,
        bytes: BytesMut::new(),
    };
    let whole = timeout_at(until, intake.fill(kept))
        .await
        .map_err(|_| Refusal::not_run(StatusCode::REQUEST_TIMEOUT, Reason::BadBody))??;
    if whole {
        return Ok(Payload::Kept(intake.bytes.freeze(), Some(permit)));
    }
    if kept == bound {
        return Err(too_large());
    }
    let over = Over::default();
    Ok(Payload::Once(Some(intake.chained(bound, &over)), over))
}

struct Intake {
    body: ReqBody,
    bytes: BytesMut,
}

impl Intake {
    /// Reads on until the end, or over `most` bytes; says whether it was the end.
    async fn fill(&mut self, most: u64) -> Result<bool, Refusal> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| broken())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.bytes.extend_from_slice(&data);
            if self.bytes.len() as u64 > most {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// What was read, with the rest after it.
    fn chained(self, bound: u64, over: &Over) -> reqwest::Body {
        let begun = self.bytes.freeze();
        let left = bound.saturating_sub(begun.len() as u64);
        let rest = Limited::new(self.body, usize::try_from(left).unwrap_or(usize::MAX));
        let first = stream::once(async move { Ok(http_body::Frame::data(begun)) });
        let frames = first.chain(BodyStream::new(rest));
        over.watch(StreamBody::new(frames))
    }
}

fn too_large() -> Refusal {
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge)
}

fn broken() -> Refusal {
    Refusal::bad(Reason::BadBody)
}
