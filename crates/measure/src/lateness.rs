//! How late a process does its work.

use std::time::Duration;

use shallotfork_types::Mono;

/// Time in which an old value loses most of its weight: a few turns of a process that is busy.
const MEMORY: Duration = Duration::from_millis(100);
/// Without work for this long nothing is late.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(1);

/// How long work waits for the processor before it is done, smoothed over time.
///
/// A process that has less processor time than its work takes sees nothing of it otherwise: what
/// it has not read yet is in no queue of its own, and each of its answers looks quick.
#[derive(Debug, Default)]
pub struct SchedulingDelay {
    smoothed: Duration,
    noted_at: Option<Mono>,
}

impl SchedulingDelay {
    /// A process that is not late.
    pub fn new() -> Self {
        Self::default()
    }

    /// A piece of work has waited for so long until `now`.
    pub fn record(&mut self, waited: Duration, now: Mono) {
        let before = self.at(now);
        let since = self.noted_at.map_or(MEMORY, |noted| now.since(noted));
        // What has waited for long tells of all that time.
        let weight_of_old = (-(since.max(waited).as_secs_f64() / MEMORY.as_secs_f64())).exp();
        self.smoothed = before.mul_f64(weight_of_old) + waited.mul_f64(1.0 - weight_of_old);
        self.noted_at = Some(now);
    }

    /// How long work waits at `now`.
    pub fn at(&self, now: Mono) -> Duration {
        match self.noted_at {
            Some(noted) if now.since(noted) < FORGOTTEN_AFTER => self.smoothed,
            _ => Duration::ZERO,
        }
    }
}
