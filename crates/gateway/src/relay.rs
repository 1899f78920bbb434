//! Relays an upstream's answer: whole, or with a failure that the caller sees.

use std::pin::Pin;

use base::header;
use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Version;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::headers;

/// Pieces of an answer that wait for the caller.
pub const PIECES: usize = 4;

quick_error! {
    /// Why an answer broke off.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Broken {
        /// The upstream's answer was short.
        Short {
            display("the upstream's answer broke off")
        }
        /// The deadline passed.
        Deadline {
            display("the deadline passed")
        }
        /// The gateway's task for the call is gone.
        Lost {
            display("the call was given up")
        }
    }
}

/// The pieces of an answer's body, in order.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, reqwest::Error>> + Send>>;

/// An upstream's answer, its head read.
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// All its headers.
    pub headers: HeaderMap,
    /// Its end can be told from a connection that broke.
    pub framed: bool,
    /// Its body.
    pub body: Pieces,
}

impl Answer {
    /// Takes a client's response over.
    #[must_use]
    pub fn new(mut response: reqwest::Response, method: &Method) -> Self {
        let framed = is_framed(&response, method);
        Self {
            status: response.status(),
            headers: std::mem::take(response.headers_mut()),
            framed,
            body: response.bytes_stream().boxed(),
        }
    }

    /// Whether it refused before any work.
    #[must_use]
    pub fn is_shed(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE && self.headers.contains_key(header::SHED)
    }

    /// Whether it is the answer to another request than `id`, as far as it says so.
    #[must_use]
    pub fn is_foreign(&self, id: &str) -> bool {
        let mut echoes = self.headers.get_all(header::REQUEST_ID).iter();
        echoes.any(|echo| echo.as_bytes() != id.as_bytes())
    }
}

/// An answer that ends with its connection can't be told from one cut short.
fn is_framed(response: &reqwest::Response, method: &Method) -> bool {
    let status = response.status();
    response.version() == Version::HTTP_2
        || *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING)
}

/// An answer on its way to the caller.
pub struct Relayed {
    /// Its status.
    pub status: StatusCode,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Receiver,
}

impl Relayed {
    /// The head of `answer` for the caller, with the way to send the body by.
    #[must_use]
    pub fn begin(answer: &Answer) -> (mpsc::Sender<Result<Bytes, Broken>>, Self) {
        let (send, receive) = mpsc::channel(PIECES);
        let relayed = Self {
            status: answer.status,
            headers: headers::of_answer(&answer.headers),
            body: Receiver::new(receive),
        };
        (send, relayed)
    }
}

/// The caller's end of an answer's body.
///
/// The sender ends a whole body with an empty piece. A channel that closes
/// without one is a body cut short, whatever became of the sender.
pub struct Receiver {
    pieces: mpsc::Receiver<Result<Bytes, Broken>>,
    ended: bool,
}

impl Receiver {
    /// The end of the channel `pieces`.
    #[must_use]
    pub fn new(pieces: mpsc::Receiver<Result<Bytes, Broken>>) -> Self {
        Self {
            pieces,
            ended: false,
        }
    }

    /// A body that is at hand.
    #[must_use]
    pub fn whole(body: Bytes) -> Self {
        let (send, receive) = mpsc::channel(2);
        for piece in [body, Bytes::new()] {
            // There is room for both; an empty body ends at once.
            let _ = send.try_send(Ok(piece));
        }
        Self::new(receive)
    }
}

impl Stream for Receiver {
    type Item = Result<Bytes, Broken>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        use std::task::Poll;
        if self.ended {
            return Poll::Ready(None);
        }
        let piece = futures::ready!(self.pieces.poll_recv(cx));
        self.ended = !matches!(&piece, Some(Ok(bytes)) if !bytes.is_empty());
        match piece {
            Some(Ok(bytes)) if bytes.is_empty() => Poll::Ready(None),
            Some(piece) => Poll::Ready(Some(piece)),
            None => Poll::Ready(Some(Err(Broken::Lost))),
        }
    }
}
