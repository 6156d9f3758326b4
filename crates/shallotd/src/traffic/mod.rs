//! Handling of requests of callers on the traffic threads.

mod answer_metrics;
mod caller_requests;
mod connection_gate;
mod dispatch;
mod entries;
mod failed_attempt;
mod in_flight;
mod operation;
mod service_pool;

pub use caller_requests::handle_request;
pub use connection_gate::{GateTarget, TargetGate};
pub use dispatch::load_report;
pub use in_flight::InFlight;
pub use service_pool::ServicePool;
