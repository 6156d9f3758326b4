//! Which entry VMs are alive, and which of them a caller should use.
//!
//! The view joins the platform's VM list, which lags; heartbeats, which are direct evidence; and
//! news that entries pass on about others. Suspicion takes a VM out of answers and nothing more:
//! it never gives another VM authority over anything.

mod entry_vm;
mod group;
mod heartbeats;
mod leniency;
mod member;
mod view;
mod view_config;

pub use entry_vm::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate};
pub use group::{CallerPreference, entries_for, rank_for_caller, service_group};
pub use heartbeats::heartbeat_peers;
pub use view::MembershipView;
pub use view_config::ViewConfig;
