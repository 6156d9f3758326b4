//! Monotonic time of one process.

use std::fmt;
use std::time::Duration;

/// Microseconds on the process's own monotonic clock, which also counts time asleep.
///
/// Values of two processes are never compared: each clock has its own zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Mono {
    since_start_us: u64,
}

impl Mono {
    /// The clock's zero.
    pub const ZERO: Self = Self { since_start_us: 0 };

    /// A point this many microseconds after the clock's zero.
    pub fn from_micros(since_start_us: u64) -> Self {
        Self { since_start_us }
    }

    /// A point this many milliseconds after the clock's zero.
    pub fn from_millis(since_start_ms: u64) -> Self {
        Self { since_start_us: since_start_ms.saturating_mul(1000) }
    }

    /// Microseconds since the clock's zero.
    pub fn as_micros(self) -> u64 {
        self.since_start_us
    }

    /// Milliseconds since the clock's zero, rounded down.
    pub fn as_millis(self) -> u64 {
        self.since_start_us / 1000
    }

    /// The point `wait` later, or the last representable one.
    #[must_use]
    pub fn plus(self, wait: Duration) -> Self {
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        Self { since_start_us: self.since_start_us.saturating_add(wait_us) }
    }

    /// The point `ago` earlier, or the clock's zero.
    #[must_use]
    pub fn minus(self, ago: Duration) -> Self {
        let ago_us = u64::try_from(ago.as_micros()).unwrap_or(u64::MAX);
        Self { since_start_us: self.since_start_us.saturating_sub(ago_us) }
    }

    /// Time from `earlier` to this point; zero when `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.since_start_us.saturating_sub(earlier.since_start_us))
    }
}

impl fmt::Display for Mono {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.since_start_us)
    }
}
