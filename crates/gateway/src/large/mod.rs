//! Large answers: room reserved before a request is sent, and the pace at which answers are written.
//!
//! The decisions are those of `shallotfork-transfer`; this module keeps their state for the traffic
//! threads and wakes those that wait.

mod link_pacing;
mod room;
mod room_guard;
mod writers;

pub use link_pacing::LinkPacing;
pub use room::{LargeAnswers, PendingRoom, RoomAdmission};
pub use room_guard::RoomGuard;
pub use writers::{LargeWriter, OrdinaryWriter};
