//! The body of a request while it is being received.

use bytes::Bytes;

use crate::body_budget::{BodyBudget, BodyPermit, ROOM_WAIT};
use crate::incoming_bodies::IncomingGuard;
use crate::segments::Segments;

/// Why a chunk of a request's body was not buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestBodyError {
    TooLarge,
    BudgetFull,
}

/// A partly received body, whose buffers are reserved in the budget before they are allocated.
///
/// The bytes are copied: the chunks of the HTTP library are parts of its read buffers, which can be
/// many times as large as what the chunk holds.
#[derive(Debug)]
pub(crate) struct RequestBody<'a> {
    budget: &'a BodyBudget,
    limit_bytes: u64,
    permit: BodyPermit,
    registration: IncomingGuard,
    segments: Segments,
}

impl<'a> RequestBody<'a> {
    /// Registers a body of at most `limit_bytes`, of which `declared_bytes` are reserved at once.
    ///
    /// Bodies that reserved only what has arrived could block each other, each with the memory that
    /// another one needs for its end.
    ///
    /// # Errors
    /// If the budget has no room for the declared size.
    pub(crate) async fn new(
        budget: &'a BodyBudget,
        registration: IncomingGuard,
        limit_bytes: u64,
        declared_bytes: u64,
    ) -> Result<Self, RequestBodyError> {
        let declared = usize::try_from(declared_bytes).map_err(|_| RequestBodyError::TooLarge)?;
        let permit = budget.permit();
        let segments = Segments::new(0);
        let mut body = Self { budget, limit_bytes, permit, registration, segments };
        body.reserve(declared_bytes).await?;
        body.segments = Segments::new(declared);
        Ok(body)
    }

    /// Adds a chunk.
    pub(crate) async fn push(&mut self, chunk: &[u8]) -> Result<(), RequestBodyError> {
        let size_bytes = (self.segments.size_bytes() + chunk.len()) as u64;
        if size_bytes > self.limit_bytes {
            return Err(RequestBodyError::TooLarge);
        }
        self.registration.record_received(chunk.len() as u64);
        self.reserve(self.segments.missing_bytes(chunk.len()) as u64).await?;
        self.segments.append(chunk);
        Ok(())
    }

    /// Returns the body, whose share of the budget is released with its last clone.
    pub(crate) fn finish(mut self) -> Bytes {
        let bytes = self.segments.join();
        self.permit.shrink_to(bytes.len() as u64);
        self.permit.attach_to(bytes)
    }

    /// Reserves memory for buffers; other bodies that make no progress give way if there is none.
    async fn reserve(&mut self, size_bytes: u64) -> Result<(), RequestBodyError> {
        if size_bytes == 0 {
            return Ok(());
        }
        let deadline = tokio::time::Instant::now() + ROOM_WAIT;
        loop {
            let mut released = std::pin::pin!(self.budget.released());
            released.as_mut().enable();
            let Err(missing_bytes) = self.permit.grow(size_bytes) else { break };
            if !self.budget.make_room(missing_bytes) {
                return Err(RequestBodyError::BudgetFull);
            }
            let waiting = tokio::time::timeout_at(deadline, released);
            waiting.await.map_err(|_| RequestBodyError::BudgetFull)?;
        }
        self.registration.set_held(self.permit.size_bytes());
        Ok(())
    }
}
