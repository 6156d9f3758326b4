//! What probing may cost a target.

use std::time::Duration;

use shallotfork_types::{Permille, TargetId};

/// Time that one slot of a target offers in a second, in microseconds.
const SLOT_US_PER_SECOND: u64 = 1_000_000;

/// A target whose load is measured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeasuredTarget {
    /// The target.
    pub id: TargetId,
    /// How many requests it runs at once.
    pub slots: u32,
}

/// The probing budget of each target, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeBudget {
    /// Share of the target's time (slots times one second) that probes may take in any second.
    pub share: Permille,
    /// Target time that one probe takes; a probe that costs more breaks the budget.
    pub probe_cost: Duration,
}

impl Default for ProbeBudget {
    /// Ten thousandths of the target's time; 6 ms a probe, as the users measured.
    fn default() -> Self {
        Self { share: Permille::new(10), probe_cost: Duration::from_millis(6) }
    }
}

impl ProbeBudget {
    /// Microseconds of target time that probes may take in one second of a target with `slots`.
    pub fn budget_us(&self, slots: u32) -> u64 {
        self.share.of(u64::from(slots) * SLOT_US_PER_SECOND)
    }

    /// Thousandths of a probe that fit into one second, over the whole fleet.
    pub(crate) fn milli_probes_a_second(&self, slots: u32) -> u64 {
        let cost_us = u64::try_from(self.probe_cost.as_micros()).unwrap_or(u64::MAX).max(1);
        self.budget_us(slots).saturating_mul(1000) / cost_us
    }
}
