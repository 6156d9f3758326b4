//! Assignment of one service's slots by the process that sees most of its requests.
//!
//! [`Pool`](crate::Pool) infers the load that other processes cause from what targets report. Here
//! one process sends nearly all requests of a service, so it counts the slots itself, queues
//! requests locally instead of at the targets, and knows for each request whether it can still be
//! answered within its objective.

mod assign;
mod config;
mod estimate;
mod fair_order;
mod hedge;
mod limits;
mod long_work;
mod pool;
mod probe_budget;
mod published;
mod queue;
mod rate_share;
mod rejections;
mod request;
mod run_cost;
mod slot_share;
mod subset;
mod summary;
mod target;
mod wait;
mod wake;
mod work_times;

pub use config::SlotPoolConfig;
pub use estimate::Slowdown;
pub use hedge::{EarlyHedge, HedgePlan, HedgeResult};
pub use pool::SlotPool;
pub use published::{SlotOutcome, SlotTarget, StateChange, TargetLoad, TargetStateChange};
pub use rejections::RejectionCounts;
pub use request::{SlotRequest, WorkClass};
pub use subset::Sharer;
pub use summary::SlotSummary;
