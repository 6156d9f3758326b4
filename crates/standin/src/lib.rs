//! Small stand-ins for what surrounds the system, for tests, the demo and measurements.
//!
//! The platform's configuration service, a target and a caller, each small enough to read at one
//! sitting and each able to misbehave on request. None of it is part of the product.

pub mod caller;
pub mod digest;
pub mod load;
pub mod net;
pub mod platform;
pub mod ready;
pub mod target;
