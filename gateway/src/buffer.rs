//! Holds a body that is being read, whose length isn't known until it ends.
//!
//! A contiguous buffer would be moved each time that it grows. With many bodies growing side by side,
//! the places that they leave are of all sizes and take as much memory as the bodies themselves.

use bytes::Bytes;

/// Size of a block, in bytes. Larger ones leave more memory unused in each body; smaller ones take
/// more time to join.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes in blocks of equal size. Only the first block grows, up to that size.
#[derive(Debug, Default)]
pub struct Buffer {
    full: Vec<Bytes>,
    last: Vec<u8>,
    len: usize,
}

impl Buffer {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory that this many more bytes take beyond what the buffer has already, in bytes.
    pub fn growth(&self, bytes: usize) -> usize {
        let needed = self.last.len() + bytes;
        let capacity = self.last.capacity();
        if needed <= capacity {
            return 0;
        }
        if needed <= BLOCK_BYTES {
            return self.first_capacity(needed) - capacity;
        }
        needed.next_multiple_of(BLOCK_BYTES) - capacity
    }

    /// Adds bytes at the end.
    pub fn extend(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.make_room(data.len());
            }
            let room = self.last.capacity() - self.last.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(fitting);
            data = rest;
        }
    }

    /// The blocks in order.
    pub fn into_blocks(mut self) -> Vec<Bytes> {
        self.finish_block();
        self.full
    }

    /// All bytes as one piece. Each block is freed as soon as it is copied.
    pub fn freeze(self) -> Bytes {
        let len = self.len;
        let mut blocks = self.into_blocks();
        if blocks.len() < 2 {
            return blocks.pop().unwrap_or_default();
        }
        let mut joined = Vec::with_capacity(len);
        for block in blocks {
            joined.extend_from_slice(&block);
        }
        Bytes::from(joined)
    }

    fn make_room(&mut self, bytes: usize) {
        let needed = self.last.len() + bytes;
        if self.last.capacity() < BLOCK_BYTES {
            self.last.reserve_exact(self.first_capacity(needed) - self.last.len());
            return;
        }
        self.finish_block();
        self.last = Vec::with_capacity(BLOCK_BYTES);
    }

    /// Capacity of the first block once `needed` bytes are in it.
    fn first_capacity(&self, needed: usize) -> usize {
        needed.max(2 * self.last.capacity()).min(BLOCK_BYTES)
    }

    fn finish_block(&mut self) {
        if !self.last.is_empty() {
            self.full.push(Bytes::from(std::mem::take(&mut self.last)));
        }
    }
}
