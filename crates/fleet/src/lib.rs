//! How the entries of a fleet share work: whom callers are sent to, who sends to which target, and
//! whether the platform answers any of them.
//!
//! Pure decisions, which every entry makes by itself from what it knows of the others.

mod order;
mod sight;

pub use order::{Candidate, active_count, fleet_order, owner};
pub use sight::PlatformSight;
