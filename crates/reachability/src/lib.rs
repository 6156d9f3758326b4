//! Which targets a process reaches, and whether its own path to all of them is lost.
//!
//! A failed target is ejected by the slot pool of its service. A process that reaches no target has
//! lost its own path instead; only a comparison of several targets distinguishes the two.

mod evidence;
mod path_monitor;

pub use evidence::ReachSummary;
pub use path_monitor::{CheckOutcome, ConnectionAge, PathChange, PathConfig, PathMonitor};
