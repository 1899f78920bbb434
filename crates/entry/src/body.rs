//! Bodies on their way: kept where they are short, passed on as they come.

mod spool;

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quarantine::Fingerprint;
use quarantine::Head;
use quick_error::quick_error;

use crate::tail::Tail;

use self::spool::Reader;
pub use self::spool::Spool;

quick_error! {
    /// Why a body ends early.
    #[derive(Debug)]
    pub enum BodyError {
        /// Its sender broke off.
        Incoming(err: hyper::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// Its sender broke off before it was sent again.
        Broken {
            display("the body had broken off")
        }
        /// Nothing more came, and its request's time was up.
        Stalled {
            display("nothing more came in time")
        }
        /// It is sent again elsewhere.
        Superseded {
            display("the body is sent elsewhere")
        }
    }
}

/// Bytes up to which a body is kept. A request that is kept can be sent again, an answer
/// kept whole can be asked for again.
pub const WHOLE: usize = 256 * 1024;

/// A body on its way to an upstream.
#[derive(Debug)]
pub enum Outgoing {
    /// All of it.
    Whole(Option<Bytes>),
    /// Passed on as it comes, and kept.
    Kept(Reader),
    /// What was read, and the rest.
    Stream(Option<Bytes>, Incoming),
}

impl Outgoing {
    /// The same body once more, where it was kept whole.
    #[must_use]
    pub fn again(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Kept(reader) => Some(Self::Kept(reader.again())),
            Self::Stream(..) => None,
        }
    }

    /// Where what was passed on is kept, while more may come.
    #[must_use]
    pub fn spool(&self) -> Option<Spool> {
        match self {
            Self::Kept(reader) => Some(reader.spool().clone()),
            Self::Whole(_) | Self::Stream(..) => None,
        }
    }

    /// What tells the request from others.
    #[must_use]
    pub fn content(&self) -> Content {
        match self {
            Self::Whole(bytes) => Content::Whole(bytes.clone()),
            Self::Kept(reader) => Content::Kept(reader.spool().clone()),
            Self::Stream(first, _) => Content::Begun(first.clone()),
        }
    }

    /// Whether nothing more comes, as far as its length tells.
    #[must_use]
    pub fn is_over(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Kept(reader) => reader.left() == 0,
            Self::Stream(first, rest) => first.is_none() && rest.is_end_stream(),
        }
    }

    /// Bytes of all of it, where that is known.
    #[must_use]
    pub fn known_length(&self) -> Option<u64> {
        match self {
            Self::Whole(bytes) => Some(length(bytes.as_ref())),
            Self::Kept(reader) => Some(reader.length()),
            Self::Stream(..) => None,
        }
    }

    fn step(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (first, rest) = match self {
            Self::Whole(bytes) => (bytes.take(), None),
            Self::Kept(reader) => {
                let part = reader.poll_part(cx);
                return part.map(|part| part.map(|part| part.map(Frame::data)));
            }
            Self::Stream(bytes, rest) => (bytes.take(), Some(rest)),
        };
        match (first, rest) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Some(rest)) => {
                let frame = Pin::new(rest).poll_frame(cx);
                frame.map(|frame| frame.map(|frame| frame.map_err(BodyError::from)))
            }
            (None, None) => Poll::Ready(None),
        }
    }

    fn rest_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(length(bytes.as_ref())),
            Self::Kept(reader) => SizeHint::with_exact(reader.left()),
            Self::Stream(bytes, rest) => match rest.size_hint().exact() {
                Some(left) => SizeHint::with_exact(left + length(bytes.as_ref())),
                None => SizeHint::new(),
            },
        }
    }
}

/// What is kept of a request's body, by which the request is told from others.
#[derive(Clone, Debug)]
pub enum Content {
    /// All of it.
    Whole(Option<Bytes>),
    /// All of it once it has come.
    Kept(Spool),
    /// The beginning of a long one.
    Begun(Option<Bytes>),
}

impl Content {
    /// The request's fingerprint, where all that counts of the body has come.
    #[must_use]
    pub fn known_fingerprint(&self, head: Head) -> Option<Fingerprint> {
        match self {
            Self::Whole(bytes) | Self::Begun(bytes) => {
                let bytes = bytes.as_deref().unwrap_or_default();
                // How much was read of a long one differs from time to time.
                let most = bytes.len().min(WHOLE);
                Some(Fingerprint::new(head, [&bytes[..most]]))
            }
            Self::Kept(spool) => spool.fingerprint(head),
        }
    }

