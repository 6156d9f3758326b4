//! Which target serves a request, and when: target choice, the queue before it, hedges and
//! retries, and which entries serve a service.
//!
//! Pure decisions: time and the random seed are handed in, nothing here does I/O. One `Pool`
//! serves one service in one process.

mod admission;
mod ask;
mod budget;
mod group;
mod latency;
mod limit;
mod patience;
mod policy;
mod pool;
mod pool_config;
mod queue;
mod retry_window;
mod slots;
mod target;
mod target_config;

pub use admission::{
    Admission, Assignment, AttemptId, AttemptOutcome, PoolCounts, Resolution, Shed, ShedReason,
    Ticket, Woken,
};
pub use ask::{Ask, Priority};
pub use group::{GroupEntry, GroupSize, ServiceGroup};
pub use patience::Patience;
pub use policy::{Policy, UnknownPolicy};
pub use pool::Pool;
pub use pool_config::PoolConfig;
pub use retry_window::{RetryAllowance, RetryWindow};
pub use slots::{
    SlotOutcome, SlotPool, SlotPoolConfig, SlotRequest, SlotSummary, SlotTarget, Slowdown,
    StateChange, TargetLoad, TargetStateChange, WorkClass,
};
pub use target::{PoolTarget, TargetState, TargetStatus};
pub use target_config::TargetConfig;
