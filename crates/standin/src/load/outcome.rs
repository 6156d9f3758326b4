//! What a run measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const HIGHEST_US: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// What a run cost the system, read from its processes after the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SystemCost {
    /// Requests that targets got beyond one for each that callers were answered with success.
    pub extra_share: f64,
    /// The largest share of a target's time that probes took.
    pub probe_share_max: f64,
    /// Processor time of all entries together, per request.
    pub cpu_us_per_request: f64,
}

/// Latencies and ends of the requests of one run, warm-up left out.
#[derive(Debug, Clone)]
pub struct Measured {
    /// From the planned arrival to the whole answer, in microseconds, of successes and of
    /// requests that were given up at their deadline.
    pub latencies_us: Histogram<u64>,
    /// Requests measured.
    pub requests: u64,
    /// Answered with success within the deadline.
    pub good: u64,
    /// Refused with the proof that they were not run.
    pub refused: u64,
    /// Ended otherwise.
    pub failed: u64,
    /// Longest time between a planned arrival and its sending, in microseconds: what the load
    /// generator itself added.
    pub send_lag_max_us: u64,
    /// Length of the measured part.
    pub length: Duration,
}

impl Measured {
    /// Nothing measured yet.
    ///
    /// # Errors
    /// When the histogram can't be made.
    pub fn new(length: Duration) -> anyhow::Result<Self> {
        Ok(Self {
            latencies_us: Histogram::new_with_bounds(1, HIGHEST_US, DIGITS)?,
            requests: 0,
            good: 0,
            refused: 0,
            failed: 0,
            send_lag_max_us: 0,
            length,
        })
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(HIGHEST_US);
        self.latencies_us.saturating_record(us.clamp(1, HIGHEST_US));
    }

    /// A quantile of the latencies, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Successes a second as a share of `capacity_a_second`.
    pub fn goodput(&self, capacity_a_second: f64) -> f64 {
        self.good as f64 / self.length.as_secs_f64() / capacity_a_second
    }
}
