//! A monotonic clock and a timer service that parts of a process subscribe to.

mod clock;
mod service;

pub use clock::{Clock, unix_time_ms};
pub use service::{Schedule, Subscription, Tick, TimerService};
