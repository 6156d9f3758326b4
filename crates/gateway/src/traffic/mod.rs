//! Requests of callers, and what goes to targets.

mod attempts;
mod directory;
mod front;
mod job;
mod judge;
mod lateness;
mod probe_counts;
mod probes;
mod quarantine;
mod rate_limit;
mod refusal;
mod service_load;
mod service_slots;

pub use directory::{directory, readiness};
pub use front::{front, may_begin_early};
pub use lateness::lateness;
pub use probe_counts::{ProbeCounts, Probes};
pub use probes::probes;
pub use quarantine::log_quarantined;
pub use rate_limit::apply_rate_limit;
pub use service_load::service_load;
pub use service_slots::ServiceSlots;
