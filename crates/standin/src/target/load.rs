//! Load reports, and the lag with which they are seen.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Header that carries a load report on an answer, as the Open Request Cost Aggregation project
/// names it.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// Samples kept for lagging reports.
const SAMPLES_MAX: usize = 4096;

/// A target's load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Busy slots as a share of all slots, in thousandths.
    pub utilization_permille: u64,
    /// Requests waiting for a slot.
    pub queue: u64,
    /// Requests being served or waiting.
    pub in_flight: u64,
    /// Requests finished in the last second.
    pub rps: u64,
    /// Whether the target is leaving.
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

/// Past loads, for reports that lag.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Keeps the load at one moment.
    pub(super) fn push(&mut self, load: Load, at: Instant) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at, load });
    }

    /// The load as it was `lag` before `now`; no load before the first sample.
    pub(super) fn lagging(&self, lag: Duration, now: Instant) -> Load {
        let old_enough = |sample: &&Sample| now.duration_since(sample.at) >= lag;
        let sample = self.samples.iter().rev().find(old_enough);
        sample.map(|sample| sample.load).unwrap_or_default()
    }
}
