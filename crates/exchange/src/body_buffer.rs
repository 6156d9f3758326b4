//! Buffers the chunks of a body within the limits.

use bytes::{Bytes, BytesMut};

use crate::body_budget::BodyPermit;

/// Why a chunk of a body was not buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyBufferError {
    TooLarge,
    BudgetFull,
}

/// A partly received body.
///
/// A body of a single chunk, the common case, is kept without a copy.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    limit_bytes: u64,
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
        Self { limit_bytes, permit, chunks: Chunks::None }
    }

    fn size_bytes(&self) -> u64 {
        let size = match &self.chunks {
            Chunks::None => 0,
            Chunks::One(chunk) => chunk.len(),
            Chunks::Many(joined) => joined.len(),
        };
        size as u64
    }

    pub(crate) fn push(&mut self, chunk: Bytes) -> Result<(), BodyBufferError> {
        let chunk_bytes = chunk.len() as u64;
        if self.size_bytes() + chunk_bytes > self.limit_bytes {
            return Err(BodyBufferError::TooLarge);
        }
        if !self.permit.grow(chunk_bytes) {
            return Err(BodyBufferError::BudgetFull);
        }
        self.chunks = match std::mem::replace(&mut self.chunks, Chunks::None) {
            Chunks::None => Chunks::One(chunk),
            Chunks::One(first) => join(first, &chunk),
            Chunks::Many(mut joined) => {
                joined.extend_from_slice(&chunk);
                Chunks::Many(joined)
            }
        };
        Ok(())
    }

    /// Returns the body; its share of the budget is released when the last clone is dropped.
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

fn join(first: Bytes, second: &Bytes) -> Chunks {
    let mut joined = BytesMut::with_capacity(2 * (first.len() + second.len()));
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
