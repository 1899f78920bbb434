//! Receives request bodies. A body that is small or belongs to a class that needs
//! it is buffered, so that it can be sent again; other bodies are streamed.
//!
//! Invariant: buffered bodies are charged to the account of the process before they are kept,
//! which bounds the memory that callers can occupy.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bounds::Buffer;
use bounds::Receiving;
use bounds::RequestGuard;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use salvo::http::ReqBody;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::request_head::RequestHead;

type BoxError = Box<dyn std::error::Error + Send + std::marker::Sync>;

/// Time after which a caller may retry when there is no memory: callers that have stopped sending
/// give way by then.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a streamed body breaks off while the gateway stops.
const TOO_LATE: &str = "the gateway stops before the request could be answered";

/// Which bodies are buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Buffering {
    /// Every body, up to the size limit of the service.
    Always,
    /// Bodies of at most this many bytes.
    UpTo(u64),
}

/// A request body to send to upstreams.
pub enum RequestBody {
    /// Buffered, so that it can be sent repeatedly.
    Buffered(Bytes),
    /// Streamed, so that it can be sent only once.
    Streamed(StreamedBody),
}

/// A body that is too large to be buffered.
pub struct StreamedBody {
    // `None` once it was sent.
    body: Option<reqwest::Body>,
    limit: LimitFlag,
    // The bytes that were read before the rest was streamed.
    first: Bytes,
}

/// Flag that is set when a streamed body exceeds the size limit.
#[derive(Clone, Debug, Default)]
pub struct LimitFlag(Arc<AtomicBool>);

impl LimitFlag {
    /// Wraps `body` so that the flag is set when the size limit is exceeded.
    fn watch<B>(&self, body: B) -> reqwest::Body
    where
        B: http_body::Body<Data = Bytes, Error = BoxError> + Send + Sync + 'static,
    {
        let exceeded = self.0.clone();
        reqwest::Body::wrap(body.map_err(move |err| {
            if err.is::<LengthLimitError>() {
                exceeded.store(true, Ordering::Relaxed);
            }
            err
        }))
    }
}

impl RequestBody {
    /// Whether the body can be sent again.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(..))
    }

    /// The bytes of a buffered body.
    #[must_use]
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streamed(_) => None,
        }
    }

    /// The beginning of the body, which identifies the request, up to `max_bytes`.
    #[must_use]
    pub fn prefix(&self, max_bytes: u64) -> &[u8] {
        let first = match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed(streamed) => &streamed.first,
        };
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        &first[..first.len().min(max_bytes)]
    }

    /// Whether a streamed body exceeded the size limit.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        matches!(self, Self::Streamed(body) if body.limit.0.load(Ordering::Relaxed))
    }

    /// The body for one attempt, or `None` if a streamed body was already sent.
    pub fn take(&mut self) -> Option<reqwest::Body> {
        match self {
            Self::Buffered(bytes) => Some(bytes.clone().into()),
            Self::Streamed(streamed) => streamed.body.take(),
        }
    }
}

/// Tells whether it is too late to pass more of a request on, as the gateway stops.
pub type IsTooLate = Box<dyn Fn() -> bool + Send + Sync>;

/// Receives `body` until `deadline`, and buffers it if `buffering` requires it. A body that is
/// streamed breaks off once it `is_too_late`.
///
/// # Errors
///
/// Returns a refusal if the body is too large, truncated or too slow, or if there is no memory for
/// it.
pub async fn receive_body(
    body: ReqBody,
    head: &RequestHead,
    buffering: Buffering,
    request: &RequestGuard,
    deadline: Instant,
    is_too_late: IsTooLate,
) -> Result<RequestBody, Refusal> {
    if http_body::Body::is_end_stream(&body) {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    let max_bytes = head.max_body_bytes();
    let buffer_limit = match buffering {
        Buffering::Always => max_bytes,
        Buffering::UpTo(bytes) => bytes.min(max_bytes),
    };
    let expected = head.length.and_then(|length| usize::try_from(length).ok());
    let receiving = request.receiving();
    let mut reader = BodyReader {
        body,
        buffer: Buffer::new(request.client().charge(), expected),
    };
    let is_complete = timeout_at(deadline, reader.fill(buffer_limit))
        .await
        .map_err(|_| Refusal::not_run(StatusCode::REQUEST_TIMEOUT, Reason::BadBody))??;
    if is_complete {
        return Ok(RequestBody::Buffered(reader.buffer.into_bytes()));
    }
    if buffer_limit == max_bytes {
        return Err(too_large());
    }
    Ok(RequestBody::Streamed(reader.into_stream(
        max_bytes,
        receiving,
        is_too_late,
    )))
}

struct BodyReader {
    body: ReqBody,
    buffer: Buffer,
}

impl BodyReader {
    /// Reads until the end or until more than `max_bytes` were read; returns whether the
    /// end was reached.
    async fn fill(&mut self, max_bytes: u64) -> Result<bool, Refusal> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| truncated())?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.buffer.push(&data).await.map_err(|_| out_of_memory())?;
            if self.buffer.len() as u64 > max_bytes {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Streams the bytes read so far followed by the rest of the body, which is incomplete until it
    /// was read.
    fn into_stream(
        self,
        max_bytes: u64,
        receiving: Receiving,
        is_too_late: IsTooLate,
    ) -> StreamedBody {
        let first = self.buffer.into_bytes();
        let remaining = max_bytes.saturating_sub(first.len() as u64);
        let rest = Limited::new(self.body, usize::try_from(remaining).unwrap_or(usize::MAX));
        let prefix = first.clone();
        let prefix = stream::once(async move { Ok(http_body::Frame::data(prefix)) });
        let rest = BodyStream::new(rest).map(move |frame| {
            let _incomplete = &receiving;
            if is_too_late() {
                return Err(TOO_LATE.into());
            }
            frame
        });
        let frames = prefix.chain(rest);
        let limit = LimitFlag::default();
        StreamedBody {
            body: Some(limit.watch(StreamBody::new(frames))),
            limit,
            first,
        }
    }
}

/// Refusal of a request for which there is no memory.
#[must_use]
pub fn out_of_memory() -> Refusal {
    Refusal::unavailable(Reason::Memory, MEMORY_RETRY_AFTER)
}

fn too_large() -> Refusal {
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, Reason::BodyTooLarge)
}

fn truncated() -> Refusal {
    Refusal::bad_request(Reason::BadBody)
}
