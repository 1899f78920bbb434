//! A client's byte stream, whose progress is recorded.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::charge::Charge;
use crate::clients;
use crate::connection::Client;

/// An admitted connection, until it is dropped.
pub struct ClientStream<S> {
    /// Dropped first, so that its descriptor is free once the connection doesn't count any more.
    inner: S,
    charge: Charge,
    open: Open,
}

struct Open(Client);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.clients.remove(&self.0);
    }
}

impl<S> ClientStream<S> {
    pub(crate) fn new(inner: S, client: Client, charge: Charge) -> Self {
        Self {
            inner,
            charge,
            open: Open(client),
        }
    }

    /// The client.
    #[must_use]
    pub fn client(&self) -> &Client {
        &self.open.0
    }

    /// The underlying stream.
    #[must_use]
    pub fn get_ref(&self) -> &S {
        &self.inner
    }

    /// The same connection with the stream `inner`.
    pub fn with<T>(self, inner: T) -> ClientStream<T> {
        ClientStream {
            inner,
            charge: self.charge,
            open: self.open,
        }
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        let written = match polled {
            Poll::Ready(Ok(written)) => Some(*written),
            Poll::Ready(Err(_)) => return,
            Poll::Pending => None,
        };
        if let Some(connection) = &self.client().connection {
            connection.record_write(written);
        }
    }

    /// Records bytes from the client, and charges what the buffer of a long head takes.
    fn record_read(&mut self, bytes: usize) -> io::Result<()> {
        let Some(connection) = &self.client().connection else {
            return Ok(());
        };
        if connection.is_evicted() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let head_bytes = connection.record_read(bytes);
        let more = clients::head_step(&self.charge, head_bytes);
        if more > 0 && !self.charge.grow_now(more) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        let bytes = buffer.filled().len() - before;
        Poll::Ready(self.record_read(bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        self.record_write(&polled);
        polled
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
