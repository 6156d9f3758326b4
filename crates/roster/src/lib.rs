//! Tracks which targets exist, from the records that the platform publishes for them.
//!
//! This crate performs no I/O and reads no clock; callers pass in the current time. Records may
//! come from any writer, may expire during an outage of the platform, and may be seconds old when
//! they are read. The [`Roster`] derives the targets that may be used from them.

mod roster;
mod roster_config;
mod target_record;

pub use roster::{Roster, RosterChange};
pub use roster_config::RosterConfig;
pub use target_record::{Availability, PublishedState, TargetChange, TargetRecord};
