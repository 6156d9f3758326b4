//! Decides which version of a published item holds after the platform was restored from a copy.
//!
//! A copy is some seconds old: what was published since is gone until its writers publish it again.
//! An entry that knows a later version than the copy's retains it meanwhile. Otherwise targets that have
//! left would return, targets that have come would be dropped, and an older configuration would be
//! passed on.
//!
//! This crate performs no I/O and reads no clock.

mod register;
mod version;

pub use register::{AdoptionContext, Register, SETTLE_TIME};
pub use version::{Precedence, Version};
