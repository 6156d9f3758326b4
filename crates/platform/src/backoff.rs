//! How long to wait after failures.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bounds of the wait after a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Longest wait after the first failure.
    pub initial_delay: Duration,
    /// Longest wait after any number of failures.
    pub max_delay: Duration,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self { initial_delay: Duration::from_millis(100), max_delay: Duration::from_secs(5) }
    }
}

/// Doubles the wait with each failure and draws it at random from the upper half.
///
/// Entries that lose the platform at the same moment would otherwise all call again at the same
/// moment, and the first one to come back would be met by all of them at once.
#[derive(Debug)]
pub struct Backoff {
    config: BackoffConfig,
    failures: u32,
    random: StdRng,
}

impl Backoff {
    /// A backoff without failures; `seed` must differ between processes.
    pub fn new(config: BackoffConfig, seed: u64) -> Self {
        Self { config, failures: 0, random: StdRng::seed_from_u64(seed) }
    }

    /// The wait after one more failure.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = 2_u32.saturating_pow(self.failures);
        self.failures = self.failures.saturating_add(1);
        let longest = self.config.initial_delay.saturating_mul(doubled).min(self.config.max_delay);
        longest.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Forgets earlier failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
