//! Request and response bodies, which are forwarded as they arrive. Short request bodies are
//! buffered for retries.

mod arriving;
mod read;
mod spool;

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bounds::RequestGuard;
use bytes::Buf;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use quarantine::Fingerprint;
use quarantine::Head;
use quick_error::quick_error;

use crate::stream_tracker::StreamTracker;

pub use self::arriving::Arriving;
pub use self::read::ReadBody;
pub use self::read::discard;
pub use self::read::read_available;
pub use self::read::read_response;
pub use self::read::request_body;
use self::spool::Reader;
pub use self::spool::Spool;

quick_error! {
    /// Why a body ended early.
    #[derive(Debug)]
    pub enum BodyError {
        /// Its sender broke off.
        Incoming(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// It exceeds the limit of the route table.
        TooLarge {
            display("body exceeds the limit")
        }
        /// The process has no memory left for it.
        OverMemory {
            display("no memory is left for the request body")
        }
        /// Its sender broke off during an earlier attempt.
        Broken {
            display("request body ended before it was complete")
        }
        /// No data arrived for too long after the request's deadline.
        Stalled {
            display("response body stalled past the request deadline")
        }
        /// A newer attempt reads the body.
        Superseded {
            display("request body superseded by a newer attempt")
        }
    }
}

/// Maximum size of a body that is buffered. A buffered request can be retried, and a request
/// whose response is buffered can be retried if the response breaks off.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// A body that is forwarded.
#[derive(Debug)]
pub enum ForwardedBody {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Forwarded as it arrives, and buffered.
    Spooled(Reader),
    /// The bytes that were read already, and the rest.
    Stream(Option<Bytes>, Box<Arriving>, Completion),
}

/// Whether a body that is not buffered has been passed on completely.
#[derive(Clone, Debug, Default)]
pub struct Completion(Arc<AtomicBool>);

/// How far a request's body has arrived.
#[derive(Clone, Debug)]
pub enum Transfer {
    /// Completely.
    Complete,
    /// As far as the spool tells.
    Spooled(Spool),
    /// As far as it has been passed on.
    Streamed(Completion),
}

impl Transfer {
    /// Whether the complete body has arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Complete => true,
            Self::Spooled(spool) => spool.is_complete(),
            Self::Streamed(Completion(complete)) => complete.load(Ordering::Relaxed),
        }
    }
}

impl ForwardedBody {
    /// The same body from its beginning, if it is buffered.
    #[must_use]
    pub fn replay(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Spooled(reader) => Some(Self::Spooled(reader.replay())),
            Self::Stream(..) => None,
        }
    }

    /// The spool of a body that may still be arriving.
    #[must_use]
    pub fn spool(&self) -> Option<Spool> {
        match self {
            Self::Spooled(reader) => Some(reader.spool().clone()),
            Self::Whole(_) | Self::Stream(..) => None,
        }
    }

    /// Whether there was no memory for the rest of the body.
    #[must_use]
    pub fn is_over_memory(&self) -> bool {
        matches!(self, Self::Spooled(reader) if reader.spool().is_over_memory())
    }

    /// Follows the transfer of the body.
    #[must_use]
    pub fn transfer(&self) -> Transfer {
        match self {
            Self::Whole(_) => Transfer::Complete,
            Self::Spooled(reader) => Transfer::Spooled(reader.spool().clone()),
            Self::Stream(_, _, completion) => Transfer::Streamed(completion.clone()),
        }
    }

    /// The part of the body that identifies the request.
    #[must_use]
    pub fn content(&self) -> Content {
        match self {
            Self::Whole(bytes) => Content::Whole(bytes.clone()),
            Self::Spooled(reader) => Content::Spooled(reader.spool().clone()),
            Self::Stream(first, ..) => Content::Prefix(first.clone()),
        }
    }

    /// Whether no more data follows, as far as the declared length tells.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Spooled(reader) => reader.remaining() == 0,
            Self::Stream(first, rest, _) => first.is_none() && rest.is_end(),
        }
    }

    /// The length of the whole body in bytes, if it is known.
    #[must_use]
    pub fn known_length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(length(bytes.as_ref())),
            Self::Spooled(reader) => Some(reader.length()),
            Self::Stream(..) => None,
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = self.poll_next(cx);
        if let Self::Stream(first, rest, Completion(complete)) = self
            && first.is_none()
            && (rest.is_end() || matches!(polled, Poll::Ready(None)))
        {
            complete.store(true, Ordering::Relaxed);
        }
        polled
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (first, rest) = match self {
            Self::Whole(bytes) => (bytes.take(), None),
            Self::Spooled(reader) => {
                let part = reader.poll_part(cx);
                return part.map(|part| part.map(|part| part.map(Frame::data)));
            }
            Self::Stream(bytes, rest, _) => (bytes.take(), Some(rest)),
        };
        match (first, rest) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Some(rest)) => {
                let data = rest.poll_data(cx);
                data.map(|data| data.map(|data| data.map(Frame::data)))
            }
            (None, None) => Poll::Ready(None),
        }
    }

    fn remaining_size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(length(bytes.as_ref())),
            Self::Spooled(reader) => SizeHint::with_exact(reader.remaining()),
            Self::Stream(bytes, rest, _) => match rest.size_hint().exact() {
                Some(remaining) => SizeHint::with_exact(remaining + length(bytes.as_ref())),
                None => SizeHint::new(),
            },
        }
    }
}

