//! Stand-in for the platform's configuration service.
//!
//! Readers get published values by revision; operators publish with compare-and-set; tests set
//! faults of each replica and read the counts of calls.

mod calls;
mod config;
mod control;
mod replica;
mod serve;
mod store;

pub use calls::{CallCounts, SourceCalls};
pub use config::PlatformConfig;
pub use control::{Fault, PlatformControl, PublishDelay, ReplicaFault, Rollback};
pub use replica::{Changes, ReplicaMode};
pub use serve::{RunningPlatform, serve_platform};
pub use store::{PublishedValue, RevisionMismatch, Store};
