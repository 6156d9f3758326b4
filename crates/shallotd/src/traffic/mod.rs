//! Requests of callers, on the traffic threads.

mod connection_gate;
mod counted;
mod dispatch;
mod entries;
mod front;
mod in_flight;
mod operation;
mod service_pool;
mod unserved;

pub use connection_gate::{GateTarget, TargetGate};
pub use dispatch::load_report;
pub use front::front;
pub use in_flight::InFlight;
pub use service_pool::ServicePool;