/// The part of a request's body that its fingerprint is computed from.
#[derive(Clone, Debug)]
pub enum Content {
    /// The complete body.
    Whole(Option<Bytes>),
    /// The complete body, once it has arrived.
    Spooled(Spool),
    /// The first bytes of a long body.
    Prefix(Option<Bytes>),
}

impl Content {
    /// The request's fingerprint, if the part of the body that it covers has arrived.
    #[must_use]
    pub fn known_fingerprint(&self, head: Head) -> Option<Fingerprint> {
        match self {
            Self::Whole(bytes) | Self::Prefix(bytes) => {
                let bytes = bytes.as_deref().unwrap_or_default();
                // The number of bytes that were read of a long body varies.
                let counted = bytes.len().min(MAX_BUFFERED_BYTES);
                Some(Fingerprint::new(head, [&bytes[..counted]]))
            }
            Self::Spooled(spool) => spool.fingerprint(head),
        }
    }

    /// The request's fingerprint, once the part of the body that it covers has arrived. Returns
    /// `None` if the body breaks off before.
    pub async fn fingerprint(&self, head: Head) -> Option<Fingerprint> {
        if let Self::Spooled(spool) = self {
            spool.fill().await;
        }
        self.known_fingerprint(head)
    }
}

fn length(bytes: Option<&Bytes>) -> u64 {
    bytes.map_or(0, |bytes| bytes.remaining() as u64)
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.poll_data(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.is_exhausted()
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_size_hint()
    }
}

/// The body of a response. A streamed one keeps its upstream connection until it ends.
pub struct ResponseBody {
    body: ForwardedBody,
    stream_tracker: Option<StreamTracker>,
    /// The request that it answers, until it has been passed on.
    request: Option<RequestGuard>,
}

impl ResponseBody {
    /// A complete body.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            body: ForwardedBody::Whole(bytes),
            stream_tracker: None,
            request: None,
        }
    }

    /// A body whose beginning `first` was read already.
    #[must_use]
    pub fn stream(first: Bytes, rest: Arriving, stream_tracker: StreamTracker) -> Self {
        let first = Some(first).filter(|first| !first.is_empty());
        Self {
            body: ForwardedBody::Stream(first, Box::new(rest), Completion::default()),
            stream_tracker: Some(stream_tracker),
            request: None,
        }
    }

    /// Keeps `request` open until the body has been passed on.
    pub fn hold(&mut self, request: RequestGuard) {
        self.request = Some(request);
    }

    /// Records the result of a poll: data, the end, or an error.
    fn record_frame(&mut self, frame: Option<&Result<Frame<Bytes>, BodyError>>) {
        match frame {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                if let Some(stream_tracker) = &mut self.stream_tracker {
                    stream_tracker.record_received(bytes);
                }
                // The last bytes of a body with a declared length: it isn't polled again.
                if self.body.is_exhausted() {
                    self.record_end();
                }
            }
            None => self.record_end(),
            Some(Err(err)) => {
                if let Some(stream_tracker) = self.stream_tracker.take() {
                    stream_tracker.record_error(err);
                }
            }
        }
    }

    fn record_end(&mut self) {
        if let Some(stream_tracker) = self.stream_tracker.take() {
            stream_tracker.complete();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = match self.body.poll_data(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let stalled = self
                    .stream_tracker
                    .as_mut()
                    .map(|stream_tracker| stream_tracker.poll_stalled(cx));
                if stalled != Some(Poll::Ready(())) {
                    return Poll::Pending;
                }
                Some(Err(BodyError::Stalled))
            }
        };
        self.record_frame(frame.as_ref());
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_exhausted()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.remaining_size_hint()
    }
}
