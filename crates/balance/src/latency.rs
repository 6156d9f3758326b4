//! Histogram of the recent latencies of a pool.

use std::time::Duration;

/// Buckets per doubling of the latency; a quantile is at most a quarter octave too high.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
const BUCKETS: usize = 96;
/// Lower bound of the first bucket, in microseconds.
const LOWEST_BOUND_US: f64 = 64.0;
/// Number of samples at which all counts are halved, so that old latencies lose weight.
const HALVE_AT_SAMPLES: u32 = 4000;
/// Minimum number of samples; with fewer, no quantile is returned.
const SAMPLES_MIN: u32 = 20;

#[derive(Debug)]
pub(crate) struct LatencyHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        self.counts[bucket(latency)] += 1;
        self.total += 1;
        if self.total >= HALVE_AT_SAMPLES {
            self.halve();
        }
    }

    /// Returns the upper bound of the bucket that holds the quantile; `None` with too few samples.
    pub(crate) fn quantile(&self, share: f64) -> Option<Duration> {
        if self.total < SAMPLES_MIN {
            return None;
        }
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(latency: Duration) -> usize {
    let octaves = (latency.as_micros() as f64 / LOWEST_BOUND_US).max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    let octaves = (index + 1) as f64 / BUCKETS_PER_OCTAVE;
    Duration::from_micros((LOWEST_BOUND_US * octaves.exp2()) as u64)
}
