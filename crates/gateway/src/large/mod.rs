//! Large answers: room reserved before a request is sent.
//!
//! The decisions are those of `shallotfork-transfer`; this module keeps their state for the traffic
//! threads and wakes requests that wait.

mod room;
mod room_guard;

pub use room::{LargeAnswers, PendingRoom, RoomAdmission};
pub use room_guard::RoomGuard;
