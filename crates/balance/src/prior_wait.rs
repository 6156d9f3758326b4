//! How long a caller had waited before its request came here.

use std::time::Duration;

/// How far one deadline moves the median, as a part of the longest one. A thousandth follows a
/// spread of 15 percent within a few hundred requests, and stays within a percent of it.
const MEDIAN_STEP: f64 = 0.001;
/// The same for the first deadlines of a process, so that it knows the spread within a second.
const FIRST_STEP: f64 = 0.01;
/// Deadlines that count as the first ones.
const FIRST_COUNT: u32 = 100;

/// What is known of the deadlines that callers of one kind send.
///
/// A caller that was refused, or whose entry was lost, comes back with less time than it had. How
/// much of its time is gone can be told where all callers of a kind begin with the same deadline.
/// Some kinds begin with deadlines that differ by a seventh; taken for time waited, that makes most
/// requests look late before they are sent, and under load those that could be answered in good
/// time wait behind others that can't.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorWaitEstimator {
    longest_ms: f64,
    median_ms: f64,
    seen: u32,
}

impl PriorWaitEstimator {
    /// Nothing is known but one deadline.
    pub fn new(deadline: Duration) -> Self {
        let deadline_ms = deadline.as_secs_f64() * 1000.0;
        Self { longest_ms: deadline_ms, median_ms: deadline_ms, seen: 0 }
    }

    /// Takes a deadline; how long its caller had waited at least.
    ///
    /// First deadlines are taken to lie evenly around their median, below the longest one. The
    /// median holds as long as less than half of all requests have come back.
    pub fn estimate(&mut self, deadline: Duration) -> Duration {
        let deadline_ms = deadline.as_secs_f64() * 1000.0;
        self.longest_ms = self.longest_ms.max(deadline_ms);
        self.seen = self.seen.saturating_add(1);
        let step = if self.seen <= FIRST_COUNT { FIRST_STEP } else { MEDIAN_STEP };
        let step_ms = self.longest_ms * step;
        self.median_ms += (deadline_ms - self.median_ms).clamp(-step_ms, step_ms);
        let spread_ms = 2.0 * (self.longest_ms - self.median_ms);
        let shortest_first_ms = self.longest_ms - spread_ms;
        Duration::from_secs_f64((shortest_first_ms - deadline_ms).max(0.0) / 1000.0)
    }
}
