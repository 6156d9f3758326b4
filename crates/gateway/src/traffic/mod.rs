//! Serves the requests of callers: routing, attempts at targets, probes and slots.

mod acquire_hedge;
mod answer_owner;
mod attempt_history;
mod attempt_outcome;
mod attempts;
mod caller_requests;
mod directory;
mod forward;
mod health_request;
mod hedge;
mod path_checks;
mod probe_counters;
mod probes;
mod problem_responses;
mod quarantine;
mod rate_limit;
mod reach;
mod request_outcome;
mod retry_allowance;
mod routed_request;
mod scheduling_delay;
mod send_attempt;
mod service_load;
mod service_slots;
mod target_statements;

pub use caller_requests::{handle_request, may_begin_early};
pub use directory::{handle_directory, handle_readiness};
pub use path_checks::{request_path_check, run_path_checks};
pub use probe_counters::{ProbeCounters, ProbeTotals};
pub use probes::run_probes;
pub use quarantine::log_quarantined;
pub use rate_limit::apply_rate_limit;
pub use scheduling_delay::monitor_scheduling_delay;
pub use service_load::report_service_load;
pub use service_slots::ServiceSlots;
pub use target_statements::{stop_sending, target_run};
