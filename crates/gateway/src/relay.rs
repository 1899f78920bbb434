//! Relays an upstream's response to the caller. A truncated response ends with a
//! failure that the caller can detect.

use std::pin::Pin;

use base::header;
use bytes::Bytes;
use correlate::Owner;
use correlate::Verdict;
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

use crate::correlation;
use crate::headers;

/// Number of response chunks buffered for the caller, each of the size of a read buffer at most.
pub const CHUNK_BUFFER: usize = 1;

quick_error! {
    /// Reason for which a response body ended early.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The upstream's response was truncated.
        Truncated {
            display("the upstream's response was truncated")
        }
        /// The deadline passed.
        Deadline {
            display("the deadline passed before the response was complete")
        }
        /// The gateway's task for the call ended early.
        CallAborted {
            display("the call was aborted before the response was complete")
        }
    }
}

/// Chunks of a response body, in order.
pub type ResponseChunks = Pin<Box<dyn Stream<Item = Result<Bytes, reqwest::Error>> + Send>>;

/// An upstream's response whose head was received.
pub struct UpstreamResponse {
    /// Status code.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Whether the end of the body can be told from a broken connection.
    pub framed: bool,
    /// The length that is stated to the caller, in bytes.
    pub length: Option<u64>,
    /// Body.
    pub body: ResponseChunks,
}

impl UpstreamResponse {
    /// Wraps a response of the HTTP client.
    #[must_use]
    pub fn new(mut response: reqwest::Response, method: &Method) -> Self {
        let framed = is_framed(&response, method);
        let length = length(&response, method);
        Self {
            status: response.status(),
            length,
            headers: std::mem::take(response.headers_mut()),
            framed,
            body: response.bytes_stream().boxed(),
        }
    }

    /// What the head says of the request `id`, which was sent last.
    #[must_use]
    pub fn judge(&self, id: &str) -> Verdict {
        judge_head(self.status, &self.headers, id)
    }
}

/// What the head of an instance's response says of the request `id`, which was sent last.
#[must_use]
pub fn judge_head(status: StatusCode, headers: &HeaderMap, id: &str) -> Verdict {
    let is_shed = status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(header::SHED);
    let is_refusal = is_shed || status == StatusCode::MISDIRECTED_REQUEST;
    match correlate::judge(correlation::owner(id, headers), status, is_shed) {
        // Upstreams have to name the request in refusals only.
        Verdict::Foreign(Owner::Unnamed) if !is_refusal => Verdict::Answered,
        verdict => verdict,
    }
}

/// Whether the body has a defined end. One that ends with its connection can't be
/// told from a truncated one, and an interim response ends nothing.
fn is_framed(response: &reqwest::Response, method: &Method) -> bool {
    let status = response.status();
    if status.is_informational() {
        return false;
    }
    response.version() == Version::HTTP_2
        || *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING)
}

/// The length of the body, if it is known, or the one that is stated of a body that isn't sent.
fn length(response: &reqwest::Response, method: &Method) -> Option<u64> {
    let status = response.status();
    if *method == Method::HEAD || status == StatusCode::NOT_MODIFIED {
        framing::stated_length(method, status, response.headers())
    } else if status == StatusCode::NO_CONTENT {
        None
    } else {
        response.content_length()
    }
}

/// A response to be sent to the caller.
pub struct RelayedResponse {
    /// Status code.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: ResponseBody,
}

impl RelayedResponse {
    /// Creates a response with the head of `response`, and the sender for its body.
    #[must_use]
    pub fn begin(response: &UpstreamResponse) -> (mpsc::Sender<Result<Bytes, BodyError>>, Self) {
        let (send, receive) = mpsc::channel(CHUNK_BUFFER);
        let relayed = Self {
            status: response.status,
            headers: headers::forwarded_response(&response.headers, response.length),
            body: ResponseBody::new(receive),
        };
        (send, relayed)
    }
}

/// Receiving end of a response body.
///
/// The sender marks the end of a complete body with an empty chunk. If the channel
/// closes without that mark, the body is truncated.
pub struct ResponseBody {
    chunks: mpsc::Receiver<Result<Bytes, BodyError>>,
    ended: bool,
}

impl ResponseBody {
    /// Creates a body from the receiver `chunks`.
    #[must_use]
    pub fn new(chunks: mpsc::Receiver<Result<Bytes, BodyError>>) -> Self {
        Self {
            chunks,
            ended: false,
        }
    }

    /// Creates a complete body from bytes.
    #[must_use]
    pub fn from_bytes(body: Bytes) -> Self {
        let (send, receive) = mpsc::channel(2);
        for chunk in [body, Bytes::new()] {
            // The channel has room for both chunks.
            let _ = send.try_send(Ok(chunk));
        }
        Self::new(receive)
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, BodyError>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        use std::task::Poll;
        if self.ended {
            return Poll::Ready(None);
        }
        let chunk = futures::ready!(self.chunks.poll_recv(cx));
        self.ended = !matches!(&chunk, Some(Ok(bytes)) if !bytes.is_empty());
        match chunk {
            Some(Ok(bytes)) if bytes.is_empty() => Poll::Ready(None),
            Some(chunk) => Poll::Ready(Some(chunk)),
            None => Poll::Ready(Some(Err(BodyError::CallAborted))),
        }
    }
}
