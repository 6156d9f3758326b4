//! Requests of callers, on the traffic threads.

mod dispatch;
mod entries;
mod front;
mod in_flight;
mod operation;
mod service_pool;

pub use entries::GROUP_SIZE;
pub use front::front;
pub use in_flight::InFlight;
pub use service_pool::ServicePool;
