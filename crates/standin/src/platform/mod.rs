//! Stand-in for the platform's configuration service.
//!
//! Readers get published values by revision; the operator's side publishes with compare-and-set;
//! tests set faults for each replica and read how many calls were made.

mod calls;
mod config;
mod control;
mod replica;
mod serve;
mod store;

pub use calls::{CallCounts, CallerCalls};
pub use config::PlatformConfig;
pub use control::{Fault, PlatformControl, PublishDelay, ReplicaFault, Rollback};
pub use replica::{Changes, ReplicaMode};
pub use serve::{RunningPlatform, serve_platform};
pub use store::{Published, Refused, Store};
