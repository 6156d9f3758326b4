//! Membership: which entry VMs are alive, and which of them a caller should use.
//!
//! The view of the fleet combines the platform's VM list, which lags; heartbeats, which are direct
//! evidence; and membership updates that entries forward about others. Suspicion only removes a VM
//! from responses to callers: it never gives another VM authority over anything.

mod entry_vm;
mod group;
mod heartbeats;
mod member;
mod silence_allowance;
mod view;
mod view_config;

pub use entry_vm::{Announcement, EntryState, EntryVm, ListedVm, MemberUpdate};
pub use group::{CallerPreference, entries_for, rank_for_caller, service_group};
pub use heartbeats::heartbeat_peers;
pub use view::MembershipView;
pub use view_config::ViewConfig;
