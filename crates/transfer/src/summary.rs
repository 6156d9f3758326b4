//! Summary of an [`AnswerRoom`](crate::AnswerRoom) for logs and metrics.

use shallotfork_types::Bytes;

/// Sizes and counts over all large answers of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoomSummary {
    /// Bytes reserved, including those of answers that are held.
    pub reserved: Bytes,
    /// Bytes of complete answers that have not been sent completely.
    pub held: Bytes,
    /// Answers for which room is reserved.
    pub reservations: usize,
    /// Requests that wait for room.
    pub waiting: usize,
}
