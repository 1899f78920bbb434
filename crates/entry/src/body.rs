//! Bodies on their way: kept whole where they are short, passed on as they come
//! where they are long.

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

use crate::pool::Connection;

/// Bytes up to which a body is read whole before it is passed on. A request
/// kept whole can be sent again, an answer kept whole can be asked for again;
/// those of ordinary calls have some 5 KB, at most 30 KB.
pub const WHOLE: usize = 256 * 1024;

/// A body on its way to an upstream.
#[derive(Debug)]
pub enum Outgoing {
    /// All of it.
    Whole(Option<Bytes>),
    /// What was read, and the rest.
    Stream(Option<Bytes>, Incoming),
}

impl Outgoing {
    /// The same body once more, where it was kept whole.
    #[must_use]
    pub fn again(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream(..) => None,
        }
    }

    fn step(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let (first, rest) = match self {
            Self::Whole(bytes) => (bytes.take(), None),
            Self::Stream(bytes, rest) => (bytes.take(), Some(rest)),
        };
        match (first, rest) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Some(rest)) => Pin::new(rest).poll_frame(cx),
            (None, None) => Poll::Ready(None),
        }
    }

    fn rest_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(length(bytes.as_ref())),
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
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
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
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
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
