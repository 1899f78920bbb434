//! Memory of responses that are passed on as they come.
//!
//! An instance may send a body without end, as fast as its callers read or faster. The HTTP library
//! stops reading once its buffers are full, so that a response takes no more than these, however long
//! it is; the account bounds the number of such responses.

use crate::charge::Charge;
use crate::charge::OverMemory;
use crate::connection::Client;

/// Size of the read buffer of a connection to an instance. A larger head of a response counts as
/// broken off.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Buffers of that size that a response under way may fill: the one that is read into, two on their
/// way to the caller, and one that is being written.
const BUFFERS: u64 = 4;

/// Memory of a response under way, counted in the account until dropped.
#[derive(Debug)]
pub struct ResponseCharge {
    charge: Charge,
    /// Bytes that count against the share of responses.
    reserved: u64,
    /// Whether it was the only one when it began. Such a response is passed on whatever the account
    /// has room for, so that a single request is answered however small the account is.
    is_only: bool,
}

impl ResponseCharge {
    fn reserve(client: &Client, length: Option<u64>) -> Result<Self, OverMemory> {
        let reserved = size(length);
        let mut this = Self {
            charge: client.charge(),
            reserved: 0,
            is_only: false,
        };
        if reserved > 0 {
            this.is_only = client.clients.reserve_response(reserved)?;
            this.reserved = reserved;
        }
        Ok(this)
    }

    /// Counts the response without asking for room if it is the only one. Returns whether it is.
    fn charge_only(&mut self) -> bool {
        if self.is_only {
            self.charge.grow_always(self.reserved);
        }
        self.is_only
    }
}

impl Drop for ResponseCharge {
    fn drop(&mut self) {
        if self.reserved > 0 {
            self.charge.clients().release_response(self.reserved);
        }
    }
}

impl Client {
    /// Counts a response to this client whose body has `length` more bytes, if that is known.
    ///
    /// # Errors
    ///
    /// Fails if the account has no room, or responses already use their share of it.
    pub async fn begin_response(&self, length: Option<u64>) -> Result<ResponseCharge, OverMemory> {
        let mut response = ResponseCharge::reserve(self, length)?;
        if !response.charge_only() {
            response.charge.grow(response.reserved).await?;
        }
        Ok(response)
    }

    /// The same, without waiting for connections that are being closed to make room.
    ///
    /// # Errors
    ///
    /// Fails if the account has no room even with connections that can be closed at once, or responses
    /// already use their share of it.
    pub fn begin_response_now(&self, length: Option<u64>) -> Result<ResponseCharge, OverMemory> {
        let mut response = ResponseCharge::reserve(self, length)?;
        if response.charge_only() || response.charge.grow_now(response.reserved) {
            Ok(response)
        } else {
            Err(OverMemory::Full)
        }
    }
}

/// What a response takes beside what its request is charged for, which covers one buffer.
fn size(length: Option<u64>) -> u64 {
    let buffer = READ_BUFFER_BYTES as u64;
    match length {
        Some(length) if length <= buffer => 0,
        Some(length) => length.min(BUFFERS * buffer),
        None => BUFFERS * buffer,
    }
}
