//! A request's body that is forwarded as it arrives, and buffered for retries.
//!
//! On a slow link a body takes longer to arrive than an instance takes to be selected. Reading
//! it completely before forwarding it would transfer it twice in sequence.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bounds::Buffer;
use bytes::Bytes;
use quarantine::Fingerprint;
use quarantine::Head;

use super::Arriving;
use super::BodyError;

/// The received part of a body, and the source of the rest.
///
/// Invariant: only the newest reader that was ever polled reads from `arriving`.
#[derive(Debug)]
struct Source {
    arriving: Arriving,
    buffer: Buffer,
    /// Data that has arrived and isn't in the buffer yet.
    arrived: Option<Bytes>,
    /// How the body ended; `None` while it may continue.
    end: Option<End>,
    /// The number of the newest reader that was polled.
    reader: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    OverMemory,
}

/// A body that is buffered as it arrives.
#[derive(Clone, Debug)]
pub struct Spool(Arc<Mutex<Source>>);

impl Spool {
    /// Buffers `arriving` in `buffer`.
    #[must_use]
    pub fn new(arriving: Arriving, buffer: Buffer) -> Self {
        Self(Arc::new(Mutex::new(Source {
            arriving,
            buffer,
            arrived: None,
            end: None,
            reader: 0,
        })))
    }

    /// Whether the complete body has arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.source().end == Some(End::Whole)
    }

    /// Whether there was no memory for the rest of the body.
    #[must_use]
    pub fn is_over_memory(&self) -> bool {
        self.source().end == Some(End::OverMemory)
    }

    /// The request's fingerprint; `None` while the body may continue.
    #[must_use]
    pub fn fingerprint(&self, head: Head) -> Option<Fingerprint> {
        let source = self.source();
        (source.end == Some(End::Whole)).then(|| Fingerprint::new(head, source.buffer.blocks()))
    }

    /// Buffers the rest of the body while nobody reads it. Completes when the body ends or
    /// breaks off.
    pub async fn fill(&self) {
        std::future::poll_fn(|cx| {
            let mut source = self.source();
            while ready!(source.poll_more(cx)).is_some_and(|more| more.is_ok()) {}
            Poll::Ready(())
        })
        .await;
    }

    fn source(&self) -> MutexGuard<'_, Source> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Source {
    /// Buffers the next data. Yields `None` at the end of a complete body.
    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<(), BodyError>>> {
        match self.end {
            Some(End::Whole) => return Poll::Ready(None),
            Some(End::Broken) => return Poll::Ready(Some(Err(BodyError::Broken))),
            Some(End::OverMemory) => return Poll::Ready(Some(Err(BodyError::OverMemory))),
            None => {}
        }
        let data = match self.arrived.take() {
            Some(data) => data,
            None => match ready!(self.arriving.poll_data(cx)) {
                None => {
                    self.end = Some(End::Whole);
                    return Poll::Ready(None);
                }
                Some(Err(err)) => {
                    self.end = Some(End::Broken);
                    return Poll::Ready(Some(Err(err)));
                }
                Some(Ok(data)) => data,
            },
        };
        match self.buffer.poll_push(cx, &data) {
            Poll::Pending => {
                self.arrived = Some(data);
                Poll::Pending
            }
            Poll::Ready(Ok(())) => Poll::Ready(Some(Ok(()))),
            Poll::Ready(Err(_)) => {
                self.end = Some(End::OverMemory);
                Poll::Ready(Some(Err(BodyError::OverMemory)))
            }
        }
    }
}

/// Reads a spooled body from its beginning.
#[derive(Debug)]
pub struct Reader {
    spool: Spool,
    number: u32,
    /// The number of bytes that were read.
    position: usize,
    /// The length of the whole body in bytes.
    length: u64,
    remaining: u64,
}

impl Reader {
    /// The first reader of a body of `length` bytes.
    #[must_use]
    pub fn new(spool: Spool, length: u64) -> Self {
        Self {
            spool,
            number: 0,
            position: 0,
            length,
            remaining: length,
        }
    }

    /// A new reader from the beginning. Once it is polled, earlier readers fail.
    #[must_use]
    pub fn replay(&self) -> Self {
        Self {
            number: self.number + 1,
            ..Self::new(self.spool.clone(), self.length)
        }
    }

    /// The spool that it reads.
    #[must_use]
    pub fn spool(&self) -> &Spool {
        &self.spool
    }

    /// The length of the whole body in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The number of bytes that are yet to be read.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        self.remaining
    }

    /// Polls for the next part. Yields `None` at the end.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut source = self.spool.source();
        if self.number < source.reader {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        source.reader = self.number;
        if self.position == source.buffer.len() {
            match ready!(source.poll_more(cx)) {
                None => return Poll::Ready(None),
                Some(Err(err)) => return Poll::Ready(Some(Err(err))),
                Some(Ok(())) => {}
            }
        }
        let part = Bytes::copy_from_slice(source.buffer.part(self.position));
        self.position += part.len();
        self.remaining = self.remaining.saturating_sub(part.len() as u64);
        // A body with a declared length isn't polled beyond that length.
        if self.remaining == 0 {
            source.end = Some(End::Whole);
        }
        Poll::Ready(Some(Ok(part)))
    }
}
