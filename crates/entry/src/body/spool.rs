//! A request's body that is passed on while it comes, and kept so that it can be sent again.
//!
//! On a thin link a body takes longer to arrive than an instance takes to be chosen: read
//! whole before it is passed on, it would be on the way twice, one after the other.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use hyper::body::Incoming;
use quarantine::Fingerprint;
use quarantine::Head;

use super::BodyError;

/// What has come of a body, and where the rest comes from.
///
/// Invariant: one reader at a time takes from `incoming`, the newest that was ever polled.
#[derive(Debug)]
struct Source {
    incoming: Incoming,
    kept: Vec<Bytes>,
    /// How it ended; none while more comes.
    end: Option<End>,
    /// The newest reader that was polled.
    reader: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
}

/// A body that is kept as it comes.
#[derive(Clone, Debug)]
pub struct Spool(Arc<Mutex<Source>>);

impl Spool {
    /// Keeps `incoming`.
    #[must_use]
    pub fn new(incoming: Incoming) -> Self {
        Self(Arc::new(Mutex::new(Source {
            incoming,
            kept: Vec::new(),
            end: None,
            reader: 0,
        })))
    }

    /// Whether all of it has come.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.source().end == Some(End::Whole)
    }

    /// The request's fingerprint; none while more of the body may come.
    #[must_use]
    pub fn fingerprint(&self, head: Head) -> Option<Fingerprint> {
        let source = self.source();
        let parts = source.kept.iter().map(|part| &part[..]);
        (source.end == Some(End::Whole)).then(|| Fingerprint::new(head, parts))
    }

    /// Takes what comes while nobody passes it on; ends when nothing more comes.
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
    /// Takes one more part; none at the end of a whole body.
    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<(), BodyError>>> {
        loop {
            match self.end {
                Some(End::Whole) => return Poll::Ready(None),
                Some(End::Broken) => return Poll::Ready(Some(Err(BodyError::Broken))),
                None => {}
            }
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                None => self.end = Some(End::Whole),
                Some(Err(err)) => {
                    self.end = Some(End::Broken);
                    return Poll::Ready(Some(Err(err.into())));
                }
                Some(Ok(frame)) => {
                    // Trailers aren't passed on.
                    if let Ok(data) = frame.into_data() {
                        self.kept.push(data);
                        return Poll::Ready(Some(Ok(())));
                    }
                }
            }
        }
    }
}

/// Passes a body on from its beginning.
#[derive(Debug)]
pub struct Reader {
    spool: Spool,
    number: u32,
    next: usize,
    /// All of it, in bytes.
    length: u64,
    left: u64,
}

impl Reader {
    /// The first one, of a body of `length` bytes.
    #[must_use]
    pub fn new(spool: Spool, length: u64) -> Self {
        Self {
            spool,
            number: 0,
            next: 0,
            length,
            left: length,
        }
    }

    /// One that begins again; from its first poll on, earlier ones get nothing more.
    #[must_use]
    pub fn replay(&self) -> Self {
        Self {
            number: self.number + 1,
            ..Self::new(self.spool.clone(), self.length)
        }
    }

    /// What it reads.
    #[must_use]
    pub fn spool(&self) -> &Spool {
        &self.spool
    }

    /// All of the body, in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Bytes that are yet to be passed on.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.left
    }

    /// The next part; none at the end.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut source = self.spool.source();
        if self.number < source.reader {
            return Poll::Ready(Some(Err(BodyError::Superseded)));
        }
        source.reader = self.number;
        if self.next == source.kept.len() {
            match ready!(source.poll_more(cx)) {
                None => return Poll::Ready(None),
                Some(Err(err)) => return Poll::Ready(Some(Err(err))),
                Some(Ok(())) => {}
            }
        }
        let part = source.kept[self.next].clone();
        self.next += 1;
        self.left = self.left.saturating_sub(part.len() as u64);
        // Nobody asks for more of a body whose length was told.
        if self.left == 0 {
            source.end = Some(End::Whole);
        }
        Poll::Ready(Some(Ok(part)))
    }
}
