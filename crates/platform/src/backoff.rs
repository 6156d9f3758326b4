//! Delays before retries after failures.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bounds of the delay after a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Maximum delay after the first failure.
    pub initial_delay: Duration,
    /// Maximum delay after any number of failures.
    pub max_delay: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self { initial_delay: Duration::from_millis(100), max_delay: Duration::from_secs(5) }
    }
}

/// Exponential backoff: the maximum delay doubles with each failure, and each delay is drawn at
/// random from the upper half of its range.
///
/// Entries that lose the platform at the same moment would otherwise all retry together, and the
/// first replica to recover would receive all their calls at once.
#[derive(Debug)]
pub struct Backoff {
    config: BackoffConfig,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// Creates a backoff without failures; `seed` must differ between processes.
    pub fn new(config: BackoffConfig, seed: u64) -> Self {
        Self { config, failures: 0, random: StdRng::seed_from_u64(seed) }
    }

    /// Records a failure and returns the delay before the next try.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        let upper_bound =
            self.config.initial_delay.saturating_mul(factor).min(self.config.max_delay);
        upper_bound.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Forgets earlier failures, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
