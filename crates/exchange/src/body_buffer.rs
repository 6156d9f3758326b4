//! Buffers the chunks of a body within the limits.

use bytes::{Bytes, BytesMut};

use crate::body_budget::BodyPermit;

/// Why a chunk of a request's body was not buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyBufferError {
    TooLarge,
    BudgetFull,
}

/// An answer's body exceeds its size limit.
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
    Many(BytesMut),
}

impl BodyBuffer {
    pub(crate) fn new(limit_bytes: u64, permit: BodyPermit) -> Self {
        Self { limit_bytes, expected_bytes: 0, permit, chunks: Chunks::None }
    }

    /// Sets the declared size of the body, for which memory is allocated at once. A buffer that
    /// grows would hold up to twice the bytes that the budget counts.
    pub(crate) fn with_expected_size(mut self, size_bytes: u64) -> Self {
        self.expected_bytes = usize::try_from(size_bytes.min(self.limit_bytes)).unwrap_or(0);
        self
    }

    fn size_bytes(&self) -> u64 {
        let size = match &self.chunks {
            Chunks::None => 0,
            Chunks::One(chunk) => chunk.len(),
            Chunks::Many(joined) => joined.len(),
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

    /// Adds a chunk of an answer, which is counted but not rejected for lack of budget: its request
    /// has run.
    pub(crate) fn push_answer(&mut self, chunk: Bytes) -> Result<(), AnswerTooLargeError> {
        if self.exceeds_limit(&chunk) {
            return Err(AnswerTooLargeError);
        }
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
            Chunks::One(first) => join(first, &chunk, self.expected_bytes),
            Chunks::Many(mut joined) => {
                joined.extend_from_slice(&chunk);
                Chunks::Many(joined)
            }
        };
    }

    /// Returns the body. Its share of the budget is released when the last clone or part of it is
    /// dropped, which the HTTP library does when the connection has taken the bytes.
    pub(crate) fn finish(self) -> Bytes {
        let bytes = match self.chunks {
            Chunks::None => return Bytes::new(),
            Chunks::One(chunk) => chunk,
            Chunks::Many(joined) => joined.freeze(),
        };
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(BudgetedBytes { bytes, _permit: self.permit })
    }
}

fn join(first: Bytes, second: &Bytes, expected_bytes: usize) -> Chunks {
    let size_bytes = first.len() + second.len();
    let capacity_bytes = if expected_bytes < size_bytes { 2 * size_bytes } else { expected_bytes };
    let mut joined = BytesMut::with_capacity(capacity_bytes);
    joined.extend_from_slice(&first);
    joined.extend_from_slice(second);
    Chunks::Many(joined)
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
