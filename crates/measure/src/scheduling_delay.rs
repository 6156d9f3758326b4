//! Measurement of the scheduling delay of a process.

use std::time::Duration;

use shallotfork_types::Mono;

/// Time constant of the exponential smoothing: a few scheduling turns of a busy process.
const TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Time without measurements after which the delay is reported as zero.
const EXPIRES_AFTER: Duration = Duration::from_secs(1);

/// How long runnable work waits for the processor, as an exponentially smoothed average.
///
/// A process that gets too little processor time cannot detect this otherwise: requests that it has
/// not read yet are in none of its own queues, and each of its answers appears to be fast.
#[derive(Debug, Default)]
pub struct SchedulingDelay {
    smoothed: Duration,
    recorded_at: Option<Mono>,
}

impl SchedulingDelay {
    /// Creates a measurement without scheduling delay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a piece of work became runnable `waited` before `now` and started at `now`.
    pub fn record(&mut self, waited: Duration, now: Mono) {
        let previous = self.at(now);
        let elapsed = self.recorded_at.map_or(TIME_CONSTANT, |recorded_at| now.since(recorded_at));
        // A long wait is a sample of the whole time waited, so it gets the weight of that time.
        let previous_weight =
            (-(elapsed.max(waited).as_secs_f64() / TIME_CONSTANT.as_secs_f64())).exp();
        self.smoothed = previous.mul_f64(previous_weight) + waited.mul_f64(1.0 - previous_weight);
        self.recorded_at = Some(now);
    }

    /// Returns the scheduling delay at `now`.
    pub fn at(&self, now: Mono) -> Duration {
        match self.recorded_at {
            Some(recorded_at) if now.since(recorded_at) < EXPIRES_AFTER => self.smoothed,
            _ => Duration::ZERO,
        }
    }
}
