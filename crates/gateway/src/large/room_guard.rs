//! Room reserved for one answer.

use std::fmt;
use std::sync::Arc;

use shallotfork_transfer::{ReservationId, SizeEstimate};
use shallotfork_types::Bytes;

use crate::large::LargeAnswers;

/// Room reserved for one answer, which is released when dropped.
///
/// A request may be dropped at any await point when its caller disconnects, and an answer when its
/// transfer breaks. Without the release on drop the room would stay reserved forever.
pub struct RoomGuard {
    large_answers: Arc<LargeAnswers>,
    id: ReservationId,
}

impl RoomGuard {
    pub(super) fn new(large_answers: Arc<LargeAnswers>, id: ReservationId) -> Self {
        Self { large_answers, id }
    }

    /// Returns the room that this reservation is part of.
    pub fn large_answers(&self) -> &Arc<LargeAnswers> {
        &self.large_answers
    }

    /// Sets the size that the target has stated.
    pub fn correct(&self, actual: Bytes) {
        self.large_answers.update(|room, now| room.correct(self.id, actual, now));
    }

    /// Sets the expected size, for another attempt.
    pub fn restart(&self, size: SizeEstimate) {
        self.large_answers.update(|room, _now| {
            room.restart(self.id, size);
            Vec::new()
        });
    }

    /// Records that the complete answer is held and will be sent to the caller.
    pub fn start_sending(&self, actual: Bytes) {
        self.large_answers.update(|room, now| room.start_sending(self.id, actual, now));
    }

    /// Records that a part of the answer is written.
    pub fn record_sent(&self, sent: Bytes) {
        self.large_answers.update(|room, now| {
            room.record_sent(self.id, sent, now);
            Vec::new()
        });
    }
}

impl Drop for RoomGuard {
    fn drop(&mut self) {
        self.large_answers.release(self.id);
    }
}

impl fmt::Debug for RoomGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("RoomGuard").field(&self.id).finish()
    }
}
