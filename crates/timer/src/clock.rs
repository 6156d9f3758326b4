//! Monotonic clock of the process.

use rustix::time::{ClockId, clock_gettime};
use shallotfork_types::Mono;

/// Monotonic clock that counts from its creation and includes time during which the machine is
/// suspended (`CLOCK_BOOTTIME`).
///
/// With a clock that stops during suspension, a resumed process would start work whose callers no
/// longer wait, and keep sessions alive too long.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin_us: u64,
}

impl Clock {
    /// Creates a clock that starts at zero.
    #[expect(clippy::new_without_default, reason = "a clock's zero is the time of the call")]
    pub fn new() -> Self {
        Self { origin_us: boot_time_us() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Mono {
        Mono::from_micros(boot_time_us().saturating_sub(self.origin_us))
    }
}

/// Returns the wall-clock time in Unix milliseconds; zero before 1970. The wall clock may jump.
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
