//! Durations as fields of log lines.

use std::time::Duration;

/// Returns the duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
