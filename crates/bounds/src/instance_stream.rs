//! A connection to an instance, which gives way to others while bytes keep coming.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that are read without a pause. The HTTP library goes on as long as there are any, so that an
/// instance that sends without end would delay all other requests of its thread.
const BURST_BYTES: usize = 64 * 1024;

/// A byte stream from an instance.
#[derive(Debug)]
pub struct InstanceStream<S> {
    inner: S,
    /// Bytes read since the last pause.
    burst: usize,
}

impl<S> InstanceStream<S> {
    /// Wraps `inner`.
    pub fn new(inner: S) -> Self {
        Self { inner, burst: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for InstanceStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst >= BURST_BYTES {
            self.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if polled.is_pending() {
            self.burst = 0;
        } else {
            self.burst += buffer.filled().len() - before;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for InstanceStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
