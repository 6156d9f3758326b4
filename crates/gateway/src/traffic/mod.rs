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

pub use directory::{handle_directory, handle_readiness};
pub use front::{handle_request, may_begin_early};
pub use lateness::monitor_scheduling_delay;
pub use probe_counts::{ProbeCounters, Probes};
pub use probes::run_probes;
pub use quarantine::log_quarantined;
pub use rate_limit::apply_rate_limit;
pub use service_load::report_service_load;
pub use service_slots::ServiceSlots;
