//! The process's monotonic clock.

use rustix::time::{ClockId, clock_gettime};
use shallotfork_types::Mono;

/// Reads `CLOCK_BOOTTIME`, which counts time asleep, from a zero drawn at construction.
///
/// A clock that stops while the machine is suspended would let a process that wakes up late
/// start work that nobody waits for any more, and keep sessions alive too long.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero_us: u64,
}

impl Clock {
    /// Starts a clock at zero.
    #[expect(clippy::new_without_default, reason = "a clock's zero is the time of the call")]
    pub fn new() -> Self {
        Self { zero_us: boot_time_us() }
    }

    /// Time since the clock was made.
    pub fn now(&self) -> Mono {
        Mono::from_micros(boot_time_us().saturating_sub(self.zero_us))
    }
}

/// The wall clock in Unix milliseconds, which may jump; zero before 1970.
pub fn unix_time_ms() -> u64 {
    let time = clock_gettime(ClockId::Realtime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec / 1_000_000).unwrap_or(0);
    seconds.saturating_mul(1000).saturating_add(millis)
}

fn boot_time_us() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let micros = u64::try_from(time.tv_nsec / 1000).unwrap_or(0);
    seconds.saturating_mul(1_000_000).saturating_add(micros)
}
