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
use quick_error::quick_error;

use crate::pool::Connection;

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
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        self.rest_hint()
    }
}

/// A body on its way to a caller; a long one holds its connection until it ends.
#[derive(Debug)]
pub struct Returned {
    body: Outgoing,
    _connection: Option<Connection>,
}

impl Returned {
    /// A body that is here whole.
    #[must_use]
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self {
            body: Outgoing::Whole(bytes),
            _connection: None,
        }
    }

    /// A long body, the first part of which was read.
    #[must_use]
    pub fn stream(first: Bytes, rest: Incoming, connection: Connection) -> Self {
        Self {
            body: Outgoing::Stream(Some(first), rest),
            _connection: Some(connection),
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
        self.body.step(cx)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.body, Outgoing::Whole(None))
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
    /// More than [`WHOLE`] bytes; the rest is yet to come.
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
