//! How targets warm up.

use std::time::Duration;

use crate::RequestRate;

/// What the targets of a service bear while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warmup {
    /// The longest time for which a target stays cold.
    pub duration: Duration,
    /// Requests that a cold target bears, from all processes together.
    pub rate: RequestRate,
}
