//! Which targets a process reaches, and whether its own path to all of them is lost.
//!
//! A target that fails is left out by whoever selects targets. A process that reaches no target has
//! lost its own path; only a comparison of several targets tells the two apart.

mod evidence;
mod path_monitor;

pub use evidence::ReachSummary;
pub use path_monitor::{CheckOutcome, ConnectionAge, PathChange, PathConfig, PathMonitor};
