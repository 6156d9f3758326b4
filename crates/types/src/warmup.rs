//! Warm-up of targets after their start.

use std::time::Duration;

use crate::RequestRate;

/// Warm-up parameters of the targets of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Warmup {
    /// Maximum time for which a target stays cold.
    pub duration: Duration,
    /// Rate of requests that a cold target can handle, from all entries together.
    pub rate: RequestRate,
}
