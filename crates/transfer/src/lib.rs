//! Decisions about large answers: whether an entry has room for one, and when its bytes may be
//! written.
//!
//! The load is a route whose answers have a mean size of 90 kB and a maximum of 540 kB, at an entry
//! with a link of 10 Mbit/s and 37 MB for bodies. One answer of the maximum size occupies that link
//! for 0.43 s in each direction, during which ordinary answers would wait.
//!
//! This crate performs no I/O and reads no clock; callers pass in the current time. None of its
//! types is used for answers of routes with `AnswerSize::Ordinary`, except that the pacer counts
//! their bytes.

mod config;
mod pacer;
mod request;
mod reservation;
mod room;
mod sizes;
mod summary;

pub use config::{PacerConfig, RoomConfig};
pub use pacer::{LinkPacer, Pace};
pub use request::{ResolvedWait, RoomDecision, RoomRequest, RoomResolution, RoomTicket};
pub use reservation::ReservationId;
pub use room::AnswerRoom;
pub use sizes::{AnswerSizes, SizeEstimate};
pub use summary::RoomSummary;
