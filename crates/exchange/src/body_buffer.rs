//! Buffers the chunks of an answer's body within the limits.

use bytes::Bytes;

use crate::body_budget::BodyPermit;
use crate::receiving_answers::{BrokenOffError, ReceivingAnswer};
use crate::segments::Segments;

/// An answer's body exceeds its size limit, or the memory that is left for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerTooLargeError;

/// The partly received body of an answer.
///
/// The bytes are copied: the chunks of the HTTP library are parts of its read buffers, which can be
/// many times as large as what the chunk holds.
#[derive(Debug)]
pub(crate) struct BodyBuffer {
    limit_bytes: u64,
    permit: BodyPermit,
    segments: Segments,
}

impl BodyBuffer {
    pub(crate) fn new(limit_bytes: u64, permit: BodyPermit) -> Self {
        Self { limit_bytes, permit, segments: Segments::new(0) }
    }

    /// Sets the declared size of the body, for which memory is allocated at once, so that its parts
    /// need not be joined.
    pub(crate) fn with_expected_size(mut self, size_bytes: u64) -> Self {
        let expected_bytes = usize::try_from(size_bytes.min(self.limit_bytes)).unwrap_or(0);
        self.segments = Segments::new(expected_bytes);
        self
    }

    fn size_bytes(&self) -> u64 {
        self.segments.size_bytes() as u64
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
        self.segments.append(&chunk);
        Ok(())
    }

    fn exceeds_limit(&self, chunk: &Bytes) -> bool {
        self.size_bytes() + chunk.len() as u64 > self.limit_bytes
    }

    /// Returns the body. Its share of the budget is released when the last clone or part of it is
    /// dropped, which the HTTP library does when the connection has taken the bytes.
    pub(crate) fn finish(mut self) -> Bytes {
        self.permit.attach_to(self.segments.join())
    }
}