    /// The request's fingerprint, once as much of the body has come as counts; none where it
    /// breaks off before.
    pub async fn fingerprint(&self, head: Head) -> Option<Fingerprint> {
        if let Self::Kept(spool) = self {
            spool.fill().await;
        }
        self.known_fingerprint(head)
    }
}

fn length(bytes: Option<&Bytes>) -> u64 {
    bytes.map_or(0, |bytes| bytes.remaining() as u64)
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.step(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.is_over()
    }

    fn size_hint(&self) -> SizeHint {
        self.rest_hint()
    }
}

/// A body on its way to a caller; one that is yet to come holds its connection until it
/// ends.
pub struct Returned {
    body: Outgoing,
    tail: Option<Tail>,
}

impl Returned {
    /// A body that is here whole.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            body: Outgoing::Whole(bytes),
            tail: None,
        }
    }

    /// A body of which `first` was read.
    #[must_use]
    pub fn stream(first: Bytes, rest: Incoming, tail: Tail) -> Self {
        let first = Some(first).filter(|first| !first.is_empty());
        Self {
            body: Outgoing::Stream(first, rest),
            tail: Some(tail),
        }
    }

    /// Takes what a step led to: a part, the end, or that the sender broke off.
    fn note(&mut self, step: Option<&Result<Frame<Bytes>, BodyError>>) {
        match step {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                if let Some(tail) = &mut self.tail {
                    tail.came(bytes);
                }
                // The last part of a body whose length was told; nobody asks for more.
                if self.body.is_over() {
                    self.end();
                }
            }
            None => self.end(),
            Some(Err(err)) => {
                if let Some(tail) = self.tail.take() {
                    tail.response_aborted(err);
                }
            }
        }
    }

    fn end(&mut self) {
        if let Some(tail) = self.tail.take() {
            tail.whole();
        }
    }
}

impl Body for Returned {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let step = match self.body.step(cx) {
            Poll::Ready(step) => step,
            Poll::Pending => {
                let stalled = self.tail.as_mut().map(|tail| tail.poll_stalled(cx));
                if stalled != Some(Poll::Ready(())) {
                    return Poll::Pending;
                }
                Some(Err(BodyError::Stalled))
            }
        };
        self.note(step.as_ref());
        Poll::Ready(step)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_over()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.rest_hint()
    }
}

/// What was read of a body.
#[derive(Debug)]
pub enum Read {
    /// It ended.
    Whole(Bytes),
    /// The rest is yet to come.
    Part(Bytes, Incoming),
}

/// A request's body as it is passed on: while it comes, where its length is told, and
/// else once it is here, so that an instance is told its length.
///
/// # Errors
///
/// Fails when one that is read first breaks off.
pub async fn outgoing(incoming: Incoming) -> Result<Outgoing, hyper::Error> {
    let told = incoming.size_hint().exact();
    if let Some(length) = told.filter(|length| (1..=WHOLE as u64).contains(length)) {
        return Ok(Outgoing::Kept(Reader::new(Spool::new(incoming), length)));
    }
    Ok(match read(incoming).await? {
        Read::Whole(bytes) if bytes.is_empty() => Outgoing::Whole(None),
        Read::Whole(bytes) => Outgoing::Whole(Some(bytes)),
        Read::Part(first, rest) => Outgoing::Stream(Some(first), rest),
    })
}

/// Reads what has come of a body already.
///
/// # Errors
///
/// Fails when it breaks off.
pub async fn begin(mut body: Incoming) -> Result<Read, hyper::Error> {
    let mut first = BytesMut::new();
    loop {
        let frame = std::future::poll_fn(|cx| Poll::Ready(Pin::new(&mut body).poll_frame(cx)));
        match frame.await {
            Poll::Pending => return Ok(Read::Part(first.freeze(), body)),
            Poll::Ready(None) => return Ok(Read::Whole(first.freeze())),
            Poll::Ready(Some(frame)) => {
                if let Ok(data) = frame?.into_data() {
                    first.extend_from_slice(&data);
                }
            }
        }
        if first.len() > WHOLE {
            return Ok(Read::Part(first.freeze(), body));
        }
    }
}

/// Reads a body up to [`WHOLE`] bytes.
///
/// # Errors
///
/// Fails when it breaks off.
pub async fn read(mut body: Incoming) -> Result<Read, hyper::Error> {
    let mut first: Option<Bytes> = None;
    let mut more = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if first.is_none() && more.is_empty() {
            first = Some(data);
        } else {
            if let Some(first) = first.take() {
                more.extend_from_slice(&first);
            }
            more.extend_from_slice(&data);
        }
        if more.len() > WHOLE {
            return Ok(Read::Part(more.freeze(), body));
        }
    }
    Ok(Read::Whole(first.unwrap_or_else(|| more.freeze())))
}
