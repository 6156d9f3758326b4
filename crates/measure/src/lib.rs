//! Budgets for probes and connections, load and rate limits reported by targets, demand of callers,
//! and the scheduling delay of this process.
//!
//! This crate performs no I/O and reads no clock; callers pass in the current time. The budgets
//! hold over the whole fleet in every window of one second, because each process uses only a share
//! that is fixed in its settings. They do not depend on a view of the fleet, so processes whose
//! views differ cannot exceed them.

mod connection_budget;
mod demand;
mod fleet_share;
mod load_report;
mod probe_budget;
mod probe_scheduler;
mod rate_limits;
mod scheduling_delay;

pub use connection_budget::{ConnectionBudget, ConnectionLimits, ConnectionPermit};
pub use demand::{
    DEMAND_SMOOTHING, DemandMeter, DemandReport, ServiceDemand, SharerDemand, demand_noise_per_s,
};
pub use fleet_share::{FleetShare, FleetShareError};
pub use load_report::{LoadReport, LoadReportError};
pub use probe_budget::{MeasuredTarget, ProbeBudget};
pub use probe_scheduler::{ProbeOutcome, ProbePermit, ProbeScheduler};
pub use rate_limits::{RateLimitReport, RateLimits};
pub use scheduling_delay::SchedulingDelay;
