//! Estimates how long a caller had waited before its request arrived.

use std::time::Duration;

/// Step of the median per deadline, as a share of the longest deadline. A thousandth follows a
/// spread of 15 percent within a few hundred requests and stays within one percent of it.
const MEDIAN_STEP: f64 = 0.001;
/// Step for the first deadlines of a process, so that the spread is known within a second.
const FIRST_STEP: f64 = 0.01;
/// Number of deadlines to which the first step applies.
const FIRST_COUNT: u32 = 100;

/// Estimates, from the deadlines of one kind of caller, how long a caller has already waited.
///
/// A caller that was rejected, or whose entry was lost, returns with less time than it had. Where
/// all callers of a kind start with the same deadline, the missing time is the time waited. Some
/// kinds start with deadlines that differ by a seventh. Counting this spread as time waited makes
/// most requests look late before they are sent, and under load requests that could be answered in
/// time wait behind others that cannot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorWaitEstimator {
    longest_ms: f64,
    median_ms: f64,
    samples: u32,
}

impl PriorWaitEstimator {
    /// Creates an estimator that has seen one deadline.
    pub fn new(deadline: Duration) -> Self {
        let deadline_ms = deadline.as_secs_f64() * 1000.0;
        Self { longest_ms: deadline_ms, median_ms: deadline_ms, samples: 0 }
    }

    /// Records a deadline and returns the minimum time that its caller had waited.
    ///
    /// Assumes that deadlines of first attempts are spread evenly around their median, below the
    /// longest one. The median holds as long as fewer than half of all requests come from returning
    /// callers.
    pub fn estimate(&mut self, deadline: Duration) -> Duration {
        let deadline_ms = deadline.as_secs_f64() * 1000.0;
        self.longest_ms = self.longest_ms.max(deadline_ms);
        self.samples = self.samples.saturating_add(1);
        let step = if self.samples <= FIRST_COUNT { FIRST_STEP } else { MEDIAN_STEP };
        let step_ms = self.longest_ms * step;
        self.median_ms += (deadline_ms - self.median_ms).clamp(-step_ms, step_ms);
        let spread_ms = 2.0 * (self.longest_ms - self.median_ms);
        let shortest_initial_ms = self.longest_ms - spread_ms;
        Duration::from_secs_f64((shortest_initial_ms - deadline_ms).max(0.0) / 1000.0)
    }
}
