//! One service's slots, given out by the one process that sees most of its requests.
//!
//! [`Pool`](crate::Pool) chooses by evidence about the load that other processes cause. Here one
//! process sends nearly all requests of a service, so that it counts the slots itself, keeps the
//! queue here and not at the targets, and knows for each request whether it can still be answered
//! in good time.

mod ask;
mod config;
mod estimate;
mod limits;
mod pool;
mod probe_budget;
mod published;
mod queue;
mod rate_share;
mod summary;
mod target;
mod wait;
mod wake;

pub use ask::{SlotRequest, WorkClass};
pub use config::SlotPoolConfig;
pub use estimate::Slowdown;
pub use pool::SlotPool;
pub use published::{SlotOutcome, SlotTarget, StateChange, TargetLoad, TargetStateChange};
pub use summary::SlotSummary;
