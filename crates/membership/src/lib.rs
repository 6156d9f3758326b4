//! Which entry VMs are alive, and which of them a caller should use.
//!
//! The view joins three sources: the platform's VM list, which lags; heartbeats, which are direct
//! evidence; and notices of VMs that leave. Suspicion takes a VM out of answers and nothing more:
//! it never gives another VM authority over anything.

mod group;
mod heartbeats;
mod view;
mod view_config;

pub use group::{Preference, entries_for, service_group};
pub use heartbeats::heartbeat_peers;
pub use view::{Announcement, EntryState, EntryVm, ListedVm, View};
pub use view_config::ViewConfig;
