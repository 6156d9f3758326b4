//! Monotonic clock, and timer service that wakes its subscribers periodically.

mod clock;
mod service;

pub use clock::{Clock, unix_time_ms};
pub use service::{Schedule, Subscription, Tick, TimerService};
