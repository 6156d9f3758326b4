//! Which version of a published list is in force.
//!
//! The version in force is the greatest valid one ever offered, ordered by revision and then by
//! digest. A maximum does not depend on the order of offers, so processes that have seen the same
//! offers agree, and it never falls. Nothing here does I/O or reads a clock.

mod cursor;
mod digest;
mod offer;
mod pull_gate;
mod tracker;

pub use cursor::{Cursor, ReplicaStatus};
pub use digest::Digest;
pub use offer::{ConflictWinner, OfferOutcome, OfferedVersion, Version};
pub use pull_gate::{DigestPair, PullGate};
pub use tracker::Tracker;
