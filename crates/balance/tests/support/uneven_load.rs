//! Load of idempotent reads of which some take several times as long as the rest, at targets that run
//! five times slower in phases of 150 ms.
//!
//! Random numbers depend on the request, the attempt and the seed only, so that all rules get the
//! same load.

use shallotfork_types::TargetId;

const PHASE_MS: u64 = 150;
const SLOW_FACTOR: f64 = 5.0;
/// Part of the phases that are slow.
const SLOW_SHARE: f64 = 0.2;

/// Where long work comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LongWork {
    /// Each attempt is long with the same probability.
    OfAttempt,
    /// It belongs to the request and is as long in each attempt.
    OfRequest,
    /// No work is long.
    None,
}

/// Load of the simulation.
#[derive(Debug, Clone, Copy)]
pub struct UnevenLoad {
    pub long_work: LongWork,
    /// Standard deviation of the logarithm of ordinary work times.
    pub spread: f64,
    pub median_ms: f64,
    pub objective_ms: u64,
    pub requests: u64,
    pub requests_per_s: u64,
}

impl UnevenLoad {
    /// The load that docs/design/demanding-load.md describes.
    pub fn new(long_work: LongWork) -> Self {
        Self {
            long_work,
            spread: 0.15,
            median_ms: 550.0,
            objective_ms: 1_500,
            requests: 26_000,
            requests_per_s: 40,
        }
    }

    /// Returns the work time of an attempt of a request at usual speed.
    pub fn work_ms(&self, seed: u64, number: u64, attempt: u64) -> f64 {
        let draw = match self.long_work {
            LongWork::OfAttempt => number * 4 + attempt,
            LongWork::OfRequest | LongWork::None => number * 4,
        };
        let is_long = self.long_work != LongWork::None && uniform(seed, 2, draw) * 30.0 < 1.0;
        // The sum of twelve uniform numbers is close to a normal distribution.
        let sum: f64 = (0..12).map(|term| uniform(seed, 3 + term, draw)).sum();
        let ordinary_ms = self.median_ms * (self.spread * (sum - 6.0)).exp();
        if is_long { ordinary_ms * 7.0 } else { ordinary_ms }
    }

    /// Returns the slowdown of a target.
    pub fn slowdown(&self, seed: u64, target: &TargetId, at_ms: u64) -> f64 {
        let number: u64 = target.as_str().trim_start_matches("target-").parse().unwrap_or(0);
        let phase = number * 1_000_000 + (at_ms + number * 37) / PHASE_MS;
        if uniform(seed, 20, phase) < SLOW_SHARE { SLOW_FACTOR } else { 1.0 }
    }
}

/// Returns a number from 0 to 1 that depends on the arguments only.
pub fn uniform(seed: u64, stream: u64, index: u64) -> f64 {
    let mut hash = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for word in [stream, index] {
        hash = (hash ^ word).wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^= hash >> 31;
    }
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
