//! Stand-ins for the components around the system, for tests, the demo and benchmarks.
//!
//! There are stand-ins for the platform's configuration service, a target and a caller. Each is
//! small and can inject faults on request. None of them is part of the product.

pub mod caller;
pub mod digest;
pub mod load;
pub mod net;
pub mod platform;
pub mod ready;
pub mod target;
