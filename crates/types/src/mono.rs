//! Monotonic time of a process.

use std::fmt;
use std::time::Duration;

/// Instant on the monotonic clock of the process, in microseconds. The clock also counts the time during
/// which the machine is suspended.
///
/// Values of different processes are not comparable, because each clock has its own zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Mono {
    since_zero_us: u64,
}

impl Mono {
    /// Zero of the clock.
    pub const ZERO: Self = Self { since_zero_us: 0 };

    /// Creates the instant this many microseconds after the clock's zero.
    pub fn from_micros(since_zero_us: u64) -> Self {
        Self { since_zero_us }
    }

    /// Creates the instant this many milliseconds after the clock's zero.
    pub fn from_millis(since_zero_ms: u64) -> Self {
        Self { since_zero_us: since_zero_ms.saturating_mul(1000) }
    }

    /// Returns the microseconds since the clock's zero.
    pub fn as_micros(self) -> u64 {
        self.since_zero_us
    }

    /// Returns the milliseconds since the clock's zero, rounded down.
    pub fn as_millis(self) -> u64 {
        self.since_zero_us / 1000
    }

    /// Returns the instant `duration` later, or the last representable one.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { since_zero_us: self.since_zero_us.saturating_add(duration_us) }
    }

    /// Returns the instant `duration` earlier, or the clock's zero.
    #[must_use]
    pub fn minus(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self { since_zero_us: self.since_zero_us.saturating_sub(duration_us) }
    }

    /// Returns the time from `earlier` to this instant; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.since_zero_us.saturating_sub(earlier.since_zero_us))
    }
}

impl fmt::Display for Mono {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.since_zero_us)
    }
}
