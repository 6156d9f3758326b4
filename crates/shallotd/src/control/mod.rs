//! The control thread: published lists, membership, the ledger and calls between entries.

mod audit;
mod command;
mod handoff;
mod ledger;
mod lists;
mod lists_apply;
mod lists_pull;
mod lists_source;
mod lists_start;
mod members;
mod operations;
mod peer_calls;
mod peers;
mod probes;
mod publish;
mod report;
mod state;
mod target_changes;
mod thread;
mod watch;

pub use command::ControlHandle;
pub use operations::Decision;
pub use thread::{ControlParts, start};
