//! A body that is read from a connection, up to its size limit.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bounds::Receiving;
use bytes::Bytes;
use http_body::Body;
use http_body::SizeHint;
use hyper::body::Incoming;

use super::BodyError;

/// A body that is read from a connection.
#[derive(Debug)]
pub struct Arriving {
    incoming: Incoming,
    /// Data that was read and not used.
    unused: Option<Bytes>,
    /// Bytes that the rest may have. A body in chunks doesn't announce its length, so that its size
    /// is known only as it arrives.
    allowed: u64,
    /// Marks the body as incomplete until its end.
    receiving: Option<Receiving>,
}

impl Arriving {
    /// The body of a caller's request, of `limit` bytes at most.
    #[must_use]
    pub fn request(incoming: Incoming, limit: u64, receiving: Option<Receiving>) -> Self {
        Self {
            incoming,
            unused: None,
            allowed: limit,
            receiving,
        }
    }

    /// The body of a response.
    #[must_use]
    pub fn response(incoming: Incoming) -> Self {
        Self::request(incoming, u64::MAX, None)
    }

    /// Polls for the next data. Trailers are left out.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(data) = self.unused.take() {
            return Poll::Ready(Some(Ok(data)));
        }
        loop {
            let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
            if !matches!(frame, Some(Ok(_))) || self.incoming.is_end_stream() {
                self.receiving = None;
            }
            match frame {
                None => return Poll::Ready(None),
                Some(Err(err)) => return Poll::Ready(Some(Err(err.into()))),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.allow(data)));
                    }
                }
            }
        }
    }

    fn allow(&mut self, data: Bytes) -> Result<Bytes, BodyError> {
        let allowed = self.allowed.checked_sub(data.len() as u64);
        self.allowed = allowed.ok_or(BodyError::TooLarge)?;
        Ok(data)
    }

    /// The next data.
    pub async fn data(&mut self) -> Option<Result<Bytes, BodyError>> {
        std::future::poll_fn(|cx| self.poll_data(cx)).await
    }

    /// Returns data that was read, to be read again.
    pub fn put_back(&mut self, data: Bytes) {
        self.unused = Some(data).filter(|data| !data.is_empty());
    }

    /// Whether no more data follows, as far as the declared length tells.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.unused.is_none() && self.incoming.is_end_stream()
    }

    /// The size of what is yet to be read.
    #[must_use]
    pub fn size_hint(&self) -> SizeHint {
        let unused = self.unused.as_ref().map_or(0, |data| data.len() as u64);
        let rest = self.incoming.size_hint();
        rest.exact()
            .map_or_else(SizeHint::new, |rest| SizeHint::with_exact(rest + unused))
    }
}
