//! How much measuring a target may cost, what a target says of its own load, and how late this
//! process does its work.
//!
//! Pure decisions: time is handed in, nothing here does I/O. The budgets hold in every window of
//! a second over the whole fleet because each process spends only a share that its settings fix;
//! no view of peers enters, so views that differ can't break the sum.

mod connection_budget;
mod lateness;
mod load_report;
mod probe_budget;
mod probe_plan;
mod rate_limits;
mod share;

pub use connection_budget::{ConnectionBudget, ConnectionLimits, ConnectionPermit};
pub use lateness::SchedulingDelay;
pub use load_report::{LoadReport, LoadReportError};
pub use probe_budget::{MeasuredTarget, ProbeBudget};
pub use probe_plan::{ProbeOutcome, ProbePermit, ProbeScheduler};
pub use rate_limits::{RateLimitReport, RateLimits};
pub use share::{FleetShare, FleetShareError};
