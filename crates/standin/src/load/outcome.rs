//! Measurements of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

const LATENCY_MAX_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Cost of a run for the system, read from its processes after the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SystemCost {
    /// Requests that targets received beyond one for each request that callers got a success for,
    /// as a share.
    pub extra_share: f64,
    /// Largest share of a target's time that was spent on probes.
    pub probe_share_max: f64,
    /// Processor time of all entries together, in microseconds per request.
    pub cpu_us_per_request: f64,
}

/// Latencies and outcomes of the requests of one run, without the warm-up.
#[derive(Debug, Clone)]
pub struct Measured {
    /// Time from the planned arrival to the complete answer, in microseconds, of successful
    /// requests and of requests that were abandoned at their deadline.
    pub latencies_us: Histogram<u64>,
    /// Number of requests measured.
    pub requests: u64,
    /// Number of requests answered with success within the deadline.
    pub good: u64,
    /// Number of requests rejected with the verdict that they did not run.
    pub refused: u64,
    /// Number of requests with any other outcome.
    pub failed: u64,
    /// Longest time between a planned arrival and its sending, in microseconds; this delay is added
    /// by the load generator itself.
    pub send_lag_max_us: u64,
    /// Length of the measured part of the run.
    pub length: Duration,
}

impl Measured {
    /// Creates an empty measurement.
    ///
    /// # Errors
    /// Returns an error if the histogram cannot be created.
    pub fn new(length: Duration) -> anyhow::Result<Self> {
        Ok(Self {
            latencies_us: Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)?,
            requests: 0,
            good: 0,
            refused: 0,
            failed: 0,
            send_lag_max_us: 0,
            length,
        })
    }

    /// Records a latency.
    pub fn record(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        self.latencies_us.saturating_record(us.clamp(1, LATENCY_MAX_US));
    }

    /// Returns a quantile of the latencies, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies_us.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns successes per second as a share of `capacity_per_second`.
    pub fn goodput(&self, capacity_per_second: f64) -> f64 {
        self.good as f64 / self.length.as_secs_f64() / capacity_per_second
    }
}
