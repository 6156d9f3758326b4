//! Value types shared by all crates: identifiers, sizes, rates, monotonic time and the verdict.
//!
//! The crate does no I/O and reads no clock.

mod address;
mod epoch;
mod id;
mod key;
mod list_name;
mod lists_digest;
mod load_level;
mod mono;
mod parse;
mod position;
mod rate;
mod rendezvous;
pub mod report;
mod request_rate;
mod revision;
mod service_key;
mod size;
mod verdict;
mod warmup;

pub use address::Endpoint;
pub use epoch::Epoch;
pub use id::{CallerName, FailureDomain, Region, ServiceName, TargetId, VmId};
pub use key::{IdempotencyKey, Incarnation};
pub use list_name::ListName;
pub use lists_digest::ListsDigest;
pub use load_level::LoadLevel;
pub use mono::Mono;
pub use parse::ParseError;
pub use position::Position;
pub use rate::{BytesPerSecond, Millicores, PartsPerMillion, PerSecond, Permille};
pub use rendezvous::rendezvous_weight;
pub use request_rate::RequestRate;
pub use revision::Revision;
pub use service_key::ServiceKey;
pub use size::Bytes;
pub use verdict::Verdict;
pub use warmup::Warmup;
