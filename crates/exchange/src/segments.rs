//! Bytes in buffers that never grow.

use bytes::{Bytes, BytesMut};

/// Size of the first buffer for a body of unknown size; each further one is twice as large.
const FIRST_BYTES: usize = 4 * 1024;
/// Largest size of a buffer for a body of unknown size.
const SEGMENT_BYTES: usize = 64 * 1024;

/// A body in buffers that never grow.
///
/// A buffer that grows is copied, and the allocator keeps the memory of the earlier copies.
#[derive(Debug)]
pub(crate) struct Segments {
    full: Vec<BytesMut>,
    full_bytes: usize,
    last: BytesMut,
}

impl Segments {
    /// Creates the buffer for a body of `expected_bytes`; 0 if its size is unknown.
    pub(crate) fn new(expected_bytes: usize) -> Self {
        Self { full: Vec::new(), full_bytes: 0, last: BytesMut::with_capacity(expected_bytes) }
    }

    pub(crate) fn size_bytes(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    /// Returns the size of the buffers that have to be allocated for `size_bytes` more.
    pub(crate) fn missing_bytes(&self, size_bytes: usize) -> usize {
        let free_bytes = self.last.capacity() - self.last.len();
        let mut left_bytes = size_bytes.saturating_sub(free_bytes);
        let (mut capacity, mut missing) = (self.last.capacity(), 0);
        while left_bytes > 0 {
            capacity = next_capacity(capacity);
            missing += capacity;
            left_bytes = left_bytes.saturating_sub(capacity);
        }
        missing
    }

    pub(crate) fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                let next = BytesMut::with_capacity(next_capacity(self.last.capacity()));
                let full = std::mem::replace(&mut self.last, next);
                self.full_bytes += full.len();
                if !full.is_empty() {
                    self.full.push(full);
                }
            }
            let free_bytes = self.last.capacity() - self.last.len();
            let (fitting, rest) = bytes.split_at(bytes.len().min(free_bytes));
            self.last.extend_from_slice(fitting);
            bytes = rest;
        }
    }

    /// Joins the buffers into one of the exact size. A body in several buffers is held twice for that
    /// time, which no budget counts; each thread joins one at a time.
    pub(crate) fn join(&mut self) -> Bytes {
        let last = std::mem::take(&mut self.last);
        if self.full.is_empty() && last.len() == last.capacity() {
            return last.freeze();
        }
        let mut joined = BytesMut::with_capacity(self.full_bytes + last.len());
        for segment in self.full.drain(..) {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&last);
        self.full_bytes = 0;
        joined.freeze()
    }
}

fn next_capacity(capacity: usize) -> usize {
    (capacity * 2).clamp(FIRST_BYTES, SEGMENT_BYTES)
}
