//! Load reports and their simulated lag.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Header that carries a load report on an answer, as defined by Open Request Cost Aggregation
/// (ORCA).
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Maximum number of load samples kept for lagging reports.
const SAMPLES_MAX: usize = 4096;

/// Load of a target at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Busy slots as a share of all slots, in thousandths.
    pub utilization_permille: u64,
    /// Number of requests waiting for a slot.
    pub queue: u64,
    /// Number of requests being served or waiting.
    pub in_flight: u64,
    /// Number of requests finished in the last second.
    pub rps: u64,
    /// Whether the target is draining.
    pub draining: bool,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.utilization_permille / 1000;
        let thousandths = self.utilization_permille % 1000;
        let draining = u8::from(self.draining);
        write!(f, "TEXT cpu_utilization={whole}.{thousandths:03}, rps_fractional={}.0", self.rps)?;
        write!(f, ", named_metrics.queue={}.0", self.queue)?;
        write!(f, ", named_metrics.in_flight={}.0", self.in_flight)?;
        write!(f, ", named_metrics.draining={draining}.0")
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    load: Load,
}

/// Past load samples, for lagging reports.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Adds a load sample.
    pub(super) fn push(&mut self, load: Load, at: Instant) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at, load });
    }

    /// Returns the load at `lag` before `now`, or a load of zero if that is before the first
    /// sample.
    pub(super) fn load_before(&self, lag: Duration, now: Instant) -> Load {
        let is_old_enough = |sample: &&Sample| now.duration_since(sample.at) >= lag;
        let sample = self.samples.iter().rev().find(is_old_enough);
        sample.map(|sample| sample.load).unwrap_or_default()
    }
}
