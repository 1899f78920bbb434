//! A body that is kept, charged before each of its parts is.
//!
//! Parts are copied into blocks. A part that the HTTP library hands out keeps its whole read buffer
//! allocated, so that a body which arrives byte by byte would occupy thousands of times its size.

use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;

use crate::charge::Charge;
use crate::charge::OverMemory;

/// Size of the first block of a body whose length isn't known.
const MIN_BLOCK: usize = 1024;
/// Maximum size of a block, unless a part is larger.
const MAX_BLOCK: usize = 16 * 1024;

/// A body that is kept.
#[derive(Debug)]
pub struct Buffer {
    blocks: Vec<Vec<u8>>,
    len: usize,
    /// The length that the body will have, if it is known.
    expected: Option<usize>,
    charge: Charge,
}

impl Buffer {
    /// An empty buffer for a body of `expected` bytes, charged to `charge`.
    #[must_use]
    pub fn new(charge: Charge, expected: Option<usize>) -> Self {
        Self {
            blocks: Vec::new(),
            len: 0,
            expected,
            charge,
        }
    }

    /// The number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The bytes in order, in blocks.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(Vec::as_slice)
    }

    /// The bytes from `position` to the end of the block that has it.
    #[must_use]
    pub fn part(&self, mut position: usize) -> &[u8] {
        for block in &self.blocks {
            if position < block.len() {
                return &block[position..];
            }
            position -= block.len();
        }
        &[]
    }

    /// Appends `part`, unless there is no memory for it. Nothing is appended while pending.
    pub fn poll_push(&mut self, cx: &mut Context<'_>, part: &[u8]) -> Poll<Result<(), OverMemory>> {
        let room = self.room();
        if part.len() > room {
            let size = self.next_block(part.len() - room);
            ready!(self.charge.poll_grow(cx, block_cost(size)))?;
            self.append(part, room);
            self.blocks.push(Vec::with_capacity(size));
            self.append(&part[room..], part.len() - room);
        } else {
            self.append(part, part.len());
        }
        self.len += part.len();
        Poll::Ready(Ok(()))
    }

    /// Appends `part`.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), OverMemory> {
        std::future::poll_fn(|cx| self.poll_push(cx, part)).await
    }

    /// All bytes in one piece, which are charged until they are dropped.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        let bytes = match self.blocks.len() {
            1 => self.blocks.remove(0),
            _ => self.joined(),
        };
        self.charge.keep(bytes)
    }

    /// All bytes in one block. Each block is freed once it is copied, so that the charge holds.
    fn joined(&mut self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.len);
        self.charge.grow_always(self.len as u64);
        for block in self.blocks.drain(..) {
            bytes.extend_from_slice(&block);
            self.charge.shrink(block_cost(block.capacity()));
        }
        bytes
    }

    /// Bytes that the last block has room for.
    fn room(&self) -> usize {
        let last = self.blocks.last();
        last.map_or(0, |block| block.capacity() - block.len())
    }

    fn next_block(&self, needed: usize) -> usize {
        let expected = self
            .expected
            .map(|expected| expected.saturating_sub(self.len));
        let size = expected.unwrap_or_else(|| self.len.max(MIN_BLOCK));
        size.clamp(1, MAX_BLOCK).max(needed)
    }

    fn append(&mut self, part: &[u8], count: usize) {
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(&part[..count]);
        }
    }
}

/// What a block of `size` bytes takes, with its entry.
fn block_cost(size: usize) -> u64 {
    (size + size_of::<Vec<u8>>()) as u64
}
