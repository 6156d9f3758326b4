//! Load balancing decisions: target selection, admission and queueing, hedges, retries, and the
//! group of entries that serves a service.
//!
//! All decisions are pure: the time and the random seed are passed in, and nothing here does I/O.
//! One `Pool` serves one service in one process.

mod admission;
mod budget;
mod demand_shares;
mod group;
mod latency;
mod limit;
mod policy;
mod pool;
mod pool_config;
mod prior_wait;
mod queue;
mod repeat_allocation;
mod request;
mod retry_window;
mod slots;
mod target;
mod target_config;

pub use admission::{
    Admission, Assignment, AttemptId, AttemptOutcome, PoolCounts, Resolution, ResolvedTicket, Shed,
    ShedReason, Ticket,
};
pub use demand_shares::{SlotShares, divide_slots};
pub use group::{GroupEntry, GroupSize, ServiceGroup};
pub use policy::{Policy, UnknownPolicy};
pub use pool::Pool;
pub use pool_config::PoolConfig;
pub use prior_wait::PriorWaitEstimator;
pub use repeat_allocation::{RepeatAllocation, RepeatClass};
pub use request::{PoolRequest, Priority};
pub use retry_window::{RetryAllowance, RetryWindow};
pub use slots::{
    EarlyHedge, HedgePlan, HedgeResult, RejectionCounts, Sharer, SlotOutcome, SlotPool,
    SlotPoolConfig, SlotRequest, SlotSummary, SlotTarget, Slowdown, StateChange, TargetLoad,
    TargetStateChange, WorkClass,
};
pub use target::{PoolTarget, TargetState, TargetStatus};
pub use target_config::TargetConfig;
