//! Which targets exist, from entries that a platform publishes one by one.
//!
//! Pure decisions: time is handed in, nothing here does I/O. Entries may come from any writer,
//! may lapse while the platform is away, and may be seconds old when they are read; the
//! [`Roster`] joins them into the targets that may be used now.

mod entry;
mod roster;
mod roster_config;

pub use entry::{Availability, PublishedState, TargetChange, TargetRecord};
pub use roster::{Roster, RosterChange};
pub use roster_config::RosterConfig;
