//! Buffers the chunks of a body within the limits.

use bytes::{Bytes, BytesMut};

use crate::body_budget::BodyPermit;
use crate::receiving_answers::{BrokenOffError, ReceivingAnswer};

/// Size of a buffer for a body of unknown size.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Why a chunk of a request's body was not buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyBufferError {
    TooLarge,
    BudgetFull,
}

/// An answer's body exceeds its size limit, or the memory that is left for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerTooLargeError;

/// A partly received body.
///
/// A body of a single chunk, the common case, is kept without a copy.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    limit_bytes: u64,
    expected_bytes: usize,
    permit: BodyPermit,
    chunks: Chunks,
}

#[derive(Debug)]
enum Chunks {
    None,
    One(Bytes),
    Many(Segments),
}

impl BodyBuffer {
    pub(crate) fn new(limit_bytes: u64, permit: BodyPermit) -> Self {
        Self { limit_bytes, expected_bytes: 0, permit, chunks: Chunks::None }
    }

    /// Sets the declared size of the body, for which memory is allocated at once, so that its parts
    /// need not be joined.
    pub(crate) fn with_expected_size(mut self, size_bytes: u64) -> Self {
        self.expected_bytes = usize::try_from(size_bytes.min(self.limit_bytes)).unwrap_or(0);
        self
    }

    fn size_bytes(&self) -> u64 {
        let size = match &self.chunks {
            Chunks::None => 0,
            Chunks::One(chunk) => chunk.len(),
            Chunks::Many(segments) => segments.size_bytes(),
        };
        size as u64
    }

    /// Adds a chunk of a request, which can still be rejected.
    pub(crate) fn push_request(&mut self, chunk: Bytes) -> Result<(), BodyBufferError> {
        if self.exceeds_limit(&chunk) {
            return Err(BodyBufferError::TooLarge);
        }
        if !self.permit.grow(chunk.len() as u64) {
            return Err(BodyBufferError::BudgetFull);
        }
        self.append(chunk);
        Ok(())
    }

    /// Adds a chunk of an answer. Its request has run, so the budget bounds only the memory that
    /// incomplete answers use together.
    pub(crate) fn push_answer(
        &mut self,
        chunk: Bytes,
        receiving: &ReceivingAnswer,
    ) -> Result<(), AnswerTooLargeError> {
        if self.exceeds_limit(&chunk) {
            return Err(AnswerTooLargeError);
        }
        let held_bytes = self.size_bytes() + chunk.len() as u64;
        receiving.set_held(held_bytes).map_err(|BrokenOffError| AnswerTooLargeError)?;
        self.permit.grow_unlimited(chunk.len() as u64);
        self.append(chunk);
        Ok(())
    }

    fn exceeds_limit(&self, chunk: &Bytes) -> bool {
        self.size_bytes() + chunk.len() as u64 > self.limit_bytes
    }

    fn append(&mut self, chunk: Bytes) {
        self.chunks = match std::mem::replace(&mut self.chunks, Chunks::None) {
            Chunks::None => Chunks::One(chunk),
            Chunks::One(first) => {
                let mut segments = Segments::new(self.expected_bytes);
                segments.append(&first);
                segments.append(&chunk);
                Chunks::Many(segments)
            }
            Chunks::Many(mut segments) => {
                segments.append(&chunk);
                Chunks::Many(segments)
            }
        };
    }

    /// Returns the body. Its share of the budget is released when the last clone or part of it is
    /// dropped, which the HTTP library does when the connection has taken the bytes.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = match self.chunks {
            Chunks::None => return Bytes::new(),
            Chunks::One(chunk) => chunk,
            Chunks::Many(segments) => segments.join(),
        };
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(BudgetedBytes { bytes, _permit: self.permit })
    }
}

/// A body of several chunks, in buffers that never grow.
///
/// A buffer that grows is copied, and the allocator keeps the memory of the earlier copies.
#[derive(Debug)]
struct Segments {
    full: Vec<BytesMut>,
    full_bytes: usize,
    last: BytesMut,
}

impl Segments {
    /// Creates the buffers for a body of `expected_bytes`; 0 if its size is unknown.
    fn new(expected_bytes: usize) -> Self {
        let capacity_bytes = if expected_bytes == 0 { SEGMENT_BYTES } else { expected_bytes };
        Self { full: Vec::new(), full_bytes: 0, last: BytesMut::with_capacity(capacity_bytes) }
    }

    fn size_bytes(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                let next = BytesMut::with_capacity(SEGMENT_BYTES);
                self.full_bytes += self.last.len();
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let free_bytes = self.last.capacity() - self.last.len();
            let (fitting, rest) = bytes.split_at(bytes.len().min(free_bytes));
            self.last.extend_from_slice(fitting);
            bytes = rest;
        }
    }

    /// Joins the buffers into the whole body. One of unknown size is held twice for that time, which
    /// the budget does not count.
    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut joined = BytesMut::with_capacity(self.size_bytes());
        for segment in self.full {
            joined.extend_from_slice(&segment);
        }
        joined.extend_from_slice(&self.last);
        joined.freeze()
    }
}

struct BudgetedBytes {
    bytes: Bytes,
    _permit: BodyPermit,
}

impl AsRef<[u8]> for BudgetedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
