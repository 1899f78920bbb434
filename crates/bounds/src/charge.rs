//! Memory that is kept for a client, counted in the account of the process.

use std::fmt;
use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use quick_error::quick_error;

use crate::clients::Clients;
use crate::connection::Client;

quick_error! {
    /// The process has no memory left for what a client sends.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OverMemory {
        /// Nothing more can be charged now.
        Full {
            display("no memory is left for what clients send")
        }
    }
}

/// Bytes counted in the account until dropped.
pub struct Charge {
    client: Client,
    bytes: u64,
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Charge").field(&self.bytes).finish()
    }
}

impl Charge {
    pub(crate) fn new(client: Client) -> Self {
        Self { client, bytes: 0 }
    }

    pub(crate) fn clients(&self) -> &Clients {
        &self.client.clients
    }

    /// The bytes that it counts.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Counts more bytes, unless the account has no room. Pending while connections are being closed
    /// to make room.
    pub fn poll_grow(&mut self, cx: &mut Context<'_>, bytes: u64) -> Poll<Result<(), OverMemory>> {
        let polled = self
            .client
            .clients
            .poll_charge(cx, &self.client, self.bytes, bytes);
        if polled == Poll::Ready(Ok(())) {
            self.bytes += bytes;
        }
        polled
    }

    /// Counts more bytes.
    ///
    /// # Errors
    ///
    /// Fails if the account has no room.
    pub async fn grow(&mut self, bytes: u64) -> Result<(), OverMemory> {
        poll_fn(|cx| self.poll_grow(cx, bytes)).await
    }

    /// Counts more bytes, unless the account has no room even with connections that can be closed at
    /// once. Returns whether it has.
    pub fn grow_now(&mut self, bytes: u64) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        match self.poll_grow(&mut cx, bytes) {
            Poll::Ready(result) => result.is_ok(),
            Poll::Pending => {
                self.grow_always(bytes);
                true
            }
        }
    }

    /// Counts more bytes that are kept already, whatever room the account has.
    pub fn grow_always(&mut self, bytes: u64) {
        self.client.clients.charge_always(&self.client, bytes);
        self.bytes += bytes;
    }

    /// Keeps `kept`, which is counted until it is dropped. Its size counts in place of what was
    /// counted before.
    #[must_use]
    pub fn keep(mut self, kept: Vec<u8>) -> Bytes {
        let size = kept.capacity() as u64;
        if size > self.bytes {
            self.grow_always(size - self.bytes);
        } else {
            self.shrink(self.bytes - size);
        }
        Bytes::from_owner(Kept {
            bytes: kept,
            _charge: self,
        })
    }

    /// Counts `bytes` less.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.client.clients.release(&self.client, bytes);
        self.bytes -= bytes;
    }
}

/// Bytes that are charged until they are dropped.
struct Kept {
    bytes: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
