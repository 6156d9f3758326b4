//! Budget for the load that probes put on a target.

use std::time::Duration;

use shallotfork_types::{Permille, TargetId};

/// Target time that one slot provides per second, in microseconds.
const SLOT_US_PER_SECOND: u64 = 1_000_000;

/// A target that may be probed for its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeasuredTarget {
    /// ID of the target.
    pub id: TargetId,
    /// Number of requests that the target can run concurrently.
    pub slots: u32,
}

/// Fleet-wide budget for probes of each target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeBudget {
    /// Fraction of the target's time (slots times one second) that probes may take in any second.
    pub share: Permille,
    /// Target time that one probe takes; probes that take longer exceed the budget.
    pub probe_cost: Duration,
}

impl Default for ProbeBudget {
    /// Allows 10‰ of the target's time, with 6 ms per probe.
    fn default() -> Self {
        Self { share: Permille::new(10), probe_cost: Duration::from_millis(6) }
    }
}

impl ProbeBudget {
    /// Returns the target time, in microseconds, that probes of a target with `slots` slots may
    /// take per second.
    pub fn budget_us(&self, slots: u32) -> u64 {
        self.share.of(u64::from(slots) * SLOT_US_PER_SECOND)
    }

    /// Returns the fleet-wide limit on probes per second, in thousandths of a probe.
    pub(crate) fn milli_probes_per_second(&self, slots: u32) -> u64 {
        let cost_us = u64::try_from(self.probe_cost.as_micros()).unwrap_or(u64::MAX).max(1);
        self.budget_us(slots).saturating_mul(1000) / cost_us
    }
}
